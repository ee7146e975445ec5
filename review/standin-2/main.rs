//! Stand-ins and checks of the cases in `review/6` to `review/10` that are scripts.
//!
//! `standin-2 CASE FOLDER` runs one case, writes `record.txt` into the folder and exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run.

mod crowd;
mod gateway;
mod net;
mod part;
mod platform;

use std::fs::File;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run, with the time since its start before each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _full = writeln!(file, "{:8.3} {text}", self.now());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// Whether the run has the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-2 CASE FOLDER");
        std::process::exit(2);
    };
    let record = Record::new(Path::new(&folder));
    let scratch: PathBuf =
        std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder can be made");
    record.say(&format!("case={case} trouble={}", has_trouble()));
    let verdict = match case.as_str() {
        "crowd" => crowd::run(&record, &scratch),
        "part" => part::run(&record, &scratch),
        "memory" => crowd::run_memory(&record, &scratch),
        other => Verdict::NotRun(format!("there is no case {other}")),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _gone = std::fs::remove_dir_all(&scratch);
    } else {
        println!("logs: {}", scratch.display());
    }
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::NotRun(cause) => {
            record.say(&format!("the case could not run: {cause}"));
            2
        }
    };
    std::process::exit(code);
}
