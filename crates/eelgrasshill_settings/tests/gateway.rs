//! Tests the gateway's settings with the values that a platform may fill in.

use std::time::Duration;

use eelgrasshill_settings::{GatewaySettings, Problems};

const HOST: &str = "[host]\nname = a\nzone = z\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n\
    peer = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n";
const STORE: &str = "[store]\naddress = 127.0.0.1:5\n";

/// What a value of the platform leads to.
enum Expected {
    /// The value is used as it is, or as the nearest possible one.
    Used,
    /// `--check` reports it, and a host runs with the default.
    Default,
}

/// A line of the settings with a value of the platform.
struct Case {
    section: &'static str,
    line: &'static str,
    expected: Expected,
    // Compares the settings that a host runs with.
    check: fn(&GatewaySettings) -> bool,
}

fn case(
    section: &'static str,
    line: &'static str,
    expected: Expected,
    check: fn(&GatewaySettings) -> bool,
) -> Case {
    Case {
        section,
        line,
        expected,
        check,
    }
}

/// Returns whether the connections fit in the machine, with all else that it holds.
fn fits(settings: &GatewaySettings) -> bool {
    let budget = settings.budget();
    budget.needed_bytes(settings.max_connections) <= budget.memory
        && budget.check(settings.max_connections).is_ok()
}

fn retry_cases() -> Vec<Case> {
    vec![
        case("retries", "extra = 33.1578947368421", Expected::Used, |s| {
            s.bounds.retries.extra_retries == 33
        }),
        case("retries", "extra = 0", Expected::Used, |s| {
            s.bounds.retries.extra_retries == 0
        }),
        case("retries", "extra = 1e12", Expected::Used, |s| {
            s.bounds.retries.extra_retries == 1_000_000
        }),
        case("retries", "extra =", Expected::Used, |s| {
            s.bounds.retries.extra_retries == 100
        }),
        case("retries", "extra = -1", Expected::Default, |s| {
            s.bounds.retries.extra_retries == 100
        }),
        case("retries", "extra = nan", Expected::Default, |s| {
            s.bounds.retries.extra_retries == 100
        }),
        case("retries", "ratio = 0.1526", Expected::Used, |s| {
            s.bounds.retries.retries_per_thousand == 153
        }),
        case("retries", "ratio = 0", Expected::Used, |s| {
            s.bounds.retries.retries_per_thousand == 0
        }),
        case("retries", "ratio = 1.5", Expected::Used, |s| {
            s.bounds.retries.retries_per_thousand == 1_500
        }),
        case("retries", "window-s = 0.5", Expected::Used, |s| {
            s.bounds.retries.window == Duration::from_millis(500)
        }),
        case("retries", "window-s = 0", Expected::Default, |s| {
            s.bounds.retries.window == Duration::from_secs(10)
        }),
    ]
}

fn other_cases() -> Vec<Case> {
    vec![
        case("host", "memory-mb = 181.6", Expected::Used, |s| {
            s.memory_mb == 181
        }),
        case("host", "memory-mb =", Expected::Used, |s| {
            s.memory_mb == 256
        }),
        case("host", "memory-mb = 182", Expected::Used, fits),
        case("host", "descriptors = 500", Expected::Used, |s| {
            s.max_connections == 87 && fits(s)
        }),
        case("host", "descriptors = 300", Expected::Used, fits),
        case("host", "descriptors = 264", Expected::Default, |s| {
            s.max_connections == 1
        }),
        case("host", "memory-mb = 40", Expected::Default, |s| {
            s.max_connections == 1
        }),
        case("bounds", "connections = 100", Expected::Used, |s| {
            s.max_connections == 100 && fits(s)
        }),
        case("bounds", "connections = 5000", Expected::Default, fits),
        case("host", "memory-mb = 0", Expected::Default, |s| {
            s.memory_mb == 256
        }),
        case("bounds", "key-ms = 4821.5", Expected::Used, |s| {
            s.bounds.max_key_age == Duration::from_micros(4_821_500)
        }),
        case("bounds", "key-ms = 1e15", Expected::Used, |s| {
            s.bounds.max_key_age == Duration::from_hours(1)
        }),
        case("bounds", "key-ms =", Expected::Used, |s| {
            s.bounds.max_key_age == Duration::from_secs(5)
        }),
        case("bounds", "key-ms = 0", Expected::Default, |s| {
            s.bounds.max_key_age == Duration::from_secs(5)
        }),
        case("bounds", "key-ms = true", Expected::Default, |s| {
            s.bounds.max_key_age == Duration::from_secs(5)
        }),
        case("bounds", "grace-s = 0", Expected::Used, |s| {
            s.bounds.termination_grace.is_zero()
        }),
        case("bounds", "grace-s = 1e300", Expected::Used, |s| {
            s.bounds.termination_grace == Duration::from_hours(1)
        }),
        case("engines", "turn-ms = 2999.99", Expected::Used, |s| {
            s.orders.handover_delay == Duration::from_micros(2_999_990)
        }),
        case("engines", "turn-ms = 0", Expected::Used, |s| {
            s.orders.handover_delay.is_zero()
        }),
        case("engines", "load-window-s = 4.75", Expected::Used, |s| {
            s.orders.load_window == Duration::from_millis(4_750)
        }),
        case("engines", "load-window-s = inf", Expected::Used, |s| {
            s.orders.load_window == Duration::from_hours(1)
        }),
        case("engines", "late-queue = 64", Expected::Used, |s| {
            s.bounds.late_queue == 64
        }),
        case("engines", "late-queue =", Expected::Used, |s| {
            s.bounds.late_queue == 0
        }),
        case("engines", "late-queue = -1", Expected::Default, |s| {
            s.bounds.late_queue == 0
        }),
        case("host", "processor-share = 0.004", Expected::Used, |s| {
            s.capacity == 1
        }),
        case("host", "link-mbps = 1e9\n", Expected::Used, |s| {
            s.capacity == 100
        }),
        case("host", "processor-share = 0", Expected::Default, |s| {
            s.capacity == 100
        }),
        case("bounds", "evacuate-ms = 2500.5", Expected::Used, |s| {
            s.bounds.evacuation_delay == Duration::from_micros(2_500_500)
        }),
        case("engines", "cold-over = 1.5", Expected::Used, |s| {
            s.cold.is_some_and(|cold| cold.over_percent == 150)
        }),
        case("engines", "cold-over =", Expected::Used, |s| {
            s.cold.is_none()
        }),
        case("bounds", "unknown-ms = 5", Expected::Default, |_settings| {
            true
        }),
    ]
}

