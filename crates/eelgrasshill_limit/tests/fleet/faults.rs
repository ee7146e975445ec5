//! Faults that start at random, faults injected at one message, and scripted events.

/// How often faults start, and the load and sizes of a run.
///
/// Fields without a comment are probabilities in thousandths: of `crash` to `drain` per step of the
/// fleet, of `loss` to `delay` per message.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct FaultConfig {
    pub crash: u32,
    pub pause: u32,
    pub partition: u32,
    pub log_outage: u32,
    pub limit_edit: u32,
    pub drain: u32,
    pub loss: u32,
    pub duplicate: u32,
    pub delay: u32,
    /// The longest delay of a delayed message.
    pub max_delay_ms: u64,
    /// How often an admission uses less than its cost, in thousandths.
    pub partial_use: u32,
    /// Whether demand always exceeds the rate.
    pub overload: bool,
    /// Whether bursts are small relative to rates, so that a small excess is detected.
    pub small_burst: bool,
    /// Whether every cost fits into one lender's part of the burst.
    pub small_costs: bool,
    /// Whether a crashed host restarts within 0.1 s.
    pub quick_restart: bool,
    /// How often a host skips reading the log, in thousandths.
    pub skip_read: u32,
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
pub const NO_FAULTS: FaultConfig = FaultConfig {
    crash: 0,
    pause: 0,
    partition: 0,
    log_outage: 0,
    limit_edit: 0,
    drain: 0,
    loss: 0,
    duplicate: 0,
    delay: 0,
    max_delay_ms: 4_000,
    partial_use: 0,
    overload: false,
    small_burst: false,
    small_costs: false,
    quick_restart: false,
    skip_read: 200,
    lease_ms: 12_000,
    min_zones: 1,
    max_drift_permille: 0,
    delist: false,
};

/// Every kind of fault at random.
pub const RANDOM_FAULTS: FaultConfig = FaultConfig {
    crash: 6,
    pause: 8,
    partition: 4,
    log_outage: 3,
    limit_edit: 5,
    drain: 2,
    loss: 60,
    duplicate: 100,
    delay: 100,
    partial_use: 600,
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
    /// Ends the process of a host and starts a new one after a time in ms.
    Restart(usize, u64),
    /// Drains a host.
    Drain(usize),
    /// Sets the limit to one of so many equal parts of the first one.
    DivideLimit(u64),
}
