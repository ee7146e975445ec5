//! Tests of which requests are admitted, for which organisation and by which route.

use std::time::Duration;

use crate::builders::{
    change, edit, folded, issue, key_text, model, model_key, model_row, org_key, org_row, pool_key,
    pool_row, route, route_key, withdraw,
};
use eelgrasshill_control::{Access, RequestTarget};
use eelgrasshill_domain::{KeyText, OnStale, PoolKind, Row, Target};

/// The highest age of the tables for the strict route.
const MAX_AGE_SECS: u32 = 5;

/// A secret of which no key was issued.
const WRONG_SECRET: [u8; 32] = [8; 32];

fn access() -> Access {
    let models = |names: &[&str]| Target::Models(names.iter().map(|name| model(name)).collect());
    let path = |text: &str| Target::Path(text.to_owned());
    let mut strict = route(None, path("/strict"), "plain");
    strict.on_stale = OnStale::Refuse(MAX_AGE_SECS);
    let routes = [
        ("open-small", route(None, models(&["small"]), "engines")),
        (
            "a-small",
            route(Some("a"), models(&["small", "large"]), "engines"),
        ),
        ("root", route(None, path("/"), "plain")),
        ("a-van", route(Some("a"), path("/van"), "plain")),
        ("open-van", route(None, path("/van"), "plain")),
        ("b-van-book", route(Some("b"), path("/van/book"), "plain")),
        ("strict", strict),
    ];
    let mut changes = vec![
        change(org_key("a"), 0, org_row(1)),
        change(org_key("b"), 0, org_row(1)),
        change(pool_key("engines"), 0, pool_row(PoolKind::Engines)),
        change(pool_key("plain"), 0, pool_row(PoolKind::Plain)),
        change(model_key("small"), 0, model_row("engines")),
        change(model_key("large"), 0, model_row("engines")),
    ];
    changes.extend(
        routes
            .into_iter()
            .map(|(name, row)| change(route_key(name), 0, Some(Row::from(row)))),
    );
    Access::new(&folded(vec![
        edit(changes),
        issue("ka", "a"),
        issue("kb", "b"),
        issue("old", "a"),
        withdraw("old"),
    ]))
}

struct Case {
    name: &'static str,
    /// Key id; empty for no key, "forged" for the id "ka" with a wrong secret.
    key: &'static str,
    /// "m NAME" for a model, otherwise a path.
    target: &'static str,
    age_secs: u64,
    /// Name of the route, or the debug text of the refusal.
    expect: &'static str,
}

impl Case {
    const fn new(
        name: &'static str,
        key: &'static str,
        target: &'static str,
        expect: &'static str,
    ) -> Self {
        let age_secs = 0;
        Self {
            name,
            key,
            target,
            age_secs,
            expect,
        }
    }

    const fn with_age(mut self, age_secs: u64) -> Self {
        self.age_secs = age_secs;
        self
    }
}

const FORBIDDEN_TO_A: &str = "Forbidden { organisation: OrgName(\"a\") }";
const FORBIDDEN_TO_B: &str = "Forbidden { organisation: OrgName(\"b\") }";
const STALE: &str = "Stale { age: 6s, max_age: 5s }";
const MISSING: &str = "Unauthorized(Missing)";
const UNKNOWN: &str = "Unauthorized(Unknown)";
const WITHDRAWN: &str = "Unauthorized(Withdrawn)";
const SEGMENT: &str = "Path(Segment)";
const SEPARATOR: &str = "Path(Separator)";
const RELATIVE: &str = "Path(Relative)";
const NO_MODEL: &str = "UnknownModel";

