//! The difference between two sets of declarations, as lines for people.

use declarations::Bundle;
use std::collections::BTreeSet;

/// Lines that begin with `+`, `-` or a file's name; empty when the sets are equal.
pub fn diff(before: &Bundle, after: &Bundle) -> Vec<String> {
    let paths: BTreeSet<&String> = before.files.keys().chain(after.files.keys()).collect();
    let mut lines = Vec::new();
    for path in paths {
        let old = before.files.get(path).map_or("", String::as_str);
        let new = after.files.get(path).map_or("", String::as_str);
        if old == new {
            continue;
        }
        lines.push(format!("{path}:"));
        diff_file(old, new, &mut lines);
    }
    lines
}

/// Line difference by longest common subsequence.
fn diff_file(old: &str, new: &str, out: &mut Vec<String>) {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let common = common_lengths(&old, &new);
    let (mut i, mut j) = (0, 0);
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            i += 1;
            j += 1;
        } else if j >= new.len() || (i < old.len() && common[i + 1][j] >= common[i][j + 1]) {
            out.push(format!("- {}", old[i]));
            i += 1;
        } else {
            out.push(format!("+ {}", new[j]));
            j += 1;
        }
    }
}

fn common_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut lengths = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i][j] = if old[i] == new[j] {
                lengths[i + 1][j + 1] + 1
            } else {
                lengths[i + 1][j].max(lengths[i][j + 1])
            };
        }
    }
    lengths
}
