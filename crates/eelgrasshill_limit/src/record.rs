//! Records of the log's `rights` stream and the verdicts on them.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use eelgrasshill_domain::{Offset, OrgName, Version, ZoneName, record};

use crate::{Process, Share};

record! {
    /// A process that can hold rights, and where it is reached.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Holder {
        /// The process.
        pub process: Process,
        /// The zone it stands in.
        pub zone: ZoneName,
        /// Where other entry hosts reach it.
        pub address: SocketAddr,
    }

    /// The rate and burst of an organisation from a version of its row on.
    #[derive(Copy, Default)]
    pub struct Limit {
        /// The version of the organisation's row.
        pub version: Version,
        /// The whole rate and burst; empty once the row is removed.
        pub share: Share,
    }

    /// The share of one holder.
    pub struct Allocation {
        /// The holder.
        pub holder: Holder,
        /// Its part of rate and burst.
        pub share: Share,
    }

    /// What the log knows of a holder's lease.
    pub struct Lease {
        /// The holder.
        pub holder: Holder,
        /// The offset of its last renewal; none while it has made none.
        #[serde(rename = "renewed")]
        pub last_renewal: Option<Offset>,
        /// The configuration that it has in force.
        #[serde(rename = "through")]
        pub config_version: Version,
    }

    /// The folded state of one organisation.
    pub struct Account {
        /// The limit in force for new assignments.
        pub limit: Limit,
        /// The shares, in the order of their first assignment.
        #[serde(rename = "stakes")]
        pub allocations: Vec<Allocation>,
        /// The offset of the last record that changed limit or shares.
        pub revision: Offset,
        /// Whether any share was ever assigned.
        #[serde(rename = "started")]
        pub was_assigned: bool,
    }

    /// One record of the `rights` stream.
    pub enum RightsRecord {
        /// A host repeats an organisation's row from the configuration stream.
        Limit {
            /// The organisation.
            organisation: OrgName,
            /// The row's limit.
            limit: Limit,
        },
        /// A host divides the part of a limit that nobody holds.
        Assign {
            /// The organisation.
            organisation: OrgName,
            /// The account's revision that the author saw.
            revision: Offset,
            /// Shares to add.
            #[serde(rename = "stakes")]
            allocations: Vec<Allocation>,
        },
        /// A holder renews its lease and says which configuration it has in force.
        Renew {
            /// The holder.
            process: Process,
            /// Tells the holder which of its appends this is.
            nonce: u64,
            /// The configuration that it has in force.
            #[serde(rename = "through")]
            config_version: Version,
        },
        /// A holder gives a part of its share that it no longer uses.
        #[serde(rename = "give")]
        Transfer {
            /// The organisation.
            organisation: OrgName,
            /// The account's revision that the giver saw.
            revision: Offset,
            /// The giver.
            #[serde(rename = "giver")]
            from: Process,
            /// Who gets the part, with an empty bucket.
            #[serde(rename = "stake")]
            allocation: Allocation,
        },
        /// A holder that has stopped gives up everything.
        Release {
            /// The holder.
            process: Process,
        },
        /// A newer incarnation at the same address takes what its predecessors held.
        Takeover {
            /// The new holder.
            holder: Holder,
            /// Tells the holder which of its appends this is.
            nonce: u64,
            /// The configuration that it has in force.
            #[serde(rename = "through")]
            config_version: Version,
        },
        /// A host that watched a lease end frees what its holder held.
        Reclaim {
            /// The holder.
            process: Process,
            /// The last renewal that the author read.
            #[serde(rename = "renewed")]
            last_renewal: Option<Offset>,
        },
        /// A host repeats the folded state before older records expire.
        Snapshot {
            /// The offset of the last record that is folded in.
            through: Offset,
            /// Every organisation.
            accounts: Vec<(OrgName, Account)>,
            /// Every holder.
            #[serde(rename = "tenures")]
            leases: Vec<Lease>,
        },
    }

    /// Why a record changes nothing.
    #[derive(Copy, Display, Error)]
    pub enum RightsRejection {
        /// The row's version is not newer than the one in force.
        #[display("a limit of this version or a newer one is in force")]
        OldLimit,
        /// No limit of the organisation was recorded.
        #[display("the organisation has no account")]
        NoAccount,
        /// Another record changed the account first.
        #[display("the account was changed by the record at offset {current}")]
        Revision {
            /// The account's revision.
            current: Offset,
        },
        /// The shares would add up to more than the limit.
        #[display("the shares would add up to more than the limit")]
        OverLimit,
        /// The process holds nothing, or less than it gives.
        #[display("the process does not hold that much")]
        NotHeld,
        /// A newer process was seen at the address.
        #[display("a newer incarnation was seen at the address")]
        OldIncarnation,
        /// The holder renewed after the author last looked.
        #[display("the holder renewed in between")]
        Renewed,
        /// The offset is folded in already.
        #[display("the record is folded in already")]
        OldOffset,
    }

    /// The verdict on one record, the same on every host.
    #[derive(Copy)]
    pub enum RightsOutcome {
        /// The record is in force.
        Accepted,
        /// The record changes nothing.
        Rejected(RightsRejection),
    }
}
