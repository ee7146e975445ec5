//! Tracks in a call's type whether an upstream may have run it.
//!
//! A refusal that says "not run" has to be true. [`NotRun`] can only be made from a
//! [`Call<Unsent>`], which [`Call::send`] consumes before the first byte is sent.

use std::marker::PhantomData;

use derive_more::{Display, Error};
use eelgrasshill_domain::{Moment, Repeat};

use crate::{Refusal, RetryBudget};

/// State of a call of which no byte has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsent;

/// State of a call of which bytes may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent;

/// A call to an upstream, in the state `S`.
///
/// # Examples
///
/// A call that was sent cannot be refused as not run:
///
/// ```compile_fail,E0599
/// use eelgrasshill_domain::Repeat;
/// use eelgrasshill_route::{Call, Refusal};
///
/// fn refuse_sent(refusal: Refusal) {
///     let sent = Call::new(Repeat::Never).send();
///     sent.refuse(refusal);
/// }
/// ```
///
/// The unsent call cannot be kept after it was sent either:
///
/// ```compile_fail,E0382
/// use eelgrasshill_domain::Repeat;
/// use eelgrasshill_route::{Call, Refusal};
///
/// fn refuse_sent(refusal: Refusal) {
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

/// Proof that no byte of a call was sent.
#[derive(Debug, PartialEq, Eq, Display)]
#[display("not run: {refusal}")]
pub struct NotRun {
    refusal: Refusal,
}

/// Whether a call that has ended was run by an upstream.
#[derive(Debug, PartialEq, Eq)]
pub enum RunState {
    /// The call did not run and never will.
    NotRun(NotRun),
    /// The call may have run.
    Unknown,
    /// The call ran.
    Ran,
}

/// Why a call may not be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RetryError {
    /// The call is not idempotent.
    #[display("the call may not be repeated once a byte has left")]
    NotRepeatable,
    /// The retry budget is used up.
    #[display("the budget for retries is spent")]
    BudgetExhausted,
}

impl Call<Unsent> {
    /// Makes a call of which nothing has been sent.
    #[must_use]
    pub fn new(repeat: Repeat) -> Self {
        Self {
            repeat,
            state: PhantomData,
        }
    }

    /// Ends the call and returns the proof that it did not run.
    #[must_use]
    pub fn refuse(self, refusal: Refusal) -> NotRun {
        NotRun { refusal }
    }

    /// Marks the call as sent.
    ///
    /// Has to be called before the first byte is sent.
    #[must_use]
    pub fn send(self) -> Call<Sent> {
        Call {
            repeat: self.repeat,
            state: PhantomData,
        }
    }

    /// Takes a retry from the budget to try another connection.
    ///
    /// This is allowed for calls that are not idempotent too, since nothing has been sent.
    ///
    /// # Errors
    ///
    /// Returns [`RetryError::BudgetExhausted`] if the budget is used up.
    pub fn reconnect(&self, budget: &mut RetryBudget, now: Moment) -> Result<(), RetryError> {
        if budget.take(now) {
            Ok(())
        } else {
            Err(RetryError::BudgetExhausted)
        }
    }
}

impl Call<Sent> {
    /// Takes a retry from the budget to send the call again.
    ///
    /// # Errors
    ///
    /// Returns a [`RetryError`] if the call is not idempotent or the budget is used up.
    pub fn retry(&self, budget: &mut RetryBudget, now: Moment) -> Result<(), RetryError> {
        match self.repeat {
            Repeat::Never => Err(RetryError::NotRepeatable),
            Repeat::Allowed if budget.take(now) => Ok(()),
            Repeat::Allowed => Err(RetryError::BudgetExhausted),
        }
    }

    /// Ends the call without an answer, so that it is unknown whether it ran.
    #[must_use]
    pub fn fail(self) -> RunState {
        RunState::Unknown
    }

    /// Ends the call with an upstream's answer, which shows that it ran.
    #[must_use]
    pub fn answer(self) -> RunState {
        RunState::Ran
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
