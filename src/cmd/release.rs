//! `drumwheel release`

use crate::cmd::apply::read_key;
use crate::messages;
use operator::Release;
use std::path::Path;
use std::process::ExitCode;

/// Releases a request from quarantine.
pub async fn run(node: &str, key_file: &Path, release: &Release) -> ExitCode {
    let key = match read_key(key_file) {
        Ok(key) => key,
        Err(error) => return messages::failure(&error),
    };
    match operator::release(node, &key, release).await {
        Ok(answer) => {
            println!("{}: {answer}", release.fingerprint);
            ExitCode::SUCCESS
        }
        Err(error) => messages::failure(&error),
    }
}
