//! Which requests are admitted, for whom, and by which route.

use std::time::Duration;

use crate::make::{
    change, edit, folded, issue, key_text, model, model_key, model_row, org, org_key, org_row,
    pool_key, pool_row, route, route_key, withdraw,
};
use eelgrasshill_control::{Access, Ask, KeyError, PathError, Refusal};
use eelgrasshill_domain::{KeyText, OnStale, PoolKind, Row, Target};

fn access() -> Access {
    let models = |names: &[&str]| Target::Models(names.iter().map(|name| model(name)).collect());
    let path = |text: &str| Target::Path(text.to_owned());
    let mut strict = route(None, path("/strict"), "plain");
    strict.on_stale = OnStale::Refuse(5);
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
    key: Option<KeyText>,
    ask: Ask<'static>,
    age: u64,
    expect: Result<&'static str, Refusal>,
}

#[test]
#[expect(clippy::too_many_lines, reason = "it is one table of cases")]
fn resolves_by_table() {
    let ka = || Some(key_text("ka"));
    let kb = || Some(key_text("kb"));
    let forged = || Some(KeyText::issue(&"ka".parse().unwrap(), &[8; 32]));
    let case = |name, key, ask, expect| Case {
        name,
        key,
        ask,
        age: 0,
        expect,
    };
    let unauthorized = |error| Err(Refusal::Unauthorized(error));
    let forbidden = |name| {
        Err(Refusal::Forbidden {
            organisation: org(name),
        })
    };
    let stale = Refusal::Stale {
        age: Duration::from_secs(6),
        bound: Duration::from_secs(5),
    };
    let cases = [
        case("own before open", ka(), Ask::Model("small"), Ok("a-small")),
        case(
            "open for another",
            kb(),
            Ask::Model("small"),
            Ok("open-small"),
        ),
        case(
            "open without key",
            None,
            Ask::Model("small"),
            Ok("open-small"),
        ),
        case("adapter", ka(), Ask::Model("large:tone"), Ok("a-small")),
        case(
            "unknown adapter",
            ka(),
            Ask::Model("large:x"),
            Err(Refusal::UnknownModel),
        ),
        case(
            "unknown model",
            ka(),
            Ask::Model("huge"),
            Err(Refusal::UnknownModel),
        ),
        case("other's model", kb(), Ask::Model("large"), forbidden("b")),
        case(
            "no key",
            None,
            Ask::Model("large"),
            unauthorized(KeyError::Missing),
        ),
        case(
            "forged",
            forged(),
            Ask::Model("large"),
            unauthorized(KeyError::Unknown),
        ),
        case(
            "never issued",
            Some(key_text("kx")),
            Ask::Model("large"),
            unauthorized(KeyError::Unknown),
        ),
        case(
            "withdrawn",
            Some(key_text("old")),
            Ask::Model("large"),
            unauthorized(KeyError::Withdrawn),
        ),
        case(
            "withdrawn on open",
            Some(key_text("old")),
            Ask::Path("/"),
            unauthorized(KeyError::Withdrawn),
        ),
        case("unknown key on open", forged(), Ask::Path("/x"), Ok("root")),
        case("own prefix", ka(), Ask::Path("/van/1"), Ok("a-van")),
        case("open prefix", kb(), Ask::Path("/van/1"), Ok("open-van")),
        case(
            "longest prefix",
            kb(),
            Ask::Path("/van/book/1"),
            Ok("b-van-book"),
        ),
        case(
            "no way round",
            ka(),
            Ask::Path("/van/book/1"),
            forbidden("a"),
        ),
        case(
            "encoded prefix",
            ka(),
            Ask::Path("/van/%62ook/1"),
            forbidden("a"),
        ),
        case(
            "dots",
            ka(),
            Ask::Path("/x/../van/book"),
            Err(Refusal::Path(PathError::Segment)),
        ),
        case(
            "encoded dots",
            ka(),
            Ask::Path("/x/%2E%2e/van"),
            Err(Refusal::Path(PathError::Segment)),
        ),
        case(
            "double slash",
            ka(),
            Ask::Path("//van/book"),
            Err(Refusal::Path(PathError::Segment)),
        ),
        case(
            "encoded slash",
            ka(),
            Ask::Path("/van%2fbook"),
            Err(Refusal::Path(PathError::Separator)),
        ),
        case(
            "double encoding",
            ka(),
            Ask::Path("/van/%2562ook"),
            Err(Refusal::Path(PathError::Separator)),
        ),
        case(
            "broken escape",
            ka(),
            Ask::Path("/van/%6"),
            Err(Refusal::Path(PathError::Separator)),
        ),
        case(
            "relative",
            ka(),
            Ask::Path("van"),
            Err(Refusal::Path(PathError::Relative)),
        ),
        Case {
            age: 5,
            ..case("at the bound", None, Ask::Path("/strict"), Ok("strict"))
        },
        Case {
            age: 6,
            ..case("stale", None, Ask::Path("/strict"), Err(stale))
        },
        Case {
            age: 9999,
            ..case("served stale", ka(), Ask::Path("/van"), Ok("a-van"))
        },
    ];
    let access = access();
    for case in cases {
        let got = access.resolve(case.key.as_ref(), case.ask, Duration::from_secs(case.age));
        let got = got.map(|grant| grant.name.to_string());
        assert_eq!(got, case.expect.map(str::to_owned), "{}", case.name);
    }
}

#[test]
fn an_open_route_runs_for_nobody_with_a_key_that_does_not_count() {
    let forged = KeyText::issue(&"ka".parse().unwrap(), &[8; 32]);
    let got = access().resolve(Some(&forged), Ask::Model("small"), Duration::ZERO);
    let grant = got.unwrap();
    assert_eq!((grant.organisation, grant.key), (None, None));
}

/// No generated path may reach a shorter prefix than the one that its plain form has.
#[test]
fn no_path_leaves_its_prefix() {
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
            let got = access.resolve(None, Ask::Path(&path), Duration::ZERO);
            let is_inside = match got {
                Ok(grant) => grant.name.as_str() == "open-van",
                Err(_) => true,
            };
            assert!(is_inside, "{path} was admitted outside /van");
            let is_book = path.replace("%62", "b").starts_with("/van/book");
            let admitted = access
                .resolve(None, Ask::Path(&path), Duration::ZERO)
                .is_ok();
            assert!(!(is_book && admitted), "{path} reached another's route");
        });
}
