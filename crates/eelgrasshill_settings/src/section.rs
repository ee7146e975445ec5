//! Reads INI text into sections by a library and hides its value types.

use std::collections::BTreeMap;
use std::path::Path;

use config::{Config, File, FileFormat, Value, ValueKind};

use crate::{Problem, Problems};

/// One section of a file: its dotted name and its fields as text.
#[derive(Clone, Debug, Default)]
pub(crate) struct Section {
    /// The dotted name.
    pub(crate) name: String,
    /// The fields.
    pub(crate) fields: BTreeMap<String, String>,
}

/// Reads all sections of an INI text, in order of their names.
pub(crate) fn read_sections(file: &str, text: &str) -> Result<Vec<Section>, Problem> {
    let syntax = |error: config::ConfigError| Problem::Syntax {
        file: file.to_owned(),
        cause: error.to_string(),
    };
    let source = File::from_str(text, FileFormat::Ini);
    let config = Config::builder()
        .add_source(source)
        .build()
        .map_err(syntax)?;
    let root: BTreeMap<String, Value> = config.try_deserialize().map_err(syntax)?;
    let mut sections = Vec::new();
    collect("", root, &mut sections);
    sections.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(sections)
}

/// Takes a section out; one that is not there is empty.
pub(crate) fn take_section(sections: &mut Vec<Section>, name: &str) -> Section {
    match sections.iter().position(|section| section.name == name) {
        Some(at) => sections.remove(at),
        None => Section {
            name: name.to_owned(),
            ..Section::default()
        },
    }
}

/// Returns a problem for each section that nobody took.
pub(crate) fn unknown_sections(
    file: &str,
    sections: Vec<Section>,
    allowed: &'static str,
) -> impl Iterator<Item = Problem> {
    sections.into_iter().map(move |section| Problem::Section {
        file: file.to_owned(),
        section: section.name,
        allowed,
    })
}

/// Reads a file and checks its text.
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
                list: vec![Problem::Unreadable { file, cause }],
            })
        }
    }
}

fn collect(name: &str, table: BTreeMap<String, Value>, out: &mut Vec<Section>) {
    let mut section = Section {
        name: name.to_owned(),
        fields: BTreeMap::new(),
    };
    for (key, value) in table {
        let inner = if name.is_empty() {
            key.clone()
        } else {
            format!("{name}.{key}")
        };
        match value.kind {
            ValueKind::Table(map) => collect(&inner, map.into_iter().collect(), out),
            other => {
                section.fields.insert(key, other.to_string());
            }
        }
    }
    if !section.fields.is_empty() {
        out.push(section);
    }
}
