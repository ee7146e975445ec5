//! The command that validates files without any connection.

use std::path::{Path, PathBuf};

use eelgrasshill_settings::{EntrySettings, Problem, Problems, read_tables};

use crate::CommandError;

/// Reads a file and reports a failure as a mistake in the files.
pub(crate) fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        let file = path.display().to_string();
        let cause = error.to_string();
        Problems {
            problems: vec![Problem::Unreadable { file, cause }],
        }
        .into()
    })
}

/// Validates the given files; both tables must be given together.
pub(crate) fn check(
    routes: Option<PathBuf>,
    pools: Option<PathBuf>,
    entry: Option<PathBuf>,
) -> Result<String, CommandError> {
    let mut text = String::new();
    if let Some(entry) = entry {
        let settings = EntrySettings::read(&entry)?;
        text += &format!("{}: host {} is valid\n", entry.display(), settings.name);
    }
    match (routes, pools) {
        (Some(routes), Some(pools)) => {
            let (routes_text, pools_text) = (read_file(&routes)?, read_file(&pools)?);
            let (routes, pools) = (routes.display().to_string(), pools.display().to_string());
            let tables = read_tables(&routes, &routes_text, &pools, &pools_text)?;
            text += &format!(
                "{routes}: {} organisations and {} routes are valid\n",
                tables.organisations.len(),
                tables.routes.len()
            );
            text += &format!(
                "{pools}: {} pools, {} hosts and {} models are valid\n",
                tables.pools.len(),
                tables.hosts.len(),
                tables.models.len()
            );
        }
        (None, None) if !text.is_empty() => {}
        _ => text += "nothing more is checked: give --routes and --pools together\n",
    }
    Ok(text)
}
