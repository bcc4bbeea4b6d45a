//! The admission gate: decides which requests run, which are queued and which are refused.

use std::time::Duration;

use ident::{Class, Name, RequestId, Time};

use crate::{
    Share,
    turn_queue::{Item, TurnQueue},
    usage::Usage,
};

/// Prompt tokens that a team may start in each round.
const QUANTUM_TOKENS: u64 = 8_192;
/// Number of interactive requests that start for each batch request while both are queued.
const INTERACTIVE_PER_BATCH: u32 = 4;
/// One in this many slots is reserved for interactive requests.
const RESERVE_DIVISOR: u32 = 8;
/// Largest number of queued requests, as a multiple of the capacity.
const QUEUE_FACTOR: usize = 4;
/// Assumed mean time for which a request occupies its slot, before the first request has ended.
const INITIAL_SLOT_TIME: Duration = Duration::from_secs(2);
/// Weight of a new request in the moving average of the slot time.
const SLOT_TIME_ALPHA: f64 = 0.05;
/// Shortest retry delay, before jitter.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest retry delay, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// A request that is to be admitted.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Identifier of the request, unique at the gate.
    pub id: RequestId,
    /// Team that the request belongs to.
    pub team: Name,
    /// This instance's share of the team's limits.
    pub limits: Share,
    /// Class of the request: interactive or batch.
    pub class: Class,
    /// Deadline of the first token.
    pub deadline: Time,
    /// Prompt tokens expected to be computed.
    pub prefill_tokens: u32,
    /// Expected time from the start of the request to its first token.
    pub first_token: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The team has reached its rate limit.
    Rate,
    /// The team has reached its limit of running and queued requests.
    Inflight,
    /// The queue is full.
    Full,
    /// The request can't be answered before its deadline.
    Late,
    /// A request with this identifier is running or queued already.
    Duplicate,
}

/// The error if a request is refused. Nothing was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the request was not run ({reason:?}); come back at {retry_at}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time at which the caller may retry.
    pub retry_at: Time,
}

/// The decision on an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Run the request now, and call [`Gate::done`] at its end.
    Run,
    /// The request is queued until [`Gate::tick`] returns it.
    Wait,
    /// Refuse the request now.
    Refuse(Refusal),
}

/// The decision on a request that leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Run the request now, and call [`Gate::done`] at its end.
    Run,
    /// Refuse the request now.
    Refuse(Refusal),
}

/// A request that leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Released {
    /// Identifier of the request.
    pub id: RequestId,
    /// Whether the request runs or is refused.
    pub outcome: Outcome,
}

/// A queued request.
#[derive(Debug, Clone)]
struct Queued {
    id: RequestId,
    team: Name,
    deadline: Time,
    /// Prompt tokens to compute.
    prefill_tokens: u64,
    /// Expected time from the start of the request to its first token.
    first_token: Duration,
}

impl Item for Queued {
    type Id = RequestId;
    type Team = Name;

    fn id(&self) -> RequestId {
        self.id
    }

    fn team(&self) -> &Name {
        &self.team
    }

    fn key(&self) -> u64 {
        self.deadline.0
    }

    fn work(&self) -> u64 {
        self.prefill_tokens
    }
}

#[derive(Debug)]
struct Running {
    id: RequestId,
    team: Name,
    class: Class,
    since: Time,
}

/// Admission at one instance. [`Gate::tick`] must be called after each `done`, `cancel` and
/// `set_capacity`, and also at regular intervals, so that late requests are refused early.
///
/// Invariants: `running` is sorted by id. No request starts while `capacity` or more requests are
/// running. While no headroom is left, no request starts of a team that uses more than its share.
/// Batch requests never start in the reserved slots.
#[derive(Debug)]
pub struct Gate {
    /// Number of requests that may run at once.
    capacity: u32,
    /// Largest number of queued requests, whatever the capacity.
    max_queued: usize,
    running: Vec<Running>,
    batch_running: u32,
    interactive: TurnQueue<Queued>,
    batch: TurnQueue<Queued>,
    /// Number of interactive requests started since the last start of a batch request.
    interactive_starts: u32,
    usage: Usage,
    /// Moving average of the time for which a request occupies its slot, in seconds.
    slot_time: f64,
    /// Prompt tokens whose requests may still start before the next call of [`Gate::set_headroom`].
    headroom: u64,
    /// Prefill rate that this instance can expect, in prompt tokens per second.
    prefill_rate: u64,
}

