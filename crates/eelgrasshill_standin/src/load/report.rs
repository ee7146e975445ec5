//! The report of a load, as JSON and as a table.

use std::collections::BTreeMap;
use std::fmt;

use eelgrasshill_domain::Class;
use serde::{Deserialize, Serialize};

use super::plain::PlainReport;
use super::settings::LoadSettings;
use super::tally::{OutcomeCounts, Tally, TimeHistogram};

/// Quantiles of a distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Quantiles {
    /// The 50th percentile.
    pub median: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Quantiles {
    fn new(times: &TimeHistogram) -> Self {
        Self {
            median: times.quantile_ms(0.5),
            p95: times.quantile_ms(0.95),
            p99: times.quantile_ms(0.99),
        }
    }
}

/// The results of one organisation and class, or the total.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadRow {
    /// The organisation; `all` for the total.
    pub organisation: String,
    /// The class; none for the total.
    pub class: Option<Class>,
    /// Requests sent.
    pub requests: u64,
    /// Requests within the organisation's rate and burst.
    pub within: u64,
    /// Complete answers.
    pub completed: u64,
    /// Complete and correct answers that met the latency objective.
    pub attained: u64,
    /// Attained answers to requests within the rate and burst.
    pub served: u64,
    /// Requests answered with an error status.
    pub refused: u64,
    /// Refused requests that were within the rate and burst.
    pub wrongful: u64,
    /// Answers that broke off.
    pub broken: u64,
    /// Complete answers with a text other than expected.
    pub wrong: u64,
    /// Answers that stalled, whether or not they completed later.
    pub stalled: u64,
    /// Time to the first token.
    pub first: Quantiles,
    /// Time between tokens.
    pub gap: Quantiles,
    /// Time to the end of a complete answer.
    pub whole: Quantiles,
}

impl LoadRow {
    fn new(organisation: &str, class: Option<Class>, counts: &OutcomeCounts) -> Self {
        Self {
            organisation: organisation.to_owned(),
            class,
            requests: counts.requests,
            within: counts.within_limit,
            completed: counts.completed,
            attained: counts.attained,
            served: counts.attained_within_limit,
            refused: counts.refused,
            wrongful: counts.refused_within_limit,
            broken: counts.broken,
            wrong: counts.wrong_text,
            stalled: counts.stalled,
            first: Quantiles::new(&counts.first_token_times),
            gap: Quantiles::new(&counts.token_gaps),
            whole: Quantiles::new(&counts.total_times),
        }
    }
}

/// The organisation with the lowest attainment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorstServed {
    /// The organisation.
    pub organisation: String,
    /// Attained share of its requests within rate and burst, from 0 to 1.
    pub attainment: f64,
}

/// The report of a load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Seconds from the start of the schedule to the last answer.
    pub seconds: f64,
    /// The results of all requests together.
    pub total: LoadRow,
    /// The results by organisation and class.
    pub rows: Vec<LoadRow>,
    /// Refusals by status and code.
    pub refusals: BTreeMap<String, u64>,
    /// Broken answers by error code.
    pub breaks: BTreeMap<String, u64>,
    /// Share of all requests that were attained, from 0 to 1.
    pub attainment: f64,
    /// Attained answers per second and accelerator; none without a number of accelerators.
    #[serde(rename = "accelerator")]
    pub attained_per_second_and_accelerator: Option<f64>,
    /// The organisation with the lowest attainment.
    pub worst: Option<WorstServed>,
    /// Delays from the due time to the sending of a request.
    pub late: Quantiles,
    /// The results of the plain calls, if there were any.
    pub plain: Option<PlainReport>,
}

