//! Records of the `rights` stream of the log, the state folded from them, and their outcomes.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use eelgrasshill_domain::{Offset, OrgName, Version, ZoneName, record};

use crate::{Process, Share};

record! {
    /// A process that can hold shares, with its zone and address.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Holder {
        /// The process and its host.
        pub process: Process,
        /// The zone of the host.
        pub zone: ZoneName,
        /// The address at which other entry hosts reach it.
        pub address: SocketAddr,
    }

    /// An organisation's rate and burst as of a version of its row.
    #[derive(Copy, Default)]
    pub struct Limit {
        /// The version of the organisation's row.
        pub version: Version,
        /// The total rate and burst; empty once the row is removed.
        pub share: Share,
    }

    /// The share assigned to one holder.
    pub struct Allocation {
        /// The process that holds the share.
        pub holder: Holder,
        /// The holder's part of the organisation's rate and burst.
        pub share: Share,
    }

    /// The state of a holder's lease, as folded from the log.
    pub struct HolderLease {
        /// The process that holds the lease.
        pub holder: Holder,
        /// The offset of its last renewal, if it has renewed.
        #[serde(rename = "renewed")]
        pub last_renewal: Option<Offset>,
        /// The configuration version that the holder applies.
        #[serde(rename = "through")]
        pub config_version: Version,
    }

    /// The limit and the shares of one organisation, as folded from the log.
    pub struct Account {
        /// The limit that new assignments must fit into.
        pub limit: Limit,
        /// The shares, in the order of their first assignment.
        #[serde(rename = "stakes")]
        pub allocations: Vec<Allocation>,
        /// The offset of the last record that changed limit or shares.
        pub revision: Offset,
        /// Whether a share was ever assigned.
        #[serde(rename = "started")]
        pub was_assigned: bool,
    }

    /// A record of the `rights` stream.
    pub enum RightsRecord {
        /// Copies an organisation's limit from the configuration stream.
        Limit {
            /// The organisation concerned.
            organisation: OrgName,
            /// The limit in the row.
            limit: Limit,
        },
        /// Assigns an unassigned part of a limit to holders.
        Assign {
            /// The organisation concerned.
            organisation: OrgName,
            /// The account's revision that the author had read.
            revision: Offset,
            /// The shares to add.
            #[serde(rename = "stakes")]
            allocations: Vec<Allocation>,
        },
        /// Renews the lease of a holder and states its applied configuration.
        Renew {
            /// The process that renews.
            process: Process,
            /// Identifies the append, so that its author recognises it.
            nonce: u64,
            /// The configuration version that the holder applies.
            #[serde(rename = "through")]
            config_version: Version,
        },
        /// Transfers a part of a share that its holder no longer uses.
        #[serde(rename = "give")]
        Transfer {
            /// The organisation concerned.
            organisation: OrgName,
            /// The account's revision that the sender had read.
            revision: Offset,
            /// The process that gives up the part.
            #[serde(rename = "giver")]
            from: Process,
            /// The receiver and the part, which it starts with an empty bucket.
            #[serde(rename = "stake")]
            allocation: Allocation,
        },
        /// Gives up all shares of a holder that has stopped lending.
        Release {
            /// The process that gives up its shares.
            process: Process,
        },
        /// Moves the shares of older incarnations at an address to a newer one.
        Takeover {
            /// The new incarnation.
            holder: Holder,
            /// Identifies the append, so that its author recognises it.
            nonce: u64,
            /// The configuration version that the holder applies.
            #[serde(rename = "through")]
            config_version: Version,
        },
        /// Frees the shares of a holder whose lease has expired.
        Reclaim {
            /// The process whose lease has expired.
            process: Process,
            /// The offset of the holder's last renewal that the author had read.
            #[serde(rename = "renewed")]
            last_renewal: Option<Offset>,
        },
        /// Saves the folded state before older records expire.
        Snapshot {
            /// The offset of the last record that the state includes.
            through: Offset,
            /// The state of every organisation.
            accounts: Vec<(OrgName, Account)>,
            /// The lease of every holder.
            #[serde(rename = "tenures")]
            leases: Vec<HolderLease>,
        },
    }

    /// Why a record was rejected and changed nothing.
    #[derive(Copy, Display, Error)]
    pub enum RightsRejection {
        /// The row's version is not newer than the one in force.
        #[display("a limit of this version or a newer one is in force")]
        OldLimit,
        /// The stream has no limit for the organisation.
        #[display("no limit of the organisation was recorded")]
        NoAccount,
        /// Another record changed the account after the author had read it.
        #[display("the record names an older revision than the current {current}")]
        Revision {
            /// The account's present revision.
            current: Offset,
        },
        /// The shares would add up to more than the limit.
        #[display("the shares would add up to more than the limit")]
        OverLimit,
        /// The process holds no share, or less than it transfers.
        #[display("the process holds no share or less than the record moves")]
        NotHeld,
        /// A newer incarnation holds a lease at the address.
        #[display("a newer incarnation holds a lease at the address")]
        OldIncarnation,
        /// The holder renewed its lease after the author had read it.
        #[display("the holder renewed its lease after the author read it")]
        Renewed,
        /// A record at this offset or a later one was folded before.
        #[display("a record at this offset or a later one was folded before")]
        OldOffset,
    }

    /// Whether a record took effect; every host reaches the same outcome.
    #[derive(Copy)]
    pub enum RightsOutcome {
        /// The record took effect.
        Accepted,
        /// The record changed nothing, for the given reason.
        Rejected(RightsRejection),
    }
}
