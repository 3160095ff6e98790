//! `drumwheel history`

use crate::cli::Format;
use crate::messages;
use declarations::Bundle;
use errors::{Error, Result, Step};
use platform::Client;
use rollout::Head;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Shows the latest changes, the newest first.
pub async fn run(platform: SocketAddr, format: Format, max: usize, diff: bool) -> ExitCode {
    let client = Client::new(vec![platform]);
    let heads = match operator::history(&client, max).await {
        Ok(heads) => heads,
        Err(error) => return messages::failure(&error),
    };
    if format == Format::Json {
        let changes: Vec<_> = heads
            .iter()
            .map(|head| serde_json::json!({ "revision": head.revision, "change": head.change }))
            .collect();
        println!("{}", serde_json::Value::from(changes));
        return ExitCode::SUCCESS;
    }
    for (i, head) in heads.iter().enumerate() {
        println!("{}", messages::head_line(head));
        if !diff {
            continue;
        }
        match diff_lines(&client, head, heads.get(i + 1)).await {
            Ok(lines) => lines.iter().for_each(|line| println!("    {line}")),
            Err(error) => return messages::failure(&error),
        }
    }
    ExitCode::SUCCESS
}

async fn diff_lines(client: &Client, head: &Head, before: Option<&Head>) -> Result<Vec<String>> {
    let after = bundle(client, head).await?;
    let before = match before {
        Some(head) => bundle(client, head).await?,
        None => Bundle::default(),
    };
    Ok(rollout::diff(&before, &after))
}

async fn bundle(client: &Client, head: &Head) -> Result<Bundle> {
    operator::configuration(client, head.clone())
        .await?
        .bundle()
        .map_err(|error| Error::new(Step::Declarations, "the platform", error))
}
