//! Turns of connections whose bodies come in very many chunks.
//!
//! A chunk costs the same whatever its size, so many callers with chunks of one byte could keep a
//! thread busy. One of them gets a turn each time the thread has looked for other work, so that
//! requests of other callers wait for one turn, not for all.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Waker;

/// A place among the connections that wait for their turn.
#[derive(Debug)]
pub(crate) struct Ticket(Rc<Cell<bool>>);

impl Ticket {
    /// Returns whether it is the connection's turn.
    pub(crate) fn is_called(&self) -> bool {
        self.0.get()
    }
}

#[derive(Debug)]
struct Place {
    waker: Waker,
    is_called: Rc<Cell<bool>>,
}

/// The connections of one thread that wait for their turn.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunkTurns(Rc<RefCell<VecDeque<Place>>>);

impl ChunkTurns {
    /// Waits behind the connections that wait already; the waker is called at the turn.
    pub(crate) fn wait(&self, waker: Waker) -> Ticket {
        let is_called = Rc::new(Cell::new(false));
        let is_first = {
            let mut places = self.0.borrow_mut();
            places.push_back(Place {
                waker,
                is_called: Rc::clone(&is_called),
            });
            places.len() == 1
        };
        if is_first {
            actix_rt::spawn(self.clone().call_all());
        }
        Ticket(is_called)
    }

    /// Calls the connections one by one until none waits.
    async fn call_all(self) {
        loop {
            // The thread looks for other work before this returns.
            tokio::task::yield_now().await;
            let mut places = self.0.borrow_mut();
            let Some(place) = places.front() else {
                return;
            };
            // A connection that was closed meanwhile does not use its turn.
            place.is_called.set(true);
            place.waker.wake_by_ref();
            places.pop_front();
            if places.is_empty() {
                return;
            }
        }
    }
}
