//! Parts of prompts and whole requests on which engines crash, and who may still send them.
//!
//! A lost answer accuses each part of its prompt that other requests share and the request as a
//! whole, which may come again under another id. An answer that began clears them. What one host saw
//! alone is forwarded to all, so that the accusations by different crashes add up. A part that
//! several crashes accuse is quarantined: requests with it are refused, except for single probes that
//! show whether it still crashes engines. Which host may probe follows from a hash, so that hosts
//! that cannot reach each other do not all do so.
//!
//! The load pattern is a kind of request that crashes one engine after the other, on any host, next
//! to sound requests that share all other parts with it. Many sound requests are in flight at each
//! crash, and crashes have other causes too: a part is only quarantined while no answer to it has
//! begun since, and not for crashes that another part explains. Parts that always came together are
//! quarantined together; a request with only one of them shows which it is.
//!
//! Engines that crash together for another reason, such as a loss of power, lose many requests with
//! popular parts. So crashes of a part count in full only if few other engines crashed around them
//! without it. Otherwise they count at most once, and less if the part was in few of the crashes.
//!
//! A whole request is judged beside its parts: they were in all of its crashes and explain none of
//! them. From the third crash on it is condemned, and nobody probes it for a long time.

use std::time::Duration;

use eelgrasshill_domain::{FastMap, FastSet, HostName, Moment, record, rendezvous_weight, scalar};

use crate::{PromptPart, Upstream};

/// Number of crashes from which on a part is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// Time after the first crash of a part in which further ones belong to the same group.
const GROUP_TIME: Duration = Duration::from_millis(300);

/// Time before the first crash of a group in which other crashes count as simultaneous.
const BEFORE_GROUP: Duration = Duration::from_millis(250);

/// Time after the last crash of a group in which other crashes count as simultaneous.
///
/// It is short, so that later crashes of other engines do not end a quarantine.
const AFTER_GROUP: Duration = Duration::from_millis(50);

/// Number of a part's crashes to each simultaneous crash without it, at which all count in full.
///
/// An engine that crashes by chance beside a part that crashes many of them changes nothing.
const OWN_TO_OTHERS: usize = 4;

/// Time within which two crashes may be the first ones of an outage that is not known yet.
const TOGETHER_TIME: Duration = Duration::from_millis(100);

/// Time for which a part is not refused for two such crashes alone, until others are known.
///
/// A third crash ends it. Without it, 4 of 400,000 sound requests were refused in simulated outages.
const OUTAGE_NEWS_TIME: Duration = Duration::from_millis(50);

/// Maximum number of crashes whose times are kept; the oldest makes room.
const MAX_CRASHES: usize = 1_024;

/// Number of crashes from which on a whole request is condemned.
const CONDEMNING_CRASHES: usize = 3;

/// Time without a probe of a condemned request.
///
/// A request that was only in flight at the crashes is cleared by that probe.
const CONDEMNED_PROBE_DELAY: Duration = Duration::from_mins(10);

/// Time from which on the crashes of two probes count as separate evidence.
const ROUND_TIME: Duration = Duration::from_secs(5);

/// Time without a probe after the last crash: some rounds of the exchange.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Time without a probe after a probe has crashed an engine.
const CONFIRMED_PROBE_DELAY: Duration = Duration::from_secs(30);

/// Factor by which that time rises with each further probe that crashes an engine.
const PROBE_DELAY_FACTOR: u32 = 8;

/// Maximum number of times that the factor applies.
const MAX_DELAY_STEPS: u32 = 3;

/// Time between the moments from which one host and the next may probe a part.
///
/// It covers most probes, and the rounds of the exchange that tell the others how they ended.
const PART_PROBE_STEP: Duration = Duration::from_secs(1);

/// Time for which it is a host's turn to probe a whole request.
const WHOLE_PROBE_STEP: Duration = Duration::from_secs(2);

/// Time in each step in which the host whose turn it is may probe a whole request.
///
/// The rest of the step covers the probe and the news of how it ended, so that the next host does
/// not send the same request while another engine may be crashing on it.
const WHOLE_PROBE_TIME: Duration = Duration::from_secs(1);

