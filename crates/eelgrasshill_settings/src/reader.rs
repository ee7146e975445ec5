//! Reads the fields of a section one by one and collects every mistake.
//!
//! A read field is removed, so the fields that remain at the end are the unknown ones.

use std::collections::BTreeMap;
use std::str::FromStr;

use eelgrasshill_domain::BudgetError;

use crate::Problem;
use crate::section::Section;

/// The fields of one section that were not read yet.
#[derive(Debug)]
pub(crate) struct SectionReader<'a> {
    file: &'a str,
    section: String,
    fields: BTreeMap<String, String>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader; `file` is the name used in error messages.
    pub(crate) fn new(file: &'a str, section: Section, problems: &'a mut Vec<Problem>) -> Self {
        Self {
            file,
            section: section.name,
            fields: section.fields,
            problems,
        }
    }

    /// Reads a required field; `allowed` describes the allowed values in error messages.
    pub(crate) fn required<T: FromStr>(&mut self, field: &str, allowed: &'static str) -> Option<T> {
        if !self.fields.contains_key(field) {
            self.problems.push(Problem::MissingField {
                file: self.file.to_owned(),
                section: self.section.clone(),
                field: field.to_owned(),
                allowed,
            });
            return None;
        }
        self.optional(field, allowed)
    }

    /// Reads an optional field.
    pub(crate) fn optional<T: FromStr>(&mut self, field: &str, allowed: &'static str) -> Option<T> {
        self.optional_with(field, allowed, |text| text.parse().ok())
    }

    /// Reads an optional field with the given parser.
    pub(crate) fn optional_with<T>(
        &mut self,
        field: &str,
        allowed: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.fields.remove(field)?;
        let parsed = parse(value.trim());
        if parsed.is_none() {
            self.problems.push(Problem::InvalidValue {
                file: self.file.to_owned(),
                section: self.section.clone(),
                field: field.to_owned(),
                value,
                allowed,
            });
        }
        parsed
    }

    /// Reads a required field with the given parser.
    pub(crate) fn required_with<T>(
        &mut self,
        field: &str,
        allowed: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if !self.fields.contains_key(field) {
            // Reports the missing field; the type does not matter, since there is no value.
            return self.required::<String>(field, allowed).and(None);
        }
        self.optional_with(field, allowed, parse)
    }

    /// Reads a number within a range; a missing or invalid field gives the default.
    pub(crate) fn number(
        &mut self,
        field: &str,
        allowed: &'static str,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let parse = |text: &str| text.parse().ok().filter(|number| range.contains(number));
        self.optional_with(field, allowed, parse).unwrap_or(default)
    }

    /// Reads an optional quantity; one above the range is replaced by the highest.
    ///
    /// Reports a quantity below the range.
    pub(crate) fn quantity(
        &mut self,
        field: &str,
        allowed: &'static str,
        range: std::ops::RangeInclusive<f64>,
    ) -> Option<f64> {
        self.optional_with(field, allowed, |text| {
            let number: f64 = text.parse().ok()?;
            // Not a number is in no range.
            (number >= *range.start()).then(|| number.min(*range.end()))
        })
    }

    /// Reads a comma-separated list.
    pub(crate) fn list<T: FromStr>(&mut self, field: &str, allowed: &'static str) -> Vec<T> {
        self.optional_with(field, allowed, parse_list)
            .unwrap_or_default()
    }

    /// Reports a field with whose value the parts of the host do not fit in its machine.
    pub(crate) fn report_over_budget(&mut self, field: &str, cause: &BudgetError) {
        self.problems.push(Problem::OverBudget {
            file: self.file.to_owned(),
            section: self.section.clone(),
            field: field.to_owned(),
            cause: cause.clone(),
        });
    }

    /// Reports each remaining field as unknown.
    pub(crate) fn report_unknown_fields(self) {
        for field in self.fields.into_keys() {
            self.problems.push(Problem::UnknownField {
                file: self.file.to_owned(),
                section: self.section.clone(),
                field,
            });
        }
    }
}

/// Parses a comma-separated list, or returns `None` if any part is invalid.
pub(crate) fn parse_list<T: FromStr>(text: &str) -> Option<Vec<T>> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().ok())
        .collect()
}
