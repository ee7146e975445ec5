//! Waits for the signal to shut down.

use tokio::signal::unix::{SignalKind, signal};

/// Blocks until SIGTERM or SIGINT comes.
pub fn wait_for_stop() {
    actix::System::new().block_on(wait_for_stop_async());
}

/// Waits until SIGTERM or SIGINT comes.
pub async fn wait_for_stop_async() {
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!("host: signals cannot be heard");
        return;
    };
    tokio::select! {
        _signal = term.recv() => {}
        _signal = interrupt.recv() => {}
    }
}
