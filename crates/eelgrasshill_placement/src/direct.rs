//! What the holder orders: sealing engines, planning, and sending what the log has taken in.

use eelgrasshill_domain::{FastSet, Fencing, HostName, Moment, Offset};

use crate::adapters::AdapterRound;
use crate::holder::Holder;
use crate::misses::MissEnd;
use crate::planner::Slots;
use crate::view::{Source, ZoneView};
use crate::{Action, Effect, Intent, LeaseRecord, Move, Order, OrderId, Stage};

impl Holder {
    /// Does what the holder of the lease has to do.
    pub(crate) fn direct(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Some(fence) = self.lease.fence() else {
            self.settle_misses(now, effects);
            return;
        };
        if self.lease.is_valid(now) || self.is_outage(now) {
            self.seal(fence, now, effects);
            self.close_orders(fence, now, effects);
            self.plan(fence, now, effects);
            self.send_ready(fence, now, effects);
        }
        self.settle_misses(now, effects);
    }

    /// Returns whether this host holds a lapsed lease that nobody can see lapse.
    ///
    /// Then it goes on with engines that check fencing numbers: a successor's is higher.
    fn is_outage(&self, now: Moment) -> bool {
        self.log_failed && self.lease.fence().is_some() && !self.lease.is_valid(now)
    }

    fn may_order(&self, engine: &HostName, now: Moment) -> bool {
        let checked = self
            .tables
            .hosts
            .get(engine)
            .is_some_and(|host| host.fencing == Fencing::Checked);
        self.lease.is_valid(now) || (checked && self.is_outage(now))
    }

    fn seal(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        let spans = &self.settings.orders;
        let unsealed: Vec<_> = self
            .ledger
            .unsealed(&self.tables, &self.settings.zone, fence)
            .cloned()
            .collect();
        for engine in unsealed {
            let sent = self.seals.get(&engine);
            if sent.is_some_and(|at| now.since(*at) < spans.resend) {
                continue;
            }
            self.order_seq += 1;
            let id = OrderId {
                fence,
                seq: self.order_seq,
            };
            self.seals.insert(engine.clone(), now);
            let order = Order {
                id,
                fence,
                action: Action::Seal,
            };
            effects.push(Effect::Send { engine, order });
        }
    }

    fn close_orders(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        if self
            .ledger
            .close(&self.tables, fence, &self.settings.orders, now)
        {
            // Room or a slot may have come free.
            self.round_at = None;
        }
        let due = self
            .round_at
            .is_none_or(|at| now.since(at) >= self.settings.orders.round);
        if due && !self.lease.fold().open().is_empty() {
            self.resolve(fence, now, effects);
        }
    }

    /// Tells successors which orders of the log can take effect no more.
    fn resolve(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        let open = self.ledger.open_ids();
        let noted = self
            .unread
            .values()
            .filter_map(|unread| match &unread.record {
                LeaseRecord::Resolved { orders, .. } => Some(orders),
                _ => None,
            });
        let noted: FastSet<_> = noted.flatten().collect();
        let known = self.lease.fold().open().keys();
        let orders = known
            .filter(|id| !open.contains(*id) && !noted.contains(*id))
            .copied();
        let orders: Vec<_> = orders.collect();
        if !orders.is_empty() {
            self.append(LeaseRecord::Resolved { fence, orders }, now, effects);
        }
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

    fn plan(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        if self
            .round_at
            .is_some_and(|at| now.since(at) < self.settings.orders.round)
        {
            return;
        }
        let outage = self.is_outage(now);
        if !self.is_sealed(fence, now) || (outage && !self.is_undisputed(now)) {
            return;
        }
        self.round_at = Some(now);
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

    /// Makes orders ready whose intents are in the log.
    pub(crate) fn ready_orders(&mut self) {
        let open = self.lease.fold().open();
        for (_engine, account) in self.ledger.accounts_mut() {
            for order in account.orders_mut() {
                if order.stage == Stage::Intended && open.contains_key(&order.order.id) {
                    order.stage = Stage::Ready;
                }
            }
        }
    }

    fn send_ready(&mut self, fence: Offset, now: Moment, effects: &mut Vec<Effect>) {
        let valid = self.lease.is_valid(now);
        let spans = self.settings.orders;
        for (engine, account) in self.ledger.present_mut() {
            let checked = self
                .tables
                .hosts
                .get(engine)
                .is_some_and(|host| host.fencing == Fencing::Checked);
            if !valid && !checked {
                continue;
            }
            for open in account.orders_mut() {
                let stage = match open.stage {
                    Stage::Intended if !valid => Stage::Ready,
                    stage => stage,
                };
                let first = match stage {
                    Stage::Ready if open.order.action.is_load() && !self.pace.take(now) => continue,
                    Stage::Ready => now,
                    Stage::Sent { first, last }
                        if now.since(last) >= spans.resend && now.since(first) < spans.window =>
                    {
                        first
                    }
                    Stage::Intended
                    | Stage::Sent { .. }
                    | Stage::Answered { .. }
                    | Stage::Foreign { .. } => continue,
                };
                open.stage = Stage::Sent { first, last: now };
                open.order.fence = fence;
                let order = open.order.clone();
                effects.push(Effect::Send {
                    engine: engine.clone(),
                    order,
                });
            }
        }
    }

    fn settle_misses(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let ledger = &self.ledger;
        let (tables, zone, spans) = (&self.tables, &self.settings.zone, &self.settings.orders);
        let ended = self.misses.settle(now, |model, adapter| {
            tables
                .hosts
                .iter()
                .filter(|(_name, host)| host.zone == *zone)
                .any(|(name, _host)| {
                    let report = ledger
                        .account(name)
                        .and_then(|account| account.fresh(now, spans));
                    report.is_some_and(|report| match adapter {
                        Some(adapter) => report.has_adapter(model, adapter),
                        None => report
                            .resident
                            .iter()
                            .any(|resident| resident.model == *model),
                    })
                })
        });
        for (model, adapter, end) in ended {
            effects.push(match end {
                MissEnd::Met => Effect::MissMet { model, adapter },
                MissEnd::Expired => Effect::MissExpired { model, adapter },
            });
        }
    }
}
