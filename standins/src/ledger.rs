//! Files in which upstreams record every run and callers every outcome, one line each.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::sync::Mutex;

/// An append-only file, written line by line, so that no earlier line is lost when the process is killed.
#[derive(Debug)]
pub struct Ledger {
    file: Option<Mutex<File>>,
}

impl Ledger {
    /// Opens `path` for appending; with `None`, nothing is recorded.
    pub fn open(path: Option<&Path>) -> std::io::Result<Ledger> {
        let file = match path {
            Some(path) => Some(OpenOptions::new().create(true).append(true).open(path)?),
            None => None,
        };
        Ok(Ledger {
            file: file.map(Mutex::new),
        })
    }

    /// Appends one line.
    pub fn append(&self, line: &str) {
        let Some(file) = &self.file else {
            return;
        };
        let mut file = file.lock().expect("no holder of the lock panics");
        writeln!(file, "{line}").expect("the ledger can be written");
    }
}

/// Reads a ledger: the words of each line.
pub fn lines(path: &Path) -> std::io::Result<Vec<Vec<String>>> {
    let mut entries = Vec::new();
    for line in BufReader::new(File::open(path)?).lines() {
        entries.push(line?.split_whitespace().map(str::to_string).collect());
    }
    Ok(entries)
}

/// Number of runs of each request id, summed over the ledgers of several upstreams.
pub fn runs(paths: &[std::path::PathBuf]) -> std::io::Result<HashMap<String, u32>> {
    let mut runs = HashMap::new();
    for path in paths {
        for words in lines(path)? {
            if let Some(id) = words.into_iter().next() {
                *runs.entry(id).or_insert(0) += 1;
            }
        }
    }
    Ok(runs)
}
