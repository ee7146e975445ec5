//! Locks whose holders never panic half-way through a change.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; after a panic of another holder its state is still whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
