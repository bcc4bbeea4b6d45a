//! Admission of requests to this instance: waits for the gate's verdict.

use std::{sync::Arc, time::Duration};

use admit::{Gate, Limits, Offer, Outcome, Reason, Refusal, Released, RetryBudget, Share, Verdict};
use ident::{RequestId, Time};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    core::Core,
    job::Job,
    problem::{Fault, Problem},
};

/// Requests waiting for a verdict. Invariant: sorted by id.
type Waiting = Vec<(RequestId, oneshot::Sender<Outcome>)>;

#[derive(Clone)]
struct Shared {
    gate: Arc<Mutex<Gate>>,
    waiting: Arc<Mutex<Waiting>>,
}

/// Admission to one instance.
pub struct Admission {
    shared: Shared,
    budget: Mutex<RetryBudget>,
}

/// An admitted request's place; given back when dropped.
pub struct Permit {
    shared: Shared,
    id: RequestId,
    core: Arc<Core>,
}

impl Admission {
    /// Admission of `capacity` requests at once.
    pub fn new(capacity: u32) -> Self {
        let gate = Arc::new(Mutex::new(Gate::new(capacity)));
        let shared = Shared { gate, waiting: Arc::default() };
        Self { shared, budget: Mutex::default() }
    }

    /// Sets how many requests may run at once.
    pub fn set_capacity(&self, capacity: u32) {
        self.shared.gate.lock().set_capacity(capacity);
    }

    /// Sets how many requests may be queued at most.
    pub fn set_queue(&self, queue: usize) {
        self.shared.gate.lock().set_queue(queue);
    }

    /// Requests running and queued.
    pub fn load(&self) -> (usize, usize) {
        let gate = self.shared.gate.lock();
        (gate.running(), gate.queued())
    }

    /// Takes one retry from the budget.
    pub fn retry(&self, now: Time) -> bool {
        self.budget.lock().withdraw(now)
    }

    /// Admits a job, at once or after a wait, or refuses it. A caller that goes away while it waits
    /// gives its place up.
    pub async fn enter(
        &self,
        core: &Arc<Core>,
        job: &Job,
        service: Duration,
    ) -> Result<Permit, Problem> {
        let id = job.asked.id;
        let offer = offer(core, job, service);
        let (send, verdict) = oneshot::channel();
        let (draw, now) = (core.draws.draw(), core.now());
        // The place in `waiting` comes first, so that a release cannot miss it.
        self.shared.wait(id, send);
        let answer = self.shared.gate.lock().offer(offer, draw, now);
        let permit = Permit { shared: self.shared.clone(), id, core: core.clone() };
        let outcome = match answer {
            Verdict::Run => Outcome::Run,
            Verdict::Refuse(refusal) => Outcome::Refuse(refusal),
            Verdict::Wait => verdict.await.unwrap_or(Outcome::Refuse(lost(now))),
        };
        self.shared.forget(id);
        match outcome {
            Outcome::Run => {
                self.budget.lock().earn();
                Ok(permit)
            }
            Outcome::Refuse(refusal) => Err(problem(refusal, core.now())),
        }
    }

    /// Releases what may start, and gives up what is late.
    pub fn tick(&self, draw: u64, now: Time) {
        self.shared.tick(draw, now);
    }
}

impl Shared {
    fn wait(&self, id: RequestId, send: oneshot::Sender<Outcome>) {
        let mut waiting = self.waiting.lock();
        let at = waiting.partition_point(|(w, _)| *w < id);
        waiting.insert(at, (id, send));
    }

    fn forget(&self, id: RequestId) -> Option<oneshot::Sender<Outcome>> {
        let mut waiting = self.waiting.lock();
        let at = waiting.binary_search_by_key(&id, |(w, _)| *w).ok()?;
        Some(waiting.remove(at).1)
    }

    fn tick(&self, draw: u64, now: Time) {
        let released = self.gate.lock().tick(draw, now);
        for Released { id, outcome } in released {
            if let Some(send) = self.forget(id) {
                // A waiter that is gone has dropped its permit, which cancels it at the gate.
                let _ = send.send(outcome);
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (draw, now) = (self.core.draws.draw(), self.core.now());
        self.shared.forget(self.id);
        self.shared.gate.lock().cancel(self.id, now);
        self.shared.tick(draw, now);
    }
}

fn offer(core: &Core, job: &Job, service: Duration) -> Offer {
    let asked = &job.asked;
    Offer {
        id: asked.id,
        team: asked.grant.team.clone(),
        limits: team_share(core, job),
        class: asked.class,
        deadline: asked.deadline,
        cost: job.prompt_tokens().saturating_add(job.prompt.tokens),
        service,
    }
}

/// This instance's share of the team's limits.
fn team_share(core: &Core, job: &Job) -> Share {
    let params = &job.asked.grant.params;
    let limits = Limits { rate: params.limits.rate, inflight: params.limits.inflight };
    let place = core.members.lock().place(&job.asked.grant.team, params.spread, core.now());
    let homes = u8::try_from(place.homes).unwrap_or(u8::MAX);
    admit::share(limits, homes, place.members, place.rank)
}

fn lost(now: Time) -> Refusal {
    Refusal { reason: Reason::Late, retry_at: now }
}

fn problem(refusal: Refusal, now: Time) -> Problem {
    let fault = match refusal.reason {
        Reason::Rate | Reason::Inflight | Reason::Duplicate => Fault::Limited,
        Reason::Full | Reason::Late => Fault::Deadline,
    };
    Problem::after(fault, refusal.retry_at.since(now))
}
