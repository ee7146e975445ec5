//! What the holder orders: sealing engines, closing orders, and sending what the log has.

use eelgrasshill_domain::{FastSet, Fencing, HostName, Moment, Offset};

use crate::holder::Holder;
use crate::misses::MissEnd;
use crate::{Action, Effect, LeaseRecord, Order, OrderId, Stage};

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
    pub(crate) fn is_outage(&self, now: Moment) -> bool {
        self.log_failed && self.lease.fence().is_some() && !self.lease.is_valid(now)
    }

    pub(crate) fn may_order(&self, engine: &HostName, now: Moment) -> bool {
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
            self.hurry = true;
        }
        let due = self.is_round_due(now);
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
                    | Stage::Shown { .. }
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
