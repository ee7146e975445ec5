//! Injects faults of hosts, links and single steps.

use eelgrasshill_control::{AppendError, ClaimRecord, RunResult};
use eelgrasshill_domain::{Moment, Offset};

use super::{Envelope, Fault, HOSTS, Message, SimulatedHost, Simulation, Step};

/// Roles in the runs with a planned fault: the first attempt of host 3 goes to writer 0, and that of
/// a repeat from host 1 to the same host.
const FIRST_WRITER: usize = 0;
const REPEATING_HOST: usize = 1;
const REQUESTER: usize = 3;

/// The durations of planned faults.
const PAUSE_MS: u64 = 20_000;
const LATE_MS: u64 = 5000;
const REPEAT_MS: u64 = 700;
const CUT_MS: u64 = 8000;

impl Simulation {
    pub(crate) fn crash(&mut self, host: usize) {
        let simulated_host = &mut self.simulated_hosts[host];
        simulated_host.is_up = false;
        simulated_host.paused_until_ms = 0;
        // A caller whose host crashed gets no answer, which is not a violation.
        let process = simulated_host.members.process();
        let requests: Vec<_> = self
            .claims
            .iter()
            .filter(|(id, _)| id.process == process)
            .map(|(_, (_, request))| request.clone())
            .collect();
        self.unanswerable_requests.extend(requests);
    }

    pub(crate) fn restart(&mut self, host: usize) {
        if self.simulated_hosts[host].is_up {
            return;
        }
        let incarnation = self.simulated_hosts[host].members.process().incarnation.0 + 1;
        self.simulated_hosts[host] =
            SimulatedHost::new(host, incarnation, &Self::bounds(self.retention));
        let leaving = false;
        let heartbeat =
            self.simulated_hosts[host]
                .members
                .heartbeat(Offset(0), leaving, Moment(self.now_ms));
        for to in (0..HOSTS).filter(|to| *to != host) {
            self.send(host, to, None, Message::Heartbeat(heartbeat.clone()));
        }
    }

    pub(crate) fn pause(&mut self, host: usize, duration_ms: u64) {
        self.simulated_hosts[host].paused_until_ms = self.now_ms + duration_ms;
    }

    pub(crate) fn cut(&mut self, host: usize, duration_ms: u64) {
        self.simulated_hosts[host].cut_until_ms = self.now_ms + duration_ms;
    }

    /// Returns the planned fault if this message belongs to the planned step.
    pub(super) fn take_planned_fault(&mut self, host: usize, message: &Message) -> Option<Fault> {
        let (step, fault) = self.planned_fault?;
        let is_step = match (step, message) {
            (Step::Claim, Message::Submit(record)) => record.is_claim() && host == FIRST_WRITER,
            (Step::Repeat, Message::Submit(record)) => record.is_claim() && host == REPEATING_HOST,
            (Step::ReadBack, Message::Page(Some((_, _, page, _)))) => {
                host == FIRST_WRITER && !page.records.is_empty()
            }
            (Step::Append, Message::Appended(..)) => host == FIRST_WRITER,
            (Step::Decide, Message::Decided(..)) | (Step::Run, Message::SendCall(..)) => {
                host == REQUESTER
            }
            (Step::Record, Message::Submit(record)) => {
                host == FIRST_WRITER && matches!(record, ClaimRecord::Outcome { .. })
            }
            _ => false,
        };
        if !is_step {
            return None;
        }
        self.planned_fault = None;
        self.is_fault_injected = true;
        Some(fault)
    }

    pub(super) fn inject(&mut self, host: usize, fault: Fault, envelope: Envelope) {
        let Envelope {
            recipient, message, ..
        } = envelope;
        match fault {
            Fault::Crash => self.crash(host),
            Fault::Pause => self.pause(host, PAUSE_MS),
            // The host learns that an answer of the upstream or the log is lost. Messages between hosts
            // vanish.
            Fault::Lost => {
                if let Message::SendCall(id, request) = &message {
                    self.run_upstream(host, *id, request, RunResult::Lost);
                } else if let Message::Appended(id, _) = &message {
                    let lost = Message::Appended(id.clone(), Err(AppendError::Unknown));
                    self.handle(host, lost);
                } else if matches!(message, Message::Page(_)) {
                    self.handle(host, Message::Page(None));
                }
                return;
            }
            Fault::Late => return self.enqueue(LATE_MS, host, recipient, message),
            Fault::Repeated => {
                self.enqueue(REPEAT_MS, host, recipient, message.clone());
                return self.handle(host, message);
            }
            Fault::Outage => self.log.is_unavailable = true,
            Fault::Expiry => self.pause(host, 3 * self.retention.as_millis() as u64 / 2),
            Fault::Cut => self.cut(host, CUT_MS),
        }
        self.enqueue(0, host, recipient, message);
    }
}
