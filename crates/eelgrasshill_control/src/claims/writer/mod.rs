//! The host that appends claims of one shard, many in one append.
//!
//! It says that a claim won only after it has read the claim back from the log.

mod read;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use eelgrasshill_domain::{AppendId, FastMap, FastSet, Moment, Offset, StreamName, digest_hex};

use super::{
    CallKey, Claim, ClaimBatch, ClaimBounds, ClaimFold, ClaimId, ClaimRecord, Held, Verdict,
};
use crate::{Append, AppendError, AppendStep, Process, append::ANSWER_BOUND};

/// Bytes of recorded bodies after which a batch takes no more records.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// Time between two reads of a writer that awaits nothing.
const IDLE_POLL: Duration = Duration::from_secs(1);

/// How much rarer reads are for calls that run than for records in flight.
const WATCH_POLLS: u32 = 10;

/// What the writer asks of its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriterEffect {
    /// Append the batch to the stream under this id.
    Append {
        /// The shard's stream.
        stream: StreamName,
        /// The id, the same on every attempt.
        id: AppendId,
        /// The records.
        batch: Arc<ClaimBatch>,
    },
    /// Read the stream to its end.
    Read {
        /// The shard's stream.
        stream: StreamName,
        /// The first offset that is needed.
        from: Offset,
    },
    /// Tell the claim's process what the log says.
    Decided(ClaimId, Verdict),
    /// Tell the claim's process that its outcome or abort stands in the log.
    Recorded(ClaimId),
}

#[derive(Clone, Debug)]
struct Flight {
    append: Append,
    batch: Arc<ClaimBatch>,
}

#[derive(Clone, Debug)]
struct Watch {
    claim: Claim,
    since: Moment,
    told: bool,
}

/// The state of one shard's writer on one host.
#[derive(Clone, Debug)]
pub struct ClaimWriter {
    stream: StreamName,
    process: Process,
    bounds: ClaimBounds,
    fold: ClaimFold,
    queue: VecDeque<ClaimRecord>,
    queued: FastSet<(ClaimId, bool)>,
    since: Option<Moment>,
    flight: Option<Flight>,
    watches: FastMap<CallKey, Vec<Watch>>,
    decided: FastMap<ClaimId, Verdict>,
    decided_order: VecDeque<ClaimId>,
    sent: Option<Moment>,
    appends: u64,
    reading: Option<Moment>,
    read: Moment,
    at_end: bool,
    refused: bool,
}

impl ClaimWriter {
    /// Makes the writer of a shard's stream; it first reads what the log holds.
    #[must_use]
    pub fn new(stream: StreamName, process: Process, bounds: ClaimBounds) -> Self {
        Self {
            stream,
            process,
            fold: ClaimFold::new(bounds.clone()),
            bounds,
            queue: VecDeque::new(),
            queued: FastSet::default(),
            since: None,
            flight: None,
            watches: FastMap::default(),
            decided: FastMap::default(),
            decided_order: VecDeque::new(),
            sent: None,
            appends: 0,
            reading: None,
            read: Moment::default(),
            at_end: false,
            refused: false,
        }
    }

