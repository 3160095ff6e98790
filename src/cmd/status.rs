//! `drumwheel status`

use crate::cli::Format;
use crate::messages;
use futures_util::future::join_all;
use platform::Client;
use serde_json::json;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Shows the state of every node in the platform's list.
pub async fn run(platform: SocketAddr, format: Format) -> ExitCode {
    let client = Client::new(vec![platform]);
    let list = match operator::vms(&client).await {
        Ok(list) => list,
        Err(error) => return messages::failure(&error),
    };
    let in_force = operator::head(&client).await;
    let queries = list.vms.iter().map(|vm| operator::status(&vm.operators));
    let answers = join_all(queries).await;
    let nodes: Vec<_> = list.vms.iter().zip(answers).collect();
    if format == Format::Json {
        let rows: Vec<_> = nodes
            .iter()
            .map(|(vm, result)| {
                json!({
                    "vm": vm.name,
                    "status": result.as_ref().ok(),
                    "error": result.as_ref().err().map(|error| error.to_string()),
                })
            })
            .collect();
        let revision = in_force.ok().flatten().map(|head| head.revision);
        println!(
            "{}",
            json!({ "platform_revision": revision, "nodes": rows })
        );
        return ExitCode::SUCCESS;
    }
    match in_force {
        Ok(Some(head)) => println!("platform: revision {}", head.revision),
        Ok(None) => println!("platform: no revision"),
        Err(error) => println!("platform: {error}"),
    }
    for (vm, result) in &nodes {
        println!("{}", messages::node_line(vm.name.as_str(), result));
    }
    ExitCode::SUCCESS
}
