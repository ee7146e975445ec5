//! Locks whose holder may have panicked in a test without spoiling the next one.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, whether or not an earlier holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
