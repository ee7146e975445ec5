//! Appends the claim records of one shard to the log, in batches.
//!
//! The writer decides when to append and when to read the stream, from its
//! queue, the log's answers and the time. It reports that a claim won only after
//! it has read the claim back from the log.

mod read;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use eelgrasshill_domain::{AppendId, FastMap, FastSet, Moment, Offset, StreamName, digest_hex};

use super::{
    CallKey, Claim, ClaimBatch, ClaimBounds, ClaimFold, ClaimId, ClaimRecord, Verdict, WinnerState,
};
use crate::{Append, AppendError, AppendStep, Process, append::LOG_ANSWER_TIMEOUT};

/// The total size of recorded bodies at which a batch takes no more records.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// The time between two reads of a writer that waits for nothing.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The factor by which the poll interval grows while only outcomes are awaited.
const WATCH_POLL_FACTOR: u32 = 10;

/// An action that the host has to take for the writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriterEffect {
    /// Append the batch to the stream with this id.
    Append {
        /// The stream of the shard.
        stream: StreamName,
        /// The append id, which is the same on every attempt.
        id: AppendId,
        /// The records to append.
        batch: Arc<ClaimBatch>,
    },
    /// Read the stream from an offset on.
    Read {
        /// The stream of the shard.
        stream: StreamName,
        /// The first offset to read.
        from: Offset,
    },
    /// Send the verdict to the claim's process.
    Decided(ClaimId, Verdict),
    /// Tell the claim's process that its outcome or abort is in the log.
    Recorded(ClaimId),
}

/// A batch that is not yet known to be in the log.
#[derive(Clone, Debug)]
struct PendingAppend {
    append: Append,
    batch: Arc<ClaimBatch>,
}

/// A claim whose process has to be told of a new verdict.
#[derive(Clone, Debug)]
struct Watcher {
    claim: Claim,
    added_at: Moment,
    notified: bool,
}

/// The writer of one shard on one host.
#[derive(Clone, Debug)]
pub struct ClaimWriter {
    stream: StreamName,
    process: Process,
    bounds: ClaimBounds,
    fold: ClaimFold,
    queue: VecDeque<ClaimRecord>,
    /// The records that are queued or pending: the claim id and whether it is the claim.
    queued: FastSet<(ClaimId, bool)>,
    queued_since: Option<Moment>,
    in_flight: Option<PendingAppend>,
    watchers: FastMap<CallKey, Vec<Watcher>>,
    /// The recent final verdicts on claims that were not appended.
    verdicts: FastMap<ClaimId, Verdict>,
    verdict_order: VecDeque<ClaimId>,
    last_append: Option<Moment>,
    append_count: u64,
    read_started: Option<Moment>,
    last_read: Moment,
    is_at_end: bool,
    append_refused: bool,
}

impl ClaimWriter {
    /// Creates the writer of a shard's stream, which starts by reading the stream.
    #[must_use]
    pub fn new(stream: StreamName, process: Process, bounds: ClaimBounds) -> Self {
        Self {
            stream,
            process,
            fold: ClaimFold::new(bounds.clone()),
            bounds,
            queue: VecDeque::new(),
            queued: FastSet::default(),
            queued_since: None,
            in_flight: None,
            watchers: FastMap::default(),
            verdicts: FastMap::default(),
            verdict_order: VecDeque::new(),
            last_append: None,
            append_count: 0,
            read_started: None,
            last_read: Moment::default(),
            is_at_end: false,
            append_refused: false,
        }
    }

    /// Returns the state of the stream as far as it has been read.
    #[must_use]
    pub fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Returns whether no record waits to be appended or read back.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Accepts a record from a host; the same record may arrive more than once.
    pub fn submit(&mut self, record: ClaimRecord, now: Moment) -> Vec<WriterEffect> {
        let effect = match &record {
            ClaimRecord::Claim(claim) => self.submit_claim(claim, now),
            ClaimRecord::Outcome { id, key, .. } | ClaimRecord::Abort { id, key } => {
                self.drop_queued_claim(*id);
                self.fold
                    .is_settled(*id, *key)
                    .then_some(WriterEffect::Recorded(*id))
            }
        };
        if effect.is_none() {
            self.enqueue(record, now);
        }
        let mut effects: Vec<_> = effect.into_iter().collect();
        effects.extend(self.tick(now));
        effects
    }

    fn submit_claim(&mut self, claim: &Claim, now: Moment) -> Option<WriterEffect> {
        if self.is_queued(claim.id) {
            self.add_watcher(claim, false, now);
            return None;
        }
        if let Some(verdict) = self.verdicts.get(&claim.id) {
            return Some(WriterEffect::Decided(claim.id, verdict.clone()));
        }
        if let Some(verdict) = self.fold.verdict(claim) {
            if is_call_running(&verdict) {
                self.add_watcher(claim, true, now);
            } else if verdict != Verdict::Won {
                self.remember_verdict(claim.id, &verdict);
            }
            return Some(WriterEffect::Decided(claim.id, verdict));
        }
        if self.is_log_unavailable() || self.queue.len() >= self.bounds.queue_records {
            self.remember_verdict(claim.id, &Verdict::Refused);
            return Some(WriterEffect::Decided(claim.id, Verdict::Refused));
        }
        self.add_watcher(claim, false, now);
        None
    }

    /// Returns whether a claim is queued here or not yet read back.
    ///
    /// Such a claim gets no verdict yet: the current winner may be aborted first,
    /// and then this claim would win after its process was told that it lost.
    fn is_queued(&self, id: ClaimId) -> bool {
        self.queued.contains(&(id, true))
    }

