//! A simulated log service with the faults of the real one.

use std::time::Duration;

use eelgrasshill_control::{AppendError, Delta, LogEntry, LogTime};
use eelgrasshill_domain::{AppendId, Offset};

/// How the log handles one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    Normal,
    /// The record is stored, but the answer is lost.
    AnswerLost,
    /// The append is lost on its way to the log.
    NeverArrived,
    /// The answer is lost, and the record is stored after a delay in ms.
    Late(u64),
    /// The record is stored at once, and again after a delay in ms.
    Twice(u64),
}

/// One stream of the log.
///
/// `entries` also keeps expired records, for the oracle.
#[derive(Debug)]
pub(crate) struct SimulatedLog<R> {
    pub(crate) entries: Vec<LogEntry<R>>,
    /// The first offset that has not expired.
    pub(crate) first_kept_offset: u64,
    pub(crate) is_unavailable: bool,
    /// Due time in ms, id and record of each append that is stored late.
    delayed_appends: Vec<(u64, AppendId, R)>,
}

impl<R: Clone> SimulatedLog<R> {
    pub(crate) fn new() -> Self {
        Self {
            entries: Vec::new(),
            first_kept_offset: 1,
            is_unavailable: false,
            delayed_appends: Vec::new(),
        }
    }

    pub(crate) fn last(&self) -> Offset {
        Offset(self.entries.len() as u64)
    }

    fn store(&mut self, id: AppendId, record: R, now_ms: u64) -> Offset {
        let offset = self.last().next();
        let at = LogTime(now_ms);
        self.entries.push(LogEntry {
            offset,
            at,
            id,
            record,
        });
        offset
    }

    pub(crate) fn append(
        &mut self,
        id: &AppendId,
        record: R,
        delivery: Delivery,
        now_ms: u64,
    ) -> Result<Offset, AppendError> {
        if self.is_unavailable {
            return Err(AppendError::NotWritten);
        }
        match delivery {
            Delivery::Normal => Ok(self.store(id.clone(), record, now_ms)),
            Delivery::AnswerLost => {
                self.store(id.clone(), record, now_ms);
                Err(AppendError::Unknown)
            }
            Delivery::NeverArrived => Err(AppendError::Unknown),
            Delivery::Late(delay_ms) => {
                self.delayed_appends
                    .push((now_ms + delay_ms, id.clone(), record));
                Err(AppendError::Unknown)
            }
            Delivery::Twice(delay_ms) => {
                self.delayed_appends
                    .push((now_ms + delay_ms, id.clone(), record.clone()));
                Ok(self.store(id.clone(), record, now_ms))
            }
        }
    }

    /// Stores delayed appends that are due, and expires records older than `retention`.
    pub(crate) fn tick(&mut self, now_ms: u64, retention: Duration) {
        while let Some(index) = self
            .delayed_appends
            .iter()
            .position(|append| append.0 <= now_ms)
        {
            let (_due, id, record) = self.delayed_appends.remove(index);
            self.store(id, record, now_ms);
        }
        let is_kept = |stored: &LogEntry<R>| stored.at.after(retention) >= LogTime(now_ms);
        while self
            .entries
            .get(self.first_kept_offset as usize - 1)
            .is_some_and(|stored| !is_kept(stored))
        {
            self.first_kept_offset += 1;
        }
    }

    /// Returns the first kept offset, a page, and whether the page reaches the end.
    pub(crate) fn read(&self, from: Offset, limit: usize) -> Option<(Offset, Delta<R>, bool)> {
        if self.is_unavailable {
            return None;
        }
        let start = from.0.max(self.first_kept_offset);
        let rest = self.entries.get(start as usize - 1..).unwrap_or_default();
        let records: Vec<_> = rest.iter().take(limit).cloned().collect();
        let is_end = records.len() == rest.len();
        Some((
            Offset(self.first_kept_offset),
            Delta::new(Offset(start), records),
            is_end,
        ))
    }
}
