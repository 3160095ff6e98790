//! `drumwheel held`

use crate::cli::Format;
use crate::messages;
use serde_json::json;
use std::process::ExitCode;

/// Shows the quarantined requests, as known by one node.
pub async fn run(node: &str, format: Format) -> ExitCode {
    let status = match operator::status(node).await {
        Ok(status) => status,
        Err(error) => return messages::failure(&error),
    };
    if format == Format::Json {
        println!("{}", json!({ "held": status.held }));
        return ExitCode::SUCCESS;
    }
    for request in &status.held {
        println!("{} {} ends", request.fingerprint, request.ends);
    }
    println!("{} held", status.held.len());
    ExitCode::SUCCESS
}
