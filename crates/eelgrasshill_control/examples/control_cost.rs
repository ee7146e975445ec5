//! Measures the time and memory of configuration, membership and claims.
//!
//! `cargo run --release -p eelgrasshill_control --example control_cost` prints CSV
//! with one row per number of entry hosts and measured quantity.

use std::{hint::black_box, time::Duration, time::Instant};

use eelgrasshill_control::{
    Access, Body, CallDigest, CallKey, CallOutcome, CallRequest, CatchUp, Checkpoint, ClaimBounds,
    ClaimWriter, ConfigEntry, ConfigFold, Delta, ListedHost, LogEntry, LogTime, Members, Process,
    RequestTarget, Requester, RequesterEffect, RunResult, WriterEffect,
};
use eelgrasshill_domain::{
    AppendId, Caller, Class, ConfigRecord, Edit, Fencing, Host, HostName, Incarnation, KeyGrant,
    KeyId, KeyText, Model, ModelName, Moment, NameError, Offset, OnStale, OrgName, Organisation,
    Pool, PoolKind, PoolName, Repeat, RequestId, Route, RouteName, Row, RowChange, RowKey,
    StreamName, Target, Version, ZoneName,
};

const UPSTREAM_HOSTS: usize = 600;
const MODELS: usize = 1900;
const MODEL_MEMORY_MB: u64 = 14_000;
const HOST_MEMORY_MB: u64 = 80_000;
const KEY_SECRET: [u8; 32] = [7; 32];
const EDITS: u64 = 570;
const POOLS: usize = 12;
const ORGANISATIONS: usize = 50;
const KEYS: usize = 200;
const MODELS_PER_ROUTE: usize = 10;
const ROUNDS: u32 = 20;
const CLAIMS: u64 = 100_000;
const CLAIMS_PER_BATCH: usize = 64;
const RETENTION: Duration = Duration::from_hours(24);

fn org(number: usize) -> Result<OrgName, NameError> {
    OrgName::new(&format!("organisation-{}", number % ORGANISATIONS))
}

fn pool(number: usize) -> Result<PoolName, NameError> {
    PoolName::new(&format!("pool-{}", number % POOLS))
}

fn model(number: usize) -> Result<ModelName, NameError> {
    ModelName::new(&format!("model-{number}"))
}

fn model_row(number: usize, version: u64) -> Result<Row, NameError> {
    Ok(Row::from(Model {
        pool: pool(number / MODELS_PER_ROUTE)?,
        memory_mb: MODEL_MEMORY_MB,
        version: format!("2026-{version}"),
        adapters: vec!["tone".parse()?, "terse".parse()?],
    }))
}

fn route_row(number: usize) -> Result<Row, NameError> {
    let first = number * MODELS_PER_ROUTE;
    let models: Result<_, _> = (first..first + MODELS_PER_ROUTE).map(model).collect();
    Ok(Row::from(Route {
        caller: Caller::Organisation(org(number)?),
        target: Target::Models(models?),
        pool: pool(number)?,
        class: Class::Interactive,
        repeat: Repeat::Allowed,
        on_stale: OnStale::Serve,
    }))
}

fn host_row(number: usize) -> Result<Row, NameError> {
    let address = std::net::Ipv4Addr::from(0x0a01_0000 + u32::try_from(number).unwrap_or(0));
    Ok(Row::from(Host {
        pool: pool(number)?,
        zone: ZoneName::new(&format!("zone-{}", number % 3))?,
        address: (address, 8000).into(),
        memory_mb: HOST_MEMORY_MB,
        accelerators: 1,
        fencing: Fencing::Checked,
    }))
}

