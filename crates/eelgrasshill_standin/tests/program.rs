//! The binary: its flags, the addresses that it prints, and a load run through it.

#![expect(clippy::unwrap_used, reason = "a test may end at the first surprise")]

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use argh::FromArgs;
use eelgrasshill_standin::{Arguments, LoadReport};

const PROGRAM: &str = env!("CARGO_BIN_EXE_eelgrasshill-standin");
const FREE_PORT: &str = "127.0.0.1:0";

/// A process that is killed when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

/// Starts a stand-in and reads the addresses that it prints, one on each line.
fn spawn_stand_in(arguments: &[&str], address_count: usize) -> (Process, Vec<SocketAddr>) {
    let mut child = Command::new(PROGRAM)
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = BufReader::new(child.stdout.take().unwrap());
    let process = Process(child);
    let addresses = output
        .lines()
        .take(address_count)
        .map(|line| {
            let line = line.unwrap();
            let address = line.split(' ').nth(1).and_then(|text| text.parse().ok());
            address.unwrap_or_else(|| panic!("expected NAME ADDRESS, got {line:?}"))
        })
        .collect();
    (process, addresses)
}

async fn get(address: SocketAddr, path: &str) -> u16 {
    let url = format!("http://{address}{path}");
    let answer = awc::Client::default().get(url).send().await.unwrap();
    answer.status().as_u16()
}

#[actix_web::test]
async fn each_stand_in_serves_as_a_process() {
    let host = "e-1,duluth-yard,127.0.0.1:9,entry,leaving";
    let model = "assist,1,40,field+yard";
    let cases: [(&[&str], &str); 5] = [
        (&["log", "--rate", "9"], "/streams/s?from=1&max=1&wait=0"),
        (&["hosts", "--host", host], "/hosts"),
        (&["store", "--rate", "2.5"], "/admin/counts"),
        (&["plain", "--name", "yard"], "/any/path"),
        (
            &[
                "engine",
                "--host",
                "g-1",
                "--model",
                model,
                "--fencing",
                "ignored",
            ],
            "/report",
        ),
    ];
    for (arguments, path) in cases {
        let arguments: Vec<&str> = arguments
            .iter()
            .copied()
            .chain(["--listen", FREE_PORT])
            .collect();
        let (_process, addresses) = spawn_stand_in(&arguments, 1);
        assert_eq!(get(addresses[0], path).await, 200, "{path}");
        assert_eq!(get(addresses[0], "/admin/faults").await, 200, "{path}");
    }
}

#[actix_web::test]
async fn a_load_runs_through_a_relay_to_an_engine() {
    let model = "assist,1,40";
    let engine_arguments = [
        "engine", "--host", "g-1", "--model", model, "--speed", "10", "--listen", FREE_PORT,
    ];
    let (_engine, engine_addresses) = spawn_stand_in(&engine_arguments, 1);
    let target = engine_addresses[0].to_string();
    let relay_arguments = [
        "relay", "--link", FREE_PORT, "--listen", FREE_PORT, "--target", &target,
    ];
    let (_relay, relay_addresses) = spawn_stand_in(&relay_arguments, 2);
    let (link_address, admin_address) = (relay_addresses[0], relay_addresses[1]);
    assert_eq!(get(admin_address, "/admin/relay").await, 200);
    let output = Command::new(PROGRAM)
        .args(["load", "--direct", "--json", "--model", "assist"])
        .args(["--caller", "lakeshore,k,1,urgent,1000,5000"])
        .args([
            "--count",
            "10",
            "--rate",
            "200",
            "--target",
            &link_address.to_string(),
        ])
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    let report: LoadReport = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((report.total.completed, report.total.wrong), (10, 0));
}

#[test]
fn invalid_flags_are_refused_with_the_expected_form() {
    let cases: [(&[&str], &str); 9] = [
        (&["log"], "--listen"),
        (&["log", "--listen", "here"], "listen"),
        (
            &["engine", "--listen", FREE_PORT, "--host", "no space"],
            "host name",
        ),
        (
            &[
                "engine", "--listen", FREE_PORT, "--host", "g", "--model", "a,1",
            ],
            "NAME,VERSION,MB",
        ),
        (
            &[
                "engine",
                "--listen",
                FREE_PORT,
                "--host",
                "g",
                "--fencing",
                "x",
            ],
            "checked or ignored",
        ),
        (
            &["hosts", "--listen", FREE_PORT, "--host", "a,b,c,entry"],
            "not an address",
        ),
        (
            &["load", "--caller", "a,k,1,soon"],
            "urgent, interactive or batch",
        ),
        (&["load", "--burst", "key,a,1,0,1"], "org or model"),
        (&["load", "--model", "a,b,c"], "MODEL[:ADAPTER]"),
    ];
    for (arguments, expected_text) in cases {
        let early_exit = Arguments::from_args(&["eelgrasshill-standin"], arguments).unwrap_err();
        assert!(
            early_exit.status.is_err(),
            "{arguments:?}: expected an error status"
        );
        assert!(
            early_exit.output.contains(expected_text),
            "{arguments:?}: expected {expected_text} in {}",
            early_exit.output
        );
    }
}
