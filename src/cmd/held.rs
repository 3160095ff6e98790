//! `drumwheel held`

use crate::cli::Format;
use crate::messages;
use serde_json::json;
use std::process::ExitCode;

/// Shows the requests that the nodes hold, as one of them knows them.
pub async fn run(node: &str, format: Format) -> ExitCode {
    let status = match operator::status(node).await {
        Ok(status) => status,
        Err(error) => return messages::failure(&error),
    };
    if format == Format::Json {
        println!("{}", json!({ "held": status.held }));
        return ExitCode::SUCCESS;
    }
    for held in &status.held {
        println!("{} {} ends", held.fingerprint, held.ends);
    }
    println!("{} held", status.held.len());
    ExitCode::SUCCESS
}