fn rows() -> Result<Vec<(RowKey, Row)>, NameError> {
    let mut rows = Vec::new();
    for number in 0..ORGANISATIONS {
        let row = Organisation {
            rate: 1000,
            burst: 9000,
            weight: 1,
        };
        rows.push((RowKey::Organisation(org(number)?), Row::from(row)));
    }
    for number in 0..POOLS {
        let kind = PoolKind::Engines;
        rows.push((RowKey::Pool(pool(number)?), Row::from(Pool { kind })));
    }
    for number in 0..UPSTREAM_HOSTS {
        let name = HostName::new(&format!("upstream-{number}"))?;
        rows.push((RowKey::Host(name), host_row(number)?));
    }
    for number in 0..MODELS {
        rows.push((RowKey::Model(model(number)?), model_row(number, 0)?));
    }
    for number in 0..MODELS / MODELS_PER_ROUTE {
        let name = RouteName::new(&format!("route-{number}"))?;
        rows.push((RowKey::Route(name), route_row(number)?));
    }
    Ok(rows)
}

fn entry_at(offset: u64, record: ConfigRecord) -> Result<LogEntry<ConfigEntry>, NameError> {
    Ok(LogEntry {
        offset: Offset(offset),
        at: LogTime(offset),
        id: AppendId::new(&format!("operator-{offset}"))?,
        record: record.into(),
    })
}

fn edit(changes: Vec<RowChange>) -> ConfigRecord {
    ConfigRecord::Edit(Edit {
        author: "operator".to_owned(),
        changes,
    })
}

/// Returns a fold with the initial tables, added by one edit, and the keys.
fn initial_config() -> Result<ConfigFold, NameError> {
    let mut fold = ConfigFold::new();
    let changes = rows()?
        .into_iter()
        .map(|(key, row)| RowChange {
            key,
            base: Version(0),
            row: Some(row),
        })
        .collect();
    fold.apply(&entry_at(1, edit(changes))?);
    for number in 0..KEYS {
        let id = KeyId::new(&format!("key-{number}"))?;
        let digest = KeyText::issue(&id, &KEY_SECRET).digest();
        let grant = KeyGrant {
            digest,
            organisation: org(number)?,
        };
        let offset = fold.last().next().0;
        fold.apply(&entry_at(offset, ConfigRecord::IssueKey { id, grant })?);
    }
    Ok(fold)
}

/// Returns edits of one row each, which set new versions of models.
fn edits(fold: &ConfigFold) -> Result<Vec<LogEntry<ConfigEntry>>, NameError> {
    let first = fold.last().next().0;
    (first..first + EDITS)
        .map(|offset| {
            let number = usize::try_from(offset * 7).unwrap_or(0) % MODELS;
            let key = RowKey::Model(model(number)?);
            let base = fold.version(&key);
            let row = Some(model_row(number, offset)?);
            entry_at(offset, edit(vec![RowChange { key, base, row }]))
        })
        .collect()
}

/// Returns the mean time of one round in nanoseconds.
fn mean_nanos<T>(rounds: u32, mut work: impl FnMut() -> T) -> u128 {
    let start = Instant::now();
    for _ in 0..rounds {
        black_box(work());
    }
    start.elapsed().as_nanos() / u128::from(rounds)
}

/// Returns the resident memory of the process in bytes, as reported by the kernel.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|t| t.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

/// Returns the resident memory per configuration state, averaged over several copies.
fn state_bytes(json: &[u8]) -> Result<u64, serde_json::Error> {
    let bytes_before = resident_bytes();
    let mut folds = Vec::new();
    for _ in 0..ROUNDS {
        let checkpoint: Checkpoint = serde_json::from_slice(json)?;
        let mut fold = ConfigFold::new();
        fold.adopt(&checkpoint);
        folds.push(fold);
    }
    let bytes = (resident_bytes() - bytes_before) / u64::from(ROUNDS);
    // If the memory were freed, later measurements would reuse it and show no growth.
    std::mem::forget(folds);
    Ok(bytes)
}

fn print_row(members: usize, quantity: &str, value: impl std::fmt::Display, unit: &str) {
    println!("{members},{quantity},{value},{unit}");
}

