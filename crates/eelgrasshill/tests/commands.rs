//! Snapshot tests of operator sessions at the command line.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

use std::path::Path;

use argh::FromArgs;
use eelgrasshill::{Arguments, Deployment, DeploymentSettings, Example, run};
use eelgrasshill_standin::{FaultSet, Log, LogSettings, RunningServer, Standin};

/// The longest time until the status shows a loaded model, in seconds.
const REPORT_TIMEOUT_S: u64 = 20;

/// A transcript of commands with their output and exit status, on a log of its own.
struct Session {
    log: RunningServer<Log>,
    dir: tempdir::Dir,
    transcript: String,
}

mod tempdir {
    //! A temporary folder, removed when dropped.

    use std::path::{Path, PathBuf};

    pub struct Dir(PathBuf);

    impl Dir {
        pub fn new(name: &str) -> Self {
            let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
            std::fs::create_dir_all(&path).unwrap();
            Self(path)
        }

        pub fn path(&self) -> &Path {
            &self.0
        }
    }

    impl Drop for Dir {
        fn drop(&mut self) {
            let _removed = std::fs::remove_dir_all(&self.0);
        }
    }
}

fn run_command(words: &[&str]) -> (u8, String) {
    let arguments = Arguments::from_args(&["eelgrasshill"], words).unwrap();
    match run(arguments) {
        Ok(text) => (0, text),
        Err(error) => (error.status(), format!("{error}\n")),
    }
}

impl Session {
    fn new(name: &str) -> Self {
        let log = Log::new(LogSettings::default()).spawn_thread().unwrap();
        Self {
            log,
            dir: tempdir::Dir::new(name),
            transcript: String::new(),
        }
    }

    fn file(&self, name: &str) -> String {
        self.dir.path().join(name).display().to_string()
    }

    /// Runs a command line; LOG and DIR stand for the log and the folder of the session.
    fn run(&mut self, line: &str) -> String {
        let log = self.log.address.to_string();
        let dir = self.dir.path().display().to_string();
        let substitute = |text: &str| text.replace("LOG", &log).replace("DIR", &dir);
        let words: Vec<String> = line.split(' ').map(substitute).collect();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let (status, printed) = run_command(&words);
        let shown = printed.replace(&dir, "DIR").replace(&log, "LOG");
        self.transcript += &format!("$ eelgrasshill {line}\n{shown}");
        if status != 0 {
            self.transcript += &format!("(exit status {status})\n");
        }
        printed
    }

    fn edit(&mut self, file: &str, from: &str, to: &str) {
        let path = self.file(file);
        let text = std::fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "{file} does not contain {from}");
        std::fs::write(&path, text.replacen(from, to, 1)).unwrap();
        self.transcript += &format!("# {file}: {from} -> {to}\n");
    }

    fn copy(&self, from: &str, to: &str) {
        std::fs::create_dir_all(Path::new(&self.file(to)).parent().unwrap()).unwrap();
        std::fs::copy(self.file(from), self.file(to)).unwrap();
    }
}

fn copy_example(session: &Session, example: &str) {
    for file in ["routes.ini", "pools.ini", "entry.ini"] {
        let path = format!(
            "{}/../../examples/{example}/{file}",
            env!("CARGO_MANIFEST_DIR")
        );
        std::fs::copy(path, session.file(file)).unwrap();
    }
}

#[test]
fn concurrent_edits_conflict_only_on_the_same_row() {
    let mut session = Session::new("eelgrasshill-edit");
    copy_example(&session, "lakeshore");
    session.run("check --routes DIR/routes.ini --pools DIR/pools.ini --entry DIR/entry.ini");
    session.run("publish --log LOG --routes DIR/routes.ini --pools DIR/pools.ini --author ada");
    session.run("publish --log LOG --routes DIR/routes.ini --pools DIR/pools.ini --author ada");
    session.run("tables --log LOG --dir DIR");
    session.run("publish --log LOG --routes DIR/routes.ini --pools DIR/pools.ini --author ada");
    session.copy("routes.ini", "second/routes.ini");
    session.copy("routes.ini", "third/routes.ini");
    // ada edits a row from the version in force: accepted.
    session.edit("routes.ini", "rate = 6000", "rate = 7000");
    session.run("publish --log LOG --routes DIR/routes.ini --pools DIR/pools.ini --author ada");
    // bo edits the same row from the version before: conflict.
    session.edit("second/routes.ini", "rate = 6000", "rate = 1");
    session
        .run("publish --log LOG --routes DIR/second/routes.ini --pools DIR/pools.ini --author bo");
    // cy edits another row from the version before: accepted.
    session.edit("third/routes.ini", "rate = 1000", "rate = 1500");
    session
        .run("publish --log LOG --routes DIR/third/routes.ini --pools DIR/pools.ini --author cy");
    // A reference to a missing pool: found before anything is published.
    session.edit("routes.ini", "pool = yard-desk", "pool = yard-disk");
    session.run("publish --log LOG --routes DIR/routes.ini --pools DIR/pools.ini --author ada");
    insta::assert_snapshot!("edit_and_race", session.transcript);
}

