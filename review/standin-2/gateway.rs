//! Starts gateways as the deploy file does, with the template of the settings filled in.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::net::{Wire, free_address};

const PROGRAM: &str = "target/release/eelgrasshill-gateway";

/// What differs between the hosts of a deployment.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
    pub store: SocketAddr,
}

impl Host {
    pub fn new(name: &str, zone: &str, store: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: free_address(),
            ready: free_address(),
            peer: free_address(),
            metrics: free_address(),
            store,
        }
    }

    /// Fills `deploy/gateway.ini` in with the figures of the small deployments' pages.
    fn settings(&self, zones: &[&str]) -> String {
        let regions: Vec<_> = zones.iter().map(|zone| format!("{zone} = lakes\n")).collect();
        format!(
            "[host]\nname = {}\nzone = {}\nlisten = {}\nready = {}\npeer = {}\nmetrics = {}\n\
             processor-share = 0.17\nlink-mbps = 700\nmemory-mb = 182\nfirst-start = true\n\n\
             [store]\naddress = {}\n\n\
             [bounds]\nkey-ms = 5000\ngrace-s = 8\ndrain-ms = 2000\nconfig-ms = 2000\nevacuate-ms =\n\n\
             [retries]\nratio = 0.2\nextra = 116\nwindow-s = 10\n\n\
             [engines]\nturn-ms = 3000\nload-window-s = 5\ncold-over =\ncold-slack =\nlate-queue = 64\n\n\
             [regions]\n{}\n",
            self.name, self.zone, self.callers, self.ready, self.peer, self.metrics, self.store,
            regions.concat()
        )
    }
}

/// A running gateway, which is killed on drop.
pub struct Gateway {
    pub host: Host,
    pub child: Child,
}

impl Gateway {
    /// Starts a gateway with the descriptors that the platform allows (`max_fds`).
    pub fn start(host: Host, zones: &[&str], folder: &Path) -> Self {
        let settings = folder.join(format!("{}.ini", host.name));
        std::fs::write(&settings, host.settings(zones)).expect("the settings can be written");
        let log = folder.join(format!("{}.log", host.name));
        let output = File::create(&log).expect("the log can be created");
        let errors = output.try_clone().expect("the log can be shared");
        let child = Command::new(PROGRAM)
            .env("EELGRASSHILL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the gateway was built");
        Self { host, child }
    }

    /// Returns whether the answer to the balancer's question is 200.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut wire = Wire::connect(self.host.ready, Duration::from_secs(1)).ok()?;
            wire.set_timeout(Duration::from_secs(1));
            wire.send(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n").ok()?;
            Some(wire.read_head().ok()?.status() == 200)
        };
        ask().unwrap_or(false)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns a figure of the process' status, in kB.
    pub fn status_kb(&self, field: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
    }
}
