//! Faults that start at random, faults injected at one message, and scripted events.

/// How often faults start, and the load, costs and leases of a run.
///
/// The probabilities from `crash_permille` to `drain_permille` count per step of the fleet, and those
/// from `loss_permille` to `delay_permille` per message.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct RunConfig {
    pub crash_permille: u32,
    pub pause_permille: u32,
    pub partition_permille: u32,
    pub log_outage_permille: u32,
    pub limit_edit_permille: u32,
    pub drain_permille: u32,
    pub loss_permille: u32,
    pub duplicate_permille: u32,
    pub delay_permille: u32,
    /// The longest delay of a delayed message.
    pub max_delay_ms: u64,
    /// How often an admission uses less than its cost, in thousandths.
    pub partial_use_permille: u32,
    /// Whether demand always exceeds the rate.
    pub overload: bool,
    /// Whether bursts are small relative to rates, so that a small excess is detected.
    pub small_burst: bool,
    /// Whether every cost fits into one lender's part of the burst.
    pub small_costs: bool,
    /// Whether a crashed host restarts after 100 ms.
    pub quick_restart: bool,
    /// How often a host skips reading the log, in thousandths.
    pub skip_read_permille: u32,
    /// The duration of a lease.
    pub lease_ms: u64,
    /// The fewest zones of a fleet.
    pub min_zones: usize,
    /// The largest error of a clock's rate, in thousandths.
    pub max_drift_permille: i64,
    /// Whether paused or partitioned hosts leave the platform's list of live hosts.
    pub delist: bool,
}

/// No faults but delayed reads of the log.
pub const NO_FAULTS: RunConfig = RunConfig {
    crash_permille: 0,
    pause_permille: 0,
    partition_permille: 0,
    log_outage_permille: 0,
    limit_edit_permille: 0,
    drain_permille: 0,
    loss_permille: 0,
    duplicate_permille: 0,
    delay_permille: 0,
    max_delay_ms: 4_000,
    partial_use_permille: 0,
    overload: false,
    small_burst: false,
    small_costs: false,
    quick_restart: false,
    skip_read_permille: 200,
    lease_ms: 12_000,
    min_zones: 1,
    max_drift_permille: 0,
    delist: false,
};

/// Every kind of fault at random.
pub const RANDOM_FAULTS: RunConfig = RunConfig {
    crash_permille: 6,
    pause_permille: 8,
    partition_permille: 4,
    log_outage_permille: 3,
    limit_edit_permille: 5,
    drain_permille: 2,
    loss_permille: 60,
    duplicate_permille: 100,
    delay_permille: 100,
    partial_use_permille: 600,
    delist: true,
    ..NO_FAULTS
};

/// The kind of a message or record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Borrow,
    Report,
    Reply,
    Limit,
    Assign,
    Renew,
    Transfer,
    Release,
    Takeover,
    Reclaim,
}

/// When during the delivery of a message a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryPoint {
    Sent,
    /// Handled by the receiver, or appended to the log and not read by any host yet.
    Received,
}

/// A fault that is injected at one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    Lose,
    Duplicate,
    Delay,
    CrashSender,
    CrashReceiver,
    PauseSender,
    PauseReceiver,
    PartitionSender,
    LogOutage,
    LowerLimit,
}

/// An event at a fixed time, so that every kind of record occurs in a run.
#[derive(Clone, Copy, Debug)]
pub enum ScriptedEvent {
    /// Ends the process of a host slot and starts a new one later.
    Restart { slot: usize, after_ms: u64 },
    /// Drains the host of a slot.
    Drain { slot: usize },
    /// Sets the limit to the first limit of the run divided by this number.
    DivideLimit(u64),
}
