//! Checks the required properties of claimed calls from outside the hosts.

use std::collections::BTreeSet;

use eelgrasshill_control::{
    CallAnswer, CallDigest, CallKey, Claim, ClaimFold, ClaimId, Verdict, WinnerState,
};
use eelgrasshill_domain::RequestId;

use super::{Simulation, WRITER_HOSTS, host_name, outcome_of, process};

/// The number of a host that is not simulated.
const UNKNOWN_HOST: usize = 99;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// A call ran twice while its key was still remembered.
    SecondRun(CallKey),
    /// A request was answered with "not run", but its call ran.
    FalseNotRun(RequestId),
    /// A request got an outcome that no upstream returned, or a conflict although all requests of its
    /// key had the same body.
    WrongAnswer(RequestId),
    /// A request got no answer, although its host did not crash.
    Unanswered(RequestId),
    /// A live process has the winning claim of a key, but never recorded an outcome.
    Stuck(CallKey),
    /// A host still has open calls or unrecorded outcomes at the end.
    Unsettled(usize),
    /// Two hosts at the same offset disagree on the winner of a key.
    Diverged(CallKey),
}

impl Simulation {
    /// Records that a call reaches an upstream, and checks that it may.
    pub(super) fn record_run(&mut self, id: ClaimId, request: &RequestId) {
        let bounds = Self::bounds(self.retention);
        // A call may run this long after its claim was stored, so the key may be forgotten this much
        // earlier after the run.
        let no_second_run_ms = (bounds.key_retention.as_millis()
            - (bounds.claim_timeout + bounds.start_timeout).as_millis())
            as u64;
        let (key, _request) = self.claims[&id].clone();
        let runs = self.runs.entry(key).or_default();
        if runs
            .iter()
            .any(|(at, _)| *at + no_second_run_ms > self.now_ms)
        {
            self.violations.push(Violation::SecondRun(key));
        }
        runs.push((self.now_ms, id));
        self.upstream_outcomes
            .entry(key)
            .or_default()
            .push(outcome_of(id));
        self.run_requests.insert(request.clone());
        if matches!(self.answers.get(request), Some(Some(CallAnswer::NotRun(_)))) {
            self.violations
                .push(Violation::FalseNotRun(request.clone()));
        }
    }

    pub(super) fn check_answer(&mut self, request: RequestId, answer: CallAnswer) {
        let is_wrong = match &answer {
            CallAnswer::NotRun(_) => {
                if self.run_requests.contains(&request) {
                    self.violations
                        .push(Violation::FalseNotRun(request.clone()));
                }
                false
            }
            CallAnswer::Recorded(outcome) => !self
                .upstream_outcomes
                .values()
                .flatten()
                .any(|result| *result == **outcome),
            CallAnswer::Conflict => self.bodies[&self.request_keys[&request]].len() < 2,
            CallAnswer::Unknown | CallAnswer::Expired => false,
        };
        if is_wrong {
            self.violations
                .push(Violation::WrongAnswer(request.clone()));
        }
        self.answers.insert(request, Some(answer));
    }

    /// Checks the properties that must hold after all faults are over.
    pub(crate) fn check_end(&mut self) {
        let mut fold = ClaimFold::new(Self::bounds(self.retention));
        for stored in &self.log.entries {
            fold.apply(stored);
        }
        for (host, simulated_host) in self.simulated_hosts.iter().enumerate() {
            if simulated_host.is_up
                && !(simulated_host.requester.is_idle() && simulated_host.writer.is_idle())
            {
                self.violations.push(Violation::Unsettled(host));
            }
        }
        for (request, answer) in &self.answers {
            let is_open = answer.is_none() && !self.run_requests.contains(request);
            if is_open && !self.unanswerable_requests.contains(request) {
                self.violations.push(Violation::Unanswered(request.clone()));
            }
        }
        let keys: BTreeSet<_> = self.claims.values().map(|(key, _)| *key).collect();
        for key in keys {
            self.check_key(&fold, key);
        }
    }

    fn check_key(&mut self, fold: &ClaimFold, key: CallKey) {
        // The verdict on a claim that is not in the log names the winner of the key.
        let probe = Claim {
            id: ClaimId {
                process: process(UNKNOWN_HOST, 1),
                seq: 1,
            },
            key,
            organisation: None,
            request: CallDigest::new(&[&[0]]),
            host: host_name(UNKNOWN_HOST),
        };
        let verdict = fold.verdict(&probe);
        if let Some(Verdict::Lost {
            winner,
            state: WinnerState::Running,
            ..
        }) = &verdict
        {
            let is_alive = self.simulated_hosts.iter().any(|simulated_host| {
                simulated_host.is_up && simulated_host.members.process() == winner.process
            });
            if is_alive {
                self.violations.push(Violation::Stuck(key));
            }
        }
        let writers = self
            .simulated_hosts
            .iter()
            .take(WRITER_HOSTS)
            .filter(|simulated_host| simulated_host.is_up);
        let has_diverged = writers
            .filter(|simulated_host| simulated_host.writer.fold().cursor() == fold.cursor())
            .any(|simulated_host| simulated_host.writer.fold().verdict(&probe) != verdict);
        if has_diverged && self.log.first_kept_offset == 1 {
            self.violations.push(Violation::Diverged(key));
        }
    }
}
