//! The history of a bucket's headroom, which bounds refunds.
//!
//! Headroom is the cap less the level. Clamping refunds to the burst alone breaks the bound: a
//! window that began while the bucket was full has no room for them. A refund is therefore bounded
//! by the least headroom since its tokens stopped counting against the cap, and it reduces the
//! headroom of every earlier time.

use std::collections::VecDeque;

use eelgrasshill_domain::Moment;

use crate::Amount;

/// Most points that are kept; one more merges the oldest two to the smaller headroom.
const MAX_POINTS: usize = 64;

/// The running minimum of headroom, as points that increase in time and headroom.
#[derive(Clone, Debug, Default)]
pub struct HeadroomHistory {
    points: VecDeque<(Moment, Amount)>,
}

impl HeadroomHistory {
    /// Records the headroom at a time that is not before the last one.
    pub fn record(&mut self, at: Moment, headroom: Amount) {
        while self
            .points
            .back()
            .is_some_and(|(_at, least)| *least >= headroom)
        {
            self.points.pop_back();
        }
        self.points.push_back((at, headroom));
        if self.points.len() > MAX_POINTS {
            self.merge_oldest();
        }
    }

    fn merge_oldest(&mut self) {
        let Some((_at, least)) = self.points.pop_front() else {
            return;
        };
        if let Some(first) = self.points.front_mut() {
            first.1 = least;
        }
    }

    /// Returns the least headroom from `since` on.
    #[must_use]
    pub fn min_since(&self, since: Moment) -> Amount {
        let index = self.points.partition_point(|(at, _least)| *at < since);
        self.points
            .get(index)
            .map_or(Amount::ZERO, |(_at, least)| *least)
    }

    /// Subtracts a refunded amount from the headroom of every earlier time.
    pub fn subtract(&mut self, amount: Amount) {
        for (_at, least) in &mut self.points {
            *least -= amount;
        }
    }
}