impl LoadReport {
    pub(super) fn new(
        settings: &LoadSettings,
        tally: &Tally,
        seconds: f64,
        plain: Option<PlainReport>,
    ) -> Self {
        let mut all = OutcomeCounts::default();
        let mut by_organisation: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let mut rows = Vec::new();
        for ((organisation, class), counts) in &tally.counts {
            all.merge(counts);
            let (served, within) = by_organisation.entry(organisation).or_default();
            *served += counts.attained_within_limit;
            *within += counts.within_limit;
            rows.push(LoadRow::new(organisation, Some(*class), counts));
        }
        let worst = by_organisation
            .into_iter()
            .filter(|(_organisation, (_served, within))| *within > 0)
            .map(|(organisation, (served, within))| WorstServed {
                organisation: organisation.to_owned(),
                attainment: quotient(served, within),
            })
            .min_by(|a, b| a.attainment.total_cmp(&b.attainment));
        // Only converts the count.
        let attained = quotient(all.attained, 1);
        Self {
            seconds,
            total: LoadRow::new("all", None, &all),
            rows,
            refusals: tally.refusals.clone(),
            breaks: tally.breaks.clone(),
            attainment: quotient(all.attained, all.requests),
            attained_per_second_and_accelerator: settings
                .accelerators
                .map(|number| attained / seconds.max(f64::EPSILON) / f64::from(number.max(1))),
            worst,
            late: Quantiles::new(&tally.send_delays),
            plain,
        }
    }
}

/// Divides two counts; returns 0 for a denominator of 0.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn quotient(numerator: u64, denominator: u64) -> f64 {
    if denominator == 0 {
        return 0.0;
    }
    numerator as f64 / denominator as f64
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The widths must equal those in write_row.
        writeln!(
            f,
            "{:<32}{:>9}{:>9}{:>9}{:>8}{:>9}{:>7}{:>6}{:>8}  {:>22}  {:>22}  {:>24}",
            "organisation/class",
            "requests",
            "complete",
            "attained",
            "refused",
            "wrongful",
            "broken",
            "wrong",
            "stalled",
            "first p50/p95/p99 ms",
            "gap p50/p95/p99 ms",
            "whole p50/p95/p99 ms",
        )?;
        for row in self.rows.iter().chain([&self.total]) {
            write_row(f, row)?;
        }
        for (name, counts) in [("refused", &self.refusals), ("broken", &self.breaks)] {
            for (code, count) in counts {
                writeln!(f, "{name} {code}: {count}")?;
            }
        }
        writeln!(
            f,
            "attainment {:.4} in {:.1} s",
            self.attainment, self.seconds
        )?;
        if let Some(rate) = self.attained_per_second_and_accelerator {
            writeln!(f, "attained a second and accelerator {rate:.3}")?;
        }
        if let Some(worst) = &self.worst {
            writeln!(
                f,
                "worst served {} {:.4}",
                worst.organisation, worst.attainment
            )?;
        }
        writeln!(f, "sent late p99 {:.2} ms", self.late.p99)?;
        self.plain
            .as_ref()
            .map_or(Ok(()), |plain| write_plain(f, plain))
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &LoadRow) -> fmt::Result {
    let class = row.class.map_or(String::new(), |class| format!("/{class}"));
    let times = |q: &Quantiles| format!("{:.1}/{:.1}/{:.1}", q.median, q.p95, q.p99);
    writeln!(
        f,
        "{:<32}{:>9}{:>9}{:>9}{:>8}{:>9}{:>7}{:>6}{:>8}  {:>22}  {:>22}  {:>24}",
        format!("{}{class}", row.organisation),
        row.requests,
        row.completed,
        row.attained,
        row.refused,
        row.wrongful,
        row.broken,
        row.wrong,
        row.stalled,
        times(&row.first),
        times(&row.gap),
        times(&row.whole),
    )
}

fn write_plain(f: &mut fmt::Formatter<'_>, plain: &PlainReport) -> fmt::Result {
    writeln!(
        f,
        "plain calls {} sent {} acknowledged {} not-run {} unknown {}",
        plain.calls, plain.sent, plain.acknowledged, plain.refused, plain.unknown
    )?;
    if plain.checked {
        writeln!(
            f,
            "plain checks: ran twice {} lost {} untrue not-run {}",
            plain.twice, plain.lost, plain.untrue
        )
    } else {
        writeln!(
            f,
            "plain checks: not made, the services' counts were not read"
        )
    }
}