#[test]
fn publish_with_lost_answer_takes_effect_once() {
    let mut session = Session::new("eelgrasshill-lost");
    copy_example(&session, "kjallaravakt");
    let fault = FaultSet {
        lost_answers: 1,
        ..FaultSet::default()
    }
    .with_call_prefix("POST /streams/config");
    session.log.handle.faults().set(fault);
    session.run("publish --log LOG --routes DIR/routes.ini --pools DIR/pools.ini");
    let stream = "config".parse().unwrap();
    assert_eq!(
        session.log.handle.records(&stream).len(),
        1,
        "expected one record in the log in spite of the repeated append; transcript:\n{}",
        session.transcript
    );
    insta::assert_snapshot!("lost_answer", session.transcript);
}

#[test]
fn issued_ids_are_unique_and_withdrawal_is_permanent() {
    let mut session = Session::new("eelgrasshill-key");
    copy_example(&session, "kjallaravakt");
    session.run("publish --log LOG --routes DIR/routes.ini --pools DIR/pools.ini");
    let key = session.run("key issue --log LOG --organisation vettvangur --id field-1");
    session.transcript = session.transcript.replace(key.trim(), "KEY");
    session.run("key issue --log LOG --organisation nobody --id field-2");
    session.run("key issue --log LOG --organisation heimili --id field-1");
    session.run("key list --log LOG");
    session.run("key withdraw --log LOG --id field-1");
    session.run("key withdraw --log LOG --id field-1");
    session.run("key issue --log LOG --organisation heimili --id field-1");
    session.run("key list --log LOG");
    assert!(
        key.starts_with("egh_field-1_"),
        "the key does not start with egh_ and its id"
    );
    let stream = "config".parse().unwrap();
    let records = serde_json::to_string(&session.log.handle.records(&stream)).unwrap();
    assert!(
        !records.contains(key.trim()),
        "the log contains the text of a key"
    );
    insta::assert_snapshot!("keys", session.transcript);
}

/// Guards against a status without the loaded model and an explanation without the steps of a
/// request.
#[test]
fn status_and_explain_show_the_route_of_a_request() {
    let system = actix::System::new();
    let deployment = system
        .block_on(Deployment::start(DeploymentSettings::new(
            Example::Kjallaravakt,
        )))
        .unwrap();
    let key = system.block_on(deployment.issue_key("vettvangur")).unwrap();
    let url = format!("http://{}/v1/chat/completions", deployment.address(0));
    let body = serde_json::json!({ "model": "sump-log", "messages": "x", "max_tokens": 5 });
    let id = system.block_on(async {
        let client = awc::Client::builder()
            .timeout(std::time::Duration::from_mins(1))
            .finish();
        let call = client
            .post(url)
            .insert_header(("authorization", format!("Bearer {}", key.reveal())));
        let response = call.send_json(&body).await.unwrap();
        assert_eq!(
            response.status(),
            200,
            "the request for sump-log was refused"
        );
        response
            .headers()
            .get("x-request-id")
            .unwrap()
            .to_str()
            .unwrap()
            .to_owned()
    });
    drop(system);
    let host = deployment.entry_hosts[0]
        .shared()
        .settings
        .admin_address
        .to_string();
    let shows_model = |line: &str| line.contains("holds") && line.contains("sump-log");
    let started = std::time::Instant::now();
    // The status shows the last report of the engine, which may be older than the request.
    let shown = loop {
        let (status, shown) = run_command(&["status", "--host", &host]);
        assert_eq!(status, 0, "`status` failed: {shown}");
        if shown.lines().any(shows_model) || started.elapsed().as_secs() > REPORT_TIMEOUT_S {
            break shown;
        }
    };
    assert!(
        shown.starts_with("host sudvestur-a-1 in sudvestur-a is ready\n"),
        "{shown}"
    );
    assert!(
        shown.lines().any(shows_model),
        "`status` shows no engine that holds sump-log: {shown}"
    );
    let (status, shown) = run_command(&["explain", "--host", &host, &id]);
    assert_eq!(status, 0, "`explain` failed: {shown}");
    for expected in [
        "route vettvangur-assistant for vettvangur",
        "admitted",
        "started",
        "finished",
    ] {
        assert!(
            shown.contains(expected),
            "`explain` does not show {expected:?}: {shown}"
        );
    }
    assert!(deployment.drain(), "a host did not stop in time");
}