const CASES: [Case; 28] = [
    Case::new("own route before open route", "ka", "m small", "a-small"),
    Case::new("open route, other key", "kb", "m small", "open-small"),
    Case::new("open route, no key", "", "m small", "open-small"),
    Case::new("adapter", "ka", "m large:tone", "a-small"),
    Case::new("unknown adapter", "ka", "m large:x", NO_MODEL),
    Case::new("unknown model", "ka", "m huge", NO_MODEL),
    Case::new("model of another", "kb", "m large", FORBIDDEN_TO_B),
    Case::new("no key", "", "m large", MISSING),
    Case::new("key with wrong secret", "forged", "m large", UNKNOWN),
    Case::new("key never issued", "kx", "m large", UNKNOWN),
    Case::new("withdrawn key", "old", "m large", WITHDRAWN),
    Case::new("withdrawn key, open route", "old", "/", WITHDRAWN),
    Case::new("wrong secret, open route", "forged", "/x", "root"),
    Case::new("own prefix", "ka", "/van/1", "a-van"),
    Case::new("open prefix", "kb", "/van/1", "open-van"),
    Case::new("longest prefix", "kb", "/van/book/1", "b-van-book"),
    Case::new("no fallback prefix", "ka", "/van/book/1", FORBIDDEN_TO_A),
    Case::new("encoded letter", "ka", "/van/%62ook/1", FORBIDDEN_TO_A),
    Case::new("dot segments", "ka", "/x/../van/book", SEGMENT),
    Case::new("encoded dot segments", "ka", "/x/%2E%2e/van", SEGMENT),
    Case::new("empty segment", "ka", "//van/book", SEGMENT),
    Case::new("encoded slash", "ka", "/van%2fbook", SEPARATOR),
    Case::new("double encoding", "ka", "/van/%2562ook", SEPARATOR),
    Case::new("incomplete escape", "ka", "/van/%6", SEPARATOR),
    Case::new("relative path", "ka", "van", RELATIVE),
    Case::new("tables at the age limit", "", "/strict", "strict").with_age(5),
    Case::new("tables too old", "", "/strict", STALE).with_age(6),
    Case::new("no age limit", "ka", "/van", "a-van").with_age(9999),
];

#[test]
fn resolve_returns_expected_route_or_refusal() {
    let access = access();
    for case in CASES {
        let key = match case.key {
            "" => None,
            "forged" => Some(KeyText::issue(&"ka".parse().unwrap(), &WRONG_SECRET)),
            id => Some(key_text(id)),
        };
        let target = case
            .target
            .strip_prefix("m ")
            .map_or(RequestTarget::Path(case.target), RequestTarget::Model);
        let got = access.resolve(key.as_ref(), target, Duration::from_secs(case.age_secs));
        let got = got.map_or_else(|e| format!("{e:?}"), |grant| grant.route_name.to_string());
        assert_eq!(got, case.expect, "{}", case.name);
    }
}

#[test]
fn invalid_key_on_an_open_route_grants_no_organisation() {
    let forged = KeyText::issue(&"ka".parse().unwrap(), &WRONG_SECRET);
    let got = access().resolve(Some(&forged), RequestTarget::Model("small"), Duration::ZERO);
    let grant = got.unwrap();
    assert_eq!((grant.organisation, grant.key), (None, None));
}

/// Guards against encoded or unnormalised paths that reach a route of another prefix.
///
/// A path below `/van/book` must not be admitted by the open route of `/van`, and
/// no path below `/van` may reach the open route of `/`.
#[test]
fn generated_paths_stay_within_their_prefix() {
    let access = access();
    bolero::check!()
        .with_type::<Vec<u8>>()
        .with_iterations(2000)
        .for_each(|bytes| {
            let parts = [
                "/", "van", "book", ".", "..", "%2e", "%2F", "%62", "ook", "//", "x",
            ];
            let path: String = bytes
                .iter()
                .take(12)
                .map(|byte| parts[usize::from(*byte) % parts.len()])
                .collect();
            let path = format!("/van/{path}");
            let got = access.resolve(None, RequestTarget::Path(&path), Duration::ZERO);
            let is_inside = match got {
                Ok(grant) => grant.route_name.as_str() == "open-van",
                Err(_) => true,
            };
            assert!(is_inside, "{path} was admitted outside /van");
            let is_book = path.replace("%62", "b").starts_with("/van/book");
            let admitted = access
                .resolve(None, RequestTarget::Path(&path), Duration::ZERO)
                .is_ok();
            assert!(
                !(is_book && admitted),
                "{path} was admitted, although /van/book has no open route"
            );
        });
}
