//! Reads a log stream and sends its pages to the control actor.

use std::time::Duration;

use actix::Addr;
use eelgrasshill_domain::StreamName;
use eelgrasshill_ports::LogClient;

use crate::control::messages::{GetReadOffset, LogStream, PageRead};
use crate::control::{Control, ServiceClients};

/// Maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 1000;

/// Maximum time that a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed read, or while this host does not read the stream.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Reads a stream until the actor stops.
///
/// An outage is logged once, with the first failed read.
pub(crate) async fn read_log_stream<C: ServiceClients>(
    log: C::Log,
    addr: Addr<Control<C>>,
    stream: LogStream,
) {
    let Ok(name) = StreamName::new(&stream.to_string()) else {
        // Does not happen: `LogStream` displays valid stream names.
        return;
    };
    let mut failed = false;
    loop {
        let Ok(next_offset) = addr.send(GetReadOffset(stream)).await else {
            return;
        };
        let Some(next_offset) = next_offset else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        match log
            .read(&name, next_offset, MAX_PAGE_RECORDS, READ_WAIT)
            .await
        {
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
                    log::warn!("{stream}: reading from offset {next_offset}: {error}");
                }
                failed = true;
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