/// Measures the configuration fold, its serialised forms and the access index.
///
/// The result does not depend on the number of members. It is repeated to show the spread.
fn measure_config(members: usize) -> Result<(), Box<dyn std::error::Error>> {
    let initial_fold = initial_config()?;
    let edits = edits(&initial_fold)?;
    let mut fold = initial_fold;
    let start = Instant::now();
    for stored in &edits {
        fold.apply(stored);
    }
    let nanos_per_edit = start.elapsed().as_nanos() / u128::from(EDITS);
    print_row(members, "fold of one edit", nanos_per_edit, "ns");
    let checkpoint = fold.checkpoint();
    let json = serde_json::to_vec(&checkpoint)?;
    print_row(members, "checkpoint", json.len(), "bytes");
    print_row(members, "state in memory", state_bytes(&json)?, "bytes");
    let CatchUp::Delta(delta) = fold.since(Offset(fold.last().0 - 1)) else {
        return Err("expected a delta for one edit, got a checkpoint".into());
    };
    print_row(
        members,
        "delta of one edit",
        serde_json::to_vec(&delta)?.len(),
        "bytes",
    );
    print_row(
        members,
        "make a checkpoint",
        mean_nanos(ROUNDS, || fold.checkpoint()),
        "ns",
    );
    print_row(
        members,
        "digest",
        mean_nanos(ROUNDS, || fold.digest()),
        "ns",
    );
    print_row(
        members,
        "build the index",
        mean_nanos(ROUNDS, || Access::new(&fold)),
        "ns",
    );
    let access = Access::new(&fold);
    let key = KeyText::issue(&KeyId::new("key-3")?, &KEY_SECRET);
    let target = RequestTarget::Model("model-33:tone");
    let lookup_nanos = mean_nanos(100_000, || {
        access.resolve(Some(&key), target, Duration::ZERO)
    });
    print_row(members, "lookup of key and route", lookup_nanos, "ns");
    Ok(())
}

/// Measures the planning of followed hosts and the choice of writers.
fn measure_membership(count: usize) -> Result<(), Box<dyn std::error::Error>> {
    let process = |number: usize| Process {
        address: (
            std::net::Ipv4Addr::from(0x0a00_0000 + u32::try_from(number).unwrap_or(0)),
            7000,
        )
            .into(),
        incarnation: Incarnation(1),
    };
    let zone = |number: usize| ZoneName::new(&format!("zone-{}", number % 3));
    let listed_hosts: Result<Vec<_>, NameError> = (0..count)
        .map(|number| {
            Ok(ListedHost {
                host: HostName::new(&format!("entry-{number}"))?,
                zone: zone(number)?,
                address: process(number).address,
                leaving: false,
            })
        })
        .collect();
    let listed_hosts = listed_hosts?;
    let mut members = Members::new(HostName::new("entry-0")?, zone(0)?, process(0));
    members.update_list(&listed_hosts, Moment(0));
    print_row(
        count,
        "plan whom to follow",
        mean_nanos(200, || members.plan(Moment(0))),
        "ns",
    );
    print_row(
        count,
        "writers of a shard",
        mean_nanos(200, || members.writers(3, Moment(0))),
        "ns",
    );
    let follows = members.plan(Moment(0)).follows.len();
    print_row(count, "hosts followed by a reader", follows, "hosts");
    Ok(())
}

