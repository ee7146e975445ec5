//! Locking without poisoning, for state that no panic leaves half changed.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning.
///
/// Callers do not panic in the middle of a change, so the state stays consistent after a panic of
/// another holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
