//! Which waiting request is tried, and when the next one is.

use std::time::Duration;

use ident::Time;

use crate::{Ticket, WaitQueue, Waiting};

/// Most requests that are tried after one event. The first may need more than has become free, or
/// another replica than the next.
const MAX_TRIES: usize = 3;
/// Age of a turn from which another request gets one. A try takes less than a millisecond; its task
/// waits for the processor or has stalled.
const TURN_TTL: Duration = Duration::from_millis(100);

/// A queue whose requests are tried one at a time. After an event that may have made capacity free,
/// the first in the order gets a turn. Once it has started, failed or left, the next one does, until
/// [`MAX_TRIES`] have failed. Events during a turn are taken together.
///
/// Each call that returns a ticket has given that request the turn; its task must be woken.
///
/// Invariant: the request that has the turn is queued.
#[derive(Debug)]
pub struct Rounds {
    queue: WaitQueue,
    /// The request that may be tried now, and since when.
    turn: Option<(Ticket, Time)>,
    /// Requests that were tried since the last event, without a start.
    tried: Vec<Ticket>,
    /// Whether there was an event since the turn was given.
    again: bool,
}

impl Rounds {
    /// Creates the rounds of an empty queue.
    pub fn new(queue: WaitQueue) -> Self {
        Self { queue, turn: None, tried: Vec::new(), again: false }
    }

    /// The queue.
    pub fn queue(&self) -> &WaitQueue {
        &self.queue
    }

    /// The queue, for changes that add or remove no request.
    pub fn queue_mut(&mut self) -> &mut WaitQueue {
        &mut self.queue
    }

    /// Queues a request, see [`WaitQueue::push`]. It needs a turn like all others.
    pub fn push(&mut self, request: Waiting, now: Time) -> (Ticket, Option<Ticket>) {
        self.queue.push(request, now)
    }

    /// Whether a request may be tried now.
    pub fn has_turn(&self, ticket: Ticket) -> bool {
        self.turn.is_some_and(|(turn, _)| turn == ticket)
    }

    /// Whether a request is the first in the order.
    pub fn is_first(&mut self, ticket: Ticket, now: Time) -> bool {
        self.queue.next(1, now).first() == Some(&ticket)
    }

    /// Records that capacity may have become free.
    pub fn wake(&mut self, now: Time) -> Option<Ticket> {
        if self.turn.is_some_and(|(_, since)| now.since(since) < TURN_TTL) {
            self.again = true;
            return None;
        }
        self.tried.clear();
        // A request that kept its turn for too long is not tried again at once.
        self.tried.extend(self.turn.map(|(ticket, _)| ticket));
        self.give_turn(now)
    }

    /// Records that a request was tried and goes on waiting.
    pub fn failed(&mut self, ticket: Ticket, now: Time) -> Option<Ticket> {
        if !self.has_turn(ticket) {
            return None;
        }
        self.tried.push(ticket);
        self.give_turn(now)
    }

    /// Removes a request, which starts or leaves without. Nothing happens if it is not queued.
    pub fn remove(&mut self, ticket: Ticket, starts: bool, now: Time) -> Option<Ticket> {
        let was_queued =
            if starts { self.queue.start(ticket, now) } else { self.queue.remove(ticket) };
        if !was_queued {
            return None;
        }
        self.tried.retain(|t| *t != ticket);
        // Where one has started, there may be capacity for others. Where the first has left, the
        // second must learn that it is the first.
        match self.turn {
            Some((turn, _)) if turn == ticket => self.give_turn(now),
            Some(_) => None,
            None => self.wake(now),
        }
    }

    fn give_turn(&mut self, now: Time) -> Option<Ticket> {
        if self.tried.len() >= MAX_TRIES || self.tried.len() >= self.queue.len() {
            self.turn = None;
            if !std::mem::take(&mut self.again) {
                return None;
            }
            self.tried.clear();
        }
        let next = self.queue.next(MAX_TRIES, now).into_iter().find(|t| !self.tried.contains(t));
        self.turn = next.map(|ticket| (ticket, now));
        next
    }
}
