//! The metrics of one host, each with a name and labels in one place.

use std::time::Duration;

use eelgrasshill_domain::{Class, OrgName};
use metrics::{Label, counter, histogram};

use crate::Code;

/// The label of requests on open routes.
const OPEN_ROUTE_LABEL: &str = "open";

/// The labels of one request's metrics.
#[derive(Clone, Debug)]
pub struct Labels {
    organisation: String,
    class: String,
}

impl Labels {
    /// Makes the labels of an organisation and a class.
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

    /// Records the wait in the queue.
    pub fn record_queue_wait(&self, wait: Duration) {
        histogram!("eelgrasshill_queue_wait_seconds", self.to_labels()).record(wait);
    }

    /// Records the time to the first token.
    pub fn record_first_token(&self, wait: Duration) {
        histogram!("eelgrasshill_first_token_seconds", self.to_labels()).record(wait);
    }

    /// Records the time between two tokens.
    pub fn record_between_tokens(&self, gap: Duration) {
        histogram!("eelgrasshill_between_tokens_seconds", self.to_labels()).record(gap);
    }

    /// Records the time of a whole answer.
    pub fn record_whole_answer(&self, time: Duration) {
        histogram!("eelgrasshill_whole_answer_seconds", self.to_labels()).record(time);
    }

    /// Counts an answer that was resumed.
    pub fn count_resumed(&self) {
        counter!("eelgrasshill_resumed_total", self.to_labels()).increment(1);
    }
}

/// Counts a refusal by its code.
pub fn count_refusal(code: Code, organisation: Option<&OrgName>) {
    let organisation =
        organisation.map_or_else(|| OPEN_ROUTE_LABEL.to_owned(), ToString::to_string);
    let labels = [
        Label::new("code", code.to_string()),
        Label::new("organisation", organisation),
    ];
    counter!("eelgrasshill_refusals_total", labels.iter()).increment(1);
}
