//! Parses INI text into sections of text fields, so that no other module uses the `config` crate.

use std::collections::BTreeMap;
use std::path::Path;

use config::{Config, File, FileFormat, Value, ValueKind};

use crate::{Problem, Problems};

/// One section of an INI file.
#[derive(Clone, Debug, Default)]
pub(crate) struct Section {
    /// The dotted name, as in `route.chat`.
    pub(crate) name: String,
    /// The unparsed values by field name.
    pub(crate) fields: BTreeMap<String, String>,
}

impl Section {
    /// Removes the fields without a value, so that they count as missing.
    pub(crate) fn without_empty_fields(mut self) -> Self {
        self.fields.retain(|_field, value| !value.trim().is_empty());
        self
    }
}

/// Parses all sections of an INI text, sorted by name.
pub(crate) fn read_sections(file: &str, text: &str) -> Result<Vec<Section>, Problem> {
    let syntax_problem = |error: config::ConfigError| Problem::InvalidSyntax {
        file: file.to_owned(),
        cause: error.to_string(),
    };
    let source = File::from_str(text, FileFormat::Ini);
    let config = Config::builder()
        .add_source(source)
        .build()
        .map_err(syntax_problem)?;
    let root: BTreeMap<String, Value> = config.try_deserialize().map_err(syntax_problem)?;
    let mut sections = Vec::new();
    collect_sections("", root, &mut sections);
    sections.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(sections)
}

/// Removes and returns a section; a missing section is returned empty.
pub(crate) fn take_section(sections: &mut Vec<Section>, name: &str) -> Section {
    match sections.iter().position(|section| section.name == name) {
        Some(index) => sections.remove(index),
        None => Section {
            name: name.to_owned(),
            ..Section::default()
        },
    }
}

/// Returns a problem for each remaining section.
pub(crate) fn unknown_sections(
    file: &str,
    sections: Vec<Section>,
    allowed: &'static str,
) -> impl Iterator<Item = Problem> {
    sections
        .into_iter()
        .map(move |section| Problem::UnknownSection {
            file: file.to_owned(),
            section: section.name,
            allowed,
        })
}

/// Reads a file and parses its text; `parse` gets the name and the text of the file.
pub(crate) fn read_file<T>(
    path: &Path,
    parse: impl FnOnce(&str, &str) -> Result<T, Problems>,
) -> Result<T, Problems> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => {
            let cause = error.to_string();
            Err(Problems {
                problems: vec![Problem::Unreadable { file, cause }],
            })
        }
    }
}

/// Appends a table and its nested tables to `out`.
fn collect_sections(name: &str, table: BTreeMap<String, Value>, out: &mut Vec<Section>) {
    let mut section = Section {
        name: name.to_owned(),
        fields: BTreeMap::new(),
    };
    for (key, value) in table {
        let inner_name = if name.is_empty() {
            key.clone()
        } else {
            format!("{name}.{key}")
        };
        match value.kind {
            ValueKind::Table(map) => collect_sections(&inner_name, map.into_iter().collect(), out),
            other => {
                section.fields.insert(key, other.to_string());
            }
        }
    }
    if !section.fields.is_empty() {
        out.push(section);
    }
}
