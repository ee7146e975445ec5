//! What a request asks of the dispatcher, without its body.

use eelgrasshill_domain::{
    AdapterName, Class, HostName, ModelName, Moment, OrgName, PoolName, record, scalar,
};

scalar! {
    /// The id of one request on its entry host.
    pub struct TicketId(pub u64);

    /// A hash of the start of a prompt, equal for prompts that may share a cache.
    #[derive(Default)]
    pub struct PrefixHash(pub u64);
}

record! {
    /// What an upstream must hold to serve a request.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Work {
        /// A model, with an adapter where one is named.
        Model {
            /// The model.
            model: ModelName,
            /// The adapter that must be loaded beside it.
            adapter: Option<AdapterName>,
            /// The only version that will do, for an answer that was begun by it.
            version: Option<String>,
        },
        /// A plain service of the pool.
        Plain,
    }

    /// A request as the dispatcher sees it.
    pub struct Ticket {
        /// The request's id.
        pub id: TicketId,
        /// The organisation that pays, none on open routes.
        pub organisation: Option<OrgName>,
        /// How soon it must be served.
        pub class: Class,
        /// The pool that serves it.
        pub pool: PoolName,
        /// What the upstream must hold.
        pub work: Work,
        /// Cost in tokens: prompt plus the answer's limit.
        pub cost: u64,
        /// The prompt's prefix.
        pub prefix: PrefixHash,
        /// When the caller stops waiting for a start.
        pub deadline: Moment,
        /// Hosts that failed it before, which get it only when no other takes it.
        pub avoid: Vec<HostName>,
    }
}

impl Work {
    /// Returns work on any version of a model.
    #[must_use]
    pub fn new(model: ModelName) -> Self {
        Self::Model {
            model,
            adapter: None,
            version: None,
        }
    }
}

impl Ticket {
    /// Makes a ticket on an open route, without a prefix.
    #[must_use]
    pub fn new(
        id: TicketId,
        class: Class,
        pool: PoolName,
        work: Work,
        cost: u64,
        deadline: Moment,
    ) -> Self {
        Self {
            id,
            organisation: None,
            class,
            pool,
            work,
            cost,
            prefix: PrefixHash::default(),
            deadline,
            avoid: Vec::new(),
        }
    }

    /// Sets the organisation that pays.
    #[must_use]
    pub fn with_organisation(mut self, organisation: OrgName) -> Self {
        self.organisation = Some(organisation);
        self
    }

    /// Sets the prompt's prefix.
    #[must_use]
    pub fn with_prefix(mut self, prefix: PrefixHash) -> Self {
        self.prefix = prefix;
        self
    }

    /// Sets the hosts that failed it before.
    #[must_use]
    pub fn with_avoid(mut self, avoid: Vec<HostName>) -> Self {
        self.avoid = avoid;
        self
    }
}
