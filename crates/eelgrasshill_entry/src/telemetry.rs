//! Defines the names and labels of the host's request metrics.

use std::io;
use std::time::Duration;

use eelgrasshill_domain::{Class, OrgName};
use metrics::{Label, counter, histogram};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::Code;

/// Value of the organisation label on open routes, which need no key.
///
/// Also that of requests refused before their organisation was known.
const OPEN_ROUTE_LABEL: &str = "open";

/// Time between the upkeeps of the metrics recorder, which keeps each sample until then.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the upkeep of the metrics recorder on a thread of its own.
///
/// Without it, samples of histograms are kept until something reads the metrics.
///
/// # Errors
///
/// Returns the system's error if the thread cannot be started.
pub fn run_metrics_upkeep(metrics: PrometheusHandle) -> io::Result<()> {
    let upkeep = move || {
        loop {
            std::thread::sleep(METRICS_UPKEEP_INTERVAL);
            metrics.run_upkeep();
        }
    };
    std::thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(upkeep)?;
    Ok(())
}

/// The label values of one request's metrics.
#[derive(Clone, Debug)]
pub struct Labels {
    organisation: String,
    class: String,
}

impl Labels {
    /// Creates the labels of a request from its organisation and class.
    #[must_use]
    pub fn new(organisation: Option<&OrgName>, class: Class) -> Self {
        let organisation =
            organisation.map_or_else(|| OPEN_ROUTE_LABEL.to_owned(), ToString::to_string);
        Self {
            organisation,
            class: class.to_string(),
        }
    }

    fn to_labels(&self) -> Vec<Label> {
        vec![
            Label::new("organisation", self.organisation.clone()),
            Label::new("class", self.class.clone()),
        ]
    }

    /// Records the time from arrival until an upstream was assigned.
    pub fn record_queue_wait(&self, wait: Duration) {
        histogram!("eelgrasshill_queue_wait_seconds", self.to_labels()).record(wait);
    }

    /// Records the time from arrival to the first token.
    pub fn record_first_token(&self, wait: Duration) {
        histogram!("eelgrasshill_first_token_seconds", self.to_labels()).record(wait);
    }

    /// Records the time between two consecutive tokens.
    pub fn record_between_tokens(&self, gap: Duration) {
        histogram!("eelgrasshill_between_tokens_seconds", self.to_labels()).record(gap);
    }

    /// Records the time from arrival to the end of the answer.
    pub fn record_whole_answer(&self, time: Duration) {
        histogram!("eelgrasshill_whole_answer_seconds", self.to_labels()).record(time);
    }

    /// Counts a resumption of an interrupted answer.
    pub fn count_resumed(&self) {
        counter!("eelgrasshill_resumed_total", self.to_labels()).increment(1);
    }
}

/// Counts an error response by its code and organisation.
pub fn count_refusal(code: Code, organisation: Option<&OrgName>) {
    let organisation =
        organisation.map_or_else(|| OPEN_ROUTE_LABEL.to_owned(), ToString::to_string);
    let labels = [
        Label::new("code", code.to_string()),
        Label::new("organisation", organisation),
    ];
    counter!("eelgrasshill_refusals_total", labels.iter()).increment(1);
}
