//! Files in which upstreams note every run and callers every outcome, one line each.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::sync::Mutex;

/// An append-only file, written line by line so that a kill loses nothing that happened before.
#[derive(Debug)]
pub struct Ledger {
    file: Option<Mutex<File>>,
}

impl Ledger {
    /// Opens `path` for appending; `None` notes nothing.
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
    pub fn note(&self, line: &str) {
        let Some(file) = &self.file else {
            return;
        };
        let mut file = file.lock().expect("no writer panics");
        writeln!(file, "{line}").expect("the ledger can be written");
    }
}

/// Reads the lines of a ledger as words.
pub fn lines(path: &Path) -> std::io::Result<Vec<Vec<String>>> {
    let mut rows = Vec::new();
    for line in BufReader::new(File::open(path)?).lines() {
        rows.push(line?.split_whitespace().map(str::to_string).collect());
    }
    Ok(rows)
}

/// Number of runs of each request id, over several upstreams' ledgers.
pub fn runs(paths: &[std::path::PathBuf]) -> std::io::Result<HashMap<String, u32>> {
    let mut runs = HashMap::new();
    for path in paths {
        for row in lines(path)? {
            if let Some(id) = row.into_iter().next() {
                *runs.entry(id).or_insert(0) += 1;
            }
        }
    }
    Ok(runs)
}
