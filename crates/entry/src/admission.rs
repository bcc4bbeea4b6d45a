//! Admission control of an instance. A request waits here until its gate admits or refuses it.

use std::{sync::Arc, time::Duration};

use admit::{
    AdmissionRequest, Decision, Gate, Limits, Outcome, Reason, Refusal, Released, RetryBudget,
    Share,
};
use ident::{Name, RequestId, Time};
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;

use crate::{
    core::Core,
    job::Job,
    problem::{Problem, ProblemKind},
};

/// Expected queueing time at the organisation's replicas from which on only requests of teams below
/// their share of the prefill rate start. Others wait in the gate's queue.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(1500);
/// Number of requests that a replica runs or queues at once.
const REPLICA_SLOTS: u32 = 16;
/// Minimum capacity of a gate, in requests.
const MIN_CAPACITY: u32 = 8;

/// Requests that wait for the gate's decision. Invariant: sorted by identifier.
type Waiting = Vec<(RequestId, oneshot::Sender<Outcome>)>;

/// Gate of one organisation. Each organisation has its own, so that requests waiting for the
/// replicas of one organisation take no slot of another.
#[derive(Clone)]
struct OrgGate {
    gate: Arc<Mutex<Gate>>,
    waiting: Arc<Mutex<Waiting>>,
}

/// Admission control of one instance.
#[derive(Default)]
pub struct Admission {
    /// Gates by organisation. Invariant: sorted by organisation.
    gates: RwLock<Vec<(Name, OrgGate)>>,
    budget: Mutex<RetryBudget>,
}

/// Limits that apply to each gate of an instance.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionLimits {
    /// Number of instances that share the replicas.
    pub instances: usize,
    /// Maximum number of running requests.
    pub max_running: u32,
    /// Maximum number of queued requests.
    pub max_queued: usize,
}

/// Permit of an admitted request; its slot is released when it is dropped.
pub struct Permit {
    org_gate: OrgGate,
    id: RequestId,
    core: Arc<Core>,
}

impl Admission {
    /// Adapts the capacity of all gates to the known replicas and to `limits`.
    pub fn update_limits(&self, core: &Core, limits: AdmissionLimits) {
        let instances = u32::try_from(limits.instances.max(1)).unwrap_or(u32::MAX);
        let max_capacity = limits.max_running.max(MIN_CAPACITY);
        for (org, org_gate) in self.gates.read().iter() {
            let slots = core.pools.capacity(&core.engines(org), REPLICA_SLOTS);
            // Callers are not spread evenly over the instances, so an instance accepts up to twice
            // its even share.
            let capacity = slots.saturating_mul(2) / instances;
            let mut gate = org_gate.gate.lock();
            gate.set_capacity(capacity.clamp(MIN_CAPACITY, max_capacity));
            gate.set_max_queued(limits.max_queued);
        }
    }

    /// Returns the numbers of running and of queued requests.
    pub fn load(&self) -> (usize, usize) {
        let gates = self.gates.read();
        let loads = gates.iter().map(|(_, org_gate)| {
            let gate = org_gate.gate.lock();
            (gate.running(), gate.queued())
        });
        loads.fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1))
    }

    /// Returns the maximum number of requests that run at once.
    pub fn capacity(&self) -> usize {
        let gates = self.gates.read();
        gates.iter().map(|(_, org_gate)| org_gate.gate.lock().capacity() as usize).sum()
    }

    fn org_gate(&self, org: &Name) -> OrgGate {
        if let Ok(at) = self.gates.read().binary_search_by(|(o, _)| o.cmp(org)) {
            return self.gates.read()[at].1.clone();
        }
        let mut gates = self.gates.write();
        match gates.binary_search_by(|(o, _)| o.cmp(org)) {
            Ok(at) => gates[at].1.clone(),
            Err(at) => {
                let gate = Arc::new(Mutex::new(Gate::new(MIN_CAPACITY)));
                let org_gate = OrgGate { gate, waiting: Arc::default() };
                gates.insert(at, (org.clone(), org_gate.clone()));
                org_gate
            }
        }
    }

    /// Takes one retry from the retry budget. Returns whether the retry is allowed.
    pub fn try_retry(&self, now: Time) -> bool {
        self.budget.lock().try_retry(now)
    }

    /// Admits a job, at once or after a wait, or refuses it. If the caller goes away meanwhile, the
    /// job leaves the queue. `first_token` is the expected time from the start of the job to its
    /// first token.
    pub async fn admit(
        &self,
        core: &Arc<Core>,
        job: &Job,
        first_token: Duration,
    ) -> Result<Permit, Problem> {
        let id = job.meta.id;
        let request = admission_request(core, job, first_token);
        let (send, released) = oneshot::channel();
        let (random_bits, now) = (core.random.next_u64(), core.now());
        // The job is added to `waiting` before it is passed to the gate, so that its release
        // cannot be missed.
        let org_gate = self.org_gate(&job.meta.grant.org);
        org_gate.add_waiter(id, send);
        org_gate.update_headroom(core, &job.meta.grant.org, now);
        let decision = org_gate.gate.lock().admit(request, random_bits, now);
        let permit = Permit { org_gate: org_gate.clone(), id, core: core.clone() };
        let outcome = match decision {
            Decision::Run => Outcome::Run,
            Decision::Refuse(refusal) => Outcome::Refuse(refusal),
            Decision::Wait => released.await.unwrap_or(Outcome::Refuse(expired(now))),
        };
        org_gate.remove_waiter(id);
        match outcome {
            Outcome::Run => {
                self.budget.lock().record_request();
                Ok(permit)
            }
            Outcome::Refuse(refusal) => Err(problem(refusal, core.now())),
        }
    }

    /// Releases the queued requests that may start, and refuses those that are past their deadline.
    pub fn tick(&self, core: &Core) {
        let gates = self.gates.read().clone();
        for (org, org_gate) in gates {
            org_gate.update_headroom(core, &org, core.now());
            org_gate.tick(core.random.next_u64(), core.now());
        }
    }
}

