//! `drumwheel drain`

use crate::cmd::apply::read_key;
use crate::messages;
use std::path::Path;
use std::process::ExitCode;

/// Drains a node's upstream, or ends the drain.
pub async fn run(node: &str, key_file: &Path, undo: bool) -> ExitCode {
    let key = match read_key(key_file) {
        Ok(key) => key,
        Err(error) => return messages::failure(&error),
    };
    match operator::drain(node, &key, !undo).await {
        Ok(()) => {
            println!("{node}: {}", if undo { "serving" } else { "leaving" });
            ExitCode::SUCCESS
        }
        Err(error) => messages::failure(&error),
    }
}
