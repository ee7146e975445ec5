//! Reads the host list and the engines' reports.
//!
//! The readers of a zone share its engines; any host asks an engine itself
//! once the report that it was passed is old.

use std::rc::Rc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use eelgrasshill_domain::{HostName, Moment, rendezvous_order};
use eelgrasshill_ports::{Engine, HostList};

use crate::control::actor::address_in;
use crate::control::messages::{HostsRead, Reported};
use crate::control::{Control, Outside};

/// How often the host list is read.
const HOSTS: Duration = Duration::from_secs(1);

/// How often an engine is asked for its report.
const REPORTS: Duration = Duration::from_millis(500);

/// Age of a report after which a host asks the engine itself.
const OLD: Duration = Duration::from_secs(3);

impl<O: Outside> Control<O> {
    /// Reads the host list again and again.
    pub(crate) fn poll_hosts(&mut self, context: &mut Context<Self>) {
        let outside = Rc::clone(&self.outside);
        let addr = context.address();
        let poll = async move {
            loop {
                match outside.hosts().hosts().await {
                    Ok(hosts) => addr.do_send(HostsRead(hosts)),
                    Err(error) => log::debug!("hosts: {error}"),
                }
                tokio::time::sleep(HOSTS).await;
            }
        };
        context.spawn(poll.into_actor(self));
    }

    /// Asks the engines that are this host's to ask.
    pub(crate) fn poll_engines(&mut self, context: &mut Context<Self>, now: Moment) {
        let due: Vec<HostName> = self
            .fold
            .tables()
            .hosts
            .iter()
            .filter(|(_name, row)| self.fold.tables().is_engine_pool(&row.pool))
            .filter(|(name, row)| self.is_due(name, row.zone == *self.members.zone(), now))
            .map(|(name, _row)| name.clone())
            .collect();
        for host in due {
            let Some(address) = address_in(self.fold.tables(), &host) else {
                continue;
            };
            self.polled.insert(host.clone(), now);
            let outside = Rc::clone(&self.outside);
            let addr = context.address();
            let ask = async move {
                match outside.engine().report(address).await {
                    Ok(report) if report.host == host => {
                        addr.do_send(Reported { report, asked: now });
                    }
                    Ok(report) => log::warn!("report: {host} answers as {}", report.host),
                    Err(error) => log::debug!("report: {host}: {error}"),
                }
            };
            context.spawn(ask.into_actor(self).map(|(), _control, _context| ()));
        }
    }

    fn is_due(&self, host: &HostName, is_own: bool, now: Moment) -> bool {
        let polled = self.polled.get(host);
        if polled.is_some_and(|polled| now.since(*polled) < REPORTS) {
            return false;
        }
        let known = self.engines.get(host);
        let is_old = known.is_none_or(|known| now.since(known.heard) > OLD);
        if is_old && polled.is_none_or(|polled| now.since(*polled) >= OLD) {
            return true;
        }
        if !is_own {
            return false;
        }
        let readers = self.members.readers(self.members.zone(), now);
        let chosen = rendezvous_order(readers.iter().map(HostName::as_str), host.as_str());
        chosen
            .first()
            .is_some_and(|reader| *reader == self.members.host().as_str())
    }
}