    /// Remembers the final verdict on a claim that was not appended.
    ///
    /// The claim's process relies on the verdict, so a repeated message must not
    /// cause the claim to be appended after all.
    fn remember_verdict(&mut self, id: ClaimId, verdict: &Verdict) {
        self.verdicts.insert(id, verdict.clone());
        self.verdict_order.push_back(id);
        if self.verdict_order.len() > self.bounds.queue_records
            && let Some(oldest) = self.verdict_order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }

    fn add_watcher(&mut self, claim: &Claim, notified: bool, now: Moment) {
        let watchers = self.watchers.entry(claim.key).or_default();
        watchers.retain(|watcher| watcher.claim.id != claim.id);
        watchers.push(Watcher {
            claim: claim.clone(),
            added_at: now,
            notified,
        });
    }

    fn enqueue(&mut self, record: ClaimRecord, now: Moment) {
        if self.queued.insert((record.id(), record.is_claim())) {
            self.queue.push_back(record);
            self.queued_since.get_or_insert(now);
        }
    }

    /// Drops a claim that is still queued when its abort arrives.
    fn drop_queued_claim(&mut self, id: ClaimId) {
        let before = self.queue.len();
        self.queue
            .retain(|record| !(record.is_claim() && record.id() == id));
        if self.queue.len() < before {
            self.queued.remove(&(id, true));
        }
    }

    /// Returns the actions that are due now.
    pub fn tick(&mut self, now: Moment) -> Vec<WriterEffect> {
        let mut effects = Vec::new();
        self.start_append(now);
        let step = self
            .in_flight
            .as_mut()
            .map_or(AppendStep::Wait, |pending| pending.append.step(now));
        if step == AppendStep::Append
            && let Some(pending) = &self.in_flight
        {
            self.last_append = Some(now);
            effects.push(WriterEffect::Append {
                stream: self.stream.clone(),
                id: pending.append.id().clone(),
                batch: Arc::clone(&pending.batch),
            });
        }
        if self.is_read_due(step == AppendStep::Read, now) {
            self.read_started = Some(now);
            if let Some(pending) = &mut self.in_flight {
                pending.append.mark_read_started();
            }
            effects.push(WriterEffect::Read {
                stream: self.stream.clone(),
                from: self.fold.cursor(),
            });
        }
        effects
    }

    /// Returns whether the log seems unavailable, so that new claims are refused.
    fn is_log_unavailable(&self) -> bool {
        let is_repeated = self
            .in_flight
            .as_ref()
            .is_some_and(|pending| pending.append.attempts() > 1);
        self.append_refused || is_repeated
    }

    fn is_read_due(&self, is_awaited: bool, now: Moment) -> bool {
        if let Some(since) = self.read_started {
            return now.since(since) > LOG_ANSWER_TIMEOUT;
        }
        let interval = if is_awaited || !self.is_at_end {
            self.bounds.poll_interval
        } else if self.watchers.is_empty() {
            IDLE_POLL_INTERVAL
        } else {
            self.bounds.poll_interval * WATCH_POLL_FACTOR
        };
        now.since(self.last_read) >= interval
    }

    /// Starts an append if a batch is due.
    ///
    /// A batch is due when it is full or its oldest record has waited long enough.
    /// No append may be pending, and the append interval must have passed.
    fn start_append(&mut self, now: Moment) {
        let Some(since) = self.queued_since else {
            return;
        };
        let is_interval_over = self
            .last_append
            .is_none_or(|sent| now.since(sent) >= self.bounds.append_interval);
        let is_full = self.queue.len() >= self.bounds.batch_records;
        let is_due = is_full || now.since(since) >= self.bounds.batch_delay;
        if self.in_flight.is_some() || !is_interval_over || !is_due {
            return;
        }
        let records = self.take_batch();
        self.queued_since = (!self.queue.is_empty()).then_some(now);
        let Some(id) = self.next_id() else {
            return;
        };
        self.in_flight = Some(PendingAppend {
            append: Append::new(id, now),
            batch: Arc::new(ClaimBatch { records }),
        });
    }

    /// Takes the oldest records from the queue, within the limits of one append.
    fn take_batch(&mut self) -> Vec<ClaimRecord> {
        let mut bytes = 0;
        let mut records = Vec::new();
        while records.len() < self.bounds.batch_records
            && bytes < MAX_BATCH_BYTES
            && let Some(record) = self.queue.pop_front()
        {
            bytes += record.body_bytes();
            records.push(record);
        }
        records
    }

    fn next_id(&mut self) -> Option<AppendId> {
        self.append_count += 1;
        let address = digest_hex(self.process.address.to_string().as_bytes());
        let text = format!(
            "{}-{}-{}-{}",
            self.stream,
            &address[..16],
            self.process.incarnation,
            self.append_count
        );
        AppendId::new(&text).ok()
    }

    /// Processes the log's answer to the append with this id.
    pub fn handle_answer(
        &mut self,
        id: &AppendId,
        answer: Result<Offset, AppendError>,
        now: Moment,
    ) -> Vec<WriterEffect> {
        if let Some(pending) = self.in_flight.as_mut().filter(|p| p.append.id() == id) {
            pending.append.handle_answer(answer, now);
            self.append_refused = answer == Err(AppendError::NotWritten);
        }
        self.tick(now)
    }
}

fn is_call_running(verdict: &Verdict) -> bool {
    matches!(
        verdict,
        Verdict::Lost {
            same_request: true,
            state: WinnerState::Running,
            ..
        }
    )
}
