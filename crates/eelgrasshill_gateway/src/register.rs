//! Registers this host in the store and removes hosts that are gone.
//!
//! Hosts find each other by these registrations. The root of a zone removes a host that was in
//! none of the totals it received for a while, for example after the host's machine was lost.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment};
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::HostHash;

use crate::codec::{PlatformCodec, StoreClient, Topic};
use crate::shared::Shared;

/// Time between checks of the registrations.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long a host must be missing from all totals before it is removed.
///
/// Longer than a restart takes.
const MAX_HOST_SILENCE: Duration = Duration::from_secs(20);

/// Keeps this host registered until it stops.
pub(crate) async fn register<C: PlatformCodec, S: StoreClient>(shared: Arc<Shared<C>>, store: S) {
    let mut silent_since = FastMap::default();
    let value = match serde_json::to_vec(&shared.self_peer) {
        Ok(value) => value,
        Err(error) => {
            log::error!("hosts: the registration cannot be serialised: {error}");
            return;
        }
    };
    while !shared.is_stopped() {
        let name = &shared.settings.name;
        if shared.leaving().is_none() && !is_registered(&shared, &value) {
            write_registration(&store, name, &value).await;
        }
        for host in silent_hosts(&shared, &mut silent_since, BootClock.now()) {
            log::info!(
                "hosts: host={host} removed, \
                 missing from all totals for more than {MAX_HOST_SILENCE:?}"
            );
            write_registration(&store, &host, &[]).await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Removes this host's registration.
pub(crate) async fn unregister<C: PlatformCodec, S: StoreClient>(shared: &Shared<C>, store: &S) {
    write_registration(store, &shared.settings.name, &[]).await;
}

async fn write_registration<S: StoreClient>(store: &S, host: &HostName, value: &[u8]) {
    if let Err(error) = store.append(Topic::Hosts, host.as_str(), value, None).await {
        log::info!("hosts: host={host} registration not written: {error}");
    }
}

fn is_registered<C: PlatformCodec>(shared: &Shared<C>, value: &[u8]) -> bool {
    let state = shared.state();
    let known = state.hosts.get(shared.settings.name.as_str());
    known.is_some_and(|record| &*record.value == value)
}

/// Returns the registered hosts that are gone; none unless this host is the root of its zone.
fn silent_hosts<C: PlatformCodec>(
    shared: &Shared<C>,
    silent_since: &mut FastMap<HostName, Moment>,
    now: Moment,
) -> Vec<HostName> {
    let mut state = shared.state();
    if state.tree.position(now).parent.is_some() {
        silent_since.clear();
        return Vec::new();
    }
    let reported = state.received_totals.elsewhere(now).hosts;
    let names: Vec<_> = state.tree.peers().map(|peer| peer.host.clone()).collect();
    drop(state);
    silent_since.retain(|host, _since| names.contains(host));
    let mut silent = Vec::new();
    for host in names {
        if host == shared.settings.name || reported.contains(&HostHash::new(&host)) {
            silent_since.remove(&host);
        } else if now.since(*silent_since.entry(host.clone()).or_insert(now)) > MAX_HOST_SILENCE {
            silent_since.insert(host.clone(), now);
            silent.push(host);
        }
    }
    silent
}
