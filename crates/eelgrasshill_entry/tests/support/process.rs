//! Runs entry hosts as separate processes that a test can signal and kill.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use rustix::process::{Pid, Signal, kill_process};

use super::wait_for;

/// Path of the binary under test.
const ENTRY_BINARY: &str = env!("CARGO_BIN_EXE_eelgrasshill-entry");

/// First port of the range that tests use.
const FIRST_PORT: u16 = 12_000;

/// Number of ports in the range.
const PORT_COUNT: u16 = 16_000;

/// Counter behind unique ports and names of settings files.
static NEXT_NUMBER: AtomicU16 = AtomicU16::new(0);

/// The addresses and settings of one host process.
#[derive(Clone, Debug)]
pub struct ProcessConfig {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub log: SocketAddr,
    pub hosts: SocketAddr,
    pub peers: Vec<SocketAddr>,
    /// Further lines of the section `[host]`.
    pub host_lines: String,
    pub arrival_ms: u64,
}

/// A running entry host process.
#[derive(Debug)]
pub struct Process {
    pub config: ProcessConfig,
    child: Child,
    settings: PathBuf,
}

/// Returns an address that can be bound and is not used twice in this process.
///
/// The ports lie below the system's ephemeral range.
pub fn free_address() -> SocketAddr {
    loop {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + number % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl ProcessConfig {
    pub fn new(name: &str, zone: &str, log: SocketAddr, hosts: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            listen: free_address(),
            peer: free_address(),
            admin: free_address(),
            log,
            hosts,
            peers: Vec::new(),
            host_lines: String::new(),
            arrival_ms: 1_000,
        }
    }

    pub fn start(&self) -> Process {
        let peers: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        let text = format!(
            "[host]\nname = {}\nzone = {}\nlisten = {}\npeer = {}\nadmin = {}\nthreads = 1\n{}\
             [platform]\nlog = {}\nhosts = {}\n[peers]\naddresses = {}\n\
             [bounds]\nleave-ms = 300\narrival-ms = {}\n[fleet]\nzones = zone-a, zone-b, zone-c\n",
            self.name,
            self.zone,
            self.listen,
            self.peer,
            self.admin,
            self.host_lines,
            self.log,
            self.hosts,
            peers.join(", "),
            self.arrival_ms,
        );
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = format!("eelgrasshill-{}-{number}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, text).unwrap();
        let child = Command::new(ENTRY_BINARY)
            .arg(&settings)
            .stdin(Stdio::null())
            .env("RUST_LOG", "warn")
            .spawn()
            .unwrap();
        Process {
            config: self.clone(),
            child,
            settings,
        }
    }
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.config.listen)
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    /// Waits until the host reports that it is ready.
    pub fn wait_ready(&self) {
        wait_for("the process is ready", || {
            http_get(self.config.listen, "/ready").is_some_and(|reply| reply.contains(" 200 "))
        });
    }

    pub fn status(&self) -> String {
        http_get(self.config.admin, "/status").unwrap_or_default()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _killed = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Waits for the process to exit on its own.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
        let _removed = fs::remove_file(&self.settings);
    }
}

/// Returns a whole response including its head; `None` without one in time.
pub fn http_get(address: SocketAddr, path: &str) -> Option<String> {
    use std::io::{Read, Write};
    let timeout = std::time::Duration::from_secs(2);
    let mut stream = std::net::TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n"
    )
    .ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    Some(reply)
}
