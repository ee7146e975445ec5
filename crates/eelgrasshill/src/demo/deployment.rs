//! A whole deployment on stand-ins: platform, engines, plain services and entry hosts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill_domain::{
    ConfigRecord, Edit, Host, HostName, KeyId, KeyText, OrgName, PoolKind, RowChange, Tables,
    Version, ZoneName,
};
use eelgrasshill_entry::EntryHost;
use eelgrasshill_ports::{HostRole, HostState, ListedHost};
use eelgrasshill_standin::{
    Engine, EngineSettings, Hosts, HostsSettings, Log, LogSettings, Plain, PlainSettings, Running,
    Standin, Store, StoreSettings,
};

use crate::key::issue_in;
use crate::{CommandError, Example, LogSession};

/// Longest time until every host has tables and reports.
const READY: Duration = Duration::from_secs(30);

/// Pause between two looks at the hosts.
const PAUSE: Duration = Duration::from_millis(50);

/// What a deployment consists of.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSettings {
    /// The tables and zones.
    pub example: Example,
    /// Entry hosts in each zone.
    pub hosts: usize,
    /// How many times faster than usual the engines run.
    pub speed: u32,
    /// Where the first host's callers reach it; port 0 stands for any free port.
    pub listen: SocketAddr,
}

impl DeploymentSettings {
    /// Makes one host a zone at usual speed.
    #[must_use]
    pub fn new(example: Example) -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            example,
            hosts: 1,
            speed: 1,
            listen,
        }
    }
}

/// A running deployment; dropping it stops the stand-ins.
#[derive(Debug)]
pub struct Deployment {
    /// The log service.
    pub log: Running<Log>,
    /// The host list.
    pub list: Running<Hosts>,
    /// The weight store.
    pub store: Running<Store>,
    /// The engines.
    pub engines: Vec<Running<Engine>>,
    /// The plain services.
    pub plain: Vec<Running<Plain>>,
    /// The entry hosts.
    pub hosts: Vec<EntryHost>,
    /// The tables in force.
    pub tables: Tables,
}

