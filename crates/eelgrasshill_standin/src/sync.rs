//! Mutex locking that ignores poisoning, so that one panicked test does not fail others.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
