//! A stand-in for the platform's host list, in which edits appear after a lag.
//!
//! The lag lets tests check that readers cope with an outdated list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::HttpResponse;
use actix_web::web::{self, Json, ServiceConfig};
use eelgrasshill_ports::ListedHost;

use crate::fault::Faults;
use crate::server::Standin;
use crate::sync::lock;

/// Settings of the host list.
#[derive(Clone, Debug)]
pub struct HostsSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Time until an edit becomes visible.
    pub lag: Duration,
    /// The hosts listed at the start.
    pub hosts: Vec<ListedHost>,
}

impl Default for HostsSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: Duration::from_secs(1),
            hosts: Vec::new(),
        }
    }
}

#[derive(Debug)]
struct HostLists {
    visible_hosts: Vec<ListedHost>,
    /// Edits with the times at which they become visible, in order.
    pending_edits: Vec<(Instant, Vec<ListedHost>)>,
}

/// A stand-in for the platform's host list.
#[derive(Clone, Debug)]
pub struct Hosts {
    listen: SocketAddr,
    lag: Duration,
    lists: Arc<Mutex<HostLists>>,
    faults: Faults,
}

impl Hosts {
    /// Creates a list in which the hosts of the settings are visible at once.
    #[must_use]
    pub fn new(settings: HostsSettings) -> Self {
        let lists = HostLists {
            visible_hosts: settings.hosts,
            pending_edits: Vec::new(),
        };
        Self {
            listen: settings.listen,
            lag: settings.lag,
            lists: Arc::new(Mutex::new(lists)),
            faults: Faults::new(),
        }
    }

    /// Replaces the hosts; readers see the change after the lag.
    pub fn replace_hosts(&self, hosts: Vec<ListedHost>) {
        let visible_at = Instant::now() + self.lag;
        lock(&self.lists).pending_edits.push((visible_at, hosts));
    }

    /// Returns the hosts that are visible to readers now.
    #[must_use]
    pub fn visible_hosts(&self) -> Vec<ListedHost> {
        let now = Instant::now();
        let mut lists = lock(&self.lists);
        while lists
            .pending_edits
            .first()
            .is_some_and(|(visible_at, _hosts)| *visible_at <= now)
        {
            let (_due, hosts) = lists.pending_edits.remove(0);
            lists.visible_hosts = hosts;
        }
        lists.visible_hosts.clone()
    }
}

impl Standin for Hosts {
    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn listen(&self) -> SocketAddr {
        self.listen
    }

    fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/hosts", web::get().to(list))
            .route("/admin/hosts", web::post().to(replace));
    }
}

async fn list(hosts: web::Data<Hosts>) -> Json<Vec<ListedHost>> {
    Json(hosts.visible_hosts())
}

async fn replace(hosts: web::Data<Hosts>, list: Json<Vec<ListedHost>>) -> HttpResponse {
    hosts.replace_hosts(list.into_inner());
    HttpResponse::NoContent().finish()
}
