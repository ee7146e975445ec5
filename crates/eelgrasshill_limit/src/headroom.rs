//! The least headroom since any recent moment, which bounds what may be given back.
//!
//! Headroom is cap less level. Tokens given back at the burst's clamp alone break the bound: a
//! window that began while the bucket was full has no room for them. What may be given back is
//! therefore the least headroom since the tokens stopped being accounted for, and each return
//! takes its amount from the headroom of every earlier moment.

use std::collections::VecDeque;

use eelgrasshill_domain::Moment;

use crate::Amount;

/// Most moments that are kept; older ones are merged to the smaller headroom.
const MAX_POINTS: usize = 64;

/// Minima of headroom by moment, rising in both.
#[derive(Clone, Debug, Default)]
pub struct HeadroomHistory {
    points: VecDeque<(Moment, Amount)>,
}

impl HeadroomHistory {
    /// Notes the headroom at a moment that is not before the last one.
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

    /// Returns the least headroom from a moment on.
    #[must_use]
    pub fn min_since(&self, since: Moment) -> Amount {
        let index = self.points.partition_point(|(at, _least)| *at < since);
        self.points
            .get(index)
            .map_or(Amount::ZERO, |(_at, least)| *least)
    }

    /// Takes a returned amount from the headroom of every moment so far.
    pub fn subtract(&mut self, amount: Amount) {
        for (_at, least) in &mut self.points {
            *least -= amount;
        }
    }
}
