//! The gate: what may run now, what waits and what is refused.

use std::time::Duration;

use ident::{Class, Name, RequestId, Time};

use crate::{
    Share,
    bucket::Bucket,
    lane::{Item, Lane},
};

/// Interactive requests started for each batch request while both wait.
const INTERACTIVE_TURNS: u32 = 4;
/// One in this many places is kept free of batch requests.
const RESERVE_DIVISOR: u32 = 8;
/// Requests queued at most, as a multiple of the capacity.
const QUEUE_FACTOR: usize = 4;
/// Time a request holds its place, before any has ended.
const FIRST_HOLD: Duration = Duration::from_secs(2);
/// Weight of a new request in the mean time a place is held.
const HOLD_GAIN: f64 = 0.05;
/// Shortest advice.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest advice before it is spread.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// A request that asks to be admitted.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Its id.
    pub id: RequestId,
    /// Its team.
    pub team: Name,
    /// This instance's share of the team's limits.
    pub limits: Share,
    /// Its urgency.
    pub class: Class,
    /// When a first token is of no more use.
    pub deadline: Time,
    /// Prompt and answer tokens.
    pub cost: u32,
    /// Expected time from its start to its first token.
    pub service: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The team's rate is used up.
    Rate,
    /// The team has as many requests running or queued as it may.
    Inflight,
    /// The queue is full.
    Full,
    /// The deadline can't be met.
    Late,
    /// A request of this id is running or queued.
    Duplicate,
}

/// A request was refused; nothing was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the request was not run ({reason:?}); come back at {retry_at}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_at: Time,
}

/// The answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Run it now, and call [`Gate::done`] at its end.
    Run,
    /// Keep it until [`Gate::tick`] releases it.
    Wait,
    /// Refuse it now.
    Refuse(Refusal),
}

/// What becomes of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Run it now, and call [`Gate::done`] at its end.
    Run,
    /// Refuse it now.
    Refuse(Refusal),
}

/// A request that waits no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Released {
    /// Its id.
    pub id: RequestId,
    /// What becomes of it.
    pub outcome: Outcome,
}

#[derive(Debug)]
struct Running {
    id: RequestId,
    team: Name,
    class: Class,
    since: Time,
}

/// Invariant: `inflight` counts the team's running and queued requests and never exceeds the share
/// given with the offer that raised it.
#[derive(Debug)]
struct TeamUse {
    team: Name,
    bucket: Bucket,
    /// The rate of the team's last offer.
    rate: f64,
    inflight: u32,
}

/// Admission at one instance. Call [`Gate::tick`] after each `done`, `cancel` and
/// `set_capacity`, and now and then besides, so that late requests are given up early.
///
/// Invariants: `running` is sorted by id, `teams` by name; no request starts while `capacity` or
/// more are running; batch requests never start into the reserved places.
#[derive(Debug)]
pub struct Gate {
    capacity: u32,
    running: Vec<Running>,
    batch_running: u32,
    interactive: Lane,
    batch: Lane,
    /// Interactive starts since the last batch start.
    turns: u32,
    teams: Vec<TeamUse>,
    /// Mean time a request holds its place, in seconds.
    hold: f64,
}

