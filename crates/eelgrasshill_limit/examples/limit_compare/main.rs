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
    worst_permille: u64,
    wrongly_refused: usize,
    reference_admitted: usize,
    messages: u64,
    busiest_host_requests: u64,
}

impl Totals {
    fn add(&mut self, outcome: &Outcome, arrivals: &[Arrival]) {
        let (wrongly_refused, reference_admitted) = outcome.wrongly_refused(arrivals);
        self.worst_permille = self.worst_permille.max(outcome.worst_permille());
        self.wrongly_refused += wrongly_refused;
        self.reference_admitted += reference_admitted;
        self.messages += outcome.messages;
        self.busiest_host_requests += outcome.busiest_host_requests;
    }

    fn print(&self, scenario: Scenario, hosts: usize, design: &str) {
        let seconds = (ARRIVALS_END_MS - ARRIVALS_START_MS) / 1_000 * (SEEDS.end - SEEDS.start);
        let wrongful_per_10_000 = self.wrongly_refused * 10_000 / self.reference_admitted.max(1);
        println!(
            "| {} | {hosts} | {design} | {}.{:03} | {}.{:02} % | {}.{:02} | {}.{:02} |",
            scenario.name(),
            self.worst_permille / 1_000,
            self.worst_permille % 1_000,
            wrongful_per_10_000 / 100,
            wrongful_per_10_000 % 100,
            self.busiest_host_requests / seconds,
            self.busiest_host_requests * 100 / seconds % 100,
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
        let fleet_holders = holders(hosts)?;
        let failed_host = find_lender(&fleet_holders, &org);
        for scenario in Scenario::ALL {
            let mut totals: [Totals; 5] = Default::default();
            for seed in SEEDS {
                let seed_arrivals = arrivals(scenario, hosts, failed_host, seed);
                let outcomes = [
                    Fleet::new(scenario, &fleet_holders, &org, &seed_arrivals, settings).run(),
                    alternatives::equal_split(hosts, &seed_arrivals),
                    alternatives::one_counter(scenario, &seed_arrivals),
                    alternatives::coordinator(scenario, hosts, &seed_arrivals),
                    alternatives::gossip(scenario, hosts, &seed_arrivals),
                ];
                for (design_totals, outcome) in totals.iter_mut().zip(&outcomes) {
                    design_totals.add(outcome, &seed_arrivals);
                }
            }
            let designs = [
                "loans from lenders",
                "equal split",
                "one counter",
                "coordinator",
                "gossip",
            ];
            for (design_totals, design) in totals.iter().zip(designs) {
                design_totals.print(scenario, hosts, design);
            }
        }
    }
    Ok(())
}
