//! Compares this crate's design with others on the same arrivals and prints a table.
//!
//! `over` is the most tokens of any window over `rate * t + burst`; more than 1 breaks the bound.
//! `wrongful` counts requests that were refused though one bucket for the whole fleet admits them.

mod fleet;
mod load;
mod rivals;

use std::error::Error;
use std::time::Duration;

use eelgrasshill_domain::OrgName;
use eelgrasshill_limit::LimitSettings;

use fleet::{Fleet, find_lender, holders};
use load::{Arrival, Case, END, Outcome, START, arrivals};

/// Seeds over which each case runs.
const SEEDS: std::ops::Range<u64> = 0..2;

/// Numbers of hosts.
const SIZES: [usize; 2] = [20, 400];

#[derive(Default)]
struct Sums {
    over: u64,
    wrongful: usize,
    within: usize,
    messages: u64,
    busiest: u64,
}

impl Sums {
    fn add(&mut self, outcome: &Outcome, arrivals: &[Arrival]) {
        let (wrongful, within) = outcome.wrongful(arrivals);
        self.over = self.over.max(outcome.worst_mille());
        self.wrongful += wrongful;
        self.within += within;
        self.messages += outcome.messages;
        self.busiest += outcome.busiest;
    }

    fn print(&self, case: Case, hosts: usize, design: &str) {
        let seconds = (END - START) / 1_000 * (SEEDS.end - SEEDS.start);
        let share = self.wrongful * 10_000 / self.within.max(1);
        println!(
            "| {} | {hosts} | {design} | {}.{:03} | {}.{:02} % | {}.{:02} | {}.{:02} |",
            case.name(),
            self.over / 1_000,
            self.over % 1_000,
            share / 100,
            share % 100,
            self.busiest / seconds,
            self.busiest * 100 / seconds % 100,
            self.messages / hosts as u64 / seconds,
            self.messages * 100 / hosts as u64 / seconds % 100,
        );
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let org = OrgName::new("lakeshore")?;
    // The lease outlasts the faults, as it does in use.
    let settings = LimitSettings {
        lease_ttl: Duration::from_mins(30),
        ..LimitSettings::default()
    };
    println!("| case | hosts | design | over | wrongful | msg/s busiest home | msg/s host |");
    println!("|---|---|---|---|---|---|---|");
    for hosts in SIZES {
        let names = holders(hosts)?;
        let dead = find_lender(&names, &org);
        for case in Case::ALL {
            let mut sums: [Sums; 5] = Default::default();
            for seed in SEEDS {
                let list = arrivals(case, hosts, dead, seed);
                let outcomes = [
                    Fleet::new(case, &names, &org, &list, settings).run(),
                    rivals::equal_split(hosts, &list),
                    rivals::one_counter(case, &list),
                    rivals::coordinator(case, hosts, &list),
                    rivals::gossip(case, hosts, &list),
                ];
                for (sum, outcome) in sums.iter_mut().zip(&outcomes) {
                    sum.add(outcome, &list);
                }
            }
            let designs = [
                "loans from homes",
                "equal split",
                "one counter",
                "coordinator",
                "gossip",
            ];
            for (sum, design) in sums.iter().zip(designs) {
                sum.print(case, hosts, design);
            }
        }
    }
    Ok(())
}