impl Gate {
    /// A gate for `capacity` requests at once.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            running: Vec::new(),
            batch_running: 0,
            interactive: Lane::default(),
            batch: Lane::default(),
            turns: 0,
            teams: Vec::new(),
            hold: FIRST_HOLD.as_secs_f64(),
        }
    }

    /// Sets how many requests may run at once; running ones go on.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Requests running.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests queued.
    pub fn queued(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// Admits, queues or refuses a request; `draw` is a fresh random number.
    pub fn offer(&mut self, offer: Offer, draw: u64, now: Time) -> Verdict {
        if let Err((reason, pause)) = self.check(&offer, now) {
            let retry_at = advice(pause, draw, now);
            return Verdict::Refuse(Refusal { reason, retry_at });
        }
        let team = self.team(&offer.team, offer.limits.rate, now);
        team.bucket.take();
        team.inflight += 1;
        assert!(team.inflight <= offer.limits.inflight, "the team's limit holds");
        if self.lane(offer.class).len() == 0 && self.has_place(offer.class) {
            self.start(offer.id, offer.team, offer.class, now);
            return Verdict::Run;
        }
        let Offer { id, team, deadline, service, .. } = offer;
        let item = Item { id, team, deadline, cost: u64::from(offer.cost), service };
        self.lane_mut(offer.class).push(item);
        Verdict::Wait
    }

    /// Why the offer is refused, and how long its reason lasts.
    fn check(&mut self, offer: &Offer, now: Time) -> Result<(), (Reason, Duration)> {
        if self.knows(offer.id) {
            return Err((Reason::Duplicate, MIN_PAUSE));
        }
        let hold = Duration::from_secs_f64(self.hold);
        let wait = self.wait(offer);
        let is_full = self.queued() >= self.capacity as usize * QUEUE_FACTOR;
        let team = self.team(&offer.team, offer.limits.rate, now);
        if team.inflight >= offer.limits.inflight {
            return Err((Reason::Inflight, hold));
        }
        if !team.bucket.has_token(offer.limits.rate, now) {
            let gap = (1.0 / offer.limits.rate.max(1e-6)).min(MAX_PAUSE.as_secs_f64());
            return Err((Reason::Rate, Duration::from_secs_f64(gap)));
        }
        let first = now.after(wait).after(offer.service);
        if first > offer.deadline {
            return Err((Reason::Late, first.since(offer.deadline)));
        }
        if is_full && !self.has_place(offer.class) {
            return Err((Reason::Full, wait.max(hold)));
        }
        Ok(())
    }

    /// Expected time until a request offered now would start.
    fn wait(&self, offer: &Offer) -> Duration {
        let lane = self.lane(offer.class);
        if lane.len() == 0 && self.has_place(offer.class) {
            return Duration::ZERO;
        }
        let ahead = lane.ahead(&offer.team, offer.deadline) as f64;
        let other = match offer.class {
            Class::Interactive => {
                (ahead / f64::from(INTERACTIVE_TURNS)).min(self.batch.len() as f64)
            }
            Class::Batch => self.interactive.len() as f64,
        };
        let rounds = (ahead + other + 1.0) / f64::from(self.capacity.max(1));
        Duration::from_secs_f64((rounds * self.hold).min(1e6))
    }

    /// Starts what may start and gives up what can't be answered in time.
    pub fn tick(&mut self, draw: u64, now: Time) -> Vec<Released> {
        let mut out = self.give_up(draw, now);
        while let Some(class) = self.next_class() {
            let item = self.lane_mut(class).pop().expect("the class has a queued request");
            self.start(item.id, item.team, class, now);
            out.push(Released { id: item.id, outcome: Outcome::Run });
        }
        out
    }

    fn give_up(&mut self, draw: u64, now: Time) -> Vec<Released> {
        let mut late = self.interactive.expire(now);
        late.extend(self.batch.expire(now));
        let pause = self.drain_time();
        let mut out = Vec::with_capacity(late.len());
        for (i, item) in (0_u64..).zip(late) {
            self.leave(&item.team);
            let retry_at = advice(pause, mix(draw, i), now);
            let refusal = Refusal { reason: Reason::Late, retry_at };
            out.push(Released { id: item.id, outcome: Outcome::Refuse(refusal) });
        }
        out
    }

    /// Expected time until the queue is empty.
    fn drain_time(&self) -> Duration {
        let rounds = self.queued() as f64 / f64::from(self.capacity.max(1));
        Duration::from_secs_f64((rounds * self.hold).min(MAX_PAUSE.as_secs_f64()))
    }

    /// The class whose turn it is, if a request of it waits and may start.
    fn next_class(&self) -> Option<Class> {
        let ready = |c| self.lane(c).len() > 0 && self.has_place(c);
        let (interactive, batch) = (ready(Class::Interactive), ready(Class::Batch));
        match (interactive, batch) {
            (true, true) if self.turns >= INTERACTIVE_TURNS => Some(Class::Batch),
            (true, _) => Some(Class::Interactive),
            (false, true) => Some(Class::Batch),
            (false, false) => None,
        }
    }

    /// A running request ended, whatever its outcome.
    pub fn done(&mut self, id: RequestId, now: Time) {
        let Ok(at) = self.running.binary_search_by_key(&id, |r| r.id) else { return };
        let run = self.running.remove(at);
        let held = now.since(run.since).as_secs_f64();
        self.hold += (held - self.hold) * HOLD_GAIN;
        self.batch_running -= u32::from(run.class == Class::Batch);
        self.leave(&run.team);
    }

    /// The caller of a request went away, queued or running.
    pub fn cancel(&mut self, id: RequestId, now: Time) {
        let queued = self.interactive.remove(id).or_else(|| self.batch.remove(id));
        match queued {
            Some(item) => self.leave(&item.team),
            None => self.done(id, now),
        }
    }

    fn start(&mut self, id: RequestId, team: Name, class: Class, now: Time) {
        assert!(self.has_place(class), "no request starts beyond the capacity");
        match class {
            Class::Interactive => self.turns += 1,
            Class::Batch => self.turns = 0,
        }
        self.batch_running += u32::from(class == Class::Batch);
        let at = self.running.partition_point(|r| r.id < id);
        self.running.insert(at, Running { id, team, class, since: now });
    }

    fn has_place(&self, class: Class) -> bool {
        let reserve = self.capacity / RESERVE_DIVISOR;
        let has_place = self.running.len() < self.capacity as usize;
        match class {
            Class::Interactive => has_place,
            Class::Batch => has_place && self.batch_running < self.capacity - reserve,
        }
    }

    fn knows(&self, id: RequestId) -> bool {
        self.running.binary_search_by_key(&id, |r| r.id).is_ok()
            || self.interactive.contains(id)
            || self.batch.contains(id)
    }

    fn leave(&mut self, team: &Name) {
        let at = self.teams.binary_search_by(|t| t.team.cmp(team));
        let at = at.expect("a team with requests is known");
        let team = &mut self.teams[at];
        assert!(team.inflight > 0, "a request leaves once");
        team.inflight -= 1;
    }

    fn team(&mut self, name: &Name, rate: f64, now: Time) -> &mut TeamUse {
        let at = match self.teams.binary_search_by(|t| t.team.cmp(name)) {
            Ok(at) => at,
            Err(_) => self.add_team(name, rate, now),
        };
        self.teams[at].rate = rate;
        &mut self.teams[at]
    }

    /// Adds a team, after forgetting those that are as good as new.
    fn add_team(&mut self, name: &Name, rate: f64, now: Time) -> usize {
        self.teams.retain_mut(|t| t.inflight > 0 || !t.bucket.is_full(t.rate, now));
        let at = self.teams.partition_point(|t| t.team < *name);
        let bucket = Bucket::full(rate, now);
        self.teams.insert(at, TeamUse { team: name.clone(), bucket, rate, inflight: 0 });
        at
    }

    fn lane(&self, class: Class) -> &Lane {
        match class {
            Class::Interactive => &self.interactive,
            Class::Batch => &self.batch,
        }
    }

    fn lane_mut(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }
}

/// A point between one and two pauses away, so that callers do not return together.
fn advice(pause: Duration, draw: u64, now: Time) -> Time {
    let pause = pause.clamp(MIN_PAUSE, MAX_PAUSE);
    let part = (draw >> 40) as f64 / (1_u64 << 24) as f64;
    now.after(pause + pause.mul_f64(part))
}

/// A number for the `i`th of several refusals that share one draw.
fn mix(draw: u64, i: u64) -> u64 {
    (draw ^ i.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
