//! Parsing and validation of the routes table and the pools table.

use eelgrasshill_domain::{
    Caller, Class, Fencing, Host, Model, ModelName, OnStale, OrgName, Organisation, Pool, PoolKind,
    Repeat, Route, Row, RowKey, Tables, Target, Version,
};

use crate::reader::{SectionReader, parse_list};
use crate::section::{Section, read_sections};
use crate::{Problem, Problems};

const ROUTES_SECTIONS_HINT: &str = "[edit], [organisation.NAME] and [route.NAME]";
const POOLS_SECTIONS_HINT: &str = "[edit], [pool.NAME], [host.NAME] and [model.NAME]";
const EDIT_SECTION: &str = "edit";
const POOL_HINT: &str = "the name of a [pool.NAME] section of the pools table";

/// The routes table and the pools table as edited by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EditedTables {
    /// The rows of both tables.
    pub tables: Tables,
    /// The lower of the versions that the two files were edited from.
    pub base_version: Version,
}

/// Parses both tables and checks the references between them.
///
/// # Errors
///
/// Returns all mistakes in both files.
pub fn read_tables(
    routes_file: &str,
    routes_text: &str,
    pools_file: &str,
    pools_text: &str,
) -> Result<Tables, Problems> {
    read_edited_tables(routes_file, routes_text, pools_file, pools_text).map(|edited| edited.tables)
}

/// Parses both tables and the version that they were edited from.
///
/// # Errors
///
/// Returns all mistakes in both files.
pub fn read_edited_tables(
    routes_file: &str,
    routes_text: &str,
    pools_file: &str,
    pools_text: &str,
) -> Result<EditedTables, Problems> {
    let mut problems = Vec::new();
    let mut tables = Tables::default();
    let mut read = |file, text, allowed, read_row| {
        read_table(file, text, allowed, read_row, &mut tables, &mut problems)
    };
    let base_version = read(
        routes_file,
        routes_text,
        ROUTES_SECTIONS_HINT,
        read_routes_section as ReadRow,
    );
    let base_version = base_version.min(read(
        pools_file,
        pools_text,
        POOLS_SECTIONS_HINT,
        read_pools_section,
    ));
    if problems.is_empty()
        && let Err(errors) = tables.check_references()
    {
        problems.extend(errors.into_iter().map(|error| Problem::MissingReference {
            file: file_with_row(&error.row, routes_file, pools_file).to_owned(),
            section: error.row.to_string(),
            missing: error.missing.to_string(),
        }));
    }
    if problems.is_empty() {
        Ok(EditedTables {
            tables,
            base_version,
        })
    } else {
        Err(Problems { problems })
    }
}

fn file_with_row<'a>(row: &RowKey, routes: &'a str, pools: &'a str) -> &'a str {
    match row {
        RowKey::Organisation(_) | RowKey::Route(_) => routes,
        RowKey::Pool(_) | RowKey::Host(_) | RowKey::Model(_) => pools,
    }
}

/// Reads a section into a row, given the kind and the name in its title.
///
/// Returns `None` if a field is missing or invalid, which the reader has reported.
type ReadRow =
    fn(&str, &str, SectionReader<'_>) -> Option<Result<(RowKey, Row), SectionNotAllowed>>;

/// The section has a kind or name that its table does not allow.
struct SectionNotAllowed;

fn read_table(
    file: &str,
    text: &str,
    allowed: &'static str,
    read_row: ReadRow,
    tables: &mut Tables,
    problems: &mut Vec<Problem>,
) -> Version {
    // A table without [edit] counts as edited from version 0.
    let mut base_version = Version::default();
    let sections = match read_sections(file, text) {
        Ok(sections) => sections,
        Err(problem) => {
            problems.push(problem);
            return base_version;
        }
    };
    for section in sections {
        let name = section.name.clone();
        if name == EDIT_SECTION {
            let mut reader = SectionReader::new(file, section, problems);
            base_version = reader
                .required("from", "the version that the file was edited from")
                .map_or(base_version, Version);
            reader.report_unknown_fields();
            continue;
        }
        let (kind, row_name) = name.split_once('.').unwrap_or((&name, ""));
        match read_row(kind, row_name, create_reader(file, section, problems)) {
            Some(Ok((key, row))) => {
                // Fails only if key and row are of different kinds; the readers return one kind.
                let _same_kind = tables.set(&key, Some(row));
            }
            Some(Err(SectionNotAllowed)) => {
                let file = file.to_owned();
                problems.push(Problem::UnknownSection {
                    file,
                    section: name,
                    allowed,
                });
            }
            None => {}
        }
    }
    base_version
}

fn create_reader<'a>(
    file: &'a str,
    section: Section,
    problems: &'a mut Vec<Problem>,
) -> SectionReader<'a> {
    SectionReader::new(file, section, problems)
}

fn read_routes_section(
    kind: &str,
    name: &str,
    mut reader: SectionReader<'_>,
) -> Option<Result<(RowKey, Row), SectionNotAllowed>> {
    let keyed_row = match (kind, OrgName::new(name), name.parse()) {
        ("organisation", Ok(name), _) => {
            let row = read_organisation(&mut reader);
            row.map(|row| (RowKey::Organisation(name), Row::from(row)))
        }
        ("route", _, Ok(name)) => {
            let row = read_route(&mut reader);
            row.map(|row| (RowKey::Route(name), Row::from(row)))
        }
        _ => return Some(Err(SectionNotAllowed)),
    };
    reader.report_unknown_fields();
    keyed_row.map(Ok)
}

