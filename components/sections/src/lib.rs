//! Reads and checks INI files written by people.
//!
//! A [`Reader`] collects all problems of a file and reports them together. Unknown sections and keys
//! are problems too.

mod reader;

pub use reader::Reader;
