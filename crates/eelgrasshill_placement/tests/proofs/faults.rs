//! Random faults over fixed seeds, with every mechanism on and with each switched off.

use crate::fleet::{Fleet, Layout, Off, Weather};
use std::time::Duration;

use eelgrasshill_domain::Fencing;
use eelgrasshill_placement::Event;

const STORM: Weather = Weather {
    message: 0.04,
    large: 0.02,
    until: 150_000,
    late: 45_000,
    engines: true,
};

/// How long after the faults every model must be reachable again, in ms: a replaced version on an
/// engine that ignores fencing numbers may wait out the bound on lateness three times.
const RECOVERY_MS: u64 = 260_000;

/// Layouts that differ in what engines check and in how much room there is.
fn layouts() -> Vec<(&'static str, Layout)> {
    vec![
        ("mixed", Layout::small()),
        ("tight", Layout::tight()),
        ("checked", Layout::tight().with_fencing(Fencing::Checked)),
        ("ignored", Layout::small().with_fencing(Fencing::Ignored)),
    ]
}

fn storm(layout: &Layout, weather: Weather, off: Off, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(layout, layout.settings(), weather, off, seed);
    fleet.run(weather.until);
    if off == Off::Nothing {
        fleet.run(weather.until + RECOVERY_MS);
    }
    fleet.check_rate();
    fleet
}

/// Number of seeds of each layout; a longer run sets `EELGRASSHILL_SEEDS`.
fn seeds() -> u64 {
    std::env::var("EELGRASSHILL_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(8)
}

#[test]
fn holds_under_faults() {
    for (name, layout) in layouts() {
        for seed in 0..seeds() {
            let fleet = storm(&layout, STORM, Off::Nothing, seed);
            assert!(
                fleet.violations.is_empty(),
                "{name} seed {seed}: {:?}",
                fleet.violations
            );
            assert!(
                fleet.unreachable().is_empty(),
                "{name} seed {seed}: {:?}",
                fleet.unreachable()
            );
        }
    }
}

/// One mechanism that is switched off.
struct Case {
    off: Off,
    layout: Layout,
    weather: Weather,
    /// What the oracle must say on one of the seeds.
    red: &'static str,
}

#[test]
fn each_mechanism_is_needed() {
    let late = Weather {
        message: 0.2,
        large: 0.04,
        late: 59_000,
        ..STORM
    };
    let ignored = Layout::small().with_fencing(Fencing::Ignored);
    let checked = Layout::tight().with_fencing(Fencing::Checked);
    let cases = [
        Case {
            off: Off::Fencing,
            layout: checked,
            weather: late,
            red: "overcommit",
        },
        Case {
            off: Off::Intents,
            layout: Layout::small(),
            weather: STORM,
            red: "overcommit",
        },
        Case {
            off: Off::UnloadReport,
            layout: Layout::small(),
            weather: STORM,
            red: "overcommit",
        },
        Case {
            off: Off::Shares,
            layout: Layout::tight(),
            weather: STORM,
            red: "at once",
        },
        Case {
            off: Off::Wait,
            layout: ignored,
            weather: late,
            red: "two valid holders",
        },
    ];
    for Case {
        off,
        layout,
        weather,
        red,
    } in cases
    {
        let on = (0..seeds()).find(|seed| {
            !storm(&layout, weather, Off::Nothing, *seed)
                .violations
                .is_empty()
        });
        assert_eq!(on, None, "{off:?} is on and the oracle is red");
        let found = (0..30).find(|seed| {
            let fleet = storm(&layout, weather, off, *seed);
            fleet.violations.iter().any(|text| text.contains(red))
        });
        println!("{off:?} switched off: first red at seed {found:?}");
        assert!(
            found.is_some(),
            "{off:?} is switched off and no seed is red"
        );
    }
}

/// A model that a zone doesn't hold is loaded within the bound, one after the other.
#[test]
fn misses_are_met_within_their_bound() {
    for seed in 0..3 {
        let layout = Layout::tight().with_fencing(Fencing::Checked);
        let mut fleet = Fleet::new(
            &layout,
            layout.settings(),
            Weather::CALM,
            Off::Nothing,
            seed,
        );
        fleet.run(60_000);
        let models: Vec<_> = fleet.tables.models.keys().cloned().collect();
        for model in models {
            let max_wait = Duration::from_secs(20);
            fleet.tell_all(&Event::Miss {
                model,
                adapter: None,
                max_wait,
            });
            fleet.run(fleet.now + 25_000);
        }
        let late: Vec<_> = fleet.misses.iter().filter(|(_miss, met)| !**met).collect();
        assert!(late.is_empty(), "seed {seed}: {late:?}");
        assert_eq!(fleet.misses.len(), fleet.tables.models.len() * 6);
        assert!(
            fleet.violations.is_empty(),
            "seed {seed}: {:?}",
            fleet.violations
        );
        assert!(
            fleet.unreachable().is_empty(),
            "seed {seed}: {:?}",
            fleet.unreachable()
        );
    }
}

/// Where no bound on lateness is known, an order may come at any time and keeps its room.
#[test]
fn unbounded_lateness_never_overcommits() {
    let layout = Layout::small().with_fencing(Fencing::Ignored);
    let mut settings = layout.settings();
    settings.orders.max_lateness = Duration::MAX;
    let weather = Weather {
        message: 0.1,
        late: 140_000,
        ..STORM
    };
    for seed in 0..seeds() {
        let mut fleet = Fleet::new(&layout, settings.clone(), weather, Off::Nothing, seed);
        fleet.run(weather.until + RECOVERY_MS);
        assert!(
            fleet.violations.is_empty(),
            "seed {seed}: {:?}",
            fleet.violations
        );
    }
}
