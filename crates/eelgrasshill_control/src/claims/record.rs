//! The records of the claims streams: claims, outcomes and aborts.

use derive_more::{Display, Error};
use eelgrasshill_domain::{HostName, OrgName, record, scalar};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Process;

/// The length up to which the body of an answer is recorded.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

/// The number of bytes of a SHA-256 digest that a call digest keeps.
const DIGEST_BYTES: usize = 16;

/// The number of hexadecimal digits in a serialised call digest.
const DIGEST_HEX_DIGITS: usize = 32;

/// The error for a call digest that is not 32 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the call digest is not 32 hexadecimal digits")]
pub struct HexError;

/// The first half of a SHA-256 digest over parts of a call.
///
/// It is serialised as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallDigest(u128);

impl CallDigest {
    /// Computes the digest of the parts, each preceded by its length.
    ///
    /// The lengths ensure that different splits of the same bytes differ.
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
            .take(DIGEST_BYTES)
            .fold(0, |sum, byte| (sum << 8) | u128::from(*byte));
        Self(digest)
    }
}

impl TryFrom<String> for CallDigest {
    type Error = HexError;

    fn try_from(text: String) -> Result<Self, HexError> {
        if text.len() != DIGEST_HEX_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
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
    /// The digest of an organisation and a caller's idempotency key.
    pub struct CallKey(CallDigest);

    /// The id of one claim, which is never reused.
    pub struct ClaimId {
        /// The process that runs the call if the claim wins.
        pub process: Process,
        /// The sequence number of the claim within the process.
        pub seq: u64,
    }
}

impl CallKey {
    /// Computes the key of a call; each organisation has its own key space.
    #[must_use]
    pub fn new(organisation: Option<&OrgName>, key: &str) -> Self {
        let organisation = organisation.map_or("", OrgName::as_str);
        Self(CallDigest::new(&[organisation.as_bytes(), key.as_bytes()]))
    }

    /// Returns the number of the shard whose stream holds the records of the key.
    #[must_use]
    pub fn shard(self, shards: u32) -> u32 {
        let shard = self.0.0 % u128::from(shards.max(1));
        u32::try_from(shard).unwrap_or_default()
    }
}

record! {
    /// A request to run a call, granted if it is the first for its key.
    pub struct Claim {
        /// The unique id of the claim.
        pub id: ClaimId,
        /// The idempotency key of the call.
        pub key: CallKey,
        /// The organisation for which the call runs.
        pub organisation: Option<OrgName>,
        /// The digest of the request, which tells a repeat from another request.
        pub request: CallDigest,
        /// The name of the claiming host, for `explain` and the logs.
        pub host: HostName,
    }

    /// The body of a recorded answer, or its digest.
    pub enum Body {
        /// The complete body.
        Text(String),
        /// A body that is too long or not valid UTF-8.
        Omitted {
            /// The digest of the body.
            digest: CallDigest,
            /// The length of the body in bytes.
            length: u64,
        },
    }

    /// The outcome of a call that was sent.
    pub enum CallOutcome {
        /// The upstream answered.
        Answered {
            /// The HTTP status code.
            status: u16,
            /// The media type of the body.
            #[serde(rename = "kind")]
            media_type: String,
            /// The body of the answer.
            body: Body,
        },
        /// The answer of the upstream was lost, so the call may have run.
        Unknown,
    }

    /// One record of a claims stream.
    pub enum ClaimRecord {
        /// A host claims a call.
        Claim(Claim),
        /// The host with the winning claim records the outcome of the call.
        Outcome {
            /// The id of the winning claim.
            id: ClaimId,
            /// The idempotency key of the call.
            key: CallKey,
            /// The outcome of the call.
            outcome: CallOutcome,
        },
        /// A host gives up its claim; it has not run the call and never will.
        Abort {
            /// The id of the claim.
            id: ClaimId,
            /// The idempotency key of the call.
            key: CallKey,
        },
    }

    /// The records of one append.
    pub struct ClaimBatch {
        /// The records, in the order in which they are applied.
        pub records: Vec<ClaimRecord>,
    }
}

impl Body {
    /// Creates a body with its text, if it is UTF-8 of at most [`MAX_BODY_BYTES`].
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
    /// Returns the id of the claim to which the record belongs.
    #[must_use]
    pub fn id(&self) -> ClaimId {
        match self {
            Self::Claim(claim) => claim.id,
            Self::Outcome { id, .. } | Self::Abort { id, .. } => *id,
        }
    }

    /// Returns the idempotency key of the call.
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

    /// Returns the length of a recorded body, by far the largest part of a record.
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