/// Time in which an answer that began speaks for a part, whatever other hosts lost.
const ANSWERED_TTL: Duration = Duration::from_millis(1_500);

/// Time for which answers are remembered, to clear parts that other hosts accuse late.
const ANSWERED_MEMORY: Duration = Duration::from_secs(10);

/// Time for which an accusation counts after the last request with the part.
const ACCUSATION_TTL: Duration = Duration::from_mins(10);

/// Time for which a dismissed accusation is kept, for hosts that do not know of the dismissal.
const DISMISSED_TTL: Duration = Duration::from_secs(30);

/// Age of the last known request with a part from which on a new one is reported.
const MIN_SIGHTING_AGE: Duration = Duration::from_mins(2);

/// Maximum number of accused parts; the one that was accused longest ago makes room.
const MAX_PARTS: usize = 1_024;

/// Maximum number of crashes that are kept for a part.
const MAX_CRASHES_PER_PART: usize = 16;

/// Maximum number of accusations in one message, some 15 KB.
const MAX_FORWARDED: usize = 512;

/// Maximum number of parts whose answers are remembered.
const MAX_ANSWERED: usize = 8_192;

scalar! {
    /// Hash of one start of an engine, at which an answer was lost.
    pub struct CrashId(pub u64);
}

impl CrashId {
    /// Computes the hash of an engine's start.
    #[must_use]
    pub fn new(engine: &Upstream) -> Self {
        let started = engine.started_ms.to_string();
        Self(rendezvous_weight(engine.id.as_str(), &started))
    }
}

record! {
    /// What hosts tell each other about a part and a crash.
    #[derive(Copy)]
    pub struct Accusation {
        /// Part of the prompt of a request that was lost.
        pub part: PromptPart,
        /// Crash at which it was lost.
        pub crash: CrashId,
        /// Whether the request was a probe of the quarantined part.
        #[serde(rename = "probe")]
        pub is_probe: bool,
        /// Whether an answer to a request with the part began after the crash.
        pub dismissed: bool,
        /// When the answer was lost, by this host's clock.
        #[serde(rename = "at")]
        pub lost_at: Moment,
        /// When a request with the part last arrived at any host.
        #[serde(rename = "sighted")]
        pub sighted_at: Moment,
    }
}

/// Refusal of a request because of one part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRefusal {
    /// The part.
    pub part: PromptPart,
    /// Time until a host may probe the part.
    pub retry_after: Duration,
}

/// The quarantined parts of a request that was sent as this host's probe of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProbedParts(pub Vec<PromptPart>);

#[derive(Clone, Copy, Debug)]
struct KnownAccusation {
    accusation: Accusation,
    learned_at: Moment,
    // Position among all changes at this host.
    sequence: u64,
}

/// How a quarantine came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Quarantine {
    // When this host learned of the last crash.
    since: Moment,
    // Time from then on without a probe.
    probe_delay: Duration,
}

/// The accused parts, with the answers that speak for parts.
#[derive(Clone, Debug, Default)]
pub struct CrashingParts {
    accused: FastMap<PromptPart, Vec<KnownAccusation>>,
    answered: FastMap<PromptPart, Moment>,
    probing: FastSet<PromptPart>,
    // All known crashes, whatever they accuse, in the order of their times.
    crashes: Vec<(Moment, CrashId)>,
    /// Accusations, dismissals and sightings since the start.
    change_count: u64,
}

impl CrashingParts {
    /// Decides whether a request may be sent, and notes the probes that it would be.
    ///
    /// `turn` is the turn of this host among those that may probe a part. A request that is
    /// admitted ends its probes with [`Self::end_probes`].
    ///
    /// # Errors
    ///
    /// Returns [`PartRefusal`] if a part is quarantined and this host may not probe it now.
    pub fn admit(
        &mut self,
        parts: &[PromptPart],
        turn: impl Fn(PromptPart) -> ProbeTurn,
        now: Moment,
    ) -> Result<ProbedParts, PartRefusal> {
        self.check(parts, turn, now)?;
        let mut probed = ProbedParts::default();
        for part in parts {
            if self.quarantine(*part, parts, now).is_some() && self.probing.insert(*part) {
                probed.0.push(*part);
            }
        }
        Ok(probed)
    }

