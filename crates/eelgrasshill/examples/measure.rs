//! Measures a deployment on stand-ins: added latency, throughput, bursts and idle cost.
//!
//! The entry hosts run as separate processes of the `eelgrasshill-entry` program, which must stand
//! in the folder above this example; everything else runs on threads of this process. Build both
//! with `cargo build --release -p eelgrasshill_entry -p eelgrasshill --examples`.

#![expect(clippy::print_stdout, reason = "the program prints its results")]

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
    Burst, LoadCaller, LoadReport, LoadSettings, ModelShare, Subject, run_load,
};

/// The ports of the hosts are tried from the one after this.
const BASE_PORT: u16 = 9_000;

/// The wait after raising a rate limit, until all lenders have their shares of it.
const LIMIT_CHANGE_WAIT: Duration = Duration::from_secs(15);

/// The maximum wait until all models are resident in all zones.
const RESIDENT_TIMEOUT: Duration = Duration::from_mins(3);

/// The load of the warm-up, in requests per second.
const WARM_UP_REQUESTS_PER_SECOND: f64 = 20.0;

/// The length of the warm-up.
const WARM_UP_SPAN: Duration = Duration::from_secs(5);

/// The maximum time without an event before an answer of the warm-up is abandoned.
const WARM_UP_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The factor by which the engines run faster when the throughput of a host is measured.
const THROUGHPUT_ENGINE_SPEED: u32 = 200;

/// A rate and burst that the throughput measurement does not reach.
const UNLIMITED_TOKENS_PER_SECOND: u64 = 10_000_000;
const UNLIMITED_BURST_TOKENS: u64 = 100_000_000;

/// The loads of the throughput measurement, in requests per second.
const THROUGHPUT_RATES: [f64; 5] = [100.0, 200.0, 400.0, 800.0, 1600.0];

/// The maximum number of requests in one throughput load.
const MAX_THROUGHPUT_REQUESTS: usize = 100_000;

/// The factor by which one organisation sends more in its burst.
const BURST_FACTOR: f64 = 8.0;

/// The factor by which the demand for one model rises.
const SHIFT_FACTOR: f64 = 10.0;

/// Measures a deployment on stand-ins.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// latency, throughput, burst or idle
    #[argh(positional, arg_name = "what")]
    measurement: String,
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

/// Entry hosts as child processes, killed when dropped.
struct HostProcesses {
    children: Vec<Child>,
    addresses: Vec<SocketAddr>,
}

impl Drop for HostProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            // Killing fails if the process has already exited, which is fine.
            let _killed = child.kill();
            let _status = child.wait();
        }
    }
}

