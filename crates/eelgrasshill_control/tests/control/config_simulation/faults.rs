//! Injects planned faults, and simulates hosts with a disabled mechanism.

use eelgrasshill_control::{CatchUp, Checkpoint, ConfigEntry, ConfigFold, Delta};
use eelgrasshill_domain::{AppendId, ConfigRecord, Moment, Offset};

use super::{Disabled, Message, Simulation, Step};
use crate::log::Delivery;

impl Simulation {
    /// Applies a planned fault to a page or delta.
    ///
    /// Returns `None` if the page or delta is lost or late.
    pub(super) fn apply_planned_fault(
        &mut self,
        step: Step,
        host: usize,
        page: Delta<ConfigEntry>,
    ) -> Option<Delta<ConfigEntry>> {
        if page.records.is_empty() {
            return Some(page);
        }
        match self.planned_deliveries.remove(&step) {
            Some(Delivery::AnswerLost | Delivery::NeverArrived) => None,
            Some(Delivery::Late(delay_ms)) => {
                // The late page arrives as a reply, since only replies carry updates.
                let leaving = false;
                let own_heartbeat = self.simulated_hosts[host].members.heartbeat(
                    Offset(0),
                    leaving,
                    Moment(self.now_ms),
                );
                let late = Message::Reply(own_heartbeat, Some(Box::new(CatchUp::Delta(page))));
                self.seq += 1;
                self.pending_messages
                    .insert((self.now_ms + delay_ms, self.seq), (host, host, late));
                None
            }
            Some(Delivery::Twice(_)) => {
                let mut records = page.records.clone();
                records.extend(page.records);
                Some(Delta::new(page.from, records))
            }
            Some(Delivery::Normal) | None => Some(page),
        }
    }

    /// Changes a page so that applying it has the effect of a host without the mechanism.
    pub(super) fn disable_mechanism(
        &self,
        host: usize,
        mut page: Delta<ConfigEntry>,
    ) -> Delta<ConfigEntry> {
        let mut fold = self.simulated_hosts[host].fold.clone();
        for stored in &mut page.records {
            match (&self.disabled, &mut stored.record) {
                (Disabled::DedupeCheck, _) => {
                    let id = format!("{}-{}", stored.id, stored.offset);
                    stored.id = AppendId::new(&id).unwrap();
                }
                (Disabled::VersionCheck, ConfigEntry::Record(ConfigRecord::Edit(edit))) => {
                    for change in &mut edit.changes {
                        change.base = fold.version(&change.key);
                    }
                }
                (Disabled::RecentAppends, ConfigEntry::Checkpoint(saved)) => {
                    saved.recent_appends.clear();
                }
                _ => {}
            }
            if self.disabled == Disabled::VersionCheck {
                fold.apply(stored);
            }
        }
        page
    }
}

/// Marks missing records as applied, as a host without the gap check would.
pub(super) fn skip_gap(fold: &mut ConfigFold, first_kept: Offset) {
    if first_kept > fold.last().next() {
        let through = Offset(first_kept.0 - 1);
        fold.adopt(&Checkpoint {
            through,
            ..fold.checkpoint()
        });
    }
}
