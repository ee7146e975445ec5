//! Tickets: what the dispatcher has to know of a request, without its body.

use eelgrasshill_domain::{
    AdapterName, Class, HostName, ModelName, Moment, OrgName, PoolName, record, scalar,
};

scalar! {
    /// Id of a request on its entry host.
    pub struct TicketId(pub u64);

    /// Hash of the start of a prompt.
    ///
    /// Prompts that may share cached tokens have the same hash.
    #[derive(Default)]
    pub struct PrefixHash(pub u64);
}

record! {
    /// What an upstream must have loaded to serve a request.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Requirement {
        /// A model, perhaps with an adapter.
        Model {
            /// Name of the model.
            model: ModelName,
            /// Adapter that must be loaded too, if any.
            adapter: Option<AdapterName>,
            /// Version required to resume an answer that it began.
            version: Option<String>,
            /// Version of the upstream's software, required to resume an answer that it began.
            software: Option<String>,
        },
        /// A plain service, for which nothing has to be loaded.
        Plain,
    }

    /// A request as the dispatcher sees it.
    pub struct Ticket {
        /// Id of the request.
        pub id: TicketId,
        /// Organisation charged for the request, or `None` on open routes.
        pub organisation: Option<OrgName>,
        /// Class of the request, which sets its priority and timeouts.
        pub class: Class,
        /// Pool of upstreams that may serve the request.
        pub pool: PoolName,
        /// What the upstream must have loaded.
        #[serde(rename = "work")]
        pub requirement: Requirement,
        /// Cost in tokens: those of the prompt plus the limit on the answer.
        pub cost: u64,
        /// Hash of the start of the prompt.
        pub prefix: PrefixHash,
        /// Time by which the request must start.
        pub deadline: Moment,
        /// Hosts on which the request failed before; they are a last resort.
        pub avoid: Vec<HostName>,
    }
}

impl Requirement {
    /// Requires any version of a model, without an adapter.
    #[must_use]
    pub fn new(model: ModelName) -> Self {
        Self::Model {
            model,
            adapter: None,
            version: None,
            software: None,
        }
    }
}

impl Ticket {
    /// Makes a ticket without an organisation, a prefix or hosts to avoid.
    #[must_use]
    pub fn new(
        id: TicketId,
        class: Class,
        pool: PoolName,
        requirement: Requirement,
        cost: u64,
        deadline: Moment,
    ) -> Self {
        Self {
            id,
            organisation: None,
            class,
            pool,
            requirement,
            cost,
            prefix: PrefixHash::default(),
            deadline,
            avoid: Vec::new(),
        }
    }

    /// Sets the organisation that is charged.
    #[must_use]
    pub fn with_organisation(mut self, organisation: OrgName) -> Self {
        self.organisation = Some(organisation);
        self
    }

    /// Sets the hash of the start of the prompt.
    #[must_use]
    pub fn with_prefix(mut self, prefix: PrefixHash) -> Self {
        self.prefix = prefix;
        self
    }

    /// Sets the hosts on which the request failed before.
    #[must_use]
    pub fn with_avoid(mut self, avoid: Vec<HostName>) -> Self {
        self.avoid = avoid;
        self
    }
}
