//! Timeouts for answers that may have arrived while this host got no processor time.

use std::pin::pin;
use std::time::Duration;

use tokio::time::error::Elapsed;

/// Last part of a timeout, which begins again when the rest has passed.
///
/// After a time without processor time, timers have passed before the sockets were read. This is
/// the time to read them.
pub(crate) const READ_TIME: Duration = Duration::from_millis(100);

/// Awaits an answer until the timeout, and until this host could read what has arrived by then.
///
/// # Errors
///
/// Returns [`Elapsed`] if the answer has not arrived.
pub(crate) async fn timeout_after_read<F: Future>(
    timeout: Duration,
    answer: F,
) -> Result<F::Output, Elapsed> {
    let mut answer = pin!(answer);
    let first = timeout.saturating_sub(READ_TIME);
    match tokio::time::timeout(first, &mut answer).await {
        Ok(output) => Ok(output),
        Err(_elapsed) => tokio::time::timeout(READ_TIME.min(timeout), answer).await,
    }
}
