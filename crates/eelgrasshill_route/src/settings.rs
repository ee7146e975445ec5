//! Settings of the dispatcher: timeouts, queue limits and the shares of upstream slots.
//!
//! They are set per class, since urgent, interactive and batch requests tolerate different waits.

use std::time::Duration;

use eelgrasshill_domain::{Class, record, scalar};

record! {
    /// Timeouts of the requests of one class.
    #[derive(Copy)]
    pub struct ClassTimeouts {
        /// Longest wait for an upstream, including the time to load a model.
        pub queue_wait: Duration,
        /// Longest time from a request's arrival to its last token.
        pub whole_answer: Duration,
        /// Longest time without a byte or ping on an open stream.
        #[serde(rename = "silence")]
        pub idle: Duration,
    }

    /// Request timeouts, by class.
    #[derive(Copy)]
    pub struct Timeouts {
        /// Timeouts of urgent requests.
        pub urgent: ClassTimeouts,
        /// Timeouts of interactive requests.
        pub interactive: ClassTimeouts,
        /// Timeouts of batch requests.
        pub batch: ClassTimeouts,
    }

    /// Percentage of an upstream's slots that each class may fill.
    ///
    /// A value above 100 lets requests queue on the upstream itself.
    #[derive(Copy)]
    pub struct ClassFill {
        /// Percentage for urgent requests.
        pub urgent: u32,
        /// Percentage for interactive requests.
        pub interactive: u32,
        /// Percentage for batch requests.
        pub batch: u32,
        /// Percentage for requests of any class that have aged.
        pub aged: u32,
    }

    /// Queue limits and scheduling rules of a [`Dispatcher`](crate::Dispatcher).
    #[derive(Copy)]
    pub struct DispatchSettings {
        /// Request timeouts of each class.
        #[serde(rename = "bounds")]
        pub timeouts: Timeouts,
        /// Order in which the organisations of a class are served.
        pub order: QueueOrder,
        /// Maximum number of waiting requests in one class of a pool.
        pub class_limit: usize,
        /// Maximum number of waiting requests of one organisation in a class.
        pub organisation_limit: usize,
        /// Wait after which interactive requests have aged and may overtake urgent ones.
        pub interactive_age: Duration,
        /// Wait after which batch requests have aged and may overtake other classes.
        ///
        /// After twice this wait they also start on full upstreams: one request per
        /// `aged_interval` and upstream, counted over all `peers`.
        pub batch_age: Duration,
        /// Number of starts on an upstream of which one may be an aged request's.
        ///
        /// Zero turns ageing off.
        #[serde(rename = "aged-share")]
        pub aged_spacing: u32,
        /// Time after which an upstream may get another aged request without other starts.
        #[serde(rename = "aged-rest")]
        pub aged_interval: Duration,
        /// Percentage of an upstream's slots that each class may fill.
        #[serde(rename = "fill")]
        pub fill_percent: ClassFill,
        /// Percentage of an upstream's slots closed to organisations over their share.
        #[serde(rename = "share-reserve")]
        pub reserve_percent: u32,
        /// Whether an organisation with excessive demand is served newest first.
        ///
        /// Batch requests are always served oldest first.
        pub newest_first: bool,
        /// Number of entry hosts that share a zone's upstreams, including this one.
        pub peers: u32,
        /// Shortest time between two reports of the same missing model.
        pub miss_interval: Duration,
    }
}

scalar! {
    /// Order in which waiting organisations are served.
    pub enum QueueOrder {
        /// Start-time fair queueing by token cost, divided by the organisation's weight.
        FairShare,
        /// First come, first served; the baseline that fairness is measured against.
        FirstCome,
    }
}

impl Timeouts {
    /// Returns the timeouts of a class.
    #[must_use]
    pub fn of(&self, class: Class) -> &ClassTimeouts {
        match class {
            Class::Urgent => &self.urgent,
            Class::Interactive => &self.interactive,
            Class::Batch => &self.batch,
        }
    }
}

impl Default for ClassFill {
    fn default() -> Self {
        Self {
            urgent: 100,
            interactive: 100,
            batch: 75,
            aged: 113,
        }
    }
}

impl ClassFill {
    /// Returns the percentage of slots that a class may fill.
    #[must_use]
    pub fn of(&self, class: Class) -> u32 {
        match class {
            Class::Urgent => self.urgent,
            Class::Interactive => self.interactive,
            Class::Batch => self.batch,
        }
    }
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            urgent: ClassTimeouts {
                queue_wait: Duration::from_secs(5),
                whole_answer: Duration::from_secs(30),
                idle: Duration::from_secs(1),
            },
            interactive: ClassTimeouts {
                queue_wait: Duration::from_secs(15),
                whole_answer: Duration::from_mins(2),
                idle: Duration::from_secs(2),
            },
            batch: ClassTimeouts {
                queue_wait: Duration::from_mins(15),
                whole_answer: Duration::from_mins(45),
                idle: Duration::from_secs(10),
            },
        }
    }
}

impl DispatchSettings {
    /// Returns the wait after which a class's requests have aged.
    ///
    /// Urgent requests never age.
    #[must_use]
    pub fn age(&self, class: Class) -> Option<Duration> {
        match class {
            Class::Urgent => None,
            Class::Interactive => Some(self.interactive_age),
            Class::Batch => Some(self.batch_age),
        }
    }

    /// Sets the order among organisations.
    #[must_use]
    pub fn with_order(mut self, order: QueueOrder) -> Self {
        self.order = order;
        self
    }

    /// Sets the request timeouts of the classes.
    #[must_use]
    pub fn with_timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            timeouts: Timeouts::default(),
            order: QueueOrder::FairShare,
            class_limit: 512,
            organisation_limit: 256,
            interactive_age: Duration::from_secs(2),
            batch_age: Duration::from_secs(30),
            aged_spacing: 4,
            aged_interval: Duration::from_secs(1),
            fill_percent: ClassFill::default(),
            reserve_percent: 45,
            newest_first: true,
            peers: 5,
            miss_interval: Duration::from_secs(1),
        }
    }
}
