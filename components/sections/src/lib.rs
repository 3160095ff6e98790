//! Checked reading of INI files written by people.
//!
//! A [`Reader`] collects every problem of a file and reports them all at once. Keys and sections
//! that nobody asked for are problems too.

mod reader;

pub use reader::Reader;
