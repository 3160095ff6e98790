//! `drumwheel explain`

use crate::messages;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Prints the path of a request, from the nodes' log lines in the files or on standard input.
pub fn run(id: &str, files: &[PathBuf]) -> ExitCode {
    let texts = match read(files) {
        Ok(texts) => texts,
        Err(error) => return messages::unreadable(&error),
    };
    let lines = texts
        .iter()
        .flat_map(|(name, text)| text.lines().map(move |line| (name.as_str(), line)));
    let steps = explain::steps(id, lines);
    if steps.is_empty() {
        return messages::nothing_found(id);
    }
    print!("{}", explain::to_text(&steps));
    ExitCode::SUCCESS
}

fn read(files: &[PathBuf]) -> Result<Vec<(String, String)>, String> {
    if files.is_empty() {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|error| format!("standard input: {error}"))?;
        return Ok(vec![("-".to_string(), text)]);
    }
    files.iter().map(|file| read_file(file)).collect()
}

fn read_file(file: &Path) -> Result<(String, String), String> {
    let name = file.display().to_string();
    match std::fs::read(file) {
        Ok(bytes) => Ok((name, String::from_utf8_lossy(&bytes).into_owned())),
        Err(error) => Err(format!("{name}: {error}")),
    }
}
