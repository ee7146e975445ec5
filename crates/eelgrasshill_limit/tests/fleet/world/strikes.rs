//! Faults that strike one chosen message, and scripted acts.

use eelgrasshill_limit::{RightsRecord, Safeguards};

use super::{Packet, World};
use crate::faults::{Act, Kind, Point, Strike};

impl<S: Safeguards> World<S> {
    /// Returns the fault that strikes a message here, once.
    pub(super) fn strikes(&mut self, packet: &Packet, point: Point) -> Option<Strike> {
        let (struck, at, strike) = self.strike?;
        // The first seconds are left alone, so that all hosts hold shares.
        if struck != kind(packet) || at != point || (self.now < 5_000 && self.skip > 0) {
            return None;
        }
        self.strike = None;
        Some(strike)
    }

    pub(super) fn apply(&mut self, strike: Strike, from: Option<usize>, to: Option<usize>) {
        let pause = self.now + 2 * self.faults.lease;
        match strike {
            Strike::CrashSender | Strike::CrashReceiver => {
                let slot = if strike == Strike::CrashSender {
                    from
                } else {
                    to
                };
                let slot = &mut self.slots[slot.unwrap()];
                slot.node = None;
                slot.wakes = 0;
                slot.back = self.now + 300;
            }
            Strike::PauseSender => self.slots[from.unwrap()].wakes = pause,
            Strike::PauseReceiver => self.slots[to.unwrap()].wakes = pause,
            Strike::CutSender => {
                let zone = self.slots[from.unwrap()].zone;
                self.cut[zone] = pause;
            }
            Strike::LogOut => self.out = pause,
            Strike::Edit => {
                let last = self.edits.last().unwrap().1;
                self.edits.push((self.now, last.part(2)));
            }
            Strike::Lose | Strike::Repeat | Strike::Delay => {}
        }
    }

    pub(super) fn act(&mut self) {
        while self
            .script
            .first()
            .is_some_and(|(at, _act)| *at <= self.now)
        {
            let (_at, act) = self.script.remove(0);
            match act {
                Act::Restart(slot, span) => {
                    self.slots[slot].node = None;
                    self.slots[slot].back = self.now + span;
                }
                Act::Drain(slot) => {
                    let node = self.slots[slot].node.as_mut().unwrap();
                    node.limiter.drain();
                    node.leaving = true;
                }
                Act::Edit(parts) => {
                    let last = self.edits[0].1;
                    self.edits.push((self.now, last.part(parts)));
                }
            }
        }
    }
}

fn kind(packet: &Packet) -> Kind {
    match packet {
        Packet::Request(_, request) if request.max_amount.is_zero() => Kind::Report,
        Packet::Request(..) => Kind::Borrow,
        Packet::Reply(..) => Kind::Reply,
        Packet::Append(record) => match record {
            RightsRecord::Limit { .. } => Kind::Limit,
            RightsRecord::Assign { .. } | RightsRecord::Snapshot { .. } => Kind::Assign,
            RightsRecord::Renew { .. } => Kind::Renew,
            RightsRecord::Transfer { .. } => Kind::Transfer,
            RightsRecord::Release { .. } => Kind::Release,
            RightsRecord::Takeover { .. } => Kind::Takeover,
            RightsRecord::Reclaim { .. } => Kind::Reclaim,
        },
    }
}
