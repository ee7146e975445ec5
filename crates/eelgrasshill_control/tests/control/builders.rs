//! Builders of names, rows and records for the tests of the crate.

use eelgrasshill_control::{ConfigEntry, ConfigFold, LogEntry, LogTime};
use eelgrasshill_domain::{
    AppendId, Caller, Class, ConfigRecord, Edit, KeyGrant, KeyId, KeyText, Model, ModelName,
    Offset, OnStale, OrgName, Organisation, Pool, PoolKind, PoolName, Repeat, Route, RouteName,
    Row, RowChange, RowKey, Target, Version,
};

/// The time between the log times of two entries.
pub(crate) const MS_PER_OFFSET: u64 = 1000;

const MODEL_MEMORY_MB: u64 = 1000;

/// The secret of every issued key.
const KEY_SECRET: [u8; 32] = [7; 32];

pub(crate) fn org(name: &str) -> OrgName {
    OrgName::new(name).unwrap()
}

pub(crate) fn pool(name: &str) -> PoolName {
    PoolName::new(name).unwrap()
}

pub(crate) fn model(name: &str) -> ModelName {
    ModelName::new(name).unwrap()
}

pub(crate) fn org_key(name: &str) -> RowKey {
    RowKey::Organisation(org(name))
}

pub(crate) fn pool_key(name: &str) -> RowKey {
    RowKey::Pool(pool(name))
}

pub(crate) fn model_key(name: &str) -> RowKey {
    RowKey::Model(model(name))
}

pub(crate) fn route_key(name: &str) -> RowKey {
    RowKey::Route(RouteName::new(name).unwrap())
}

pub(crate) fn org_row(rate: u64) -> Row {
    Row::from(Organisation {
        rate,
        burst: rate * 10,
        weight: 1,
    })
}

pub(crate) fn pool_row(kind: PoolKind) -> Row {
    Row::from(Pool { kind })
}

pub(crate) fn model_row(pool_name: &str) -> Row {
    Row::from(Model {
        pool: pool(pool_name),
        memory_mb: MODEL_MEMORY_MB,
        version: "1".to_owned(),
        adapters: vec!["tone".parse().unwrap()],
    })
}

pub(crate) fn route(caller: Option<&str>, target: Target, pool_name: &str) -> Route {
    Route {
        caller: caller.map_or(Caller::Open, |name| Caller::Organisation(org(name))),
        target,
        pool: pool(pool_name),
        class: Class::Interactive,
        repeat: Repeat::Never,
        on_stale: OnStale::Serve,
    }
}

pub(crate) fn change(key: RowKey, base: u64, row: impl Into<Option<Row>>) -> RowChange {
    RowChange {
        key,
        base: Version(base),
        row: row.into(),
    }
}

pub(crate) fn edit(changes: Vec<RowChange>) -> ConfigRecord {
    ConfigRecord::Edit(Edit {
        author: "operator".to_owned(),
        changes,
    })
}

pub(crate) fn key_text(id: &str) -> KeyText {
    KeyText::issue(&KeyId::new(id).unwrap(), &KEY_SECRET)
}

pub(crate) fn issue(id: &str, organisation: &str) -> ConfigRecord {
    ConfigRecord::IssueKey {
        id: KeyId::new(id).unwrap(),
        grant: KeyGrant {
            digest: key_text(id).digest(),
            organisation: org(organisation),
        },
    }
}

pub(crate) fn withdraw(id: &str) -> ConfigRecord {
    ConfigRecord::WithdrawKey {
        id: KeyId::new(id).unwrap(),
    }
}

/// Returns a log entry whose log time is `offset` seconds.
pub(crate) fn entry_at(offset: u64, id: &str, record: ConfigRecord) -> LogEntry<ConfigEntry> {
    LogEntry {
        offset: Offset(offset),
        at: LogTime(offset * MS_PER_OFFSET),
        id: AppendId::new(id).unwrap(),
        record: record.into(),
    }
}

/// Applies records with the offsets one, two and so on to a new fold.
pub(crate) fn folded(records: Vec<ConfigRecord>) -> ConfigFold {
    let mut fold = ConfigFold::new();
    for (offset, record) in (1..).zip(records) {
        fold.apply(&entry_at(offset, &format!("a{offset}"), record));
    }
    fold
}
