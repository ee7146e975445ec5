//! Polls the host list and the engines' reports.
//!
//! The readers of a zone, its entry hosts that read the configuration from the log, divide
//! its engines among themselves. Any host polls an engine itself once the latest report
//! that it received is too old.

use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use eelgrasshill_domain::{HostName, Moment, rendezvous_order};
use eelgrasshill_ports::{EngineClient, HostList};

use crate::control::actor::address_in;
use crate::control::messages::{EngineReportReceived, HostListRead};
use crate::control::{Control, ServiceClients};

/// Pause between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two polls of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Age of a report after which any host polls the engine itself.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Minimum time between two polls of an engine whose report is too old.
const STALE_POLL_INTERVAL: Duration = MAX_REPORT_AGE;

impl<C: ServiceClients> Control<C> {
    /// Starts polling the host list.
    pub(crate) fn poll_hosts(&mut self, ctx: &mut Context<Self>) {
        let clients = Rc::clone(&self.clients);
        let addr = ctx.address();
        let poll = async move {
            loop {
                match clients.host_list().hosts().await {
                    Ok(hosts) => addr.do_send(HostListRead(hosts)),
                    Err(error) => log::debug!("hosts: cannot read the host list: {error}"),
                }
                tokio::time::sleep(HOST_LIST_INTERVAL).await;
            }
        };
        ctx.spawn(poll.into_actor(self));
    }

    /// Polls the engines assigned to this host and those whose reports are too old.
    pub(crate) fn poll_engines(&mut self, ctx: &mut Context<Self>, now: Moment) {
        let due: Vec<HostName> = self
            .config
            .tables()
            .hosts
            .iter()
            .filter(|(_name, row)| self.config.tables().is_engine_pool(&row.pool))
            .filter(|(name, row)| self.is_poll_due(name, row.zone == *self.members.zone(), now))
            .map(|(name, _row)| name.clone())
            .collect();
        for host in due {
            let Some(address) = address_in(self.config.tables(), &host) else {
                continue;
            };
            self.polled_at.insert(host.clone(), now);
            let clients = Rc::clone(&self.clients);
            let addr = ctx.address();
            let poll = async move {
                match clients.engine().report(address).await {
                    Ok(report) if report.host == host => {
                        addr.do_send(EngineReportReceived {
                            report,
                            requested_at: now,
                        });
                    }
                    Ok(report) => log::warn!(
                        "report: expected a report of {host}, got one of {}",
                        report.host
                    ),
                    Err(error) => log::debug!("report: cannot read the report of {host}: {error}"),
                }
            };
            ctx.spawn(poll.into_actor(self).map(|(), _control, _ctx| ()));
        }
    }

    /// Returns whether this host should poll an engine now.
    fn is_poll_due(&self, host: &HostName, is_own_zone: bool, now: Moment) -> bool {
        let polled_at = self.polled_at.get(host);
        if polled_at.is_some_and(|polled_at| now.since(*polled_at) < REPORT_INTERVAL) {
            return false;
        }
        let engine = self.engines.get(host);
        let is_old = engine.is_none_or(|engine| now.since(engine.received_at) > MAX_REPORT_AGE);
        if is_old && polled_at.is_none_or(|polled_at| now.since(*polled_at) >= STALE_POLL_INTERVAL)
        {
            return true;
        }
        if !is_own_zone {
            return false;
        }
        let readers = self.members.readers(self.members.zone(), now);
        let reader_order = rendezvous_order(readers.iter().map(HostName::as_str), host.as_str());
        reader_order
            .first()
            .is_some_and(|reader| *reader == self.members.host().as_str())
    }
}