    /// Returns what the writer knows of the stream.
    #[must_use]
    pub fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Returns whether nothing waits to be appended or read back.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.flight.is_none()
    }

    /// Takes a record from a host of the zone; the same one may come again.
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
            self.watch(claim, false, now);
            return None;
        }
        if let Some(verdict) = self.decided.get(&claim.id) {
            return Some(WriterEffect::Decided(claim.id, verdict.clone()));
        }
        if let Some(verdict) = self.fold.verdict(claim) {
            if is_running(&verdict) {
                self.watch(claim, true, now);
            } else if verdict != Verdict::Won {
                self.keep_decided(claim.id, &verdict);
            }
            return Some(WriterEffect::Decided(claim.id, verdict));
        }
        if self.is_out() || self.queue.len() >= self.bounds.queue {
            self.keep_decided(claim.id, &Verdict::Refused);
            return Some(WriterEffect::Decided(claim.id, Verdict::Refused));
        }
        self.watch(claim, false, now);
        None
    }

    /// Returns whether a claim is yet to be read back from this writer's append.
    ///
    /// It is not decided before: the claim that holds now may be aborted, and
    /// then this one would win with nobody told.
    fn is_queued(&self, id: ClaimId) -> bool {
        self.queued.contains(&(id, true))
    }

    /// Keeps a final verdict on a claim that was not appended.
    ///
    /// The claim's process counts on it, so a repeated message must not append
    /// the claim after all.
    fn keep_decided(&mut self, id: ClaimId, verdict: &Verdict) {
        self.decided.insert(id, verdict.clone());
        self.decided_order.push_back(id);
        if self.decided_order.len() > self.bounds.queue
            && let Some(oldest) = self.decided_order.pop_front()
        {
            self.decided.remove(&oldest);
        }
    }

    fn watch(&mut self, claim: &Claim, told: bool, now: Moment) {
        let watches = self.watches.entry(claim.key).or_default();
        watches.retain(|watch| watch.claim.id != claim.id);
        watches.push(Watch {
            claim: claim.clone(),
            since: now,
            told,
        });
    }

    fn enqueue(&mut self, record: ClaimRecord, now: Moment) {
        if self.queued.insert((record.id(), record.is_claim())) {
            self.queue.push_back(record);
            self.since.get_or_insert(now);
        }
    }

    /// A claim that never left this host need not be appended once it is aborted.
    fn drop_queued_claim(&mut self, id: ClaimId) {
        let before = self.queue.len();
        self.queue
            .retain(|record| !(record.is_claim() && record.id() == id));
        if self.queue.len() < before {
            self.queued.remove(&(id, true));
        }
    }

    /// Takes the next steps that are due.
    pub fn tick(&mut self, now: Moment) -> Vec<WriterEffect> {
        let mut effects = Vec::new();
        self.start_flight(now);
        let step = self
            .flight
            .as_mut()
            .map_or(AppendStep::Wait, |flight| flight.append.step(now));
        if step == AppendStep::Append
            && let Some(flight) = &self.flight
        {
            self.sent = Some(now);
            effects.push(WriterEffect::Append {
                stream: self.stream.clone(),
                id: flight.append.id().clone(),
                batch: Arc::clone(&flight.batch),
            });
        }
        if self.is_read_due(step == AppendStep::Read, now) {
            self.reading = Some(now);
            if let Some(flight) = &mut self.flight {
                flight.append.read_began();
            }
            effects.push(WriterEffect::Read {
                stream: self.stream.clone(),
                from: self.fold.cursor(),
            });
        }
        effects
    }

    /// Returns whether the log seems out, so that new claims are refused at once.
    fn is_out(&self) -> bool {
        let is_repeated = self
            .flight
            .as_ref()
            .is_some_and(|flight| flight.append.attempts() > 1);
        self.refused || is_repeated
    }

    fn is_read_due(&self, is_awaited: bool, now: Moment) -> bool {
        if let Some(since) = self.reading {
            return now.since(since) > ANSWER_BOUND;
        }
        let pause = if is_awaited || !self.at_end {
            self.bounds.poll
        } else if self.watches.is_empty() {
            IDLE_POLL
        } else {
            self.bounds.poll * WATCH_POLLS
        };
        now.since(self.read) >= pause
    }

    fn start_flight(&mut self, now: Moment) {
        let Some(since) = self.since else {
            return;
        };
        let is_paced = self
            .sent
            .is_none_or(|sent| now.since(sent) >= self.bounds.pace);
        let is_full = self.queue.len() >= self.bounds.batch;
        let is_due = is_full || now.since(since) >= self.bounds.linger;
        if self.flight.is_some() || !is_paced || !is_due {
            return;
        }
        let records = self.take_batch();
        self.since = (!self.queue.is_empty()).then_some(now);
        let Some(id) = self.next_id() else {
            return;
        };
        self.flight = Some(Flight {
            append: Append::new(id, now),
            batch: Arc::new(ClaimBatch { records }),
        });
    }

    /// Takes the oldest records, within the bounds of one append.
    fn take_batch(&mut self) -> Vec<ClaimRecord> {
        let mut bytes = 0;
        let mut records = Vec::new();
        while records.len() < self.bounds.batch
            && bytes < MAX_BATCH_BYTES
            && let Some(record) = self.queue.pop_front()
        {
            bytes += record.body_bytes();
            records.push(record);
        }
        records
    }

    fn next_id(&mut self) -> Option<AppendId> {
        self.appends += 1;
        let address = digest_hex(self.process.address.to_string().as_bytes());
        let text = format!(
            "{}-{}-{}-{}",
            self.stream,
            &address[..16],
            self.process.incarnation,
            self.appends
        );
        AppendId::new(&text).ok()
    }

    /// Takes in the log's answer to the append of this id.
    pub fn answer(
        &mut self,
        id: &AppendId,
        answer: Result<Offset, AppendError>,
        now: Moment,
    ) -> Vec<WriterEffect> {
        if let Some(flight) = self.flight.as_mut().filter(|f| f.append.id() == id) {
            flight.append.answer(answer, now);
            self.refused = answer == Err(AppendError::Refused);
        }
        self.tick(now)
    }
}

fn is_running(verdict: &Verdict) -> bool {
    matches!(
        verdict,
        Verdict::Lost {
            same: true,
            held: Held::Running,
            ..
        }
    )
}