    /// Decides whether a request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns [`PartRefusal`] if a part is quarantined and this host may not probe it now.
    pub fn check(
        &mut self,
        parts: &[PromptPart],
        turn: impl Fn(PromptPart) -> ProbeTurn,
        now: Moment,
    ) -> Result<(), PartRefusal> {
        for part in parts {
            let Some(quarantine) = self.quarantine(*part, parts, now) else {
                continue;
            };
            self.note_sighting(*part, now);
            let elapsed = now.since(quarantine.since);
            let has_turn = elapsed
                .checked_sub(quarantine.probe_delay)
                .is_some_and(|elapsed| turn(*part).has_come(*part, elapsed));
            if !has_turn || self.probing.contains(part) {
                let next = quarantine.probe_delay.saturating_sub(elapsed);
                return Err(PartRefusal {
                    part: *part,
                    retry_after: next.max(MIN_PROBE_DELAY),
                });
            }
        }
        Ok(())
    }

    /// Ends the probes of a request that has been answered, lost or given up.
    pub fn end_probes(&mut self, probed: &ProbedParts) {
        for part in &probed.0 {
            self.probing.remove(part);
        }
    }

    /// Notes that a request's answer was lost before it had begun; returns whether that is news.
    pub fn note_lost(
        &mut self,
        parts: &[PromptPart],
        probed: &ProbedParts,
        crash: CrashId,
        now: Moment,
    ) -> bool {
        let mut is_news = false;
        for part in parts {
            if self.is_answered(*part, now) {
                continue;
            }
            let accusation = Accusation {
                part: *part,
                crash,
                is_probe: probed.0.contains(part),
                dismissed: false,
                lost_at: now,
                sighted_at: now,
            };
            is_news |= self.apply(accusation, now);
        }
        is_news
    }

    /// Notes that an answer to a request with these parts has begun.
    pub fn note_answered(&mut self, parts: &[PromptPart], now: Moment) {
        for part in parts {
            if self.answered.len() >= MAX_ANSWERED && !self.answered.contains_key(part) {
                self.forget_answers(now);
            }
            self.answered.insert(*part, now);
            self.dismiss(*part, now);
        }
    }

    /// Dismisses the accusations of a part by the crashes until then.
    fn dismiss(&mut self, part: PromptPart, answered_at: Moment) {
        let Some(known) = self.accused.get_mut(&part) else {
            return;
        };
        for known in known {
            if !known.accusation.dismissed && known.accusation.lost_at <= answered_at {
                self.change_count += 1;
                known.accusation.dismissed = true;
                known.sequence = self.change_count;
                known.learned_at = answered_at;
            }
        }
    }

    /// Stores an accusation, dismissal or sighting of this or another host.
    ///
    /// Returns whether it is a new crash of the part that nothing known here dismisses.
    pub fn apply(&mut self, accusation: Accusation, now: Moment) -> bool {
        let part = accusation.part;
        self.note_crash(accusation.crash, accusation.lost_at);
        let entry = self.accused.entry(part).or_default();
        let index = entry
            .iter()
            .position(|known| known.accusation.crash == accusation.crash);
        let is_crash = index.is_none() && !accusation.dismissed;
        let index = if let Some(index) = index {
            if !merge_report(&mut entry[index], &accusation, now) {
                return false;
            }
            index
        } else {
            if !make_room(entry, &accusation) {
                return false;
            }
            entry.push(KnownAccusation {
                accusation,
                learned_at: now,
                sequence: 0,
            });
            entry.len() - 1
        };
        self.change_count += 1;
        entry[index].sequence = self.change_count;
        if self.accused.len() > MAX_PARTS {
            self.evict(part);
        }
        match self.answered.get(&part) {
            Some(answered_at) if is_crash && *answered_at >= accusation.lost_at => {
                self.dismiss(part, *answered_at);
                false
            }
            Some(_) | None => is_crash,
        }
    }

