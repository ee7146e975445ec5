//! Reads a log stream and sends its pages to the control actor.

use std::time::Duration;

use actix::Addr;
use eelgrasshill_domain::StreamName;
use eelgrasshill_ports::Log;

use crate::control::messages::{GetReadOffset, LogStream, PageRead};
use crate::control::{Control, ServiceClients};

/// Maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 1000;

/// Maximum time that a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed read, or while this host does not read the stream.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Reads a stream until the actor stops.
pub(crate) async fn read_log_stream<O: ServiceClients>(
    log: O::Log,
    addr: Addr<Control<O>>,
    stream: LogStream,
) {
    let Ok(name) = StreamName::new(&stream.to_string()) else {
        return;
    };
    let mut failed = false;
    loop {
        let Ok(cursor) = addr.send(GetReadOffset(stream)).await else {
            return;
        };
        let Some(from) = cursor else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        match log.read(&name, from, MAX_PAGE_RECORDS, READ_WAIT).await {
            Ok(page) => {
                if failed {
                    log::info!("{stream}: the log can be read again");
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
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
