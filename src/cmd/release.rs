//! `drumwheel release`

use crate::cmd::apply::read_key;
use crate::messages;
use operator::Release;
use std::path::Path;
use std::process::ExitCode;

/// Frees a request that the nodes hold.
pub async fn run(node: &str, key_file: &Path, release: &Release) -> ExitCode {
    let key = match read_key(key_file) {
        Ok(key) => key,
        Err(error) => return messages::failure(&error),
    };
    match operator::release(node, &key, release).await {
        Ok(made) => {
            println!("{}: {made}", release.fingerprint);
            ExitCode::SUCCESS
        }
        Err(error) => messages::failure(&error),
    }
}