    /// Stores the time of a crash.
    fn note_crash(&mut self, crash: CrashId, lost_at: Moment) {
        if self.crashes.iter().any(|(_at, known)| *known == crash) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        let index = self.crashes.partition_point(|(at, _crash)| *at <= lost_at);
        self.crashes.insert(index, (lost_at, crash));
    }

    /// Returns what the crashes of a part weigh, where a crash that it must have caused weighs 1.
    fn evidence<'a>(
        &self,
        part: PromptPart,
        crashes: impl Iterator<Item = &'a KnownAccusation>,
    ) -> f64 {
        let mut moments: Vec<_> = crashes.map(|known| known.accusation.lost_at).collect();
        if part.is_whole() {
            return ratio(moments.len(), 1);
        }
        moments.sort_unstable();
        let is_full = moments.len() >= MAX_CRASHES_PER_PART;
        let mut evidence = 0.0;
        let mut rest = moments.as_slice();
        while let Some(first) = rest.first() {
            let size = rest.partition_point(|at| at.since(*first) < GROUP_TIME);
            let (group, later) = rest.split_at(size);
            rest = later;
            let last = group.last().unwrap_or(first);
            let from = self
                .crashes
                .partition_point(|(at, _crash)| at.after(BEFORE_GROUP) < *first);
            let to = self
                .crashes
                .partition_point(|(at, _crash)| *at <= last.after(AFTER_GROUP));
            let all = to.saturating_sub(from).max(size);
            evidence += if (all - size) * OWN_TO_OTHERS <= size {
                ratio(size, 1)
            } else if is_full {
                // Further crashes of the part are not kept, so its share of them is not known.
                1.0
            } else {
                ratio(size * size, all).min(1.0)
            };
        }
        evidence
    }

    fn is_suspect(&self, part: PromptPart, known: &[KnownAccusation]) -> bool {
        undismissed(known).count() >= QUARANTINE_CRASHES
            && self.evidence(part, undismissed(known)) >= ratio(QUARANTINE_CRASHES, 1)
    }

    /// Removes the part, other than the given one, that was accused longest ago.
    fn evict(&mut self, kept: PromptPart) {
        let last_change =
            |known: &Vec<KnownAccusation>| known.iter().map(|known| known.sequence).max();
        let oldest = self
            .accused
            .iter()
            .filter(|(part, _known)| **part != kept)
            .min_by_key(|(part, known)| (self.is_suspect(**part, known), last_change(known)));
        if let Some(part) = oldest.map(|(part, _known)| *part) {
            self.accused.remove(&part);
        }
    }

    /// Reports a request with a quarantined part to the others, if they know of no recent one.
    fn note_sighting(&mut self, part: PromptPart, now: Moment) {
        let Some(known) = self.accused.get_mut(&part) else {
            return;
        };
        for known in known {
            let age = now.since(known.accusation.sighted_at);
            if !known.accusation.dismissed && age >= MIN_SIGHTING_AGE {
                self.change_count += 1;
                known.accusation.sighted_at = now;
                known.sequence = self.change_count;
            }
        }
    }

    /// Returns what changed after the first `known_count` changes, in that order.
    ///
    /// Also returns how many changes a host knows that gets them; a long list is cut off.
    #[must_use]
    pub fn changes(&self, known_count: u64) -> (Vec<Accusation>, u64) {
        let known = self.accused.values().flatten();
        let mut changed: Vec<_> = known.filter(|known| known.sequence > known_count).collect();
        if changed.len() <= MAX_FORWARDED {
            let accusations = changed.iter().map(|known| known.accusation).collect();
            return (accusations, self.change_count);
        }
        changed.sort_unstable_by_key(|known| known.sequence);
        changed.truncate(MAX_FORWARDED);
        let told_count = changed.last().map_or(known_count, |known| known.sequence);
        let accusations = changed.iter().map(|known| known.accusation).collect();
        (accusations, told_count)
    }

    /// Returns at most `max` accusations of these parts, of the last ones first.
    ///
    /// Those that were dismissed are left out.
    #[must_use]
    pub fn accusations(&self, parts: &[PromptPart], max: usize) -> Vec<Accusation> {
        let known = parts.iter().rev().filter_map(|part| self.accused.get(part));
        known
            .flat_map(|known| undismissed(known))
            .map(|known| known.accusation)
            .take(max)
            .collect()
    }

    /// Returns the number of parts that several crashes accuse.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        let accused = self.accused.iter();
        accused
            .filter(|(part, known)| self.is_suspect(**part, known))
            .count()
    }

    /// Removes what is too old to count.
    pub fn expire(&mut self, now: Moment) {
        self.accused.retain(|_part, known| {
            known.retain(|known| {
                if known.accusation.dismissed {
                    now.since(known.learned_at) < DISMISSED_TTL
                } else {
                    now.since(known.accusation.sighted_at) < ACCUSATION_TTL
                }
            });
            !known.is_empty()
        });
        self.answered
            .retain(|_part, at| now.since(*at) < ANSWERED_MEMORY);
        self.crashes
            .retain(|(at, _crash)| now.since(*at) < ACCUSATION_TTL);
    }

    /// Removes the older half of the remembered answers.
    fn forget_answers(&mut self, now: Moment) {
        let mut ages: Vec<_> = self.answered.values().map(|at| now.since(*at)).collect();
        let middle = ages.len() / 2;
        let (_younger, median, _older) = ages.select_nth_unstable(middle);
        let median = *median;
        self.answered.retain(|_part, at| now.since(*at) < median);
    }

    fn is_answered(&self, part: PromptPart, now: Moment) -> bool {
        self.answered
            .get(&part)
            .is_some_and(|at| now.since(*at) < ANSWERED_TTL)
    }

    /// Returns the quarantine of a part in a request with the given parts, if it is in force.
    fn quarantine(
        &self,
        part: PromptPart,
        parts: &[PromptPart],
        now: Moment,
    ) -> Option<Quarantine> {
        let known = self.accused.get(&part)?;
        if !self.is_suspect(part, known) || self.is_answered(part, now) {
            return None;
        }
        let evidence = self.evidence(part, undismissed(known));
        // Crashes under another part that was in more of them are that part's doing. So they are
        // if it was in as many, but the request does not have it.
        let is_explained = |crash: CrashId| {
            self.accused.iter().any(|(other, known)| {
                if !undismissed(known).any(|known| known.accusation.crash == crash) {
                    return false;
                }
                let other_evidence = self.evidence(*other, undismissed(known));
                let is_own = parts.contains(other) || *other == part;
                let is_likelier = if part.is_whole() {
                    other_evidence > evidence && !is_own
                } else {
                    other_evidence > evidence || (other_evidence >= evidence && !is_own)
                };
                is_likelier && !self.is_answered(*other, now)
            })
        };
        let own: Vec<_> = undismissed(known)
            .filter(|known| !is_explained(known.accusation.crash))
            .collect();
        if self.evidence(part, own.iter().copied()) < ratio(QUARANTINE_CRASHES, 1) {
            return None;
        }
        let moments = own.iter().map(|known| known.accusation.lost_at);
        let first = moments.clone().min()?;
        let last = moments.max()?;
        if !part.is_whole()
            && own.len() == QUARANTINE_CRASHES
            && last.since(first) <= TOGETHER_TIME
            && now.since(last) < OUTAGE_NEWS_TIME
        {
            return None;
        }
        let since = own.iter().map(|known| known.learned_at).max()?;
        let further = own.len().checked_sub(CONDEMNING_CRASHES);
        if let Some(further) = further.filter(|_count| part.is_whole()) {
            let steps = u32::try_from(further).unwrap_or(MAX_DELAY_STEPS);
            return Some(Quarantine {
                since,
                probe_delay: CONDEMNED_PROBE_DELAY
                    * PROBE_DELAY_FACTOR.pow(steps.min(MAX_DELAY_STEPS)),
            });
        }
        let probes = own.iter().filter(|known| known.accusation.is_probe);
        let mut probes: Vec<_> = probes.map(|known| known.accusation.lost_at).collect();
        probes.sort_unstable();
        let probe_delay = match count_rounds(&probes).checked_sub(1) {
            None => MIN_PROBE_DELAY,
            Some(steps) => {
                CONFIRMED_PROBE_DELAY * PROBE_DELAY_FACTOR.pow(steps.min(MAX_DELAY_STEPS))
            }
        };
        Some(Quarantine { since, probe_delay })
    }
}

