//! `drumwheel check`

use crate::messages;
use declarations::Bundle;
use std::path::Path;
use std::process::ExitCode;

/// Checks a directory of declarations.
pub fn run(dir: &Path) -> ExitCode {
    let bundle = match Bundle::read(dir) {
        Ok(bundle) => bundle,
        Err(error) => return messages::failure(&error),
    };
    match declarations::check(&bundle) {
        Ok(checked) => {
            println!(
                "{}: {} services, {} groups, no problems",
                dir.display(),
                checked.services.len(),
                checked.groups.len()
            );
            ExitCode::SUCCESS
        }
        Err(problems) => messages::problems(&problems),
    }
}
