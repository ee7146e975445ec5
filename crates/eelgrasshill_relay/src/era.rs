//! Eras of the store, which end when it is restored from an older copy.

use derive_more::Display;
use eelgrasshill_domain::scalar;

scalar! {
    /// Number of the store's era, which rises with each restore; zero for a store without eras.
    ///
    /// Offsets of two eras cannot be compared, since a restore assigns some of them again.
    #[derive(Default, Display)]
    pub struct Era(pub u64);
}
