//! Faults that begin by chance, strike one message, or follow a script.

/// How often each kind of fault begins, in thousandths per step over the fleet.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct Faults {
    pub crash: u32,
    pub pause: u32,
    pub cut: u32,
    pub outage: u32,
    pub edit: u32,
    pub drain: u32,
    /// Of each message, in thousandths.
    pub lose: u32,
    pub repeat: u32,
    pub late: u32,
    /// The longest delay of a late message in ms.
    pub slow: u64,
    /// Of each admission, in thousandths, how often less than its cost is used.
    pub refund: u32,
    /// Whether demand is always more than the rate.
    pub flood: bool,
    /// Whether bursts are small beside rates, so that little excess shows.
    pub tight: bool,
    /// Whether every cost fits into one home's part of the burst.
    pub small: bool,
    /// Whether a crashed host is back within 0.1 s.
    pub quick: bool,
    /// How often a host does not look at the log, in thousandths.
    pub lag: u32,
    /// Lease of rights in ms.
    pub lease: u64,
    /// Fewest zones.
    pub zones: usize,
    /// Largest difference of a clock's rate from the true one, in thousandths.
    pub drift: i64,
    /// Whether hosts that are paused or cut leave the platform's list.
    pub delist: bool,
}

pub const CALM: Faults = Faults {
    crash: 0,
    pause: 0,
    cut: 0,
    outage: 0,
    edit: 0,
    drain: 0,
    lose: 0,
    repeat: 0,
    late: 0,
    slow: 4_000,
    refund: 0,
    flood: false,
    tight: false,
    small: false,
    quick: false,
    lag: 200,
    lease: 12_000,
    zones: 1,
    drift: 0,
    delist: false,
};

pub const STORM: Faults = Faults {
    crash: 6,
    pause: 8,
    cut: 4,
    outage: 3,
    edit: 5,
    drain: 2,
    lose: 60,
    repeat: 100,
    late: 100,
    refund: 600,
    delist: true,
    ..CALM
};

/// A message or record of one protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
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
pub enum Point {
    Sent,
    /// Taken by the receiver, or landed in the log and read by nobody yet.
    Taken,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    Lose,
    Repeat,
    Delay,
    CrashSender,
    CrashReceiver,
    PauseSender,
    PauseReceiver,
    CutSender,
    LogOut,
    Edit,
}

/// What happens to hosts at a time, so that every protocol runs.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// The host's process ends and a new one starts there after a while.
    Restart(usize, u64),
    Drain(usize),
    Edit(u64),
}
