//! Problems in files written by people.

use std::fmt;

/// A problem in a file: its location, the value found and the values allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file as it was given.
    pub file: String,
    /// Line, counted from 1; 0 if the problem has none (a missing section).
    pub line: usize,
    /// Section of the INI file, or the empty string.
    pub section: String,
    /// Key within the section, or the empty string.
    pub key: String,
    /// The value found, or the empty string.
    pub value: String,
    /// What is allowed, as a fragment of a sentence.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        if !self.value.is_empty() {
            write!(f, " = {:?}", self.value)?;
        }
        write!(f, ": {}", self.allowed)
    }
}

/// All problems of one check, reported together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
