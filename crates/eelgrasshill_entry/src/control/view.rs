//! Builds the view of the upstreams that the dispatcher chooses from.
//!
//! It joins the tables, the host list, the engines' reports and the concurrency limits.

use std::sync::Arc;

use eelgrasshill_domain::Moment;
use eelgrasshill_route::{Presence, ResidentModel, Upstream, UpstreamReport, View};

use crate::control::engines::TrackedEngine;
use crate::control::{Control, ServiceClients};
use eelgrasshill_ports::lock;

impl<C: ServiceClients> Control<C> {
    /// Rebuilds the view and publishes it to the traffic threads.
    pub(crate) fn rebuild_view(&mut self, now: Moment) {
        self.view_stale = false;
        let mut concurrency = lock(&self.shared.concurrency);
        concurrency.retain(|host| self.config.tables().hosts.contains_key(host));
        let upstreams = self
            .config
            .tables()
            .hosts
            .iter()
            .map(|(name, row)| {
                let mut upstream = Upstream::new(name.clone(), row.pool.clone(), row.zone.clone());
                if self.leaving_upstreams.contains(name) {
                    upstream = upstream.with_presence(Presence::Leaving);
                }
                if let Some(engine) = self.engines.get(name) {
                    let (running, _waiting) = engine.running_and_waiting();
                    let slots = concurrency.usable_slots(name, running, engine.report.slots, now);
                    upstream = with_report(upstream, engine, slots);
                }
                upstream
            })
            .collect();
        drop(concurrency);
        let view = View::new(self.members.zone(), upstreams);
        self.shared.view.store(Arc::new(view));
    }
}

fn with_report(mut upstream: Upstream, engine: &TrackedEngine, slots: u32) -> Upstream {
    let report = &engine.report;
    let (running, waiting) = engine.running_and_waiting();
    upstream = upstream
        .with_software(report.software.clone())
        .with_report(UpstreamReport {
            running,
            waiting,
            slots,
            taken_at: engine.taken_at,
        });
    for resident in &report.resident {
        upstream = upstream.with_resident(ResidentModel {
            model: resident.model.clone(),
            version: resident.version.clone(),
            adapters: resident.adapters.clone(),
        });
    }
    upstream
}
