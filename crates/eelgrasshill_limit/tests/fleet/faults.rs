//! Faults that begin by chance, strike one message, or follow a script.

/// How often each kind of fault begins, in thousandths per step over the fleet.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct FaultConfig {
    pub crash: u32,
    pub pause: u32,
    pub partition: u32,
    pub log_outage: u32,
    pub limit_edit: u32,
    pub drain: u32,
    /// Of each message, in thousandths.
    pub loss: u32,
    pub duplicate: u32,
    pub delay: u32,
    /// The longest delay of a late message in ms.
    pub max_delay_ms: u64,
    /// Of each admission, in thousandths, how often less than its cost is used.
    pub partial_use: u32,
    /// Whether demand is always more than the rate.
    pub overload: bool,
    /// Whether bursts are small beside rates, so that little excess shows.
    pub small_burst: bool,
    /// Whether every cost fits into one home's part of the burst.
    pub small_costs: bool,
    /// Whether a crashed host is back within 0.1 s.
    pub quick_restart: bool,
    /// How often a host does not look at the log, in thousandths.
    pub skip_read: u32,
    /// Lease of rights in ms.
    pub lease_ms: u64,
    /// Fewest zones.
    pub min_zones: usize,
    /// Largest difference of a clock's rate from the true one, in thousandths.
    pub max_drift_permille: i64,
    /// Whether hosts that are paused or cut leave the platform's list.
    pub delist: bool,
}

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

/// A message or record of one protocol.
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

/// Where on its way a message is when a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryPoint {
    Sent,
    /// Taken by the receiver, or landed in the log and read by nobody yet.
    Received,
}

/// One fault.
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

/// What happens to hosts at a time, so that every protocol runs.
#[derive(Clone, Copy, Debug)]
pub enum ScriptedEvent {
    /// The host's process ends and a new one starts there after a while.
    Restart(usize, u64),
    Drain(usize),
    DivideLimit(u64),
}