/// When a host may probe a part, among all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTurn {
    /// Number of hosts that come before it.
    pub rank: u32,
    /// Number of hosts.
    pub hosts: u32,
}

impl ProbeTurn {
    /// Computes the turn of a host; `hosts` are all hosts that it knows.
    #[must_use]
    pub fn new<'a>(
        part: PromptPart,
        host: &HostName,
        hosts: impl Iterator<Item = &'a HostName>,
    ) -> Self {
        let subject = part.to_string();
        let own = rendezvous_weight(host.as_str(), &subject);
        let mut turn = Self { rank: 0, hosts: 1 };
        for other in hosts.filter(|other| *other != host) {
            turn.hosts += 1;
            turn.rank += u32::from(rendezvous_weight(other.as_str(), &subject) > own);
        }
        turn
    }

    /// Returns whether the host may probe, that long after the first one could.
    ///
    /// A part stays open to each host from its turn on, so that one of them soon gets a request
    /// with it. A whole request is open to one host at a time, in a circle.
    fn has_come(self, part: PromptPart, elapsed: Duration) -> bool {
        if !part.is_whole() {
            return elapsed >= PART_PROBE_STEP * self.rank;
        }
        let step = elapsed.as_millis() / WHOLE_PROBE_STEP.as_millis();
        let in_step = elapsed.as_millis() % WHOLE_PROBE_STEP.as_millis();
        step % u128::from(self.hosts.max(1)) == u128::from(self.rank)
            && in_step < WHOLE_PROBE_TIME.as_millis()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "crashes are far fewer than 2^52"
)]
fn ratio(count: usize, of: usize) -> f64 {
    count as f64 / of as f64
}

