//! When a planning round is due, what it may rely on, and the intents that come of it.

use std::time::Duration;

use eelgrasshill_domain::{Fencing, Moment, Offset};

use crate::adapters::AdapterRound;
use crate::holder::Holder;
use crate::planner::Slots;
use crate::view::{Source, ZoneView};
use crate::{Effect, Intent, LeaseRecord, Move, Order, OrderId, Stage};

/// Shortest time between two rounds.
const MIN_ROUND: Duration = Duration::from_millis(200);

impl Holder {
    /// Returns whether a round is due, by its period or since something changed.
    pub(crate) fn is_round_due(&self, now: Moment) -> bool {
        let period = if self.hurry {
            MIN_ROUND
        } else {
            self.settings.orders.round
        };
        self.round_at.is_none_or(|at| now.since(at) >= period)
    }

    /// Returns whether no earlier holder's load can still start unseen.
    fn is_sealed(&self, fence: Offset, now: Moment) -> bool {
        let spans = &self.settings.orders;
        let mut open = self
            .ledger
            .unsealed(&self.tables, &self.settings.zone, fence);
        open.all(|engine| !self.is_outage(now) && self.ledger.is_silent(engine, spans, now))
    }

    /// Returns whether all engines of the zone still answer to this holder while the log is out.
    fn is_undisputed(&self, now: Moment) -> bool {
        let spans = &self.settings.orders;
        let mut engines = self.tables.hosts.iter().filter(|(name, host)| {
            host.zone == self.settings.zone
                && host.fencing == Fencing::Checked
                && self.tables.is_engine_pool(&host.pool)
                && !self.ledger.is_leaving(name)
        });
        engines.all(|(name, _host)| !self.ledger.is_silent(name, spans, now))
    }

    pub(crate) fn plan(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        if !self.is_round_due(now) {
            return;
        }
        let outage = self.is_outage(now);
        if !self.is_sealed(fence, now) || (outage && !self.is_undisputed(now)) {
            return;
        }
        self.round_at = Some(now);
        self.hurry = false;
        let moves: Vec<_> = self.choose(fence, now);
        let moves = moves.into_iter().filter(|m| self.may_order(&m.engine, now));
        let moves: Vec<_> = moves.collect();
        self.intend(moves, fence, outage, now, effects);
    }

    fn choose(&mut self, fence: Offset, now: Moment) -> Vec<Move> {
        let settings = &self.settings;
        let spans = &settings.orders;
        let share = usize::try_from(self.share.slots).unwrap_or(0);
        let used = self.ledger.slots(&self.tables, &settings.zone, spans, now);
        let running = self
            .ledger
            .running(&self.tables, &settings.zone, spans, now);
        let slots = Slots {
            new: share.saturating_sub(used),
            repeated: share.saturating_sub(running),
        };
        let flying = self.ledger.adapters_flying(&self.tables, &settings.zone);
        let adapters = usize::try_from(self.share.adapters)
            .unwrap_or(0)
            .saturating_sub(flying);
        let mut view = ZoneView::new(Source {
            zone: &settings.zone,
            tables: &self.tables,
            assignment: &self.assignment,
            ledger: &self.ledger,
            spans: &settings.orders,
            adapter_memory: settings.adapter_memory,
            fence,
            settled: now.since(self.tables_at) >= settings.orders.settle,
            now,
        });
        let missed = self.misses.models();
        let mut moves = self
            .planner
            .round(&mut view, &self.demand, &missed, slots, now);
        let round = AdapterRound {
            wanted: self.misses.adapters(),
            used: &self.adapters_used,
            slots: adapters,
            memory: settings.adapter_memory,
        };
        moves.extend(round.moves(&mut view));
        moves
    }

    fn intend(
        &mut self,
        moves: Vec<Move>,
        fence: Offset,
        outage: bool,
        now: Moment,
        effects: &mut Vec<Effect>,
    ) {
        if moves.is_empty() {
            return;
        }
        let mut intents = Vec::with_capacity(moves.len());
        for Move { engine, action } in moves {
            self.order_seq += 1;
            let id = OrderId {
                fence,
                seq: self.order_seq,
            };
            let order = Order { id, fence, action };
            let stage = if outage {
                Stage::Ready
            } else {
                Stage::Intended
            };
            self.ledger.account_mut(&engine).open(order.clone(), stage);
            intents.push(Intent { engine, order });
        }
        if !outage {
            self.append(LeaseRecord::Intent { fence, intents }, now, effects);
        }
    }
}
