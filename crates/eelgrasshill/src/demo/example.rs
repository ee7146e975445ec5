//! The two example deployments, with the sizes and names of the current users' deployments.

use std::str::FromStr;

use derive_more::{Display, Error};
use eelgrasshill_domain::{Tables, ZoneName};
use eelgrasshill_settings::{EntrySettings, read_tables};

use crate::CommandError;

/// An example deployment, whose files are compiled in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Example {
    /// A storage and rental business for maypoles.
    Lakeshore,
    /// An inspection service for pumps.
    Kjallaravakt,
}

/// The error for an unknown example name.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the examples are lakeshore and kjallaravakt")]
pub struct ExampleError;

impl FromStr for Example {
    type Err = ExampleError;

    fn from_str(text: &str) -> Result<Self, ExampleError> {
        match text {
            "lakeshore" => Ok(Self::Lakeshore),
            "kjallaravakt" => Ok(Self::Kjallaravakt),
            _ => Err(ExampleError),
        }
    }
}

impl Example {
    /// Returns the routes table, the pools table and the settings of an entry host.
    const fn files(self) -> [&'static str; 3] {
        match self {
            Self::Lakeshore => [
                include_str!("../../../../examples/lakeshore/routes.ini"),
                include_str!("../../../../examples/lakeshore/pools.ini"),
                include_str!("../../../../examples/lakeshore/entry.ini"),
            ],
            Self::Kjallaravakt => [
                include_str!("../../../../examples/kjallaravakt/routes.ini"),
                include_str!("../../../../examples/kjallaravakt/pools.ini"),
                include_str!("../../../../examples/kjallaravakt/entry.ini"),
            ],
        }
    }

    /// Returns the parsed routes and pools tables.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the shipped files have mistakes.
    pub fn tables(self) -> Result<Tables, CommandError> {
        let [routes, pools, _entry] = self.files();
        Ok(read_tables("routes.ini", routes, "pools.ini", pools)?)
    }

    /// Returns the parsed settings of an entry host.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the shipped files have mistakes.
    pub fn entry(self) -> Result<EntrySettings, CommandError> {
        let [_routes, _pools, entry] = self.files();
        Ok(EntrySettings::parse("entry.ini", entry)?)
    }

    /// Returns the zones of the example fleet.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] when the shipped files have mistakes.
    pub fn zones(self) -> Result<Vec<ZoneName>, CommandError> {
        Ok(self.entry()?.fleet_limits.zones)
    }

    /// Returns the organisation, model and prompt of the demo request.
    pub(crate) const fn demo_request(self) -> (&'static str, &'static str, &'static str) {
        match self {
            Self::Lakeshore => (
                "duluth-festivals",
                "festival-planner",
                "Which maypole suits a square of thirty metres?",
            ),
            Self::Kjallaravakt => (
                "vettvangur",
                "sump-log",
                "Summarise last night's sump log of Laugavegur 12.",
            ),
        }
    }
}
