//! Built-in loads and sites, and loads from files.

use crate::load::Load;
use crate::read_site::SiteFile;
use crate::scenario::{LoadFile, Scenario};
use errors::Problems;
use std::path::Path;

/// Embeds files of `loads/` with their names.
macro_rules! files {
    ($($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../loads/", $name)))),*]
    };
}

const LOADS: &[(&str, &str)] = files![
    "wave-1.3.ini",
    "wave-1.6.ini",
    "wave-2.5.ini",
    "half-gone.ini",
    "all-slow.ini",
    "five-upstreams.ini",
    "account-times-ten.ini",
];
const SITES: &[(&str, &str)] = files!["site-k.ini", "site-s.ini"];
/// Suffix of load files.
const SUFFIX: &str = ".ini";

/// A load that can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// Neither a built-in load nor a file.
    #[error("load {0:?}: must be one of {known}, or a file that ends in {SUFFIX}", known = names().join(", "))]
    Unknown(String),
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The contents of the file are invalid.
    #[error("{0}")]
    Invalid(#[from] Problems),
}

/// Names of the built-in loads.
pub fn names() -> Vec<&'static str> {
    let names = LOADS.iter().map(|(name, _)| *name);
    names.map(|name| name.trim_end_matches(SUFFIX)).collect()
}

impl Scenario {
    /// Opens a built-in load by its name, or a load file by its path.
    pub fn open(load: &str) -> Result<Scenario, LoadError> {
        if !load.ends_with(SUFFIX) {
            let file = format!("{load}{SUFFIX}");
            let text = find(LOADS, &file).ok_or_else(|| LoadError::Unknown(load.to_string()))?;
            return Ok(Scenario::parse(&file, text, builtin_site)?);
        }
        let text = std::fs::read_to_string(load);
        let text = text.map_err(|error| LoadError::Unreadable(load.to_string(), error))?;
        let dir = Path::new(load).parent().unwrap_or(Path::new(""));
        let read_file = |name: &str| match std::fs::read_to_string(dir.join(name)) {
            Ok(text) => Ok(text),
            Err(error) => builtin_site(name).map_err(|_| error.to_string()),
        };
        Ok(Scenario::parse(load, &text, read_file)?)
    }

    /// Parses a load with the name `file`. `read_file` returns the text of the files that it refers
    /// to.
    pub fn parse(
        file: &str,
        text: &str,
        read_file: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Scenario, Problems> {
        let load_file = LoadFile::read(file, text)?;
        let site_name = load_file.site.clone();
        let site_text = match read_file(&site_name) {
            Ok(text) => text,
            Err(cause) => return Err(load_file.missing_file("site", &site_name, &cause)),
        };
        let site = SiteFile::read(&site_name, &site_text)?;
        let recorded = match load_file.recorded.clone() {
            None => None,
            Some(name) => match read_file(&name) {
                Ok(text) => Some(Load::parse_for(&site.site, &name, &text)?),
                Err(cause) => return Err(load_file.missing_file("recorded", &name, &cause)),
            },
        };
        let name = Path::new(file).file_stem().unwrap_or_default();
        load_file.finish(&name.to_string_lossy(), site, recorded)
    }
}

fn builtin_site(name: &str) -> Result<String, String> {
    let known: Vec<&str> = SITES.iter().map(|(name, _)| *name).collect();
    let text = find(SITES, name).map(str::to_string);
    text.ok_or_else(|| {
        format!(
            "must be one of {}, or a file in the directory of the load",
            known.join(", ")
        )
    })
}

fn find(files: &[(&str, &'static str)], name: &str) -> Option<&'static str> {
    let found = files.iter().find(|(other, _)| *other == name);
    found.map(|(_, text)| *text)
}
