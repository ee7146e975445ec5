//! Records of the claims streams.

use derive_more::{Display, Error};
use eelgrasshill_domain::{HostName, OrgName, record, scalar};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Process;

/// Longest body that is kept whole, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// A text that is not 32 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the call digest is not 32 hexadecimal digits")]
pub struct HexError;

/// The first half of a SHA-256 digest over parts of a call.
///
/// It shows as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallDigest(u128);

impl CallDigest {
    /// Digests the parts, each with its length, so that none runs into the next.
    #[must_use]
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut sha = Sha256::new();
        for part in parts {
            sha.update(part.len().to_be_bytes());
            sha.update(part);
        }
        let bytes: [u8; 32] = sha.finalize().into();
        let digest = bytes
            .iter()
            .take(16)
            .fold(0, |sum, byte| (sum << 8) | u128::from(*byte));
        Self(digest)
    }
}

impl TryFrom<String> for CallDigest {
    type Error = HexError;

    fn try_from(text: String) -> Result<Self, HexError> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(HexError);
        }
        u128::from_str_radix(&text, 16)
            .map(Self)
            .map_err(|_digit| HexError)
    }
}

impl From<CallDigest> for String {
    fn from(digest: CallDigest) -> Self {
        format!("{:032x}", digest.0)
    }
}

scalar! {
    /// A caller's idempotency key within its organisation, as a digest.
    pub struct CallKey(CallDigest);

    /// One claim of one process; it is never used a second time.
    pub struct ClaimId {
        /// The process that runs the call if the claim wins.
        pub process: Process,
        /// The number of the claim within the process.
        pub seq: u64,
    }
}

impl CallKey {
    /// Makes the key of a call; each organisation has its own keys.
    #[must_use]
    pub fn new(organisation: Option<&OrgName>, key: &str) -> Self {
        let organisation = organisation.map_or("", OrgName::as_str);
        Self(CallDigest::new(&[organisation.as_bytes(), key.as_bytes()]))
    }

    /// Returns the shard whose stream holds the key's records.
    #[must_use]
    pub fn shard(self, shards: u32) -> u32 {
        let shard = self.0.0 % u128::from(shards.max(1));
        u32::try_from(shard).unwrap_or_default()
    }
}

record! {
    /// The right to run a call, if it comes first.
    pub struct Claim {
        /// The claim's id.
        pub id: ClaimId,
        /// The call's key.
        pub key: CallKey,
        /// The organisation for which it runs.
        pub organisation: Option<OrgName>,
        /// The digest of the request, to tell a repeat from another request.
        pub request: CallDigest,
        /// The name of the host, for `explain` and the logs.
        pub host: HostName,
    }

    /// The body of a recorded answer.
    pub enum Body {
        /// The whole body.
        Text(String),
        /// A body that is too long or is no text.
        Omitted {
            /// Its digest.
            digest: CallDigest,
            /// Its length in bytes.
            length: u64,
        },
    }

    /// How a call that was sent came out.
    pub enum CallOutcome {
        /// The upstream answered.
        Answered {
            /// The HTTP status.
            status: u16,
            /// The media type of the body.
            #[serde(rename = "kind")]
            media_type: String,
            /// The body of the answer.
            body: Body,
        },
        /// The upstream's answer was lost, so the call may have run.
        Unknown,
    }

    /// One record of a claims stream.
    pub enum ClaimRecord {
        /// A host claims a call.
        Claim(Claim),
        /// The host that won says how the call came out.
        Outcome {
            /// The claim.
            id: ClaimId,
            /// The call's key.
            key: CallKey,
            /// How it came out.
            outcome: CallOutcome,
        },
        /// A host has not run its claim and never will.
        Abort {
            /// The claim.
            id: ClaimId,
            /// The call's key.
            key: CallKey,
        },
    }

    /// The records of one append.
    pub struct ClaimBatch {
        /// The records, in the order in which they are folded.
        pub records: Vec<ClaimRecord>,
    }
}

impl Body {
    /// Keeps a body whole when it is a text within [`MAX_BODY_BYTES`].
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        match str::from_utf8(bytes) {
            Ok(text) if bytes.len() <= MAX_BODY_BYTES => Self::Text(text.to_owned()),
            Ok(_) | Err(_) => Self::Omitted {
                digest: CallDigest::new(&[bytes]),
                length: u64::try_from(bytes.len()).unwrap_or(u64::MAX),
            },
        }
    }
}

impl ClaimRecord {
    /// Returns the claim that the record is about.
    #[must_use]
    pub fn id(&self) -> ClaimId {
        match self {
            Self::Claim(claim) => claim.id,
            Self::Outcome { id, .. } | Self::Abort { id, .. } => *id,
        }
    }

    /// Returns the key of the call.
    #[must_use]
    pub fn key(&self) -> CallKey {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Outcome { key, .. } | Self::Abort { key, .. } => *key,
        }
    }

    /// Returns whether the record is a claim.
    #[must_use]
    pub fn is_claim(&self) -> bool {
        matches!(self, Self::Claim(_))
    }

    /// Returns the length of a recorded body, which may dwarf the rest.
    pub(crate) fn body_bytes(&self) -> usize {
        match self {
            Self::Outcome {
                outcome:
                    CallOutcome::Answered {
                        body: Body::Text(text),
                        ..
                    },
                ..
            } => text.len(),
            Self::Outcome { .. } | Self::Claim(_) | Self::Abort { .. } => 0,
        }
    }
}
