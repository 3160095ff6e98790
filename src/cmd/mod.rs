//! The subcommands, one file each.

mod apply;
mod check;
mod drain;
mod explain;
mod held;
mod history;
mod plan;
mod release;
mod status;

use crate::cli::Command;
use std::process::ExitCode;

/// Runs a command and returns its exit code.
pub async fn run(command: Command) -> ExitCode {
    match command {
        Command::Check { dir } => check::run(&dir),
        Command::Plan {
            platform,
            format,
            dir,
        } => plan::run(platform, format, &dir).await,
        Command::Apply {
            platform,
            format,
            base,
            who,
            why,
            id,
            floor,
            key_file,
            tries,
            dir,
        } => {
            let request = apply::Request {
                base,
                who,
                why,
                id,
                floor,
                key_file,
                tries,
            };
            apply::run(platform, format, request, &dir).await
        }
        Command::Status { platform, format } => status::run(platform, format).await,
        Command::History {
            platform,
            format,
            most,
            diff,
        } => history::run(platform, format, most, diff).await,
        Command::Explain { id, files } => explain::run(&id, &files),
        Command::Held { node, format } => held::run(&node, format).await,
        Command::Release {
            node,
            key_file,
            who,
            why,
            fingerprint,
        } => {
            let release = operator::Release {
                fingerprint,
                who,
                why,
            };
            release::run(&node, &key_file, &release).await
        }
        Command::Drain {
            node,
            key_file,
            undo,
        } => drain::run(&node, &key_file, undo).await,
    }
}