impl Gate {
    /// Creates a gate that runs `capacity` requests at once.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            max_queued: usize::MAX,
            running: Vec::new(),
            batch_running: 0,
            interactive: TurnQueue::new(QUANTUM_TOKENS),
            batch: TurnQueue::new(QUANTUM_TOKENS),
            interactive_starts: 0,
            usage: Usage::default(),
            slot_time: INITIAL_SLOT_TIME.as_secs_f64(),
            headroom: u64::MAX,
            prefill_rate: u64::MAX,
        }
    }

    /// Sets how many requests may run at once. Running requests are not affected.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Sets the largest number of queued requests. The multiple of the capacity remains a limit as
    /// well. Queued requests are not affected.
    pub fn set_max_queued(&mut self, max_queued: usize) {
        self.max_queued = max_queued;
    }

    /// Sets the replicas' headroom in prompt tokens, and the prefill rate in tokens per second that
    /// this instance can expect. Before the first call there is no such limit. While there is no
    /// headroom, only requests of teams below their share of the rate start. A team's share is
    /// proportional to its rate limit.
    pub fn set_headroom(&mut self, tokens: u64, prefill_rate: u64) {
        self.headroom = tokens;
        self.prefill_rate = prefill_rate.max(1);
    }

    /// Number of requests that may run at once.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Starts, queues or refuses a request. `random_bits` must be a new random number.
    pub fn admit(&mut self, request: AdmissionRequest, random_bits: u64, now: Time) -> Decision {
        if let Err((reason, delay)) = self.check(&request, now) {
            let retry_at = jitter(delay, random_bits, now);
            return Decision::Refuse(Refusal { reason, retry_at });
        }
        let team = self.usage.team(&request.team, request.limits.rate, now);
        team.bucket.take();
        team.inflight += 1;
        assert!(
            team.inflight <= request.limits.inflight,
            "the team exceeds its limit of running and queued requests"
        );
        let AdmissionRequest { id, team, deadline, first_token, class, .. } = request;
        let request = Queued {
            id,
            team,
            deadline,
            prefill_tokens: u64::from(request.prefill_tokens),
            first_token,
        };
        if self.can_start_first(&request.team, class, now) {
            self.start(request, class, now);
            return Decision::Run;
        }
        self.queue_mut(class).push(request);
        Decision::Wait
    }

    /// Returns an error if the request is refused: the reason, and how long it is expected to last.
    fn check(&mut self, request: &AdmissionRequest, now: Time) -> Result<(), (Reason, Duration)> {
        if self.contains_id(request.id) {
            return Err((Reason::Duplicate, MIN_RETRY_DELAY));
        }
        let slot_time = Duration::from_secs_f64(self.slot_time);
        let wait = self.expected_wait(request, now);
        let is_full = self.is_full(&request.team);
        let team = self.usage.team(&request.team, request.limits.rate, now);
        if team.inflight >= request.limits.inflight {
            return Err((Reason::Inflight, slot_time));
        }
        if !team.bucket.has_token(request.limits.rate, now) {
            let interval = (1.0 / request.limits.rate.max(1e-6)).min(MAX_RETRY_DELAY.as_secs_f64());
            return Err((Reason::Rate, Duration::from_secs_f64(interval)));
        }
        let first = now.after(wait).after(request.first_token);
        if first > request.deadline {
            return Err((Reason::Late, first.since(request.deadline)));
        }
        if is_full && !self.has_slot(request.class) {
            return Err((Reason::Full, wait.max(slot_time)));
        }
        Ok(())
    }

    /// Whether the queue is full for `team`. When the queue has reached its limit, a team may still
    /// queue requests while it has fewer than the limit divided by the number of queued teams, so
    /// that no team can keep the others out of the queue.
    fn is_full(&self, team: &Name) -> bool {
        let limit = (self.capacity as usize * QUEUE_FACTOR).min(self.max_queued);
        let teams = self.interactive.teams().max(self.batch.teams()).max(1);
        let own = self.interactive.len_of(team) + self.batch.len_of(team);
        self.queued() >= limit && own >= limit / teams
    }

    /// Whether a new request can start before all queued requests of its class: there are none, or
    /// all of them belong to teams that may not start requests now.
    fn can_start_first(&self, team: &Name, class: Class, now: Time) -> bool {
        let queue = self.queue(class);
        let may = |t: &Name| self.may_start(t, now);
        self.has_slot(class) && may(team) && queue.len_of(team) == 0 && !queue.is_ready(may)
    }

    /// Expected time until a request that is offered now starts.
    fn expected_wait(&self, request: &AdmissionRequest, now: Time) -> Duration {
        let (team, class) = (&request.team, request.class);
        if self.can_start_first(team, class, now) {
            return Duration::ZERO;
        }
        let ahead = self.queue(class).ahead(team, request.deadline.0);
        let count = ahead.count as f64;
        let between = match class {
            Class::Interactive => {
                (count / f64::from(INTERACTIVE_PER_BATCH)).min(self.batch.len() as f64)
            }
            Class::Batch => self.interactive.len() as f64,
        };
        let slots = match self.has_slot(class) {
            true => 0.0,
            false => (count + between + 1.0) / f64::from(self.capacity.max(1)) * self.slot_time,
        };
        let tokens = match self.headroom {
            0 => {
                let share = self.usage.fair_share(team, self.prefill_rate).max(1.0);
                ahead.work as f64 / share + self.usage.excess_secs(team, self.prefill_rate, now)
            }
            _ => 0.0,
        };
        Duration::from_secs_f64(slots.max(tokens).min(1e6))
    }

    /// Starts queued requests that may start, and refuses those that can't be answered in time.
    /// Returns both.
    pub fn tick(&mut self, random_bits: u64, now: Time) -> Vec<Released> {
        let mut out = self.refuse_late(random_bits, now);
        while let Some((request, class)) = self.pop_ready(now) {
            let id = request.id;
            self.start(request, class, now);
            out.push(Released { id, outcome: Outcome::Run });
        }
        out
    }

    fn refuse_late(&mut self, random_bits: u64, now: Time) -> Vec<Released> {
        let is_late = |r: &Queued| now.after(r.first_token) > r.deadline;
        let mut late = self.interactive.extract(is_late);
        late.extend(self.batch.extract(is_late));
        let delay = self.drain_time();
        let mut out = Vec::with_capacity(late.len());
        for (i, request) in (0_u64..).zip(late) {
            self.usage.ended(&request.team);
            let retry_at = jitter(delay, derive(random_bits, i), now);
            let refusal = Refusal { reason: Reason::Late, retry_at };
            out.push(Released { id: request.id, outcome: Outcome::Refuse(refusal) });
        }
        out
    }

    /// Expected time until the queue is empty.
    fn drain_time(&self) -> Duration {
        let rounds = self.queued() as f64 / f64::from(self.capacity.max(1));
        Duration::from_secs_f64((rounds * self.slot_time).min(MAX_RETRY_DELAY.as_secs_f64()))
    }

    /// Takes the next queued request that may start.
    fn pop_ready(&mut self, now: Time) -> Option<(Queued, Class)> {
        let ready = |c| self.has_slot(c) && self.queue(c).is_ready(|t| self.may_start(t, now));
        let (interactive, batch) = (ready(Class::Interactive), ready(Class::Batch));
        let class = match (interactive, batch) {
            (true, true) if self.interactive_starts >= INTERACTIVE_PER_BATCH => Class::Batch,
            (true, _) => Class::Interactive,
            (false, true) => Class::Batch,
            (false, false) => return None,
        };
        let (usage, headroom, prefill_rate) = (&self.usage, self.headroom, self.prefill_rate);
        let may = |t: &Name| headroom > 0 || usage.excess_secs(t, prefill_rate, now) == 0.0;
        let queue = match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        };
        queue.pop(may).map(|request| (request, class))
    }

    /// Whether there is headroom, or the team uses less than its share.
    fn may_start(&self, team: &Name, now: Time) -> bool {
        self.headroom > 0 || self.usage.excess_secs(team, self.prefill_rate, now) == 0.0
    }

    /// Records that a running request ended, whatever its outcome.
    pub fn done(&mut self, id: RequestId, now: Time) {
        let Ok(at) = self.running.binary_search_by_key(&id, |r| r.id) else { return };
        let run = self.running.remove(at);
        let held = now.since(run.since).as_secs_f64();
        self.slot_time += (held - self.slot_time) * SLOT_TIME_ALPHA;
        self.batch_running -= u32::from(run.class == Class::Batch);
        self.usage.ended(&run.team);
    }

    /// Removes a queued or running request whose caller cancelled it.
    pub fn cancel(&mut self, id: RequestId, now: Time) {
        let queued = self.interactive.remove(id).or_else(|| self.batch.remove(id));
        match queued {
            Some(request) => self.usage.ended(&request.team),
            None => self.done(id, now),
        }
    }

    fn start(&mut self, request: Queued, class: Class, now: Time) {
        assert!(self.has_slot(class), "a request starts without a free slot");
        match class {
            Class::Interactive => self.interactive_starts += 1,
            Class::Batch => self.interactive_starts = 0,
        }
        self.batch_running += u32::from(class == Class::Batch);
        self.headroom = self.headroom.saturating_sub(request.prefill_tokens.max(1));
        self.usage.started(&request.team, request.prefill_tokens, now);
        let at = self.running.partition_point(|r| r.id < request.id);
        self.running.insert(at, Running { id: request.id, team: request.team, class, since: now });
    }

    fn has_slot(&self, class: Class) -> bool {
        let reserve = self.capacity / RESERVE_DIVISOR;
        let has_slot = self.running.len() < self.capacity as usize;
        match class {
            Class::Interactive => has_slot,
            Class::Batch => has_slot && self.batch_running < self.capacity - reserve,
        }
    }

    fn contains_id(&self, id: RequestId) -> bool {
        self.running.binary_search_by_key(&id, |r| r.id).is_ok()
            || self.interactive.contains(id)
            || self.batch.contains(id)
    }

    fn queue(&self, class: Class) -> &TurnQueue<Queued> {
        match class {
            Class::Interactive => &self.interactive,
            Class::Batch => &self.batch,
        }
    }

    fn queue_mut(&mut self, class: Class) -> &mut TurnQueue<Queued> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }
}

/// Returns a random time from `delay` to twice `delay` after `now`, so that callers do not all
/// retry at the same time.
fn jitter(delay: Duration, random_bits: u64, now: Time) -> Time {
    let delay = delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let share = (random_bits >> 40) as f64 / (1_u64 << 24) as f64;
    now.after(delay + delay.mul_f64(share))
}

/// Derives the random number of the `i`th of several refusals from one random number.
fn derive(random_bits: u64, i: u64) -> u64 {
    (random_bits ^ i.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
