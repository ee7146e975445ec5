//! Parses flag values that consist of several parts, separated by commas.

use std::str::FromStr;

use derive_more::{Display, Error, From};
use eelgrasshill_domain::{AdapterName, Class, Fencing, HostName, ModelName, NameError, ZoneName};
use eelgrasshill_ports::{HostRole, HostState, ListedHost};

use crate::engine::ModelCopy;
use crate::load::{Burst, LoadCaller, ModelShare, Subject};

/// Why a flag's value cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum FlagError {
    /// The value has a wrong number of parts.
    #[display("expected `{form}`")]
    #[from(ignore)]
    WrongPartCount {
        /// The expected form of the value.
        form: &'static str,
    },
    /// A part is not an allowed word or a valid number.
    #[display("`{text}` is not {expected}")]
    #[from(ignore)]
    InvalidPart {
        /// The part as given.
        text: String,
        /// A description of the allowed values.
        expected: &'static str,
    },
    /// A part is not a valid name.
    Name(NameError),
}

fn split_parts(text: &str) -> Vec<&str> {
    text.split(',').map(str::trim).collect()
}

fn parse_part<T: FromStr>(text: &str, expected: &'static str) -> Result<T, FlagError> {
    text.parse().map_err(|_parse_error| FlagError::InvalidPart {
        text: text.to_owned(),
        expected,
    })
}

fn parse_word<T: Copy>(
    text: &str,
    words: &[(&str, T)],
    expected: &'static str,
) -> Result<T, FlagError> {
    let found = words.iter().find(|(word, _value)| *word == text);
    found
        .map(|(_word, value)| *value)
        .ok_or_else(|| FlagError::InvalidPart {
            text: text.to_owned(),
            expected,
        })
}

/// Parses the name of a class.
fn parse_class(text: &str) -> Result<Class, FlagError> {
    let words = [
        ("urgent", Class::Urgent),
        ("interactive", Class::Interactive),
        ("batch", Class::Batch),
    ];
    parse_word(text, &words, "urgent, interactive or batch")
}

/// Parses whether an engine checks fencing numbers.
pub(super) fn parse_fencing(text: &str) -> Result<Fencing, String> {
    let words = [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];
    parse_word(text, &words, "checked or ignored").map_err(|error| error.to_string())
}

impl FromStr for ModelCopy {
    type Err = FlagError;

    fn from_str(text: &str) -> Result<Self, FlagError> {
        let parts = split_parts(text);
        let (name, version, memory_mb, adapters) = match parts[..] {
            [name, version, memory_mb] => (name, version, memory_mb, ""),
            [name, version, memory_mb, adapters] => (name, version, memory_mb, adapters),
            _ => {
                let form = "NAME,VERSION,MB[,ADAPTER+ADAPTER]";
                return Err(FlagError::WrongPartCount { form });
            }
        };
        let adapters = adapters.split('+').filter(|name| !name.is_empty());
        Ok(Self {
            model: ModelName::new(name)?,
            version: version.to_owned(),
            memory_mb: parse_part(memory_mb, "a number of MB")?,
            adapters: adapters.map(AdapterName::new).collect::<Result<_, _>>()?,
        })
    }
}

/// A listed host, parsed from a flag.
///
/// A type of its own, since `FromStr` cannot be implemented here for a type of the ports crate.
#[derive(Clone, Debug)]
pub(super) struct HostFlag(pub(super) ListedHost);

impl FromStr for HostFlag {
    type Err = FlagError;

    fn from_str(text: &str) -> Result<Self, FlagError> {
        let parts = split_parts(text);
        let (host, zone, address, role, state) = match parts[..] {
            [host, zone, address, role] => (host, zone, address, role, "live"),
            [host, zone, address, role, state] => (host, zone, address, role, state),
            _ => {
                let form = "NAME,ZONE,IP:PORT,entry|upstream[,live|leaving]";
                return Err(FlagError::WrongPartCount { form });
            }
        };
        let roles = [("entry", HostRole::Entry), ("upstream", HostRole::Upstream)];
        let states = [("live", HostState::Live), ("leaving", HostState::Leaving)];
        Ok(Self(ListedHost {
            host: HostName::new(host)?,
            zone: ZoneName::new(zone)?,
            address: parse_part(address, "an address")?,
            role: parse_word(role, &roles, "entry or upstream")?,
            state: parse_word(state, &states, "live or leaving")?,
        }))
    }
}

impl FromStr for LoadCaller {
    type Err = FlagError;

    fn from_str(text: &str) -> Result<Self, FlagError> {
        let parts = split_parts(text);
        let (organisation, key, share, class, limit) = match parts[..] {
            [organisation, key, share, class] => (organisation, key, share, class, None),
            [organisation, key, share, class, rate, burst] => {
                (organisation, key, share, class, Some((rate, burst)))
            }
            _ => {
                let form = "ORGANISATION,KEY,SHARE,CLASS[,RATE,BURST]";
                return Err(FlagError::WrongPartCount { form });
            }
        };
        let mut caller = Self::new(organisation, key)
            .with_share(parse_part(share, "a share")?)
            .with_class(parse_class(class)?);
        if let Some((rate, burst)) = limit {
            caller = caller.with_limit(
                parse_part(rate, "a number of tokens a second")?,
                parse_part(burst, "a number of tokens")?,
            );
        }
        Ok(caller)
    }
}

impl FromStr for ModelShare {
    type Err = FlagError;

    fn from_str(text: &str) -> Result<Self, FlagError> {
        match split_parts(text)[..] {
            [name] => Ok(Self::new(name)),
            [name, share] => Ok(Self::new(name).with_share(parse_part(share, "a share")?)),
            _ => Err(FlagError::WrongPartCount {
                form: "MODEL[:ADAPTER][,SHARE]",
            }),
        }
    }
}

impl FromStr for Burst {
    type Err = FlagError;

    fn from_str(text: &str) -> Result<Self, FlagError> {
        let parts = split_parts(text);
        let [kind, name, factor, from_seconds, until_seconds] = parts[..] else {
            return Err(FlagError::WrongPartCount {
                form: "org|model,NAME,FACTOR,FROM_S,UNTIL_S",
            });
        };
        let subject = match kind {
            "org" => Subject::Organisation(name.to_owned()),
            "model" => Subject::Model(name.to_owned()),
            _ => {
                let (text, expected) = (kind.to_owned(), "org or model");
                return Err(FlagError::InvalidPart { text, expected });
            }
        };
        Ok(Self {
            subject,
            factor: parse_part(factor, "a factor")?,
            from: std::time::Duration::from_secs(parse_part(from_seconds, "a number of seconds")?),
            until: std::time::Duration::from_secs(parse_part(
                until_seconds,
                "a number of seconds",
            )?),
        })
    }
}
