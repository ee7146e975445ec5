//! Registers this host in the store and removes hosts that are gone.
//!
//! Hosts find each other by these registrations. The first root removes a host that was in none of
//! the totals it received for a while, for example after the host's machine was lost.

use std::sync::Arc;
use std::time::Duration;

use eelgrasshill_domain::{FastMap, HostName, Moment, Offset};
use eelgrasshill_ports::BootClock;
use eelgrasshill_relay::{Era, HostHash, Peer};

use crate::codec::{PlatformCodec, StoreClient, Topic};
use crate::shared::Shared;

/// Time between checks of the registrations.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between these checks until the host knows the registrations.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a host must be missing from all totals before it is removed.
///
/// Longer than a restart takes.
const MAX_HOST_SILENCE: Duration = Duration::from_secs(20);

/// How long a written registration may take to come back along the tree.
const MAX_RETURN_TIME: Duration = Duration::from_secs(10);

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
    let mut written = None;
    while !shared.is_stopped() {
        let now = BootClock.now();
        if shared.leaving().is_none() && needs_registration(&shared, written, now) {
            let name = &shared.settings.name;
            written = write_registration(&store, name, &value)
                .await
                .map(|position| (position, now));
            shared.set_registered();
        }
        for host in silent_hosts(&shared, &mut silent_since, BootClock.now()) {
            log::info!(
                "hosts: host={host} removed, \
                 missing from all totals for more than {MAX_HOST_SILENCE:?}"
            );
            write_registration(&store, &host, &[]).await;
        }
        let is_placed = shared.state().hosts.confirmed_at().is_some();
        tokio::time::sleep(if is_placed {
            CHECK_INTERVAL
        } else {
            START_CHECK_INTERVAL
        })
        .await;
    }
}

/// Removes this host's registration, if other hosts would look for it.
///
/// Most hosts only call others, and most return within seconds. The first root removes those that
/// do not.
pub(crate) async fn unregister<C: PlatformCodec, S: StoreClient>(shared: &Shared<C>, store: &S) {
    if !shared.state().tree.position(BootClock.now()).serves_peers {
        return;
    }
    write_registration(store, &shared.settings.name, &[]).await;
}

/// Writes a registration, or removes it if the value is empty; returns its era and offset.
async fn write_registration<S: StoreClient>(
    store: &S,
    host: &HostName,
    value: &[u8],
) -> Option<(Era, Offset)> {
    match store.append(Topic::Hosts, host.as_str(), value, None).await {
        Ok(position) => Some(position),
        Err(error) => {
            log::info!("hosts: host={host} registration not written: {error}");
            None
        }
    }
}

/// Returns whether this host must write its registration.
///
/// `written` is the position and time of the last one that the store accepted. It may be lost if
/// the registrations are of a later era of the store.
fn needs_registration<C: PlatformCodec>(
    shared: &Shared<C>,
    written: Option<((Era, Offset), Moment)>,
    now: Moment,
) -> bool {
    let state = shared.state();
    if let Some((position, at)) = written
        && (state.hosts.era(), state.hosts.end()) <= position
        && now.since(at) < MAX_RETURN_TIME
    {
        return false;
    }
    if state.hosts.confirmed_at().is_none() {
        return shared.settings.is_first_start;
    }
    let known = state.hosts.get(shared.settings.name.as_str());
    let known = known.and_then(|record| serde_json::from_slice::<Peer>(&record.value).ok());
    // Other hosts need no new record only because the process has restarted.
    !known.is_some_and(|known| {
        let incarnation = known.incarnation;
        let own = Peer {
            incarnation,
            ..shared.self_peer.clone()
        };
        known == own
    })
}

/// Returns the registered hosts that are gone; none unless this host is the first root.
fn silent_hosts<C: PlatformCodec>(
    shared: &Shared<C>,
    silent_since: &mut FastMap<HostName, Moment>,
    now: Moment,
) -> Vec<HostName> {
    let mut state = shared.state();
    if !state.tree.position(now).reads_store {
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