/// Guards against a fleet that does not start because of one odd value.
///
/// A fraction in a bound that took whole numbers only ended every host of a deployment.
#[test]
fn values_of_the_platform_are_used_or_replaced_by_the_default() {
    for case in retry_cases().into_iter().chain(other_cases()) {
        let line = case.line;
        let text = if case.section == "host" {
            format!("{HOST}{line}\n{STORE}")
        } else {
            format!("{HOST}{STORE}[{}]\n{line}\n", case.section)
        };
        let strict = GatewaySettings::parse("gateway.ini", &text);
        let field = line.split(' ').next().expect("a line has a field");
        match (&case.expected, &strict) {
            (Expected::Used, Ok(_)) => {}
            (Expected::Default, Err(problems)) => assert!(
                problems.to_string().contains(field),
                "{line}: expected a problem with {field}, got: {problems}"
            ),
            _ => panic!("{line}: got {strict:?}"),
        }
        let (settings, problems) =
            GatewaySettings::parse_usable("gateway.ini", &text).expect("a host can run with it");
        assert!((case.check)(&settings), "{line}: got {settings:?}");
        assert_eq!(
            problems,
            strict.err().unwrap_or(Problems { problems: vec![] }),
            "{line}: problems of a host that runs"
        );
    }
}

/// Guards against a host that runs without its own addresses.
#[test]
fn a_host_does_not_run_without_the_fields_that_have_no_default() {
    let cases = [
        ("zone", HOST.replace("zone = z\n", "")),
        ("zone", HOST.replace("zone = z\n", "zone =\n")),
        ("listen", HOST.replace("127.0.0.1:1", "localhost:80")),
        ("peer", HOST.replace("127.0.0.1:3", "127.0.0.1:700000")),
    ];
    for (field, host) in cases {
        let read = GatewaySettings::parse_usable("gateway.ini", &format!("{host}{STORE}"));
        let problems = read.expect_err("the field has no default").to_string();
        assert!(
            problems.contains(field),
            "expected a problem with {field}, got: {problems}"
        );
    }
}

/// Guards against a fleet that does not start because the template's `[regions]` was not filled in.
#[test]
fn regions_are_read_and_unusable_lines_left_out() {
    let cases = [
        ("a = r1\nb = r2\n", vec![("a", "r1"), ("b", "r2")], true),
        ("", vec![], true),
        ("a =\n", vec![], true),
        ("a = r1\nB_? = r2\n", vec![("a", "r1")], false),
        ("{{#zones}}{{@}} = {{.}}\n{{/zones}}\n", vec![], false),
    ];
    for (lines, expected, is_clean) in cases {
        let text = format!("{HOST}{STORE}[regions]\n{lines}[engines]\nlate-queue = 64\n");
        let (settings, problems) =
            GatewaySettings::parse_usable("gateway.ini", &text).expect("a host can run with it");
        let regions = settings.regions.iter();
        let regions: Vec<_> = regions.map(|(z, r)| (z.as_str(), r.as_str())).collect();
        assert_eq!(regions, expected, "{lines}");
        assert_eq!(
            problems.problems.is_empty(),
            is_clean,
            "{lines}: {problems}"
        );
        assert_eq!(settings.bounds.late_queue, 64, "{lines}");
    }
}