/// Returns the accusations that no answer has dismissed.
fn undismissed(known: &[KnownAccusation]) -> impl Iterator<Item = &KnownAccusation> {
    known.iter().filter(|known| !known.accusation.dismissed)
}

/// Makes room for a crash of a part; returns false if those that are known are enough.
///
/// Of many crashes all hosts keep the same ones, those with the lowest hashes. Otherwise they would
/// exchange them for ever, and each would be news that puts off the next probe.
fn make_room(known: &mut Vec<KnownAccusation>, report: &Accusation) -> bool {
    if known.len() < MAX_CRASHES_PER_PART {
        return true;
    }
    // Dismissed crashes go first, those of probes last: they put off the next probe.
    let rank = |accusation: &Accusation| {
        let Accusation {
            dismissed,
            is_probe,
            crash,
            ..
        } = *accusation;
        (dismissed, !is_probe, crash)
    };
    let ranks = known.iter().map(|known| rank(&known.accusation));
    let Some((index, worst)) = ranks.enumerate().max_by_key(|(_index, rank)| *rank) else {
        return true;
    };
    let is_kept = rank(report) < worst;
    if is_kept {
        known.remove(index);
    }
    is_kept
}

/// Counts the sorted moments that are separate evidence.
fn count_rounds(sorted: &[Moment]) -> u32 {
    let mut rounds = 0;
    let mut last: Option<Moment> = None;
    for at in sorted {
        if last.is_none_or(|last| at.since(last) >= ROUND_TIME) {
            rounds += 1;
            last = Some(*at);
        }
    }
    rounds
}

/// Adds what another report says of the same part and crash; returns whether it is new.
fn merge_report(known: &mut KnownAccusation, report: &Accusation, now: Moment) -> bool {
    let accusation = &mut known.accusation;
    let is_dismissal = report.dismissed && !accusation.dismissed;
    if is_dismissal {
        accusation.dismissed = true;
        known.learned_at = now;
    }
    // The ages of a sighting that came by two ways differ somewhat.
    let is_sighting = report.sighted_at.since(accusation.sighted_at) >= MIN_SIGHTING_AGE / 2;
    if is_sighting {
        accusation.sighted_at = report.sighted_at;
    }
    let is_probe = report.is_probe && !accusation.is_probe;
    accusation.is_probe |= report.is_probe;
    is_dismissal || is_sighting || is_probe
}