/// Returns a free address, with a port below the range of ephemeral ports.
fn free_address(port: &mut u16) -> SocketAddr {
    loop {
        *port += 1;
        let address = SocketAddr::from(([127, 0, 0, 1], *port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the path of the `eelgrasshill-entry` program.
fn entry_program() -> Result<PathBuf, Box<dyn Error>> {
    let current = std::env::current_exe()?;
    let folder = current
        .parent()
        .and_then(|examples| examples.parent())
        .ok_or("the path of this program has no parent folder for eelgrasshill-entry")?;
    Ok(folder.join("eelgrasshill-entry"))
}

impl HostProcesses {
    fn start(deployment: &Deployment, example: Example) -> Result<Self, Box<dyn Error>> {
        let mut hosts = Self {
            children: Vec::new(),
            addresses: Vec::new(),
        };
        let mut list = Vec::new();
        let mut port = BASE_PORT;
        let zones = example.zones()?;
        let names: Vec<String> = zones.iter().map(ToString::to_string).collect();
        let fleet = example.entry()?.fleet_limits;
        for zone in &zones {
            let (address, peer, admin) = (
                free_address(&mut port),
                free_address(&mut port),
                free_address(&mut port),
            );
            let text = format!(
                "[host]\nname = {zone}-1\nzone = {zone}\nlisten = {address}\npeer = {peer}\n\
                 admin = {admin}\nthreads = 2\n[platform]\nlog = {}\nhosts = {}\n\
                 [fleet]\nzones = {}\nloads-per-10s = {}\nloads-at-once = {}\n\
                 adapters-at-once = {}\n",
                deployment.log.address,
                deployment.host_list.address,
                names.join(", "),
                fleet.loads_per_10s,
                fleet.max_parallel_loads,
                fleet.max_parallel_adapters,
            );
            let file = std::env::temp_dir().join(format!("eelgrasshill-measure-{zone}.ini"));
            std::fs::write(&file, text)?;
            let child = Command::new(entry_program()?)
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
        deployment.host_list.handle.replace_hosts(list);
        Ok(hosts)
    }
}

fn print_report(name: &str, report: &LoadReport) {
    println!("### {name}\n\n{report}\n");
}

/// Sends a light load through the entry hosts, so that each organisation has had its first answer.
fn warm_up(load: &LoadSettings) -> Result<(), Box<dyn Error>> {
    let warm_up_load = LoadSettings {
        requests_per_second: WARM_UP_REQUESTS_PER_SECOND,
        arrival_period: WARM_UP_SPAN,
        idle_timeout: WARM_UP_IDLE_TIMEOUT,
        bursts: Vec::new(),
        ..load.clone()
    };
    run_load(&warm_up_load)?;
    Ok(())
}

/// Compares the same load sent directly to the engines and through the entry hosts.
async fn latency(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = DeploymentSettings {
        hosts_per_zone: 0,
        ..DeploymentSettings::new(arguments.example)
    };
    let deployment = Deployment::start(settings).await?;
    let hosts = HostProcesses::start(&deployment, arguments.example)?;
    let missing = wait_resident(&deployment, arguments.example).await;
    println!("models not resident in a zone before the load: {missing}\n");
    // An organisation with an urgent route, and the model of that route.
    let (organisation, model) = match arguments.example {
        Example::Lakeshore => ("dispatch", "quick-tags"),
        Example::Kjallaravakt => ("neydarvakt", "callout-triage"),
    };
    let key = deployment.issue_key(organisation).await?;
    let caller = LoadCaller::new(organisation, key.reveal()).with_class(Class::Urgent);
    let engines: Vec<SocketAddr> = deployment
        .engines
        .iter()
        .filter(|engine| {
            engine
                .handle
                .report()
                .resident
                .iter()
                .any(|resident| resident.model.as_str() == model)
        })
        .map(|engine| engine.address)
        .collect();
    let load = LoadSettings {
        requests_per_second: arguments.rate,
        arrival_period: Duration::from_secs(arguments.seconds),
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
    print_report("straight to the engines", &direct);
    print_report("through three entry hosts", &through);
    Ok(())
}

/// Measures the requests per second that one host process serves, with one-token answers.
async fn throughput(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = DeploymentSettings {
        hosts_per_zone: 0,
        speed: THROUGHPUT_ENGINE_SPEED,
        ..DeploymentSettings::new(arguments.example)
    };
    let deployment = Deployment::start(settings).await?;
    let hosts = HostProcesses::start(&deployment, arguments.example)?;
    wait_resident(&deployment, arguments.example).await;
    // An organisation with an urgent route, and the model of that route.
    let (organisation, model) = match arguments.example {
        Example::Lakeshore => ("dispatch", "quick-tags"),
        Example::Kjallaravakt => ("neydarvakt", "callout-triage"),
    };
    // The rate limit is far above the load, so that the work of the host itself is measured.
    let mut session = LogSession::open(deployment.log.address).await?;
    let row_key = RowKey::Organisation(organisation.parse()?);
    let base = session.config().version(&row_key);
    let unlimited = Organisation {
        rate: UNLIMITED_TOKENS_PER_SECOND,
        burst: UNLIMITED_BURST_TOKENS,
        weight: 1,
    };
    let change = RowChange {
        key: row_key,
        base,
        row: Some(unlimited.into()),
    };
    let edit = Edit {
        author: "measure".to_owned(),
        changes: vec![change],
    };
    session.publish(ConfigRecord::Edit(edit)).await?;
    let key = deployment.issue_key(organisation).await?;
    tokio::time::sleep(LIMIT_CHANGE_WAIT).await;
    println!("| asked a second | answered | refused | seconds | first token p50 | p99 |");
    println!("|---|---|---|---|---|---|");
    for rate in THROUGHPUT_RATES {
        let caller = LoadCaller::new(organisation, key.reveal());
        let load = LoadSettings {
            requests_per_second: rate,
            arrival_period: Duration::from_secs(arguments.seconds),
            max_requests: MAX_THROUGHPUT_REQUESTS,
            prompt_words: (1, 1),
            answer_tokens: (1, 1),
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

/// Measures the effect of one organisation that sends eight times as much as before.
async fn burst(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = DeploymentSettings {
        hosts_per_zone: 0,
        ..DeploymentSettings::new(arguments.example)
    };
    let deployment = Deployment::start(settings).await?;
    let hosts = HostProcesses::start(&deployment, arguments.example)?;
    let missing = wait_resident(&deployment, arguments.example).await;
    println!("models not resident in a zone before the load: {missing}\n");
    let mut callers = Vec::new();
    for (name, organisation) in &deployment.tables.organisations {
        let key = deployment.issue_key(name.as_str()).await?;
        let caller = LoadCaller::new(name.as_str(), key.reveal())
            .with_limit(organisation.rate, organisation.burst);
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
        requests_per_second: arguments.rate,
        arrival_period: span,
        accelerators: Some(
            deployment
                .tables
                .hosts
                .values()
                .map(|host| host.accelerators)
                .sum(),
        ),
        models,
        callers: callers.clone(),
        threads: 2,
        ..LoadSettings::new(hosts.addresses.clone(), callers[0].clone(), first.clone())
    };
    warm_up(&load)?;
    let baseline = run_load(&load)?;
    print_report("within the rates", &baseline);
    let bursts = vec![Burst {
        subject: Subject::Organisation(callers[0].organisation.clone()),
        factor: BURST_FACTOR,
        from: span / 4,
        until: span,
    }];
    let loads_and_unloads_before = load_and_unload_count(&deployment);
    let burst_report = run_load(&LoadSettings {
        bursts,
        ..load.clone()
    })?;
    print_report(
        &format!("{} sends eight times as much", callers[0].organisation),
        &burst_report,
    );
    println!(
        "loads and unloads during the burst: {}\n",
        load_and_unload_count(&deployment) - loads_and_unloads_before
    );
    let bursts = vec![Burst {
        subject: Subject::Model(first.name.clone()),
        factor: SHIFT_FACTOR,
        from: span / 4,
        until: span,
    }];
    let loads_and_unloads_before = load_and_unload_count(&deployment);
    let shift_report = run_load(&LoadSettings { bursts, ..load })?;
    print_report(
        &format!("the demand for {} rises tenfold", first.name),
        &shift_report,
    );
    println!(
        "loads and unloads during the burst: {}",
        load_and_unload_count(&deployment) - loads_and_unloads_before
    );
    Ok(())
}

/// Measures the processor time of each idle entry host as a share of a core.
async fn idle(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = DeploymentSettings {
        hosts_per_zone: 0,
        ..DeploymentSettings::new(arguments.example)
    };
    let deployment = Deployment::start(settings).await?;
    let hosts = HostProcesses::start(&deployment, arguments.example)?;
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

/// Returns the processor time that a process has used, in seconds; zero if it is unknown.
fn processor_seconds(child: &Child) -> f64 {
    /// Clock ticks per second in `/proc/PID/stat`.
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
    // The name in brackets may contain spaces; the two times are fields 12 and 13 after it.
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
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory of a process, with the unit that the kernel prints.
fn resident_memory(child: &Child) -> String {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.unwrap_or_default().trim().to_owned()
}

/// Returns how many loads and unloads all engines have executed.
fn load_and_unload_count(deployment: &Deployment) -> u64 {
    let counts = deployment
        .engines
        .iter()
        .map(|engine| engine.handle.counts());
    counts.map(|counts| counts.loads + counts.unloads).sum()
}

/// Waits until every model is resident in each zone and returns how many are missing.
///
/// It returns zero if the settings of the example cannot be read.
async fn wait_resident(deployment: &Deployment, example: Example) -> usize {
    let Ok(zones) = example.zones() else {
        return 0;
    };
    deployment
        .wait_resident(&zones, RESIDENT_TIMEOUT)
        .await
        .len()
}

#[actix::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    match arguments.measurement.as_str() {
        "latency" => latency(&arguments).await,
        "throughput" => throughput(&arguments).await,
        "burst" => burst(&arguments).await,
        "idle" => idle(&arguments).await,
        _ => Err("the measurements are latency, throughput, burst and idle".into()),
    }
}