/// Measures claims from the arrival of the call to the recorded outcome, in batches.
///
/// The result does not depend on the number of members. It is repeated to show the spread.
fn measure_claims(members: usize) -> Result<(), Box<dyn std::error::Error>> {
    let process = Process {
        address: "10.0.0.1:7000".parse()?,
        incarnation: Incarnation(1),
    };
    let mut bounds = ClaimBounds::new(RETENTION);
    bounds.append_interval = Duration::ZERO;
    // The batch is never full, so it is appended after the delay.
    bounds.batch_records = CLAIMS_PER_BATCH + 1;
    let batch_delay = bounds.batch_delay;
    let mut requester = Requester::new(HostName::new("entry-0")?, process, bounds.clone());
    let mut writer = ClaimWriter::new(StreamName::new("claims-0")?, process, bounds);
    let mut offset = 0;
    let mut bytes = 0;
    let mut appends = 0;
    let bytes_before = resident_bytes();
    let start = Instant::now();
    let rounds = CLAIMS / CLAIMS_PER_BATCH as u64;
    for round in 0..rounds {
        let mut now = Moment((round + 1) * 100);
        let mut requester_effects = Vec::new();
        for number in 0..CLAIMS_PER_BATCH {
            let text = format!("{round}-{number}");
            let call = CallRequest {
                request: RequestId::new(&text)?,
                key: CallKey::new(None, &text),
                organisation: None,
                digest: CallDigest::new(&[text.as_bytes()]),
            };
            requester_effects.extend(requester.begin(call, now));
        }
        while !requester_effects.is_empty() {
            for effect in std::mem::take(&mut requester_effects) {
                if let RequesterEffect::Submit { record, .. } = effect {
                    writer.submit(record, now);
                }
            }
            // The first pass appends the claims, the second their outcomes.
            now = now.after(batch_delay);
            let effects = append_and_read_back(&mut writer, &mut offset, &mut bytes, now)?;
            appends += 1;
            for effect in effects {
                match effect {
                    WriterEffect::Decided(id, verdict) => {
                        requester.handle_verdict(id, &verdict, |_process| false, now);
                        let outcome = CallOutcome::Answered {
                            status: 201,
                            media_type: "application/json".to_owned(),
                            body: Body::new(b"{\"reservation\":\"12345678\"}"),
                        };
                        requester_effects.extend(requester.handle_run_result(
                            id,
                            RunResult::Answered(outcome),
                            now,
                        ));
                    }
                    WriterEffect::Recorded(id) => requester.mark_recorded(id),
                    WriterEffect::Append { .. } | WriterEffect::Read { .. } => {}
                }
            }
        }
    }
    let claim_count = rounds * CLAIMS_PER_BATCH as u64;
    print_row(
        members,
        "claim from call to outcome",
        start.elapsed().as_nanos() / u128::from(claim_count),
        "ns",
    );
    print_row(
        members,
        "claim and outcome in the log",
        bytes / claim_count,
        "bytes",
    );
    print_row(
        members,
        "appends for 1000 claims",
        appends * 1000 / claim_count,
        "appends",
    );
    print_row(members, "claims remembered", writer.fold().len(), "keys");
    print_row(
        members,
        "claim in memory",
        (resident_bytes() - bytes_before) / claim_count,
        "bytes",
    );
    std::mem::forget(writer);
    Ok(())
}

/// Simulates the log: accepts the writer's batch and returns it in a page.
fn append_and_read_back(
    writer: &mut ClaimWriter,
    offset: &mut u64,
    bytes: &mut u64,
    now: Moment,
) -> Result<Vec<WriterEffect>, Box<dyn std::error::Error>> {
    let mut pending = None;
    for effect in writer.tick(now) {
        if let WriterEffect::Append { id, batch, .. } = effect {
            pending = Some((id, batch));
        }
    }
    let (id, batch) = pending.ok_or("expected an append of the writer, got none")?;
    *offset += 1;
    *bytes += serde_json::to_vec(&*batch)?.len() as u64;
    writer.handle_answer(&id, Ok(Offset(*offset)), now);
    let stored = LogEntry {
        offset: Offset(*offset),
        at: LogTime(now.0),
        id,
        record: (*batch).clone(),
    };
    let page = Delta::new(Offset(*offset), vec![stored]);
    Ok(writer.handle_page(Offset(1), LogTime(0), &page, true, now))
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("members,quantity,value,unit");
    for members in [20, 100, 200, 400] {
        measure_config(members)?;
        measure_membership(members)?;
        measure_claims(members)?;
    }
    Ok(())
}