impl Deployment {
    /// Starts everything, publishes the tables and waits until the hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when a part does not start.
    pub async fn start(settings: DeploymentSettings) -> Result<Self, CommandError> {
        let mut tables = settings.example.tables()?;
        let entry = settings.example.entry()?;
        let log = Log::new(LogSettings::default()).spawn_thread()?;
        let store = Store::new(StoreSettings {
            rate: f64::from(u32::try_from(entry.fleet.loads).unwrap_or(u32::MAX)) / 10.0,
            parallel: u32::try_from(entry.fleet.parallel).unwrap_or(u32::MAX),
            adapters: u32::try_from(entry.fleet.adapters).unwrap_or(u32::MAX),
            ..StoreSettings::default()
        })
        .spawn_thread()?;
        let mut engines = Vec::new();
        let mut plain = Vec::new();
        for (name, row) in &mut tables.hosts {
            let kind = tables.pools.get(&row.pool).map(|pool| pool.kind);
            row.address = if kind == Some(PoolKind::Engines) {
                let engine = start_engine(name, row, store.address, settings.speed)?;
                let address = engine.address;
                engines.push(engine);
                address
            } else {
                let name = name.to_string();
                let service = Plain::new(PlainSettings {
                    name,
                    ..PlainSettings::default()
                })
                .spawn_thread()?;
                let address = service.address;
                plain.push(service);
                address
            };
        }
        let list = Hosts::new(HostsSettings::default()).spawn_thread()?;
        let mut deployment = Self {
            log,
            list,
            store,
            engines,
            plain,
            hosts: Vec::new(),
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
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        for number in 0..settings.hosts {
            for zone in settings.example.zones()? {
                let mut entry = settings.example.entry()?;
                entry.name = HostName::new(&format!("{zone}-{}", number + 1))?;
                entry.zone = zone;
                entry.listen = if self.hosts.is_empty() {
                    settings.listen
                } else {
                    local
                };
                entry.peer = local;
                entry.admin = local;
                entry.log = self.log.address;
                entry.hosts = self.list.address;
                entry.peers = Vec::new();
                entry.bounds.leave = Duration::from_millis(500);
                self.hosts.push(EntryHost::start(entry, None)?);
            }
        }
        self.list.handle.set(self.listed());
        Ok(())
    }

    fn listed(&self) -> Vec<ListedHost> {
        let entries = self.hosts.iter().map(|host| {
            let settings = &host.shared().settings;
            ListedHost {
                host: settings.name.clone(),
                zone: settings.zone.clone(),
                address: settings.peer,
                role: HostRole::Entry,
                state: HostState::Live,
            }
        });
        let upstreams = self.tables.hosts.iter().map(|(name, row)| ListedHost {
            host: name.clone(),
            zone: row.zone.clone(),
            address: row.address,
            role: HostRole::Upstream,
            state: HostState::Live,
        });
        entries.chain(upstreams).collect()
    }

    async fn wait_ready(&self) -> Result<(), CommandError> {
        let began = Instant::now();
        while began.elapsed() < READY {
            let is_ready = self.hosts.iter().all(|host| {
                let view = host.shared().view.load();
                let reports = view
                    .upstreams()
                    .iter()
                    .filter(|u| u.report.is_some())
                    .count();
                host.shared().is_ready() && reports == self.engines.len()
            });
            if is_ready {
                return Ok(());
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(CommandError::NotReady)
    }

    /// Waits until every model is resident in each zone, or the time has passed.
    ///
    /// Returns the models that are not.
    pub async fn wait_resident(&self, zones: &[ZoneName], bound: Duration) -> Vec<String> {
        let began = Instant::now();
        loop {
            let missing = self.missing(zones);
            if missing.is_empty() || began.elapsed() > bound {
                return missing;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn missing(&self, zones: &[ZoneName]) -> Vec<String> {
        let reports: Vec<_> = self
            .engines
            .iter()
            .map(|engine| engine.handle.report())
            .collect();
        let mut missing = Vec::new();
        for model in self.tables.models.keys() {
            for zone in zones {
                let is_held = reports.iter().any(|report| {
                    let row = self.tables.hosts.get(&report.host);
                    row.is_some_and(|row| row.zone == *zone)
                        && report
                            .resident
                            .iter()
                            .any(|resident| resident.model == *model)
                });
                if !is_held {
                    missing.push(format!("{model} in {zone}"));
                }
            }
        }
        missing
    }

    /// Issues a key and waits until every host knows it.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the log rejects it or a host does not hear of it.
    pub async fn issue_key(&self, organisation: &str) -> Result<KeyText, CommandError> {
        let mut session = LogSession::open(self.log.address).await?;
        let organisation = OrgName::new(organisation)?;
        let id = KeyId::new(&format!("{organisation}-key"))?;
        let key = issue_in(&mut session, organisation, id.clone()).await?;
        let began = Instant::now();
        while began.elapsed() < READY {
            let known = |host: &EntryHost| host.shared().snapshot.load().access.is_key_valid(&id);
            if self.hosts.iter().all(known) {
                return Ok(key);
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(CommandError::NotReady)
    }

    /// Returns where callers reach a host.
    #[must_use]
    pub fn address(&self, host: usize) -> SocketAddr {
        self.hosts[host].shared().settings.listen
    }

    /// Shuts the hosts down gracefully; returns whether each ended in time.
    #[must_use]
    pub fn drain(self) -> bool {
        let threads: Vec<_> = self
            .hosts
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
    row: &Host,
    store: SocketAddr,
    speed: u32,
) -> Result<Running<Engine>, CommandError> {
    let settings = EngineSettings {
        memory: row.memory,
        fencing: row.fencing,
        store: Some(store),
        ..EngineSettings::new(name.clone()).with_speed(speed)
    };
    Ok(Engine::new(settings).spawn_thread()?)
}
