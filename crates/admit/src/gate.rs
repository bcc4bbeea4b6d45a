//! The gate: what may run now, what waits and what is refused.

use std::time::Duration;

use ident::{Class, Name, RequestId, Time};

use crate::{
    Share,
    lane::{Item, Lane},
    usage::Usage,
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
    /// Prompt tokens expected to be computed.
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

/// Admission at one instance. Call [`Gate::tick`] after each `done`, `cancel` and
/// `set_capacity`, and now and then besides, so that late requests are given up early.
///
/// Invariants: `running` is sorted by id; no request starts while `capacity` or more are running,
/// nor, while no room is left, one of a team that uses more than its part; batch requests never
/// start into the reserved places.
#[derive(Debug)]
pub struct Gate {
    capacity: u32,
    /// Requests queued at most, whatever the capacity.
    queue: usize,
    running: Vec<Running>,
    batch_running: u32,
    interactive: Lane,
    batch: Lane,
    /// Interactive starts since the last batch start.
    turns: u32,
    usage: Usage,
    /// Mean time a request holds its place, in seconds.
    hold: f64,
    /// Prompt tokens that may still be started before the next call of [`Gate::set_room`].
    room: u64,
    /// Prompt tokens per second that this instance can expect to be computed.
    rate: u64,
}

impl Gate {
    /// A gate for `capacity` requests at once.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity,
            queue: usize::MAX,
            running: Vec::new(),
            batch_running: 0,
            interactive: Lane::default(),
            batch: Lane::default(),
            turns: 0,
            usage: Usage::default(),
            hold: FIRST_HOLD.as_secs_f64(),
            room: u64::MAX,
            rate: u64::MAX,
        }
    }

    /// Sets how many requests may run at once; running ones go on.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Sets how many requests may be queued at most, below the multiple of the capacity that is
    /// always the limit; queued ones stay.
    pub fn set_queue(&mut self, queue: usize) {
        self.queue = queue;
    }

    /// Sets how many prompt tokens the replicas can take now, and how many per second this instance
    /// can expect to be computed. Without a call there is no such limit. While there is no room,
    /// only teams below their part of the rate start requests: a team's part goes by its limit.
    pub fn set_room(&mut self, tokens: u64, rate: u64) {
        self.room = tokens;
        self.rate = rate.max(1);
    }

    /// Requests that may run at once.
    pub fn capacity(&self) -> u32 {
        self.capacity
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
        let team = self.usage.team(&offer.team, offer.limits.rate, now);
        team.bucket.take();
        team.inflight += 1;
        assert!(team.inflight <= offer.limits.inflight, "the team's limit holds");
        let Offer { id, team, deadline, service, class, .. } = offer;
        let item = Item { id, team, deadline, cost: u64::from(offer.cost), service };
        if self.is_first(&item.team, class, now) {
            self.start(item, class, now);
            return Verdict::Run;
        }
        self.lane_mut(class).push(item);
        Verdict::Wait
    }

    /// Why the offer is refused, and how long its reason lasts.
    fn check(&mut self, offer: &Offer, now: Time) -> Result<(), (Reason, Duration)> {
        if self.knows(offer.id) {
            return Err((Reason::Duplicate, MIN_PAUSE));
        }
        let hold = Duration::from_secs_f64(self.hold);
        let wait = self.wait(offer, now);
        let is_full = self.is_full(&offer.team);
        let team = self.usage.team(&offer.team, offer.limits.rate, now);
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

    /// Whether the queue is full for `team`. Beyond the limit a team may still queue its even part,
    /// so that no team can fill the queue for the others.
    fn is_full(&self, team: &Name) -> bool {
        let limit = (self.capacity as usize * QUEUE_FACTOR).min(self.queue);
        let teams = self.interactive.teams().max(self.batch.teams()).max(1);
        let own = self.interactive.len_of(team) + self.batch.len_of(team);
        self.queued() >= limit && own >= limit / teams
    }

    /// Whether a new request would start before all that are queued in its class: none is, or those
    /// that are wait for their team's turn alone.
    fn is_first(&self, team: &Name, class: Class, now: Time) -> bool {
        let lane = self.lane(class);
        let may = |t: &Name| self.may_start(t, now);
        self.has_place(class) && may(team) && lane.len_of(team) == 0 && !lane.is_ready(may)
    }

    /// Expected time until a request offered now would start.
    fn wait(&self, offer: &Offer, now: Time) -> Duration {
        let (team, class) = (&offer.team, offer.class);
        if self.is_first(team, class, now) {
            return Duration::ZERO;
        }
        let ahead = self.lane(class).ahead(team, offer.deadline);
        let count = ahead.count as f64;
        let between = match class {
            Class::Interactive => {
                (count / f64::from(INTERACTIVE_TURNS)).min(self.batch.len() as f64)
            }
            Class::Batch => self.interactive.len() as f64,
        };
        let places = match self.has_place(class) {
            true => 0.0,
            false => (count + between + 1.0) / f64::from(self.capacity.max(1)) * self.hold,
        };
        let tokens = match self.room {
            0 => {
                let part = self.usage.part(team, self.rate).max(1.0);
                ahead.cost as f64 / part + self.usage.excess(team, self.rate, now)
            }
            _ => 0.0,
        };
        Duration::from_secs_f64(places.max(tokens).min(1e6))
    }

    /// Starts what may start and gives up what can't be answered in time.
    pub fn tick(&mut self, draw: u64, now: Time) -> Vec<Released> {
        let mut out = self.give_up(draw, now);
        while let Some((item, class)) = self.next(now) {
            let id = item.id;
            self.start(item, class, now);
            out.push(Released { id, outcome: Outcome::Run });
        }
        out
    }

    fn give_up(&mut self, draw: u64, now: Time) -> Vec<Released> {
        let mut late = self.interactive.expire(now);
        late.extend(self.batch.expire(now));
        let pause = self.drain_time();
        let mut out = Vec::with_capacity(late.len());
        for (i, item) in (0_u64..).zip(late) {
            self.usage.left(&item.team);
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

    /// Takes the next queued request that may start.
    fn next(&mut self, now: Time) -> Option<(Item, Class)> {
        let ready = |c| self.has_place(c) && self.lane(c).is_ready(|t| self.may_start(t, now));
        let (interactive, batch) = (ready(Class::Interactive), ready(Class::Batch));
        let class = match (interactive, batch) {
            (true, true) if self.turns >= INTERACTIVE_TURNS => Class::Batch,
            (true, _) => Class::Interactive,
            (false, true) => Class::Batch,
            (false, false) => return None,
        };
        let (usage, room, rate) = (&self.usage, self.room, self.rate);
        let may = |t: &Name| room > 0 || usage.excess(t, rate, now) == 0.0;
        let lane = match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        };
        lane.pop(may).map(|item| (item, class))
    }

    /// Whether there is room, or the team uses less than its part.
    fn may_start(&self, team: &Name, now: Time) -> bool {
        self.room > 0 || self.usage.excess(team, self.rate, now) == 0.0
    }

    /// A running request ended, whatever its outcome.
    pub fn done(&mut self, id: RequestId, now: Time) {
        let Ok(at) = self.running.binary_search_by_key(&id, |r| r.id) else { return };
        let run = self.running.remove(at);
        let held = now.since(run.since).as_secs_f64();
        self.hold += (held - self.hold) * HOLD_GAIN;
        self.batch_running -= u32::from(run.class == Class::Batch);
        self.usage.left(&run.team);
    }

    /// The caller of a request went away, queued or running.
    pub fn cancel(&mut self, id: RequestId, now: Time) {
        let queued = self.interactive.remove(id).or_else(|| self.batch.remove(id));
        match queued {
            Some(item) => self.usage.left(&item.team),
            None => self.done(id, now),
        }
    }

    fn start(&mut self, item: Item, class: Class, now: Time) {
        assert!(self.has_place(class), "no request starts beyond the capacity");
        match class {
            Class::Interactive => self.turns += 1,
            Class::Batch => self.turns = 0,
        }
        self.batch_running += u32::from(class == Class::Batch);
        self.room = self.room.saturating_sub(item.cost.max(1));
        self.usage.started(&item.team, item.cost, now);
        let at = self.running.partition_point(|r| r.id < item.id);
        self.running.insert(at, Running { id: item.id, team: item.team, class, since: now });
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
