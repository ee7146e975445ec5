//! Takes the fields of a section one by one and notes every mistake.

use std::collections::BTreeMap;
use std::str::FromStr;

use crate::Problem;
use crate::section::Section;

/// The fields of one section that were not taken yet.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    file: &'a str,
    section: String,
    fields: BTreeMap<String, String>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(file: &'a str, section: Section, problems: &'a mut Vec<Problem>) -> Self {
        Self {
            file,
            section: section.name,
            fields: section.fields,
            problems,
        }
    }

    /// Takes a field that must be there.
    pub(crate) fn required<T: FromStr>(&mut self, field: &str, allowed: &'static str) -> Option<T> {
        if !self.fields.contains_key(field) {
            self.problems.push(Problem::Missing {
                file: self.file.to_owned(),
                section: self.section.clone(),
                field: field.to_owned(),
                allowed,
            });
            return None;
        }
        self.optional(field, allowed)
    }

    /// Takes a field that may be left out.
    pub(crate) fn optional<T: FromStr>(&mut self, field: &str, allowed: &'static str) -> Option<T> {
        self.optional_with(field, allowed, |text| text.parse().ok())
    }

    /// Takes a field that may be left out and that `parse` understands.
    pub(crate) fn optional_with<T>(
        &mut self,
        field: &str,
        allowed: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.fields.remove(field)?;
        let parsed = parse(value.trim());
        if parsed.is_none() {
            self.problems.push(Problem::Value {
                file: self.file.to_owned(),
                section: self.section.clone(),
                field: field.to_owned(),
                value,
                allowed,
            });
        }
        parsed
    }

    /// Takes a field that must be there and that `parse` understands.
    pub(crate) fn required_with<T>(
        &mut self,
        field: &str,
        allowed: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if !self.fields.contains_key(field) {
            return self.required::<String>(field, allowed).and(None);
        }
        self.optional_with(field, allowed, parse)
    }

    /// Takes a number within bounds, or a default where the field is left out.
    pub(crate) fn number(
        &mut self,
        field: &str,
        allowed: &'static str,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let parse = |text: &str| text.parse().ok().filter(|number| bounds.contains(number));
        self.optional_with(field, allowed, parse).unwrap_or(default)
    }

    /// Takes a list of values between commas.
    pub(crate) fn list<T: FromStr>(&mut self, field: &str, allowed: &'static str) -> Vec<T> {
        self.optional_with(field, allowed, parse_list)
            .unwrap_or_default()
    }

    /// Notes each field that nothing took.
    pub(crate) fn finish(self) {
        for field in self.fields.into_keys() {
            self.problems.push(Problem::Unknown {
                file: self.file.to_owned(),
                section: self.section.clone(),
                field,
            });
        }
    }
}

/// Splits a text at its commas and parses each part.
pub(crate) fn parse_list<T: FromStr>(text: &str) -> Option<Vec<T>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|p| p.parse().ok())
        .collect()
}
