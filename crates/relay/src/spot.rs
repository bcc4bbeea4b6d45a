//! The wait of one request in a queue.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use admit::{Rejection, Ticket};
use ident::Time;
use tokio::{sync::Notify, time::timeout};

use crate::{
    answer::Refusal,
    core::Core,
    forward::{Forwarder, MIN_TIME_LEFT},
    job::Job,
    queue::{FALLBACK_INTERVAL, Kind, label, reject},
};

/// A request's place in a queue. Dropping it removes the request and gives the next one a turn.
pub(crate) struct Spot {
    pub(crate) core: Arc<Core>,
    pub(crate) kind: Kind,
    pub(crate) ticket: Ticket,
    pub(crate) notify: Arc<Notify>,
    pub(crate) level: u8,
    pub(crate) since: Time,
    /// Time from which the request is tried without a turn: it starts without capacity.
    pub(crate) free_at: Time,
    /// Time at which it is tried once without a turn: at `free_at`, or, where it needs no headroom, once
    /// it does not wait any longer for replicas that are at their limits.
    pub(crate) try_at: Time,
    /// Time before which it is not tried without a turn, and at which its queue is checked.
    pub(crate) retry_at: Time,
    pub(crate) starts: bool,
}

/// What a waiting request may do.
enum Turn {
    Try,
    Wait(Time),
    Rejected(Rejection),
}

impl Spot {
    /// Waits until the request may be tried.
    pub(crate) async fn turn(&mut self, forwarder: &Forwarder) -> Result<(), Refusal> {
        let job = &forwarder.job;
        loop {
            let now = self.core.now();
            match self.poll(job, now) {
                Turn::Try => return Ok(()),
                Turn::Rejected(_) if forwarder.possible_runs() > 0 => return Err(Refusal::Lost),
                Turn::Rejected(rejection) => {
                    return Err(reject(
                        &self.core,
                        (&*job.meta.id, job.deadline),
                        &self.kind,
                        self.level,
                        rejection,
                    ));
                }
                Turn::Wait(until) => {
                    // A timer that fires early would be set again and again.
                    let wait = until.since(now).max(Duration::from_millis(1));
                    let _ = timeout(wait, self.notify.notified()).await;
                }
            }
        }
    }

    fn poll(&mut self, job: &Job, now: Time) -> Turn {
        let snapshot = self.core.view.snapshot();
        let mut state = self.core.queues.state.lock();
        if let Some(config) = &snapshot.config {
            state.sync(config, now);
        }
        let queue = state.queue_mut(&self.kind).expect("a queue with waiters is kept");
        let waiter = queue.waiters.iter().find(|w| w.ticket == self.ticket);
        if let Some(rejection) = waiter.and_then(|w| w.evicted) {
            return Turn::Rejected(rejection);
        }
        let is_over = job.time_left(now) < MIN_TIME_LEFT;
        let is_due = self.retry_at.passed(now);
        if self.try_at.passed(now) {
            self.try_at = Time::NEVER;
            return Turn::Try;
        }
        if is_over || queue.rounds.has_turn(self.ticket) || (is_due && self.free_at.passed(now)) {
            return Turn::Try;
        }
        if is_due {
            let next = queue.rounds.wake(now);
            if queue.rounds.has_turn(self.ticket) {
                return Turn::Try;
            }
            queue.notify(next);
            self.retry_at = now.after(FALLBACK_INTERVAL);
        }
        let last = job.deadline.before(MIN_TIME_LEFT).after(Duration::from_millis(1));
        Turn::Wait(self.retry_at.min(last).min(self.try_at))
    }

    /// Records that the request was tried and found no capacity. One may be free after `pause`.
    pub(crate) fn failed(&mut self, pause: Duration) {
        let now = self.core.now();
        let mut state = self.core.queues.state.lock();
        let queue = state.queue_mut(&self.kind).expect("a queue with waiters is kept");
        let next = queue.rounds.failed(self.ticket, now);
        queue.notify(next);
        let polls = self.free_at.passed(now) || queue.rounds.is_first(self.ticket, now);
        self.retry_at = now.after(if polls { pause } else { pause.max(FALLBACK_INTERVAL) });
    }

    /// Ends the wait of a request that starts.
    pub(crate) fn start(mut self) {
        self.starts = true;
    }
}

impl Drop for Spot {
    fn drop(&mut self) {
        let now = self.core.now();
        self.core.metrics.observe_wait(label(self.level), now.since(self.since));
        let mut state = self.core.queues.state.lock();
        let Some(queue) = state.queue_mut(&self.kind) else { return };
        let next = queue.rounds.remove(self.ticket, self.starts, now);
        queue.notify(next);
        queue.waiters.retain(|w| w.ticket != self.ticket);
        self.core.queues.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
