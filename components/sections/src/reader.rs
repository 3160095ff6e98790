//! Reader of one INI file.

use errors::{Problem, Problems};
use ini::Ini;
use std::collections::HashMap;
use std::str::FromStr;

/// Reads one INI file and collects its problems.
#[derive(Debug)]
pub struct Reader {
    file: String,
    text: String,
    /// In the order of the file.
    sections: Vec<Section>,
    /// Index of the first section of each name.
    by_name: HashMap<String, usize>,
    problems: Vec<Problem>,
}

#[derive(Debug)]
struct Section {
    name: String,
    entries: Vec<Entry>,
}

/// A key with its value. Sections have few keys, so a linear search is faster than a map.
#[derive(Debug)]
struct Entry {
    key: String,
    value: String,
    is_used: bool,
}

impl Section {
    fn is_used(&self, key: &str) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.key == key && entry.is_used)
    }
}

impl Reader {
    /// Parses `text`, the content of `file`. A syntax error is reported as the only problem.
    pub fn new(file: &str, text: &str) -> Result<Reader, Problems> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            Problems(vec![Problem {
                file: file.to_string(),
                line: error.line + 1,
                section: String::new(),
                key: String::new(),
                value: String::new(),
                allowed: format!("not an INI file: {}", error.msg),
            }])
        })?;
        let sections: Vec<Section> = ini.into_iter().map(section).collect();
        let mut by_name = HashMap::with_capacity(sections.len());
        for (i, section) in sections.iter().enumerate() {
            by_name.entry(section.name.clone()).or_insert(i);
        }
        let mut reader = Reader {
            file: file.to_string(),
            text: text.to_string(),
            sections,
            by_name,
            problems: Vec::new(),
        };
        reader.find_duplicate_keys();
        Ok(reader)
    }

    /// Names of the sections, in the order of the file.
    pub fn sections(&self) -> Vec<String> {
        let names = self.sections.iter().map(|section| &section.name);
        names.filter(|name| !name.is_empty()).cloned().collect()
    }

    /// Sections of one kind, such as `[group east]` for the kind `group`: the name of each section, and
    /// the part after the kind.
    pub fn sections_of_kind(&self, kind: &str) -> Vec<(String, String)> {
        self.sections()
            .into_iter()
            .filter_map(|section| {
                let (found_kind, name) = section.split_once(' ')?;
                (found_kind == kind).then(|| (section.clone(), name.trim().to_string()))
            })
            .collect()
    }

    /// The value of a key, if it is present.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        let i = *self.by_name.get(section)?;
        let mut entries = self.sections[i].entries.iter_mut();
        let entry = entries.find(|entry| entry.key == key)?;
        entry.is_used = true;
        Some(entry.value.trim().to_string())
    }

    /// The value of a key that must be present and not empty.
    pub fn required(&mut self, section: &str, key: &str, allowed: &str) -> Option<String> {
        match self.text(section, key) {
            Some(value) if !value.is_empty() => Some(value),
            _ => {
                self.problem(section, key, "", &format!("missing; must be {allowed}"));
                None
            }
        }
    }

    /// The value of a key parsed as `T`. The key must be present.
    pub fn required_as<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        let value = self.required(section, key, allowed)?;
        self.parse(section, key, &value, allowed)
    }

    /// The value of a key parsed as `T`, or `default` if it is missing or invalid.
    pub fn value_or<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        default: T,
    ) -> T {
        match self.text(section, key) {
            Some(value) => self.parse(section, key, &value, allowed).unwrap_or(default),
            None => default,
        }
    }

    /// The value of a key as a number within `range`, or `default` if it is missing or invalid.
    pub fn number_or(
        &mut self,
        section: &str,
        key: &str,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(value) = self.text(section, key) else {
            return default;
        };
        let number = value.parse().ok();
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return number;
        }
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let allowed = match number {
            Some(_) => allowed,
            None => format!("must be {allowed}"),
        };
        self.problem(section, key, &value, &allowed);
        default
    }

    /// Records a problem with a key.
    pub fn problem(&mut self, section: &str, key: &str, value: &str, allowed: &str) {
        self.problems.push(Problem {
            file: self.file.clone(),
            line: self.line_of(section, key),
            section: section.to_string(),
            key: key.to_string(),
            value: value.to_string(),
            allowed: allowed.to_string(),
        });
    }

    /// Finishes reading. Reports unknown sections and keys, and all other problems.
    pub fn finish(mut self, known_sections: &[&str]) -> Result<(), Problems> {
        self.find_unknown(known_sections);
        if self.problems.is_empty() {
            Ok(())
        } else {
            self.problems.sort_by_key(|problem| problem.line);
            Err(Problems(self.problems))
        }
    }

    fn parse<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        allowed: &str,
    ) -> Option<T> {
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(_) => {
                self.problem(section, key, value, &format!("must be {allowed}"));
                None
            }
        }
    }

    fn find_unknown(&mut self, known_sections: &[&str]) {
        let mut unknown = Vec::new();
        for section in &self.sections {
            let name = section.name.as_str();
            let kind = name.split(' ').next().unwrap_or("");
            let is_empty = name.is_empty() && section.entries.is_empty();
            if !is_empty && !known_sections.contains(&kind) {
                unknown.push((name.to_string(), String::new(), String::new()));
                continue;
            }
            let first = &self.sections[self.by_name[name]];
            let entries = section.entries.iter();
            for entry in entries.filter(|entry| !first.is_used(&entry.key)) {
                unknown.push((name.to_string(), entry.key.clone(), entry.value.clone()));
            }
        }
        for (section, key, value) in unknown {
            let allowed = if key.is_empty() {
                format!("unknown section; known are {}", known_sections.join(", "))
            } else {
                "unknown key".to_string()
            };
            self.problem(&section, &key, &value, &allowed);
        }
    }

    fn find_duplicate_keys(&mut self) {
        let mut duplicates = Vec::new();
        for (i, section) in self.sections.iter().enumerate() {
            let first = self.by_name[&section.name];
            for (j, entry) in section.entries.iter().enumerate() {
                let earlier = if first == i {
                    &section.entries[..j]
                } else {
                    &self.sections[first].entries[..]
                };
                if earlier.iter().any(|other| other.key == entry.key) {
                    let key = entry.key.clone();
                    duplicates.push((section.name.clone(), key, entry.value.clone()));
                }
            }
        }
        for (section, key, value) in duplicates {
            self.problem(&section, &key, &value, "given twice");
        }
    }

    /// The line of a key; that of its section if the key is missing, or 0.
    fn line_of(&self, section: &str, key: &str) -> usize {
        let mut current = String::new();
        let mut section_line = 0;
        let mut key_line = 0;
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
            {
                current = name.to_string();
                if current == section {
                    section_line = i + 1;
                }
                continue;
            }
            let found_key = line.split(['=', ':']).next().unwrap_or("").trim();
            if current == section && !key.is_empty() && found_key == key {
                key_line = i + 1;
            }
        }
        if key_line > 0 {
            key_line
        } else {
            section_line
        }
    }
}

fn section((name, properties): (Option<String>, ini::Properties)) -> Section {
    let entries = properties.into_iter().map(|(key, value)| Entry {
        key,
        value,
        is_used: false,
    });
    Section {
        name: name.unwrap_or_default(),
        entries: entries.collect(),
    }
}
