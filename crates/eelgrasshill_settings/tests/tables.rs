//! Tests that valid files are read without loss and that each mistake is reported with file,
//! section, field and allowed values.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

use std::path::Path;

use eelgrasshill_domain::Version;
use eelgrasshill_settings::{
    EntrySettings, GatewaySettings, read_edited_tables, render_pools, render_routes,
};

fn example(name: &str, file: &str) -> String {
    let path = format!(
        "{}/../../examples/{name}/{file}",
        env!("CARGO_MANIFEST_DIR")
    );
    std::fs::read_to_string(path).unwrap()
}

#[test]
fn examples_survive_parsing_and_rendering() {
    // The counts are those of the sections in `examples/NAME/pools.ini`.
    struct Case {
        name: &'static str,
        models: usize,
        engines: usize,
        adapters: usize,
    }
    let cases = [
        Case {
            name: "lakeshore",
            models: 20,
            engines: 15,
            adapters: 60,
        },
        Case {
            name: "kjallaravakt",
            models: 15,
            engines: 15,
            adapters: 80,
        },
    ];
    for case in cases {
        let (routes, pools) = (
            example(case.name, "routes.ini"),
            example(case.name, "pools.ini"),
        );
        let edited = read_edited_tables("routes.ini", &routes, "pools.ini", &pools).unwrap();
        let tables = edited.tables;
        assert_eq!(
            (tables.organisations.len(), edited.base_version),
            (5, Version(0)),
            "organisations and base version of the example {}",
            case.name
        );
        assert_eq!(
            tables.models.len(),
            case.models,
            "models of the example {}",
            case.name
        );
        assert_eq!(
            tables
                .hosts
                .values()
                .filter(|host| host.accelerators > 0)
                .count(),
            case.engines,
            "hosts with accelerators of the example {}",
            case.name
        );
        let adapters: usize = tables
            .models
            .values()
            .map(|model| model.adapters.len())
            .sum();
        assert_eq!(
            adapters, case.adapters,
            "adapters of the example {}",
            case.name
        );
        let routes = render_routes(&tables, Version(7));
        let pools = render_pools(&tables, Version(9));
        let reparsed = read_edited_tables("r", &routes, "p", &pools).unwrap();
        // The base version is the lower of those of the two files, 7 and 9.
        assert_eq!(
            (reparsed.tables, reparsed.base_version),
            (tables, Version(7)),
            "tables and base version of the example {} after rendering",
            case.name
        );
        let entry = example(case.name, "entry.ini");
        EntrySettings::parse("entry.ini", &entry).unwrap();
    }
}

#[test]
fn table_mistakes_are_reported_with_their_location() {
    struct Case {
        name: &'static str,
        routes: &'static str,
        pools: &'static str,
    }
    let cases = [
        Case {
            name: "fields",
            routes: "[organisation.crew]\nrate = many\nweight = 0\n\n\
                     [route.a]\ncaller = crew\nmodels = m\npool = p\nclass = soon\nrepeat = maybe\n\
                     colour = red\n",
            pools: "[pool.p]\nkind = both\n[host.h]\npool = p\nzone = z\naddress = example:80\n",
        },
        Case {
            name: "sections",
            routes: "[limits]\nrate = 3\n[pool.p]\nkind = plain\n",
            pools: "[route.a]\ncaller = open\n[edit]\nfrom = last\n",
        },
        Case {
            name: "join",
            routes: "[route.a]\ncaller = crew\nmodels = m, n\npool = p\nclass = batch\nrepeat = yes\n",
            pools: "[pool.q]\nkind = engines\n[model.m]\npool = q\nmemory-mb = 5\nversion = 1\n",
        },
        Case {
            name: "syntax",
            routes: "[route.a\ncaller",
            pools: "",
        },
    ];
    for case in cases {
        let problems = read_edited_tables("routes.ini", case.routes, "pools.ini", case.pools);
        insta::assert_snapshot!(format!("tables_{}", case.name), problems.unwrap_err());
    }
}

#[test]
fn entry_settings_report_every_mistake() {
    struct Case {
        name: &'static str,
        text: &'static str,
    }
    let cases = [
        Case {
            name: "empty",
            text: "",
        },
        Case {
            name: "wrong",
            text: "[host]\nname = a b\nzone = z\nlisten = localhost:80\npeer = 127.0.0.1:1\n\
                   admin = 127.0.0.1:2\nthreads = 900\nport = 3\n\
                   [platform]\nlog = 127.0.0.1:3\nhosts = 127.0.0.1\n[bounds]\nqueue = none\n\
                   [cluster]\nsize = 3\n",
        },
    ];
    for case in cases {
        let problems = EntrySettings::parse("entry.ini", case.text);
        insta::assert_snapshot!(format!("entry_{}", case.name), problems.unwrap_err());
    }
    let unreadable = EntrySettings::read(Path::new("no-such-file.ini")).unwrap_err();
    assert!(
        unreadable.to_string().starts_with("no-such-file.ini: "),
        "expected the path of the unreadable file first, got: {unreadable}"
    );
}

/// Guards against a capacity in other units, and against invalid values that become a default.
#[test]
fn capacity_is_the_lower_of_processor_share_and_link_rate() {
    struct Case {
        lines: &'static str,
        // None if the file must be rejected.
        capacity: Option<u32>,
    }
    let cases = [
        Case {
            lines: "",
            capacity: Some(100),
        },
        Case {
            lines: "processor-share = 0.084\nlink-mbps = 10.0\n",
            capacity: Some(8),
        },
        Case {
            lines: "processor-share = 0.5\nlink-mbps = 10\n",
            capacity: Some(10),
        },
        Case {
            lines: "processor-share = none\n",
            capacity: None,
        },
        Case {
            lines: "link-mbps = 0\n",
            capacity: None,
        },
    ];
    for case in cases {
        let text = format!(
            "[host]\nname = a\nzone = z\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n\
             peer = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n{}[store]\naddress = 127.0.0.1:5\n",
            case.lines
        );
        let read = GatewaySettings::parse("gateway.ini", &text);
        match (read, case.capacity) {
            (Ok(settings), Some(capacity)) => {
                assert_eq!(
                    settings.capacity, capacity,
                    "capacity with the lines {:?}",
                    case.lines
                );
            }
            (Err(problems), None) => {
                let field = case.lines.split(' ').next().unwrap();
                assert!(
                    problems.to_string().contains(field),
                    "expected a problem with {field}, got: {problems}"
                );
            }
            (read, expected) => panic!("{}: got {read:?}, expected {expected:?}", case.lines),
        }
    }
}
