//! Which configuration is in force, and when it was last known to be the newest.
//!
//! A restored store may show an older configuration than the one in force, until the operator
//! writes the lost one again. The older one must not replace it, since it may accept keys that were
//! withdrawn. Nor does reading it confirm the one in force: a newer one may have been lost with it.

use eelgrasshill_domain::{Moment, Version};

use crate::Era;

/// Version of the configuration in force, with the era in which the store last showed it.
#[derive(Clone, Debug, Default)]
pub struct ConfigInForce {
    shown: Option<(Version, Era)>,
    // Whether the store's current era shows an older configuration, or none.
    is_behind: bool,
    confirmed_at: Option<Moment>,
}

impl ConfigInForce {
    /// Notes that the store shows a version, and returns whether that comes into force.
    ///
    /// Within an era the newest record does, as its offset says. A record of a later era does only
    /// if its version is higher.
    pub fn offer(&mut self, version: Version, era: Era) -> bool {
        let Some((known_version, known_era)) = self.shown else {
            self.shown = Some((version, era));
            return true;
        };
        if era < known_era {
            return false;
        }
        if era > known_era && version < known_version {
            self.is_behind = true;
            return false;
        }
        let is_replaced = era == known_era || version > known_version;
        self.shown = Some((version, era));
        self.is_behind = false;
        is_replaced
    }

    /// Notes that the store shows no configuration in an era.
    pub fn note_missing(&mut self, era: Era) {
        if self
            .shown
            .is_some_and(|(_version, known_era)| known_era < era)
        {
            self.is_behind = true;
        }
    }

    /// Notes that another host has a version in force which the store does not show in an era.
    ///
    /// Returns whether it comes into force here.
    pub fn adopt(&mut self, version: Version, era: Era) -> bool {
        let is_newer = self
            .shown
            .is_none_or(|(known_version, _known_era)| version > known_version);
        if is_newer {
            self.shown = Some((version, Era(era.0.saturating_sub(1))));
            self.is_behind = true;
        }
        is_newer
    }

    /// Notes when what the store shows was known to be the newest.
    pub fn confirm(&mut self, confirmed_at: Option<Moment>) {
        if !self.is_behind {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
        }
    }

    /// Returns when the configuration in force was last known to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Returns whether the store shows an older configuration than the one in force, or none.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }
}
