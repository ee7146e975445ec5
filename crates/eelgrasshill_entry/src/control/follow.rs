//! Reads a stream of the log for the control actor.

use std::time::Duration;

use actix::Addr;
use eelgrasshill_domain::StreamName;
use eelgrasshill_ports::Log;

use crate::control::messages::{Cursor, Followed, PageRead};
use crate::control::{Control, Outside};

/// Most records of one read.
const PAGE: usize = 1000;

/// How long a read waits for a record.
const WAIT: Duration = Duration::from_secs(2);

/// Pause of a host that does not read the stream itself, or after a failed read.
const PAUSE: Duration = Duration::from_millis(300);

/// Reads a stream until the actor is gone.
pub(crate) async fn follow_log<O: Outside>(log: O::Log, addr: Addr<Control<O>>, stream: Followed) {
    let Ok(name) = StreamName::new(&stream.to_string()) else {
        return;
    };
    let mut failed = false;
    loop {
        let Ok(cursor) = addr.send(Cursor(stream)).await else {
            return;
        };
        let Some(from) = cursor else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        match log.read(&name, from, PAGE, WAIT).await {
            Ok(page) => {
                if failed {
                    log::info!("{stream}: the log answers again");
                }
                failed = false;
                if addr.send(PageRead { stream, page }).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                if !failed {
                    log::warn!("{stream}: {error}");
                }
                failed = true;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
