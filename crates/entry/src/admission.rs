//! Admission of requests to this instance: waits for the gate's verdict.

use std::{sync::Arc, time::Duration};

use admit::{Gate, Limits, Offer, Outcome, Reason, Refusal, Released, RetryBudget, Share, Verdict};
use ident::{Name, RequestId, Time};
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;

use crate::{
    core::Core,
    job::Job,
    problem::{Fault, Problem},
};

/// Longest expected queue at an average replica; while it is longer, teams above their part of the
/// rate are held.
const QUEUE_LIMIT: Duration = Duration::from_millis(1500);
/// Requests a replica runs or queues at once.
const REPLICA_SLOTS: u32 = 16;
/// Least capacity of a gate.
const LEAST_CAPACITY: u32 = 8;

/// Requests waiting for a verdict. Invariant: sorted by id.
type Waiting = Vec<(RequestId, oneshot::Sender<Outcome>)>;

/// One organisation's gate: what waits for one organisation's replicas holds no place of another.
#[derive(Clone)]
struct Lock {
    gate: Arc<Mutex<Gate>>,
    waiting: Arc<Mutex<Waiting>>,
}

/// Admission to one instance.
#[derive(Default)]
pub struct Admission {
    /// The gates by organisation. Invariant: sorted.
    gates: RwLock<Vec<(Name, Lock)>>,
    budget: Mutex<RetryBudget>,
}

/// What an instance's gates are adapted to, each of them.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Instances that share the replicas.
    pub instances: usize,
    /// Most requests running.
    pub running: u32,
    /// Most requests queued.
    pub queue: usize,
}

/// An admitted request's place; given back when dropped.
pub struct Permit {
    lock: Lock,
    id: RequestId,
    core: Arc<Core>,
}

impl Admission {
    /// Adapts all gates to the replicas there are and to the instance's bounds.
    pub fn adapt(&self, core: &Core, bounds: Bounds) {
        let instances = u32::try_from(bounds.instances.max(1)).unwrap_or(u32::MAX);
        let most = bounds.running.max(LEAST_CAPACITY);
        for (org, lock) in self.gates.read().iter() {
            let places = core.pools.capacity(&core.engines(org), REPLICA_SLOTS);
            // Callers do not spread evenly, so an instance takes up to twice its even part.
            let capacity = places.saturating_mul(2) / instances;
            let mut gate = lock.gate.lock();
            gate.set_capacity(capacity.clamp(LEAST_CAPACITY, most));
            gate.set_queue(bounds.queue);
        }
    }

    /// Requests running and queued.
    pub fn load(&self) -> (usize, usize) {
        let gates = self.gates.read();
        let loads = gates.iter().map(|(_, lock)| {
            let gate = lock.gate.lock();
            (gate.running(), gate.queued())
        });
        loads.fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1))
    }

    /// Requests that may run at once.
    pub fn capacity(&self) -> usize {
        let gates = self.gates.read();
        gates.iter().map(|(_, lock)| lock.gate.lock().capacity() as usize).sum()
    }

    fn lock(&self, org: &Name) -> Lock {
        if let Ok(at) = self.gates.read().binary_search_by(|(o, _)| o.cmp(org)) {
            return self.gates.read()[at].1.clone();
        }
        let mut gates = self.gates.write();
        match gates.binary_search_by(|(o, _)| o.cmp(org)) {
            Ok(at) => gates[at].1.clone(),
            Err(at) => {
                let gate = Arc::new(Mutex::new(Gate::new(LEAST_CAPACITY)));
                let lock = Lock { gate, waiting: Arc::default() };
                gates.insert(at, (org.clone(), lock.clone()));
                lock
            }
        }
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
        let lock = self.lock(&job.asked.grant.org);
        lock.wait(id, send);
        lock.set_room(core, &job.asked.grant.org, now);
        let answer = lock.gate.lock().offer(offer, draw, now);
        let permit = Permit { lock: lock.clone(), id, core: core.clone() };
        let outcome = match answer {
            Verdict::Run => Outcome::Run,
            Verdict::Refuse(refusal) => Outcome::Refuse(refusal),
            Verdict::Wait => verdict.await.unwrap_or(Outcome::Refuse(lost(now))),
        };
        lock.forget(id);
        match outcome {
            Outcome::Run => {
                self.budget.lock().earn();
                Ok(permit)
            }
            Outcome::Refuse(refusal) => Err(problem(refusal, core.now())),
        }
    }

    /// Releases what may start, and gives up what is late.
    pub fn tick(&self, core: &Core) {
        let gates = self.gates.read().clone();
        for (org, lock) in gates {
            lock.set_room(core, &org, core.now());
            lock.tick(core.draws.draw(), core.now());
        }
    }
}

impl Lock {
    /// Tells the gate how much the organisation's replicas can take.
    fn set_room(&self, core: &Core, org: &Name, now: Time) {
        let targets = core.engines(org);
        let room = core.pools.room(&targets, QUEUE_LIMIT, now);
        let instances = core.instances();
        let rate = core.pools.rate(&targets, now) / instances as u64;
        self.gate.lock().set_room(room, rate);
    }

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
        self.lock.forget(self.id);
        self.lock.gate.lock().cancel(self.id, now);
        self.lock.tick(draw, now);
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
