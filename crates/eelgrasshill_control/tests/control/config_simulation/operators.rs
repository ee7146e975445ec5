//! Simulates operators who edit concurrently, each based on the state of a host.

use eelgrasshill_control::{Publication, PublishStep};
use eelgrasshill_domain::{AppendId, ConfigRecord, Moment, PoolKind, Row, Target};
use rand::RngExt;

use super::{ConfigFold, Disabled, HOSTS, Operator, PAGE_RECORDS, Simulation, Step};
use crate::builders::{
    change, edit, issue, org_key, org_row, pool_key, pool_row, route, route_key, withdraw,
};

impl Simulation {
    /// Starts a random edit, based on the state of a random host.
    pub(crate) fn start_edit(&mut self) {
        let host = self.rng.random_range(0..HOSTS);
        let fold = self.simulated_hosts[host].fold.clone();
        let record = self.random_record(&fold);
        self.seq += 1;
        let id = AppendId::new(&format!("operator-{}", self.seq)).unwrap();
        let publish = Publication::new(id.clone(), record.clone(), Moment(self.now_ms));
        self.operators.push(Operator {
            fold,
            publish,
            record,
            append_ids: vec![id],
        });
    }

    fn random_record(&mut self, fold: &ConfigFold) -> ConfigRecord {
        let number = self.rng.random_range(0..4);
        let org = format!("org-{number}");
        let pool = format!("pool-{number}");
        // One draw gives the rate, the path and the number of the key.
        let rate = self.rng.random_range(1..1000);
        let plain_route = route(Some(&org), Target::Path(format!("/{rate}")), &pool);
        let is_removed = self.rng.random_bool(0.3);
        let (key, row) = match self.rng.random_range(0..7) {
            0 | 1 => (org_key(&org), org_row(rate)),
            2 | 3 => (pool_key(&pool), pool_row(PoolKind::Plain)),
            4 | 5 => (
                route_key(&format!("route-{number}")),
                Row::from(plain_route),
            ),
            _ if is_removed => return withdraw(&format!("key-{}", rate % 8)),
            _ => return issue(&format!("key-{}", rate % 8), &org),
        };
        let base = fold.version(&key).0;
        edit(vec![change(key, base, (!is_removed).then_some(row))])
    }

    pub(super) fn step_operators(&mut self) {
        for mut operator in std::mem::take(&mut self.operators) {
            if !self.step_operator(&mut operator) {
                self.operators.push(operator);
            }
        }
    }

    /// Takes the next step of an operator, and returns whether the operator is done.
    fn step_operator(&mut self, operator: &mut Operator) -> bool {
        let now = Moment(self.now_ms);
        match operator.publish.step(&operator.fold, now) {
            PublishStep::Append(id, record) => {
                let delivery = self
                    .planned_deliveries
                    .remove(&Step::Publish)
                    .unwrap_or_else(|| self.delivery());
                let answer = self.log.append(&id, record.into(), delivery, self.now_ms);
                self.update_reference();
                operator.publish.handle_answer(answer, now);
                if self.disabled == Disabled::ReadBeforeRetry && answer.is_err() {
                    let text = format!(
                        "{}-try-{}",
                        operator.append_ids[0],
                        operator.append_ids.len()
                    );
                    let id = AppendId::new(&text).unwrap();
                    operator.append_ids.push(id.clone());
                    operator.publish = Publication::new(id, operator.record.clone(), now);
                }
                false
            }
            PublishStep::Read(from) => {
                if let Some((first, page, is_end)) = self.log.read(from, PAGE_RECORDS) {
                    let is_read = operator.fold.read(first, &page).is_ok();
                    if is_end && is_read {
                        operator.publish.mark_end_reached(now);
                    }
                }
                false
            }
            PublishStep::Wait => false,
            PublishStep::Done(outcome) => {
                self.check_outcome(operator, &outcome);
                true
            }
        }
    }

    /// Stops the commands of all operators at their current step.
    pub(crate) fn crash_operators(&mut self) {
        self.operators.clear();
    }

    pub(crate) fn pending_operators(&self) -> usize {
        self.operators.len()
    }
}
