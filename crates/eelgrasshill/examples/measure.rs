//! Measures a deployment on stand-ins: added latency, throughput and service under a burst.
//!
//! The entry hosts are processes of their own, started from the program beside
//! this one; everything else runs on threads of this process. Build both with
//! `cargo build --release -p eelgrasshill_entry -p eelgrasshill --examples`.

#![expect(clippy::print_stdout, reason = "the table is what the program is for")]

use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::Duration;

use argh::FromArgs;
use eelgrasshill::{Deployment, DeploymentSettings, Example, LogSession};
use eelgrasshill_domain::{Class, ConfigRecord, Edit, Organisation, RowChange, RowKey};
use eelgrasshill_ports::{HostRole, HostState, ListedHost};
use eelgrasshill_standin::{
    Burst, Caller, LoadReport, LoadSettings, ModelShare, Subject, run_load,
};

/// The port below the first that a host gets.
const FIRST_PORT: u16 = 9_000;

/// Time after which a raised rate is surely assigned to the homes.
const RAISED: Duration = Duration::from_secs(15);

/// Longest wait until all models are resident in all zones.
const RESIDENT: Duration = Duration::from_mins(3);

/// Measures a deployment on stand-ins.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// latency, throughput, burst or idle
    #[argh(positional)]
    what: String,
    /// lakeshore or kjallaravakt
    #[argh(option, default = "Example::Lakeshore")]
    example: Example,
    /// requests a second
    #[argh(option, default = "40.0")]
    rate: f64,
    /// seconds of each load
    #[argh(option, default = "15")]
    seconds: u64,
}

/// Entry hosts as processes, ended when dropped.
struct Hosts {
    children: Vec<Child>,
    addresses: Vec<SocketAddr>,
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for child in &mut self.children {
            // A process that has ended by itself needs no end.
            let _ended = child.kill();
            let _status = child.wait();
        }
    }
}

/// Returns an address below those that the system hands out by itself.
fn free(next: &mut u16) -> SocketAddr {
    loop {
        *next += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], *next));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn program() -> Result<PathBuf, Box<dyn Error>> {
    let own = std::env::current_exe()?;
    let folder = own
        .parent()
        .and_then(|examples| examples.parent())
        .ok_or("no folder")?;
    Ok(folder.join("eelgrasshill-entry"))
}

impl Hosts {
    fn start(deployment: &Deployment, example: Example) -> Result<Self, Box<dyn Error>> {
        let mut hosts = Self {
            children: Vec::new(),
            addresses: Vec::new(),
        };
        let mut list = Vec::new();
        let mut next = FIRST_PORT;
        let zones = example.zones()?;
        let names: Vec<String> = zones.iter().map(ToString::to_string).collect();
        let fleet = example.entry()?.fleet;
        for zone in &zones {
            let (address, peer, admin) = (free(&mut next), free(&mut next), free(&mut next));
            let text = format!(
                "[host]\nname = {zone}-1\nzone = {zone}\nlisten = {address}\npeer = {peer}\n\
                 admin = {admin}\nthreads = 2\n[platform]\nlog = {}\nhosts = {}\n\
                 [fleet]\nzones = {}\nloads-per-10s = {}\nloads-at-once = {}\n\
                 adapters-at-once = {}\n",
                deployment.log.address,
                deployment.list.address,
                names.join(", "),
                fleet.loads,
                fleet.parallel,
                fleet.adapters,
            );
            let file = std::env::temp_dir().join(format!("eelgrasshill-measure-{zone}.ini"));
            std::fs::write(&file, text)?;
            let child = Command::new(program()?)
                .arg(&file)
                .env("RUST_LOG", "error")
                .spawn()?;
            hosts.children.push(child);
            hosts.addresses.push(address);
            list.push(ListedHost {
                host: format!("{zone}-1").parse()?,
                zone: zone.clone(),
                address: peer,
                role: HostRole::Entry,
                state: HostState::Live,
            });
        }
        deployment.list.handle.set(list);
        Ok(hosts)
    }
}

fn show(name: &str, report: &LoadReport) {
    println!("### {name}\n\n{report}\n");
}

