//! The project's own program, started as the platform does with the settings of a small deployment.

use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::net::{free_address, read_answer};
use crate::note;

const PROGRAM: &str = "target/release/eelgrasshill-gateway";
const TEMPLATE: &str = "deploy/gateway.ini";
pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Bounds of the deployment: those of the sheet of Kjallaravakt, `sites/kjallari-net.toml`.
const BOUNDS: [(&str, &str); 10] = [
    ("{{bounds.revoke_ms}}", "5000"),
    ("{{bounds.grace_s}}", "8"),
    ("{{bounds.drain_ms}}", "2000"),
    ("{{bounds.config_apply_ms}}", "2000"),
    ("{{bounds.retry_budget_ratio}}", "0.2"),
    ("{{bounds.retry_budget_extra}}", "129"),
    ("{{bounds.budget_window_s}}", "10"),
    ("{{bounds.lease_ms}}", "3000"),
    ("{{bounds.ceiling_window_s}}", "5"),
    ("{{bootstrap}}", "true"),
];

/// One running gateway, killed when dropped.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Gateway {
    /// Starts a gateway of a zone; its settings and log go to `folder`.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Self {
        let (front, ready) = (free_address(), free_address());
        let mut text = std::fs::read_to_string(TEMPLATE).expect("the template is there");
        let own = [
            ("{{node_name}}", name.to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{listen.front}}", front.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{ip}}:{{internal_ports.0}}", free_address().to_string()),
            ("{{ip}}:7601", free_address().to_string()),
            ("{{limits.cpu_share}}", "0.17".to_owned()),
            ("{{limits.link_mbps}}", "700".to_owned()),
            ("{{platform.address}}", store.to_string()),
        ];
        for (field, value) in own {
            text = text.replace(field, &value);
        }
        for (field, value) in BOUNDS {
            text = text.replace(field, value);
        }
        let path: PathBuf = folder.join(format!("{name}.ini"));
        std::fs::write(&path, text).expect("the settings can be written");
        let child = spawn(&path);
        note!("gateway {name} zone={zone} front={front} started");
        Self {
            name: name.to_owned(),
            front,
            ready,
            child,
        }
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                note!("gateway {} is ready", self.name);
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = std::net::TcpStream::connect(self.ready) else {
            return false;
        };
        let _unchanged = stream.set_read_timeout(Some(Duration::from_secs(1)));
        // `/readiness` of the pages, mapped by deploy/wire.toml.
        let call = b"GET /ready HTTP/1.1\r\nhost: ready\r\n\r\n";
        std::io::Write::write_all(&mut stream, call).is_ok()
            && read_answer(&mut stream).is_some_and(|(head, _body)| head.status == 200)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        note!("gateway {} gets signal {signal}", self.name);
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits for the end of the process, at most for the given time.
    pub fn wait_end(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                note!("gateway {} ended: {status}", self.name);
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

/// Starts the program; its log goes beside its settings.
fn spawn(settings: &Path) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("the log can be written");
    let errors = log.try_clone().expect("a file can be shared");
    let mut command = Command::new(PROGRAM);
    command
        .env("EELGRASSHILL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    // The gateway must not outlive this program, however that ends.
    // SAFETY: prctl may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    command.spawn().expect("the gateway is built")
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _ended = self.child.wait();
    }
}
