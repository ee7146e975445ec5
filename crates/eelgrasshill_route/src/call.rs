//! Whether a call may have run, kept by the type of the call.
//!
//! A refusal that says "not run" must be true. [`NotRun`] can only be made from a
//! [`Call<Unsent>`], and [`Call::send`], which goes before the first byte, takes that away.

use std::marker::PhantomData;

use derive_more::{Display, Error};
use eelgrasshill_domain::{Moment, Repeat};

use crate::{Refusal, RetryBudget};

/// No byte has left for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsent;

/// A byte may have left for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent;

/// One call on its way to an upstream.
///
/// # Examples
///
/// A call that was sent cannot be refused as not run:
///
/// ```compile_fail,E0599
/// use eelgrasshill_domain::Repeat;
/// use eelgrasshill_route::{Call, Refusal};
///
/// fn wrong(refusal: Refusal) {
///     let sent = Call::new(Repeat::Never).send();
///     sent.refuse(refusal);
/// }
/// ```
///
/// Nor can the unsent state be kept beside the sent one:
///
/// ```compile_fail,E0382
/// use eelgrasshill_domain::Repeat;
/// use eelgrasshill_route::{Call, Refusal};
///
/// fn wrong(refusal: Refusal) {
///     let call = Call::new(Repeat::Never);
///     let sent = call.send();
///     call.refuse(refusal);
/// }
/// ```
#[derive(Debug)]
pub struct Call<S> {
    repeat: Repeat,
    state: PhantomData<S>,
}

/// The proof that no byte of a call has left.
#[derive(Debug, PartialEq, Eq, Display)]
#[display("not run: {refusal}")]
pub struct NotRun {
    refusal: Refusal,
}

/// What is known of a call that ended without an answer for its caller.
#[derive(Debug, PartialEq, Eq)]
pub enum RunState {
    /// It did not run and never will.
    NotRun(NotRun),
    /// It may have run.
    Unknown,
    /// It ran.
    Run,
}

/// Why a sent call is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RetryError {
    /// The call is not idempotent.
    #[display("the call may not be repeated once a byte has left")]
    Never,
    /// The budget for retries is spent.
    #[display("the budget for retries is spent")]
    Spent,
}

impl Call<Unsent> {
    /// Takes in a call of which nothing has left.
    #[must_use]
    pub fn new(repeat: Repeat) -> Self {
        Self {
            repeat,
            state: PhantomData,
        }
    }

    /// Ends the call with the proof that it did not run.
    #[must_use]
    pub fn refuse(self, refusal: Refusal) -> NotRun {
        NotRun { refusal }
    }

    /// Marks the call as sent; goes before its first byte.
    #[must_use]
    pub fn send(self) -> Call<Sent> {
        Call {
            repeat: self.repeat,
            state: PhantomData,
        }
    }

    /// Asks the budget whether the call may try another connection.
    ///
    /// Calls that may not be repeated can do this too, since nothing has left.
    ///
    /// # Errors
    ///
    /// Returns [`RetryError::Spent`] when the budget is spent.
    pub fn reconnect(&self, budget: &mut RetryBudget, now: Moment) -> Result<(), RetryError> {
        if budget.take(now) {
            Ok(())
        } else {
            Err(RetryError::Spent)
        }
    }
}

impl Call<Sent> {
    /// Asks the budget whether the call may be sent again.
    ///
    /// # Errors
    ///
    /// Returns a [`RetryError`] when it may not be repeated or the budget is spent.
    pub fn retry(&self, budget: &mut RetryBudget, now: Moment) -> Result<(), RetryError> {
        match self.repeat {
            Repeat::Never => Err(RetryError::Never),
            Repeat::Allowed if budget.take(now) => Ok(()),
            Repeat::Allowed => Err(RetryError::Spent),
        }
    }

    /// Ends the call without an answer.
    #[must_use]
    pub fn lose(self) -> RunState {
        RunState::Unknown
    }

    /// Ends the call with an upstream's answer.
    #[must_use]
    pub fn answer(self) -> RunState {
        RunState::Run
    }
}

impl NotRun {
    /// Returns why the call was refused.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        self.refusal
    }
}

impl From<NotRun> for RunState {
    fn from(proof: NotRun) -> Self {
        Self::NotRun(proof)
    }
}
