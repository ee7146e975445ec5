//! API key digests, and the rendezvous hash that distributes work over hosts.
//!
//! Each host has a weight for a subject, which is a hash of both names. The host with the highest
//! weight comes first, and all hosts compute the same order.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use zeroize::Zeroizing;

use crate::{KeyId, NameError};

/// Prefix of every key.
const KEY_PREFIX: &str = "egh_";

/// Length of a digest.
const DIGEST_BYTES: usize = 32;

/// Length of a digest in hexadecimal.
const DIGEST_HEX_BYTES: usize = 64;

/// SHA-256 digest of a whole key; tables store only the digest.
#[derive(Clone, Copy, Debug, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl std::hash::Hash for KeyDigest {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// Error for a text that is not a hexadecimal digest.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("a key digest is 64 hexadecimal digits")]
pub struct DigestError;

impl TryFrom<String> for KeyDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        let mut bytes = [0; DIGEST_BYTES];
        if text.len() != DIGEST_HEX_BYTES || !text.is_ascii() {
            return Err(DigestError);
        }
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = str::from_utf8(pair).map_err(|_utf8| DigestError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_digit| DigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        hex(&digest.0)
    }
}

/// Secret key that a caller presents; its memory is erased on drop.
#[derive(Clone)]
pub struct KeyText(Zeroizing<String>);

/// Error for a text that cannot be a key.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum KeyTextError {
    /// The text does not have the form `egh_ID_SECRET`.
    #[display("a key has the form {KEY_PREFIX}ID_SECRET")]
    Form,
    /// The key's id is not a valid name.
    #[display("the key's id is not valid: {_0}")]
    Id(NameError),
}

impl std::fmt::Debug for KeyText {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyText(..)")
    }
}

impl KeyText {
    /// Wraps a text without checking its form.
    #[must_use]
    pub fn unchecked(text: String) -> Self {
        Self(Zeroizing::new(text))
    }

    /// Creates a key from its id and 32 random bytes.
    #[must_use]
    pub fn issue(id: &KeyId, secret: &[u8; 32]) -> Self {
        Self::unchecked(format!("{KEY_PREFIX}{id}_{}", hex(secret)))
    }

    /// Returns the id part of the key.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTextError`] if the text does not have the form of a key.
    pub fn id(&self) -> Result<KeyId, KeyTextError> {
        let Some((id, _secret)) = self
            .0
            .strip_prefix(KEY_PREFIX)
            .and_then(|id_and_secret| id_and_secret.rsplit_once('_'))
        else {
            return Err(KeyTextError::Form);
        };
        KeyId::new(id).map_err(KeyTextError::Id)
    }

    /// Returns the digest of the whole key.
    #[must_use]
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.as_bytes()).into())
    }

    /// Returns the secret key, to be printed once to the operator.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            for digit in [byte >> 4, byte & 0xf] {
                text.extend(char::from_digit(u32::from(digit), 16));
            }
            text
        })
}

/// Returns the SHA-256 digest of `bytes` in hexadecimal.
#[must_use]
pub fn digest_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// Returns a hash of several fields, which also depends on where each of them ends.
#[must_use]
pub fn fields_hash(fields: &[&[u8]]) -> u64 {
    let mut sha = Sha256::new();
    for field in fields {
        sha.update((field.len() as u64).to_be_bytes());
        sha.update(field);
    }
    leading_number(sha.finalize().into())
}

/// Returns the rendezvous hash weight of a member for a subject.
#[must_use]
pub fn rendezvous_weight(member: &str, subject: &str) -> u64 {
    let mut sha = Sha256::new();
    sha.update(member.as_bytes());
    sha.update([0]);
    sha.update(subject.as_bytes());
    leading_number(sha.finalize().into())
}

/// Returns the first eight bytes as a big-endian number.
fn leading_number(bytes: [u8; DIGEST_BYTES]) -> u64 {
    bytes
        .iter()
        .take(8)
        .fold(0, |number, byte| (number << 8) | u64::from(*byte))
}

/// Sorts members by descending rendezvous weight for a subject.
///
/// Equal weights are sorted by name, so that the order is the same on every host.
#[must_use]
pub fn rendezvous_order<'a, M: AsRef<str> + ?Sized + 'a>(
    members: impl IntoIterator<Item = &'a M>,
    subject: &str,
) -> Vec<&'a M> {
    let mut weighted: Vec<_> = members
        .into_iter()
        .map(|member| {
            (
                std::cmp::Reverse(rendezvous_weight(member.as_ref(), subject)),
                member,
            )
        })
        .collect();
    weighted.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    weighted
        .into_iter()
        .map(|(_weight, member)| member)
        .collect()
}
