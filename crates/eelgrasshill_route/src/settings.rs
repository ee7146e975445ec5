//! Bounds of the queues and of the time that each class may take.

use std::time::Duration;

use eelgrasshill_domain::{Class, record, scalar};

record! {
    /// How long a request of one class may take.
    #[derive(Copy)]
    pub struct ClassBounds {
        /// Longest wait for an upstream, loading a model included.
        pub queue_wait: Duration,
        /// Longest time from arrival to the last token.
        pub whole_answer: Duration,
        /// Longest time without a byte or ping on an open stream.
        pub silence: Duration,
    }

    /// The bounds of all classes.
    #[derive(Copy)]
    pub struct Bounds {
        /// Bounds of urgent requests.
        pub urgent: ClassBounds,
        /// Bounds of interactive requests.
        pub interactive: ClassBounds,
        /// Bounds of batch requests.
        pub batch: ClassBounds,
    }

    /// Percent of a host's slots that a class may fill.
    ///
    /// Above 100 the class queues on the upstream.
    #[derive(Copy)]
    pub struct ClassFill {
        /// Of urgent work.
        pub urgent: u32,
        /// Of interactive work.
        pub interactive: u32,
        /// Of batch work.
        pub batch: u32,
        /// Of work that has aged.
        pub aged: u32,
    }

    /// How a dispatcher queues.
    #[derive(Copy)]
    pub struct DispatchSettings {
        /// Time bounds of each class.
        pub bounds: Bounds,
        /// Order among organisations of a class.
        pub order: Order,
        /// Most requests that wait in one class of a pool.
        pub class_limit: usize,
        /// Most requests of one organisation that wait in a class.
        pub organisation_limit: usize,
        /// Wait after which interactive work goes ahead of urgent work.
        pub interactive_age: Duration,
        /// Wait after which batch work goes ahead of other classes.
        ///
        /// After twice as long it also starts on full upstreams, one request in each
        /// `aged_rest` on each of them over all `peers`.
        pub batch_age: Duration,
        /// Of so many starts on a host, one may be aged work; zero turns ageing off.
        pub aged_share: u32,
        /// Time after which a host may start aged work without other starts.
        pub aged_rest: Duration,
        /// Percent of a host's slots that each class may fill.
        pub fill: ClassFill,
        /// Percent of a host's slots left free by organisations over their share.
        pub share_reserve: u32,
        /// Whether a flooding organisation's newest request goes first, except in batch work.
        pub newest_first: bool,
        /// Entry hosts that share the upstreams of a zone, this one included.
        pub peers: u32,
        /// Time between two reports of the same missing model.
        pub miss_interval: Duration,
    }
}

scalar! {
    /// Order in which waiting organisations are served.
    pub enum Order {
        /// Start-time fair queueing by tokens over weights.
        FairShare,
        /// First come, first served; a baseline for measurements.
        FirstCome,
    }
}

impl Bounds {
    /// Returns the bounds of a class.
    #[must_use]
    pub fn of(&self, class: Class) -> &ClassBounds {
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
    /// Returns the percentage of a class.
    #[must_use]
    pub fn of(&self, class: Class) -> u32 {
        match class {
            Class::Urgent => self.urgent,
            Class::Interactive => self.interactive,
            Class::Batch => self.batch,
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            urgent: ClassBounds {
                queue_wait: Duration::from_secs(5),
                whole_answer: Duration::from_secs(30),
                silence: Duration::from_secs(1),
            },
            interactive: ClassBounds {
                queue_wait: Duration::from_secs(15),
                whole_answer: Duration::from_mins(2),
                silence: Duration::from_secs(2),
            },
            batch: ClassBounds {
                queue_wait: Duration::from_mins(15),
                whole_answer: Duration::from_mins(45),
                silence: Duration::from_secs(10),
            },
        }
    }
}

impl DispatchSettings {
    /// Returns the wait after which a class's work counts as aged.
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
    pub fn with_order(mut self, order: Order) -> Self {
        self.order = order;
        self
    }

    /// Sets the time bounds of the classes.
    #[must_use]
    pub fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            bounds: Bounds::default(),
            order: Order::FairShare,
            class_limit: 512,
            organisation_limit: 256,
            interactive_age: Duration::from_secs(2),
            batch_age: Duration::from_secs(30),
            aged_share: 4,
            aged_rest: Duration::from_secs(1),
            fill: ClassFill::default(),
            share_reserve: 45,
            newest_first: true,
            peers: 5,
            miss_interval: Duration::from_secs(1),
        }
    }
}
