//! Waits for a shutdown signal.

use tokio::signal::unix::{SignalKind, signal};

/// Blocks until the process receives SIGTERM or SIGINT.
pub fn wait_for_stop() {
    actix::System::new().block_on(wait_for_stop_async());
}

/// Waits until the process receives SIGTERM or SIGINT.
pub async fn wait_for_stop_async() {
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("host: cannot install handlers for SIGTERM and SIGINT");
        return;
    };
    tokio::select! {
        _signal = term.recv() => {}
        _signal = interrupt.recv() => {}
    }
}
