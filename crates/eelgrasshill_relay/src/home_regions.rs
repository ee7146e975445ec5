//! The regions in which the upstreams of a request may be.

use std::collections::BTreeMap;

use eelgrasshill_domain::ZoneName;

use crate::{Organisation, Route};

/// Home regions of a request, by its route and its organisation.
#[derive(Clone, Copy, Debug)]
pub struct HomeRegions<'a> {
    route: &'a [String],
    organisation: &'a [String],
    zones: &'a BTreeMap<ZoneName, String>,
}

impl<'a> HomeRegions<'a> {
    /// Returns the home regions of a request; none if neither list restricts it.
    ///
    /// `zones` is the region of each zone.
    #[must_use]
    pub fn new(
        route: &'a Route,
        organisation: Option<&'a Organisation>,
        zones: &'a BTreeMap<ZoneName, String>,
    ) -> Option<Self> {
        let homes = Self {
            route: &route.allowed_regions,
            organisation: organisation.map_or(&[], |row| &row.allowed_regions),
            zones,
        };
        (!homes.route.is_empty() || !homes.organisation.is_empty()).then_some(homes)
    }

    /// Returns whether upstreams of a zone may serve the request.
    ///
    /// A zone whose region is unknown is not allowed.
    #[must_use]
    pub fn allow(&self, zone: &ZoneName) -> bool {
        self.zones.get(zone).is_some_and(|region| {
            [self.route, self.organisation]
                .iter()
                .all(|list| list.is_empty() || list.contains(region))
        })
    }
}
