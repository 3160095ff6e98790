//! `drumwheel plan`

use crate::cli::Format;
use crate::messages;
use declarations::Bundle;
use errors::{Error, Result, Step};
use platform::Client;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

/// Shows the difference between a directory of declarations and the revision in force.
pub async fn run(platform: SocketAddr, format: Format, dir: &Path) -> ExitCode {
    let bundle = match Bundle::read(dir) {
        Ok(bundle) => bundle,
        Err(error) => return messages::failure(&error),
    };
    if let Err(problems) = declarations::check(&bundle) {
        return messages::problems(&problems);
    }
    let client = Client::new(vec![platform]);
    match in_force(&client).await {
        Ok((base, current)) => show(base, &rollout::diff(&current, &bundle), format),
        Err(error) => return messages::failure(&error),
    }
    ExitCode::SUCCESS
}

async fn in_force(client: &Client) -> Result<(u64, Bundle)> {
    let Some(head) = operator::head(client).await? else {
        return Ok((0, Bundle::default()));
    };
    let revision = head.revision;
    let configuration = operator::configuration(client, head).await?;
    let bundle = configuration
        .bundle()
        .map_err(|error| Error::new(Step::Declarations, "the platform", error))?;
    Ok((revision, bundle))
}

fn show(base: u64, lines: &[String], format: Format) {
    if format == Format::Json {
        println!("{}", json!({ "base": base, "diff": lines }));
        return;
    }
    for line in lines {
        println!("{line}");
    }
    if lines.is_empty() {
        println!("no difference from revision {base}");
    } else {
        println!("apply with --base {base}");
    }
}