/// Asks through the entry hosts until each organisation's first answer came.
fn warm_up(load: &LoadSettings) -> Result<(), Box<dyn Error>> {
    let warm = LoadSettings {
        rate: 20.0,
        span: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(20),
        bursts: Vec::new(),
        ..load.clone()
    };
    run_load(&warm)?;
    Ok(())
}

/// The same load straight to the engines and through the entry hosts.
async fn latency(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = DeploymentSettings {
        hosts: 0,
        ..DeploymentSettings::new(arguments.example)
    };
    let deployment = Deployment::start(settings).await?;
    let hosts = Hosts::start(&deployment, arguments.example)?;
    let missing = wait_resident(&deployment, arguments.example).await;
    println!("models not resident in a zone before the load: {missing}\n");
    let (organisation, model) = match arguments.example {
        Example::Lakeshore => ("dispatch", "quick-tags"),
        Example::Kjallaravakt => ("neydarvakt", "callout-triage"),
    };
    let key = deployment.issue_key(organisation).await?;
    let caller = Caller::new(organisation, key.reveal()).with_class(Class::Urgent);
    let engines: Vec<SocketAddr> = deployment
        .engines
        .iter()
        .filter(|engine| {
            engine
                .handle
                .report()
                .resident
                .iter()
                .any(|line| line.model.as_str() == model)
        })
        .map(|engine| engine.address)
        .collect();
    let load = LoadSettings {
        rate: arguments.rate,
        span: Duration::from_secs(arguments.seconds),
        ..LoadSettings::new(hosts.addresses.clone(), caller, ModelShare::new(model))
    };
    warm_up(&load)?;
    let through = run_load(&load)?;
    let direct = LoadSettings {
        targets: engines,
        direct: true,
        ..load.clone()
    };
    let direct = run_load(&direct)?;
    show("straight to the engines", &direct);
    show("through three entry hosts", &through);
    Ok(())
}

/// Requests a second that one host's process answers, with tiny answers.
async fn throughput(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = DeploymentSettings {
        hosts: 0,
        speed: 200,
        ..DeploymentSettings::new(arguments.example)
    };
    let deployment = Deployment::start(settings).await?;
    let hosts = Hosts::start(&deployment, arguments.example)?;
    wait_resident(&deployment, arguments.example).await;
    let (organisation, model) = match arguments.example {
        Example::Lakeshore => ("dispatch", "quick-tags"),
        Example::Kjallaravakt => ("neydarvakt", "callout-triage"),
    };
    // Rates far above the load, so that the host's own work is what is measured.
    let mut session = LogSession::open(deployment.log.address).await?;
    let row = RowKey::Organisation(organisation.parse()?);
    let base = session.fold().version(&row);
    let free = Organisation {
        rate: 10_000_000,
        burst: 100_000_000,
        weight: 1,
    };
    let change = RowChange {
        key: row,
        base,
        row: Some(free.into()),
    };
    let edit = Edit {
        author: "measure".to_owned(),
        changes: vec![change],
    };
    session.publish(ConfigRecord::Edit(edit)).await?;
    let key = deployment.issue_key(organisation).await?;
    tokio::time::sleep(RAISED).await;
    println!("| asked a second | answered | refused | seconds | first token p50 | p99 |");
    println!("|---|---|---|---|---|---|");
    for rate in [100.0, 200.0, 400.0, 800.0, 1600.0] {
        let caller = Caller::new(organisation, key.reveal());
        let load = LoadSettings {
            rate,
            span: Duration::from_secs(arguments.seconds),
            count: 100_000,
            prompt: (1, 1),
            answer: (1, 1),
            threads: 2,
            ..LoadSettings::new(vec![hosts.addresses[0]], caller, ModelShare::new(model))
        };
        let report = run_load(&load)?;
        let total = &report.total;
        println!(
            "| {rate} | {} | {:?} | {:.1} | {:.1} ms | {:.1} ms |",
            total.completed, report.refusals, report.seconds, total.first.median, total.first.p99
        );
    }
    Ok(())
}

