//! A complete deployment on stand-ins: platform, engines, plain services and entry hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill_domain::{
    ConfigRecord, Edit, Host, HostName, KeyId, KeyText, OrgName, PoolKind, RowChange, Tables,
    Version, ZoneName,
};
use eelgrasshill_entry::EntryHost;
use eelgrasshill_ports::{HostRole, HostState, ListedHost};
use eelgrasshill_standin::{
    Engine, EngineSettings, Hosts, HostsSettings, Log, LogSettings, PlainService, PlainSettings,
    RunningServer, Standin, StoreSettings, WeightStore,
};

use crate::key::issue_in;
use crate::{CommandError, Example, LogSession};

/// The maximum wait until every host has the tables, reports and keys.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The window to which the limit on loads in the settings applies, in seconds.
const LOADS_WINDOW_SECONDS: f64 = 10.0;

/// The time between leaving the load balancer and closing the listener, at shutdown.
///
/// A deployment on stand-ins has no load balancer, so a short time suffices.
const READINESS_DELAY: Duration = Duration::from_millis(500);

/// The wait between two checks of the hosts or engines.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The settings of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSettings {
    /// The example that gives the tables and zones.
    pub example: Example,
    /// The number of entry hosts in each zone.
    pub hosts_per_zone: usize,
    /// The factor by which the engines run faster than usual.
    pub speed: u32,
    /// The address for callers of the first host; port 0 selects a free port.
    pub listen: SocketAddr,
}

impl DeploymentSettings {
    /// Creates settings with one host per zone, usual speed and a free port.
    #[must_use]
    pub fn new(example: Example) -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            example,
            hosts_per_zone: 1,
            speed: 1,
            listen,
        }
    }
}

/// A running deployment; dropping it stops the stand-ins.
#[derive(Debug)]
pub struct Deployment {
    /// The stand-in of the log service.
    pub log: RunningServer<Log>,
    /// The stand-in of the host list service.
    pub host_list: RunningServer<Hosts>,
    /// The stand-in of the weight store.
    pub store: RunningServer<WeightStore>,
    /// The stand-ins of the engines.
    pub engines: Vec<RunningServer<Engine>>,
    /// The stand-ins of the plain services.
    pub plain_services: Vec<RunningServer<PlainService>>,
    /// The entry hosts, the first of each zone before the second ones.
    pub entry_hosts: Vec<EntryHost>,
    /// The tables as published, with the addresses of the stand-ins.
    pub tables: Tables,
}

impl Deployment {
    /// Starts all parts, publishes the tables and waits until all hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when a part does not start or become ready.
    pub async fn start(settings: DeploymentSettings) -> Result<Self, CommandError> {
        let mut tables = settings.example.tables()?;
        let entry = settings.example.entry()?;
        let log = Log::new(LogSettings::default()).spawn_thread()?;
        let store = WeightStore::new(StoreSettings {
            model_loads_per_second: f64::from(
                u32::try_from(entry.fleet_limits.loads_per_10s).unwrap_or(u32::MAX),
            ) / LOADS_WINDOW_SECONDS,
            full_speed_model_loads: u32::try_from(entry.fleet_limits.max_parallel_loads)
                .unwrap_or(u32::MAX),
            full_speed_adapter_loads: u32::try_from(entry.fleet_limits.max_parallel_adapters)
                .unwrap_or(u32::MAX),
            ..StoreSettings::default()
        })
        .spawn_thread()?;
        let mut engines = Vec::new();
        let mut plain_services = Vec::new();
        for (name, host) in &mut tables.hosts {
            let kind = tables.pools.get(&host.pool).map(|pool| pool.kind);
            host.address = if kind == Some(PoolKind::Engines) {
                let engine = start_engine(name, host, store.address, settings.speed)?;
                let address = engine.address;
                engines.push(engine);
                address
            } else {
                let name = name.to_string();
                let service = PlainService::new(PlainSettings {
                    name,
                    ..PlainSettings::default()
                })
                .spawn_thread()?;
                let address = service.address;
                plain_services.push(service);
                address
            };
        }
        let host_list = Hosts::new(HostsSettings::default()).spawn_thread()?;
        let mut deployment = Self {
            log,
            host_list,
            store,
            engines,
            plain_services,
            entry_hosts: Vec::new(),
            tables,
        };
        deployment.publish().await?;
        deployment.start_hosts(settings)?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn publish(&self) -> Result<(), CommandError> {
        let mut session = LogSession::open(self.log.address).await?;
        let changes = self
            .tables
            .keys()
            .into_iter()
            .map(|key| RowChange {
                base: Version(0),
                row: self.tables.get(&key),
                key,
            })
            .collect();
        let edit = Edit {
            author: "demo".to_owned(),
            changes,
        };
        session.publish(ConfigRecord::Edit(edit)).await?;
        Ok(())
    }

    fn start_hosts(&mut self, settings: DeploymentSettings) -> Result<(), CommandError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        for number in 0..settings.hosts_per_zone {
            for zone in settings.example.zones()? {
                let mut entry = settings.example.entry()?;
                entry.name = HostName::new(&format!("{zone}-{}", number + 1))?;
                entry.zone = zone;
                entry.caller_address = if self.entry_hosts.is_empty() {
                    settings.listen
                } else {
                    any_port
                };
                entry.peer_address = any_port;
                entry.admin_address = any_port;
                entry.log_address = self.log.address;
                entry.host_list_address = self.host_list.address;
                entry.fallback_peers = Vec::new();
                entry.bounds.readiness_delay = READINESS_DELAY;
                self.entry_hosts.push(EntryHost::start(entry, None)?);
            }
        }
        self.host_list.handle.replace_hosts(self.listed_hosts());
        Ok(())
    }

