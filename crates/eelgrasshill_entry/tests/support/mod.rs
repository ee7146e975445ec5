//! A test fleet: entry hosts with stand-ins for the log, host list, engines and a service.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]
#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

pub mod caller;
pub mod process;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill_control::ConfigEntry;
use eelgrasshill_domain::{
    AppendId, ConfigRecord, Edit, KeyGrant, KeyId, KeyText, ModelName, RowChange, RowKey,
    StreamName, Tables, Version,
};
use eelgrasshill_entry::EntryHost;
use eelgrasshill_ports::{HostRole, HostState, ListedHost, NewRecord};
use eelgrasshill_settings::{EntrySettings, read_tables};
use eelgrasshill_standin::{
    Engine, EngineSettings, Hosts, HostsSettings, Log, LogSettings, ModelCopy, PlainService,
    PlainSettings, RunningServer, Standin,
};
use process::{Process, ProcessConfig};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Number of engines in the test fleet.
const ENGINE_COUNT: usize = 3;

/// The models of every engine and the memory that each needs, in MB.
const MODELS_MB: [(&str, u64); 3] = [("notes", 10_000), ("urgent", 5_000), ("tags", 1_000)];

/// Time after which [`wait_for`] gives up.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub struct Fleet {
    pub log: RunningServer<Log>,
    pub host_list: RunningServer<Hosts>,
    pub engines: Vec<RunningServer<Engine>>,
    pub plain: RunningServer<PlainService>,
    pub hosts: Vec<EntryHost>,
    pub tables: Tables,
    pub processes: Vec<Process>,
    leaving: Vec<String>,
    appends: u64,
}

/// The routes of the test fleet; rates are in tokens per second, bursts in tokens.
pub const ROUTES: &str = "
[organisation.crew]
rate = 2000
burst = 20000
weight = 2

[organisation.home]
rate = 100
burst = 200

[route.crew-notes]
caller = crew
models = notes, urgent
pool = engines
class = interactive
repeat = yes

[route.home-visits]
caller = home
models = notes
pool = engines
class = batch
repeat = yes

[route.tags]
caller = open
models = tags
pool = engines
class = urgent
repeat = yes

[route.lookup]
caller = crew
path = /yard
pool = desk
class = urgent
repeat = yes

[route.booking]
caller = crew
path = /bookings
pool = desk
class = urgent
repeat = no
";

impl Fleet {
    /// Starts stand-ins and one entry host in each of the first `hosts` zones.
    pub fn start(hosts: usize) -> Self {
        let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
        let plain = PlainService::new(PlainSettings::default())
            .spawn_thread()
            .unwrap();
        let engines: Vec<_> = (0..ENGINE_COUNT).map(start_engine).collect();
        let list_settings = HostsSettings {
            lag: Duration::from_millis(100),
            ..HostsSettings::default()
        };
        let host_list = Hosts::new(list_settings).spawn_thread().unwrap();
        let pools = pools_table(&engines, plain.address);
        let tables = read_tables("routes.ini", ROUTES, "pools.ini", &pools).unwrap();
        let mut fleet = Self {
            log,
            host_list,
            engines,
            plain,
            hosts: Vec::new(),
            tables,
            processes: Vec::new(),
            leaving: Vec::new(),
            appends: 0,
        };
        let tables = fleet.tables.clone();
        fleet.publish(&tables);
        for zone in ZONES.iter().take(hosts) {
            fleet.add_host(zone);
        }
        fleet.list_hosts();
        fleet.wait_ready();
        fleet
    }

    pub fn add_host(&mut self, zone: &str) {
        self.add_host_with(zone, |_settings| ());
    }

    /// Starts a host after `change` has adjusted its settings.
    pub fn add_host_with(&mut self, zone: &str, change: impl FnOnce(&mut EntrySettings)) {
        let number = self.hosts.len();
        let text = format!(
            "[host]\nname = entry-{number}\nzone = {zone}\nlisten = 127.0.0.1:0\n\
             peer = 127.0.0.1:0\nadmin = 127.0.0.1:0\nthreads = 1\n\
             [platform]\nlog = {}\nhosts = {}\n[bounds]\nleave-ms = 200\n\
             [fleet]\nzones = zone-a, zone-b, zone-c\n",
            self.log.address, self.host_list.address,
        );
        let mut settings = EntrySettings::parse("entry.ini", &text).unwrap();
        change(&mut settings);
        self.hosts.push(EntryHost::start(settings, None).unwrap());
    }

    /// Starts one host process in each of the first `count` zones, and no other hosts.
    pub fn start_processes(count: usize) -> Self {
        Self::start_processes_with(count, |_config| {})
    }

    /// Starts host processes whose configurations are changed before.
    pub fn start_processes_with(count: usize, change: impl Fn(&mut ProcessConfig)) -> Self {
        let mut fleet = Self::start(0);
        for (number, zone) in ZONES.iter().take(count).enumerate() {
            let name = format!("entry-{number}");
            let mut config =
                ProcessConfig::new(&name, zone, fleet.log.address, fleet.host_list.address);
            change(&mut config);
            fleet.processes.push(config.start());
        }
        fleet.list_hosts();
        for process in &fleet.processes {
            process.wait_ready();
        }
        fleet
    }

    /// Marks an upstream as leaving in the host list.
    pub fn mark_leaving(&mut self, upstream: &str) {
        self.leaving.push(upstream.to_owned());
        self.list_hosts();
    }

