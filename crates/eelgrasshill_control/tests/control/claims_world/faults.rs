//! The faults of hosts, links and single steps.

use eelgrasshill_control::{AppendError, ClaimRecord, RunEnd};
use eelgrasshill_domain::{Moment, Offset};

use super::{Envelope, Fault, HOSTS, Msg, Node, Step, World};

impl World {
    pub(crate) fn crash(&mut self, host: usize) {
        let node = &mut self.nodes[host];
        node.is_up = false;
        node.paused = 0;
        // A caller whose host died has no answer, which is no false one.
        let process = node.members.process();
        let lost: Vec<_> = self
            .known
            .iter()
            .filter(|(id, _)| id.process == process)
            .map(|(_, (_, request))| request.clone())
            .collect();
        self.lost.extend(lost);
    }

    pub(crate) fn restart(&mut self, host: usize) {
        if self.nodes[host].is_up {
            return;
        }
        let incarnation = self.nodes[host].members.process().incarnation.0 + 1;
        self.nodes[host] = Node::new(host, incarnation, &Self::bounds(self.retention));
        let beat = self.nodes[host]
            .members
            .heartbeat(Offset(0), false, Moment(self.now));
        for to in (0..HOSTS).filter(|to| *to != host) {
            self.send(host, to, None, Msg::Hello(beat.clone()));
        }
    }

    pub(crate) fn pause(&mut self, host: usize, span: u64) {
        self.nodes[host].paused = self.now + span;
    }

    pub(crate) fn cut(&mut self, host: usize, span: u64) {
        self.nodes[host].cut = self.now + span;
    }

    /// Returns the planned fault when this message is its step.
    pub(super) fn fault_at(&mut self, host: usize, msg: &Msg) -> Option<Fault> {
        let (step, fault) = self.planned?;
        let is_step = match (step, msg) {
            (Step::Claim, Msg::Submit(record)) => record.is_claim() && host == 0,
            (Step::Repeat, Msg::Submit(record)) => record.is_claim() && host == 1,
            (Step::ReadBack, Msg::Page(Some((_, _, page, _)))) => {
                host == 0 && !page.records.is_empty()
            }
            (Step::Append, Msg::Appended(..)) => host == 0,
            (Step::Decide, Msg::Decided(..)) | (Step::Run, Msg::Send(..)) => host == 3,
            (Step::Record, Msg::Submit(record)) => {
                host == 0 && matches!(record, ClaimRecord::Outcome { .. })
            }
            _ => false,
        };
        if !is_step {
            return None;
        }
        self.planned = None;
        self.is_met = true;
        Some(fault)
    }

    pub(super) fn inject(&mut self, host: usize, fault: Fault, envelope: Envelope) {
        let Envelope { only, msg, .. } = envelope;
        match fault {
            Fault::Crash => self.crash(host),
            Fault::Pause => self.pause(host, 20_000),
            Fault::Lost => {
                if let Msg::Send(id, request) = &msg {
                    self.upstream(host, *id, request, RunEnd::Lost);
                } else if let Msg::Appended(id, _) = &msg {
                    let lost = Msg::Appended(id.clone(), Err(AppendError::Lost));
                    self.handle(host, lost);
                } else if matches!(msg, Msg::Page(_)) {
                    self.handle(host, Msg::Page(None));
                }
                return;
            }
            Fault::Late => return self.push(5000, host, only, msg),
            Fault::Repeated => {
                self.push(700, host, only, msg.clone());
                return self.handle(host, msg);
            }
            Fault::Outage => self.log.is_out = true,
            Fault::Expiry => self.pause(host, 3 * self.retention.as_millis() as u64 / 2),
            Fault::Cut => self.cut(host, 8000),
        }
        self.push(0, host, only, msg);
    }
}