    fn listed_hosts(&self) -> Vec<ListedHost> {
        let entries = self.entry_hosts.iter().map(|host| {
            let settings = &host.shared().settings;
            ListedHost {
                host: settings.name.clone(),
                zone: settings.zone.clone(),
                address: settings.peer_address,
                role: HostRole::Entry,
                state: HostState::Live,
            }
        });
        let upstreams = self.tables.hosts.iter().map(|(name, host)| ListedHost {
            host: name.clone(),
            zone: host.zone.clone(),
            address: host.address,
            role: HostRole::Upstream,
            state: HostState::Live,
        });
        entries.chain(upstreams).collect()
    }

    async fn wait_ready(&self) -> Result<(), CommandError> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let is_ready = self.entry_hosts.iter().all(|host| {
                let view = host.shared().view.load();
                let reports = view
                    .upstreams()
                    .iter()
                    .filter(|upstream| upstream.report.is_some())
                    .count();
                host.shared().is_ready() && reports == self.engines.len()
            });
            if is_ready {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(CommandError::NotReady)
    }

    /// Waits until every model is resident in each zone, for at most `timeout`.
    ///
    /// Returns the pairs of model and zone that are still missing.
    pub async fn wait_resident(&self, zones: &[ZoneName], timeout: Duration) -> Vec<String> {
        let started = Instant::now();
        loop {
            let missing = self.missing_models(zones);
            if missing.is_empty() || started.elapsed() > timeout {
                return missing;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn missing_models(&self, zones: &[ZoneName]) -> Vec<String> {
        let reports: Vec<_> = self
            .engines
            .iter()
            .map(|engine| engine.handle.report())
            .collect();
        let mut missing = Vec::new();
        for model in self.tables.models.keys() {
            for zone in zones {
                let is_resident = reports.iter().any(|report| {
                    let host = self.tables.hosts.get(&report.host);
                    host.is_some_and(|host| host.zone == *zone)
                        && report
                            .resident
                            .iter()
                            .any(|resident| resident.model == *model)
                });
                if !is_resident {
                    missing.push(format!("{model} in {zone}"));
                }
            }
        }
        missing
    }

    /// Issues a key and waits until every host accepts it.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the key is rejected or a host does not accept it in time.
    pub async fn issue_key(&self, organisation: &str) -> Result<KeyText, CommandError> {
        let mut session = LogSession::open(self.log.address).await?;
        let organisation = OrgName::new(organisation)?;
        let id = KeyId::new(&format!("{organisation}-key"))?;
        let key = issue_in(&mut session, organisation, id.clone()).await?;
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let is_known =
                |host: &EntryHost| host.shared().snapshot.load().access.is_key_valid(&id);
            if self.entry_hosts.iter().all(is_known) {
                return Ok(key);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(CommandError::NotReady)
    }

    /// Returns the address for callers of a host.
    ///
    /// # Panics
    ///
    /// Panics if there is no host with that index.
    #[must_use]
    pub fn address(&self, host: usize) -> SocketAddr {
        self.entry_hosts[host].shared().settings.caller_address
    }

    /// Shuts all hosts down gracefully and returns whether each ended in time.
    #[must_use]
    pub fn drain(self) -> bool {
        let threads: Vec<_> = self
            .entry_hosts
            .into_iter()
            .map(|host| std::thread::spawn(|| host.drain()))
            .collect();
        threads
            .into_iter()
            .all(|thread| thread.join().unwrap_or(false))
    }
}

fn start_engine(
    name: &HostName,
    host: &Host,
    store: SocketAddr,
    speed: u32,
) -> Result<RunningServer<Engine>, CommandError> {
    let settings = EngineSettings {
        memory_mb: host.memory_mb,
        fencing: host.fencing,
        store: Some(store),
        ..EngineSettings::new(name.clone()).with_speed(speed)
    };
    Ok(Engine::new(settings).spawn_thread()?)
}