    /// Publishes all hosts and upstreams in the host list.
    pub fn list_hosts(&self) {
        let hosts = self.hosts.iter().map(|host| {
            let settings = &host.shared().settings;
            (
                settings.name.to_string(),
                settings.zone.to_string(),
                settings.peer_address,
            )
        });
        let processes = self.processes.iter().map(|process| {
            let config = &process.config;
            (config.name.clone(), config.zone.clone(), config.peer)
        });
        let entries = hosts
            .chain(processes)
            .map(|(name, zone, address)| ListedHost {
                host: name.parse().unwrap(),
                zone: zone.parse().unwrap(),
                address,
                role: HostRole::Entry,
                state: HostState::Live,
            });
        let upstreams = self.tables.hosts.iter().map(|(name, row)| ListedHost {
            host: name.clone(),
            zone: row.zone.clone(),
            address: row.address,
            role: HostRole::Upstream,
            state: if self.leaving.contains(&name.to_string()) {
                HostState::Leaving
            } else {
                HostState::Live
            },
        });
        self.host_list
            .handle
            .replace_hosts(entries.chain(upstreams).collect());
    }

    /// Waits until all hosts are ready and have the reports of all engines.
    pub fn wait_ready(&self) {
        wait_for(
            "all hosts are ready and have the reports of all engines",
            || {
                self.hosts.iter().all(|host| host.shared().is_ready())
                    && self.hosts.iter().all(|host| {
                        let view = host.shared().view.load();
                        view.upstreams()
                            .iter()
                            .filter(|upstream| upstream.report.is_some())
                            .count()
                            >= ENGINE_COUNT
                    })
            },
        );
    }

    /// Appends a record to the configuration stream.
    pub fn append(&mut self, record: ConfigRecord) -> AppendId {
        self.appends += 1;
        let id = AppendId::new(&format!("test-{}", self.appends)).unwrap();
        let body = serde_json::to_value(ConfigEntry::Record(record)).unwrap();
        let stream = StreamName::new("config").unwrap();
        self.log.handle.append(
            &stream,
            vec![NewRecord {
                id: id.clone(),
                body,
            }],
        );
        id
    }

    /// Publishes all rows of the tables as one edit.
    pub fn publish(&mut self, tables: &Tables) -> AppendId {
        let changes = tables
            .keys()
            .into_iter()
            .map(|key| RowChange {
                base: Version(0),
                row: tables.get(&key),
                key,
            })
            .collect();
        self.append(ConfigRecord::Edit(Edit {
            author: "test".to_owned(),
            changes,
        }))
    }

    /// Issues a key and waits until it is in force on all hosts of this process.
    pub fn issue_key(&mut self, id: &str, organisation: &str) -> KeyText {
        let id = KeyId::new(id).unwrap();
        let key = KeyText::issue(&id, &[7; 32]);
        let grant = KeyGrant {
            digest: key.digest(),
            organisation: organisation.parse().unwrap(),
        };
        self.append(ConfigRecord::IssueKey {
            id: id.clone(),
            grant,
        });
        wait_for("the key is in force", || {
            let is_in_force =
                |host: &EntryHost| host.shared().snapshot.load().access.is_key_valid(&id);
            self.hosts.iter().all(is_in_force)
        });
        key
    }

    pub fn withdraw_key(&mut self, id: &str) {
        let id = KeyId::new(id).unwrap();
        self.append(ConfigRecord::WithdrawKey { id });
    }

    pub fn url(&self, host: usize, path: &str) -> String {
        format!(
            "http://{}{path}",
            self.hosts[host].shared().settings.caller_address
        )
    }

    pub fn stop(self) {
        for host in self.hosts {
            host.kill();
        }
    }
}

fn start_engine(number: usize) -> RunningServer<Engine> {
    let mut settings = EngineSettings::new(format!("engine-{number}").parse().unwrap());
    settings.report_interval = Duration::from_millis(50);
    settings.base_interval = Duration::from_millis(4);
    for (model, memory) in MODELS_MB {
        settings = settings.with_model(ModelCopy {
            model: ModelName::new(model).unwrap(),
            version: "1".to_owned(),
            memory_mb: memory,
            adapters: Vec::new(),
        });
    }
    Engine::new(settings).spawn_thread().unwrap()
}

fn pools_table(engines: &[RunningServer<Engine>], plain: SocketAddr) -> String {
    let mut text = String::from("[pool.engines]\nkind = engines\n[pool.desk]\nkind = plain\n");
    for (number, engine) in engines.iter().enumerate() {
        let zone = ZONES[number % ZONES.len()];
        text += &format!(
            "[host.engine-{number}]\npool = engines\nzone = {zone}\naddress = {}\n\
             memory-mb = 80000\naccelerators = 8\nfencing = checked\n",
            engine.address,
        );
    }
    text += &format!("[host.desk-0]\npool = desk\nzone = zone-a\naddress = {plain}\n");
    for (model, memory) in MODELS_MB {
        text += &format!("[model.{model}]\npool = engines\nmemory-mb = {memory}\nversion = 1\n");
    }
    text
}

/// Waits until a condition holds and panics after [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting until {what}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the row key of an organisation.
pub fn organisation(name: &str) -> RowKey {
    RowKey::Organisation(name.parse().unwrap())
}
