//! The files of a set of declarations.

use errors::{Error, Result, Step};
use std::collections::BTreeMap;
use std::path::Path;

/// Name of the file with all declarations except policies and their examples.
pub const SERVICES_FILE: &str = "services.ini";
/// Maximum size of a set of declarations, in bytes over all files.
pub const MAX_BUNDLE_BYTES: usize = 8 * 1024 * 1024;

/// The files of a set of declarations, as text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Bundle {
    /// File contents by file name.
    pub files: BTreeMap<String, String>,
}

impl Bundle {
    /// Reads every `.ini` and `.rhai` file of a directory, not of its subdirectories.
    pub fn read(dir: &Path) -> Result<Bundle> {
        let fail = |error| Error::new(Step::Declarations, dir.display(), error);
        let mut files = BTreeMap::new();
        let mut size = 0;
        for entry in std::fs::read_dir(dir).map_err(fail)? {
            let path = entry.map_err(fail)?.path();
            let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
                continue;
            };
            if !name.ends_with(".ini") && !name.ends_with(".rhai") {
                continue;
            }
            let text = std::fs::read_to_string(&path)
                .map_err(|error| Error::new(Step::Declarations, path.display(), error))?;
            size += text.len();
            files.insert(name.to_string(), text);
        }
        if size > MAX_BUNDLE_BYTES {
            let cause = format!("{size} bytes in all files; the maximum is {MAX_BUNDLE_BYTES}");
            return Err(Error::new(Step::Declarations, dir.display(), cause));
        }
        Ok(Bundle { files })
    }
}
