//! The command that publishes edited tables.
//!
//! It compares the files with the version that they were edited from and publishes only the rows
//! that differ. Concurrent edits of other rows therefore do not conflict.

use std::net::SocketAddr;
use std::path::Path;

use eelgrasshill_control::ConfigFold;
use eelgrasshill_domain::{ConfigRecord, Edit, RowChange, RowKey, Version};
use eelgrasshill_settings::{EditedTables, read_edited_tables};

use crate::check::read_file;
use crate::{CommandError, LogSession};

/// Publishes two edited tables and returns the message to print.
pub(crate) async fn publish(
    log: SocketAddr,
    routes: &Path,
    pools: &Path,
    author: String,
) -> Result<String, CommandError> {
    let (routes_text, pools_text) = (read_file(routes)?, read_file(pools)?);
    let (routes, pools) = (routes.display().to_string(), pools.display().to_string());
    let edited = read_edited_tables(&routes, &routes_text, &pools, &pools_text)?;
    let mut session = LogSession::open(log).await?;
    let base_config = session.as_of(edited.base_version).await?;
    let changes = changed_rows(&edited, &base_config);
    if changes.is_empty() {
        return Ok(format!(
            "nothing changed since version {}\n",
            edited.base_version
        ));
    }
    let row_lines: Vec<_> = changes
        .iter()
        .map(|change| format!("  [{}]\n", change.key))
        .collect();
    let edit = Edit { author, changes };
    let version = session.publish(ConfigRecord::Edit(edit)).await?;
    Ok(format!(
        "accepted as version {version}:\n{}",
        row_lines.concat()
    ))
}

/// Returns the rows that differ from `base_config`, each with its version there.
pub(crate) fn changed_rows(edited: &EditedTables, base_config: &ConfigFold) -> Vec<RowChange> {
    let mut keys: Vec<RowKey> = edited.tables.keys();
    let removed = base_config
        .tables()
        .keys()
        .into_iter()
        .filter(|key| edited.tables.get(key).is_none());
    keys.extend(removed);
    keys.into_iter()
        .filter_map(|key| {
            let row = edited.tables.get(&key);
            let is_changed = row != base_config.tables().get(&key);
            let base_version = if is_changed {
                base_config.version(&key)
            } else {
                Version::default()
            };
            is_changed.then_some(RowChange {
                key,
                base: base_version,
                row,
            })
        })
        .collect()
}