/// One organisation at eight times its rate beside the others.
async fn burst(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = DeploymentSettings {
        hosts: 0,
        ..DeploymentSettings::new(arguments.example)
    };
    let deployment = Deployment::start(settings).await?;
    let hosts = Hosts::start(&deployment, arguments.example)?;
    let missing = wait_resident(&deployment, arguments.example).await;
    println!("models not resident in a zone before the load: {missing}\n");
    let mut callers = Vec::new();
    for (name, row) in &deployment.tables.organisations {
        let key = deployment.issue_key(name.as_str()).await?;
        let caller = Caller::new(name.as_str(), key.reveal()).with_limit(row.rate, row.burst);
        callers.push(caller);
    }
    let models = deployment
        .tables
        .models
        .keys()
        .map(|name| ModelShare::new(name.as_str()));
    let models: Vec<_> = models.collect();
    let first = models[0].clone();
    let span = Duration::from_secs(arguments.seconds);
    let load = LoadSettings {
        rate: arguments.rate,
        span,
        accelerators: Some(
            deployment
                .tables
                .hosts
                .values()
                .map(|row| row.accelerators)
                .sum(),
        ),
        models,
        callers: callers.clone(),
        threads: 2,
        ..LoadSettings::new(hosts.addresses.clone(), callers[0].clone(), first.clone())
    };
    warm_up(&load)?;
    let calm = run_load(&load)?;
    show("within the rates", &calm);
    let bursts = vec![Burst {
        subject: Subject::Organisation(callers[0].org.clone()),
        factor: 8.0,
        from: span / 4,
        until: span,
    }];
    let orders = loads_of(&deployment);
    let crowded = run_load(&LoadSettings {
        bursts,
        ..load.clone()
    })?;
    show(
        &format!("{} sends eight times as much", callers[0].org),
        &crowded,
    );
    println!("moves during it: {}\n", loads_of(&deployment) - orders);
    let bursts = vec![Burst {
        subject: Subject::Model(first.name.clone()),
        factor: 10.0,
        from: span / 4,
        until: span,
    }];
    let orders = loads_of(&deployment);
    let shift = run_load(&LoadSettings { bursts, ..load })?;
    show(
        &format!("the demand for {} moves tenfold", first.name),
        &shift,
    );
    println!("moves during it: {}", loads_of(&deployment) - orders);
    Ok(())
}

/// Processor time of each entry host without any load, as a share of a core.
async fn idle(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = DeploymentSettings {
        hosts: 0,
        ..DeploymentSettings::new(arguments.example)
    };
    let deployment = Deployment::start(settings).await?;
    let hosts = Hosts::start(&deployment, arguments.example)?;
    let missing = wait_resident(&deployment, arguments.example).await;
    println!("models not resident in a zone: {missing}\n");
    println!("| process | share of a core | resident memory |\n|---|---|---|");
    let before: Vec<f64> = hosts.children.iter().map(processor_seconds).collect();
    tokio::time::sleep(Duration::from_secs(arguments.seconds)).await;
    for (child, before) in hosts.children.iter().zip(before) {
        let share = (processor_seconds(child) - before)
            / Duration::from_secs(arguments.seconds).as_secs_f64();
        println!(
            "| {} | {:.2} % | {} |",
            child.id(),
            share * 100.0,
            resident_memory(child)
        );
    }
    Ok(())
}

/// Returns the processor time that a process has used, in seconds.
fn processor_seconds(child: &Child) -> f64 {
    /// Ticks of a second in the kernel's accounts.
    const TICKS: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
    // The name in brackets may hold spaces; the two times are the 12th and 13th field after it.
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: f64 = fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS
}

/// Returns the resident memory of a process, as the kernel shows it.
fn resident_memory(child: &Child) -> String {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.unwrap_or_default().trim().to_owned()
}

fn loads_of(deployment: &Deployment) -> u64 {
    let counts = deployment
        .engines
        .iter()
        .map(|engine| engine.handle.counts());
    counts.map(|counts| counts.loads + counts.unloads).sum()
}

/// Waits for residency in every zone that has engines and returns what is missing.
async fn wait_resident(deployment: &Deployment, example: Example) -> usize {
    let Ok(zones) = example.zones() else {
        return 0;
    };
    deployment.wait_resident(&zones, RESIDENT).await.len()
}

#[actix::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    match arguments.what.as_str() {
        "latency" => latency(&arguments).await,
        "throughput" => throughput(&arguments).await,
        "burst" => burst(&arguments).await,
        "idle" => idle(&arguments).await,
        _ => Err("the measurements are latency, throughput, burst and idle".into()),
    }
}