fn read_pools_section(
    kind: &str,
    name: &str,
    mut reader: SectionReader<'_>,
) -> Option<Result<(RowKey, Row), SectionNotAllowed>> {
    let keyed_row = match (kind, name.parse(), name.parse(), name.parse()) {
        ("pool", Ok(name), _, _) => {
            let row = read_pool(&mut reader);
            row.map(|row| (RowKey::Pool(name), Row::from(row)))
        }
        ("host", _, Ok(name), _) => {
            let row = read_host(&mut reader);
            row.map(|row| (RowKey::Host(name), Row::from(row)))
        }
        ("model", _, _, Ok(name)) => {
            let row = read_model(&mut reader);
            row.map(|row| (RowKey::Model(name), Row::from(row)))
        }
        _ => return Some(Err(SectionNotAllowed)),
    };
    reader.report_unknown_fields();
    keyed_row.map(Ok)
}

fn read_organisation(reader: &mut SectionReader<'_>) -> Option<Organisation> {
    const TOKENS_HINT: &str = "a number of tokens from 1 to 1000000000";
    let tokens = |text: &str| {
        text.parse()
            .ok()
            .filter(|n| (1..=1_000_000_000).contains(n))
    };
    let rate = reader.required_with("rate", TOKENS_HINT, tokens);
    let burst = reader.required_with("burst", TOKENS_HINT, tokens);
    let weight = reader.number("weight", "a number from 1 to 1000", 1..=1000, 1);
    // The range fits in a `u32`.
    let weight = u32::try_from(weight).unwrap_or(1);
    Some(Organisation {
        rate: rate?,
        burst: burst?,
        weight,
    })
}

fn read_route(reader: &mut SectionReader<'_>) -> Option<Route> {
    const MODELS_HINT: &str = "model names between commas, or give path";
    let caller = reader.required_with("caller", "`open` or an organisation's name", parse_caller);
    let models = reader.optional_with("models", MODELS_HINT, parse_list::<ModelName>);
    let path = reader.optional_with("path", "a path that starts with `/`", parse_path);
    let pool = reader.required("pool", POOL_HINT);
    let class = reader.required_with("class", "urgent, interactive or batch", parse_class);
    let repeat = reader.required_with("repeat", "yes or no", parse_repeat);
    let on_stale = reader.optional_with(
        "on-stale",
        "serve, or seconds from 1 to 86400",
        parse_on_stale,
    );
    let target = match (models, path) {
        (Some(models), None) if !models.is_empty() => Some(Target::Models(models)),
        (None, Some(path)) => Some(Target::Path(path)),
        // Both fields are read by now, so this reports that models is missing.
        _ => reader.required_with("models", MODELS_HINT, |_text| None),
    };
    Some(Route {
        caller: caller?,
        target: target?,
        pool: pool?,
        class: class?,
        repeat: repeat?,
        on_stale: on_stale.unwrap_or(OnStale::Serve),
    })
}

fn read_pool(reader: &mut SectionReader<'_>) -> Option<Pool> {
    let kind = reader.required_with("kind", "engines or plain", |text| match text {
        "engines" => Some(PoolKind::Engines),
        "plain" => Some(PoolKind::Plain),
        _ => None,
    });
    Some(Pool { kind: kind? })
}

fn read_host(reader: &mut SectionReader<'_>) -> Option<Host> {
    let pool = reader.required("pool", POOL_HINT);
    let zone = reader.required("zone", "the name of a zone");
    let address = reader.required("address", "an IP number and a port, as in 127.0.0.1:8080");
    let memory = reader.number("memory-mb", "MB from 0 to 100000000", 0..=100_000_000, 0);
    let accelerators = reader.number("accelerators", "a number from 0 to 1000", 0..=1000, 0);
    let fencing = reader.optional_with("fencing", "checked or ignored", |text| match text {
        "checked" => Some(Fencing::Checked),
        "ignored" => Some(Fencing::Ignored),
        _ => None,
    });
    Some(Host {
        pool: pool?,
        zone: zone?,
        address: address?,
        memory_mb: memory,
        // The range fits in a `u32`.
        accelerators: u32::try_from(accelerators).unwrap_or(0),
        fencing: fencing.unwrap_or(Fencing::Ignored),
    })
}

fn read_model(reader: &mut SectionReader<'_>) -> Option<Model> {
    let pool = reader.required("pool", POOL_HINT);
    let memory = reader.number("memory-mb", "MB from 1 to 100000000", 1..=100_000_000, 1);
    let version = reader.required("version", "a version, as in 3");
    let adapters = reader.list("adapters", "adapter names between commas");
    Some(Model {
        pool: pool?,
        memory_mb: memory,
        version: version?,
        adapters,
    })
}

fn parse_caller(text: &str) -> Option<Caller> {
    match text {
        "open" => Some(Caller::Open),
        name => OrgName::new(name).ok().map(Caller::Organisation),
    }
}

fn parse_path(text: &str) -> Option<String> {
    text.starts_with('/').then(|| text.to_owned())
}

fn parse_class(text: &str) -> Option<Class> {
    match text {
        "urgent" => Some(Class::Urgent),
        "interactive" => Some(Class::Interactive),
        "batch" => Some(Class::Batch),
        _ => None,
    }
}

fn parse_repeat(text: &str) -> Option<Repeat> {
    match text {
        "yes" => Some(Repeat::Allowed),
        "no" => Some(Repeat::Never),
        _ => None,
    }
}

fn parse_on_stale(text: &str) -> Option<OnStale> {
    if text == "serve" {
        return Some(OnStale::Serve);
    }
    text.parse()
        .ok()
        .filter(|seconds| (1..=86_400).contains(seconds))
        .map(OnStale::Refuse)
}
