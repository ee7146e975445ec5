//! Registers this host in the store, and takes out hosts that are gone for good.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment};
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::HostHash;

use crate::state::Shared;
use crate::wire::{Store, Topic, Wire};

/// How often the registration is looked at.
const LOOK: Duration = Duration::from_secs(1);

/// How long a host is unheard of before it is taken out: longer than its restart takes.
const GONE: Duration = Duration::from_secs(20);

/// Keeps this host registered until it stops.
pub(crate) async fn register<W: Wire, S: Store>(shared: Arc<Shared<W>>, store: S) {
    let mut unheard = FastMap::default();
    let value = match serde_json::to_vec(&shared.me) {
        Ok(value) => value,
        Err(error) => {
            log::error!("hosts: the registration cannot be written: {error}");
            return;
        }
    };
    while !shared.is_stopped() {
        let name = &shared.settings.name;
        if shared.leaving().is_none() && !is_registered(&shared, &value) {
            write(&store, name, &value).await;
        }
        for host in gone_hosts(&shared, &mut unheard, BootClock.now()) {
            log::info!("hosts: host={host} was not heard of for long, taken out");
            write(&store, &host, &[]).await;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Takes this host out as it stops.
pub(crate) async fn unregister<W: Wire, S: Store>(shared: &Shared<W>, store: &S) {
    write(store, &shared.settings.name, &[]).await;
}

async fn write<S: Store>(store: &S, host: &HostName, value: &[u8]) {
    if let Err(error) = store.append(Topic::Hosts, host.as_str(), value, None).await {
        log::info!("hosts: host={host} not written: {error}");
    }
}

fn is_registered<W: Wire>(shared: &Shared<W>, value: &[u8]) -> bool {
    let desk = shared.desk();
    let known = desk.hosts.get(shared.settings.name.as_str());
    known.is_some_and(|record| &*record.value == value)
}

/// Returns registered hosts that were not heard of for long, where this host is a zone's top.
fn gone_hosts<W: Wire>(
    shared: &Shared<W>,
    unheard: &mut FastMap<HostName, Moment>,
    now: Moment,
) -> Vec<HostName> {
    let mut desk = shared.desk();
    if desk.tree.position(now).parent.is_some() {
        unheard.clear();
        return Vec::new();
    }
    let heard = desk.sums.elsewhere(now).hosts;
    let names: Vec<_> = desk.tree.peers().map(|peer| peer.host.clone()).collect();
    drop(desk);
    unheard.retain(|host, _since| names.contains(host));
    let mut gone = Vec::new();
    for host in names {
        if host == shared.settings.name || heard.contains(&HostHash::new(&host)) {
            unheard.remove(&host);
        } else if now.since(*unheard.entry(host.clone()).or_insert(now)) > GONE {
            unheard.insert(host.clone(), now);
            gone.push(host);
        }
    }
    gone
}
