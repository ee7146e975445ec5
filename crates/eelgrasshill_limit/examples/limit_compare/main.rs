//! Compares this crate's design with others on the same arrivals and prints a table.
//!
//! `over` is the largest ratio of admitted tokens to `rate * t + burst` over all windows; more than 1
//! breaks the bound. `wrongful` is the share of requests that were refused although a single bucket
//! for the whole fleet admits them.

mod alternatives;
mod fleet;
mod load;

use std::error::Error;
use std::time::Duration;

use eelgrasshill_domain::OrgName;
use eelgrasshill_limit::LimitSettings;

use fleet::{Fleet, find_lender, holders};
use load::{ARRIVALS_END_MS, ARRIVALS_START_MS, Arrival, Outcome, Scenario, arrivals};

/// Seeds for which each scenario runs.
const SEEDS: std::ops::Range<u64> = 0..2;

/// Numbers of hosts.
const HOST_COUNTS: [usize; 2] = [20, 400];

#[derive(Default)]
struct Totals {
    over: u64,
    wrongly_refused: usize,
    within: usize,
    messages: u64,
    busiest_host: u64,
}

impl Totals {
    fn add(&mut self, outcome: &Outcome, arrivals: &[Arrival]) {
        let (wrongly_refused, within) = outcome.wrongly_refused(arrivals);
        self.over = self.over.max(outcome.worst_permille());
        self.wrongly_refused += wrongly_refused;
        self.within += within;
        self.messages += outcome.messages;
        self.busiest_host += outcome.busiest_host;
    }

    fn print(&self, scenario: Scenario, hosts: usize, design: &str) {
        let seconds = (ARRIVALS_END_MS - ARRIVALS_START_MS) / 1_000 * (SEEDS.end - SEEDS.start);
        let share = self.wrongly_refused * 10_000 / self.within.max(1);
        println!(
            "| {} | {hosts} | {design} | {}.{:03} | {}.{:02} % | {}.{:02} | {}.{:02} |",
            scenario.name(),
            self.over / 1_000,
            self.over % 1_000,
            share / 100,
            share % 100,
            self.busiest_host / seconds,
            self.busiest_host * 100 / seconds % 100,
            self.messages / hosts as u64 / seconds,
            self.messages * 100 / hosts as u64 / seconds % 100,
        );
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let org = OrgName::new("lakeshore")?;
    // The lease outlasts the faults, as it does in production.
    let settings = LimitSettings {
        lease_ttl: Duration::from_mins(30),
        ..LimitSettings::default()
    };
    println!("| case | hosts | design | over | wrongful | msg/s busiest lender | msg/s host |");
    println!("|---|---|---|---|---|---|---|");
    for hosts in HOST_COUNTS {
        let names = holders(hosts)?;
        let failed_host = find_lender(&names, &org);
        for scenario in Scenario::ALL {
            let mut totals: [Totals; 5] = Default::default();
            for seed in SEEDS {
                let list = arrivals(scenario, hosts, failed_host, seed);
                let outcomes = [
                    Fleet::new(scenario, &names, &org, &list, settings).run(),
                    alternatives::equal_split(hosts, &list),
                    alternatives::one_counter(scenario, &list),
                    alternatives::coordinator(scenario, hosts, &list),
                    alternatives::gossip(scenario, hosts, &list),
                ];
                for (sum, outcome) in totals.iter_mut().zip(&outcomes) {
                    sum.add(outcome, &list);
                }
            }
            let designs = [
                "loans from lenders",
                "equal split",
                "one counter",
                "coordinator",
                "gossip",
            ];
            for (sum, design) in totals.iter().zip(designs) {
                sum.print(scenario, hosts, design);
            }
        }
    }
    Ok(())
}
