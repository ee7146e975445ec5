//! Reads INI text into sections by a library and hides its value types.

use std::collections::BTreeMap;

use config::{Config, File, FileFormat, Value, ValueKind};

use crate::Problem;

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
