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
            Some(Delivery::Late(by)) => {
                let own = self.simulated_hosts[host].members.heartbeat(
                    Offset(0),
                    false,
                    Moment(self.now),
                );
                let late = Message::Reply(own, Some(Box::new(CatchUp::Delta(page))));
                self.seq += 1;
                self.queue
                    .insert((self.now + by, self.seq), (host, host, late));
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

    /// Changes records to what a host without the mechanism would apply.
    pub(super) fn disable_mechanism(
        &self,
        host: usize,
        mut page: Delta<ConfigEntry>,
    ) -> Delta<ConfigEntry> {
        let mut fold = self.simulated_hosts[host].fold.clone();
        for stored in &mut page.records {
            match (&self.disabled, &mut stored.record) {
                (Disabled::Dedupe, _) => {
                    let id = format!("{}-{}", stored.id, stored.offset);
                    stored.id = AppendId::new(&id).unwrap();
                }
                (Disabled::Versions, ConfigEntry::Record(ConfigRecord::Edit(edit))) => {
                    for change in &mut edit.changes {
                        change.base = fold.version(&change.key);
                    }
                }
                (Disabled::Recent, ConfigEntry::Checkpoint(saved)) => saved.recent_appends.clear(),
                _ => {}
            }
            if self.disabled == Disabled::Versions {
                fold.apply(stored);
            }
        }
        page
    }
}

/// Continues after a gap although records are missing.
pub(super) fn skip_gap(fold: &mut ConfigFold, first: Offset) {
    if first > fold.last().next() {
        let through = Offset(first.0 - 1);
        fold.adopt(&Checkpoint {
            through,
            ..fold.checkpoint()
        });
    }
}
