//! Builders of names, rows and records for the tests of the crate.

use eelgrasshill_control::{ConfigEntry, ConfigFold, LogEntry, LogTime};
use eelgrasshill_domain::{
    AppendId, Caller, Class, ConfigRecord, Edit, KeyGrant, KeyId, KeyText, Model, ModelName,
    Offset, OnStale, OrgName, Organisation, Pool, PoolKind, PoolName, Repeat, Route, RouteName,
    Row, RowChange, RowKey, Target, Version,
};

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

pub(crate) fn model_row(at: &str) -> Row {
    Row::from(Model {
        pool: pool(at),
        memory_mb: 1000,
        version: "1".to_owned(),
        adapters: vec!["tone".parse().unwrap()],
    })
}

pub(crate) fn route(caller: Option<&str>, target: Target, at: &str) -> Route {
    Route {
        caller: caller.map_or(Caller::Open, |name| Caller::Organisation(org(name))),
        target,
        pool: pool(at),
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
    KeyText::issue(&KeyId::new(id).unwrap(), &[7; 32])
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

pub(crate) fn stored(offset: u64, id: &str, record: ConfigRecord) -> LogEntry<ConfigEntry> {
    LogEntry {
        offset: Offset(offset),
        at: LogTime(offset * 1000),
        id: AppendId::new(id).unwrap(),
        record: record.into(),
    }
}

/// Applies records with the offsets one, two and so on to a new fold.
pub(crate) fn folded(records: Vec<ConfigRecord>) -> ConfigFold {
    let mut fold = ConfigFold::new();
    for (offset, record) in (1..).zip(records) {
        fold.apply(&stored(offset, &format!("a{offset}"), record));
    }
    fold
}