impl OrgGate {
    /// Updates how many prompt tokens the organisation's replicas can accept.
    fn update_headroom(&self, core: &Core, org: &Name, now: Time) {
        let targets = core.engines(org);
        let headroom = core.pools.headroom(&targets, MAX_QUEUE_WAIT, now);
        let instances = core.instance_count();
        let rate = core.pools.prefill_rate(&targets, now) / instances as u64;
        self.gate.lock().set_headroom(headroom, rate);
    }

    fn add_waiter(&self, id: RequestId, send: oneshot::Sender<Outcome>) {
        let mut waiting = self.waiting.lock();
        let at = waiting.partition_point(|(w, _)| *w < id);
        waiting.insert(at, (id, send));
    }

    fn remove_waiter(&self, id: RequestId) -> Option<oneshot::Sender<Outcome>> {
        let mut waiting = self.waiting.lock();
        let at = waiting.binary_search_by_key(&id, |(w, _)| *w).ok()?;
        Some(waiting.remove(at).1)
    }

    fn tick(&self, random_bits: u64, now: Time) {
        let released = self.gate.lock().tick(random_bits, now);
        for Released { id, outcome } in released {
            if let Some(send) = self.remove_waiter(id) {
                // The result is ignored: a waiter that has gone away has dropped its permit, which
                // cancels the request at the gate.
                let _ = send.send(outcome);
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (random_bits, now) = (self.core.random.next_u64(), self.core.now());
        self.org_gate.remove_waiter(self.id);
        self.org_gate.gate.lock().cancel(self.id, now);
        self.org_gate.tick(random_bits, now);
    }
}

fn admission_request(core: &Core, job: &Job, first_token: Duration) -> AdmissionRequest {
    let meta = &job.meta;
    AdmissionRequest {
        id: meta.id,
        team: meta.grant.team.clone(),
        limits: team_share(core, job),
        class: meta.class,
        deadline: meta.deadline,
        prefill_tokens: job.prompt_tokens().saturating_add(job.prompt.max_tokens),
        first_token,
    }
}

/// Returns this instance's share of the team's limits.
fn team_share(core: &Core, job: &Job) -> Share {
    let params = &job.meta.grant.params;
    let limits = Limits { rate: params.limits.rate, inflight: params.limits.inflight };
    let team_rank = core.members.lock().team_rank(&job.meta.grant.team, params.spread, core.now());
    let homes = u8::try_from(team_rank.homes).unwrap_or(u8::MAX);
    admit::instance_share(limits, homes, team_rank.members, team_rank.rank)
}

fn expired(now: Time) -> Refusal {
    Refusal { reason: Reason::Late, retry_at: now }
}

fn problem(refusal: Refusal, now: Time) -> Problem {
    let kind = match refusal.reason {
        Reason::Rate | Reason::Inflight | Reason::Duplicate => ProblemKind::Limited,
        Reason::Full | Reason::Late => ProblemKind::Deadline,
    };
    Problem::after(kind, refusal.retry_at.since(now))
}
