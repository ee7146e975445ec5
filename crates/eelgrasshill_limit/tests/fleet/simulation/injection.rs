//! Injects a fault at one chosen message and runs scripted events.

use eelgrasshill_limit::{RightsRecord, Safeguards};

use super::{Packet, Simulation};
use crate::faults::{DeliveryPoint, InjectedFault, MessageKind, ScriptedEvent};

/// Time from an injected crash to the restart of the host.
const CRASH_RESTART_MS: u64 = 300;

impl<S: Safeguards> Simulation<S> {
    /// Takes the injected fault if this message at this point is its target.
    pub(super) fn take_fault(
        &mut self,
        packet: &Packet,
        point: DeliveryPoint,
    ) -> Option<InjectedFault> {
        let (target, target_point, fault) = self.targeted_fault?;
        // No fault is injected in the first 5 s, so that every lender has its share by then.
        if target != kind(packet)
            || target_point != point
            || (self.now < 5_000 && self.skip_start > 0)
        {
            return None;
        }
        self.targeted_fault = None;
        Some(fault)
    }

    pub(super) fn apply_fault(
        &mut self,
        fault: InjectedFault,
        from: Option<usize>,
        to: Option<usize>,
    ) {
        let fault_end = self.now + 2 * self.config.lease_ms;
        match fault {
            InjectedFault::CrashSender | InjectedFault::CrashReceiver => {
                let slot = if fault == InjectedFault::CrashSender {
                    from
                } else {
                    to
                };
                let slot = &mut self.slots[slot.unwrap()];
                slot.instance = None;
                slot.paused_until = 0;
                slot.restart_at = self.now + CRASH_RESTART_MS;
            }
            InjectedFault::PauseSender => self.slots[from.unwrap()].paused_until = fault_end,
            InjectedFault::PauseReceiver => self.slots[to.unwrap()].paused_until = fault_end,
            InjectedFault::PartitionSender => {
                let zone = self.slots[from.unwrap()].zone;
                self.partitioned_until[zone] = fault_end;
            }
            InjectedFault::LogOutage => self.log_down_until = fault_end,
            InjectedFault::LowerLimit => {
                let last = self.limit_history.last().unwrap().1;
                self.limit_history.push((self.now, last.part(2)));
            }
            InjectedFault::Lose | InjectedFault::Duplicate | InjectedFault::Delay => {}
        }
    }

    pub(super) fn run_script(&mut self) {
        while self
            .script
            .first()
            .is_some_and(|(at, _event)| *at <= self.now)
        {
            let (_at, event) = self.script.remove(0);
            match event {
                ScriptedEvent::Restart { slot, after_ms } => {
                    self.slots[slot].instance = None;
                    self.slots[slot].restart_at = self.now + after_ms;
                }
                ScriptedEvent::Drain { slot } => {
                    let instance = self.slots[slot].instance.as_mut().unwrap();
                    instance.limiter.drain();
                    instance.leaving = true;
                }
                ScriptedEvent::DivideLimit(parts) => {
                    let first = self.limit_history[0].1;
                    self.limit_history.push((self.now, first.part(parts)));
                }
            }
        }
    }
}

fn kind(packet: &Packet) -> MessageKind {
    match packet {
        Packet::Request(_, request) if request.max_amount.is_zero() => MessageKind::Report,
        Packet::Request(..) => MessageKind::Borrow,
        Packet::Reply(..) => MessageKind::Reply,
        Packet::Append(record) => match record {
            RightsRecord::Limit { .. } => MessageKind::Limit,
            RightsRecord::Assign { .. } | RightsRecord::Snapshot { .. } => MessageKind::Assign,
            RightsRecord::Renew { .. } => MessageKind::Renew,
            RightsRecord::Transfer { .. } => MessageKind::Transfer,
            RightsRecord::Release { .. } => MessageKind::Release,
            RightsRecord::Takeover { .. } => MessageKind::Takeover,
            RightsRecord::Reclaim { .. } => MessageKind::Reclaim,
        },
    }
}
