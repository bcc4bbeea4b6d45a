//! The queue of one target at one instance.
//!
//! It handles loads of up to a few times a target's capacity. Each of up to 110 instances sees a
//! hundredth of the requests and knows the target's capacity only by trying: the queue says which
//! request is to be tried next, and learns its pace from the starts. An event costs time
//! proportional to the number of teams and to the requests that are tried, not to all that wait.

use std::{sync::Arc, time::Duration};

use ident::Time;

use crate::{
    Policy, Waiting,
    pace::Pace,
    turn_queue::{Item, TurnQueue},
};

/// Work that a team may start in each turn, in microseconds: that of a long prompt, so that teams
/// with long prompts take turns with each other and not with many short prompts of another team.
const QUANTUM_MICROS: u64 = 200_000;
/// Time by which callers of a level retry later than those of the next more urgent one where the pace
/// is not known.
const RETRY_STEP: Duration = Duration::from_millis(400);
/// A request may be answered in this part of its expected work: replicas of one deployment are up to
/// 1.7 times as fast as those of another.
const WORK_MARGIN: u32 = 2;
/// Longest retry delay, before the spread.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Shortest time between two looks at all requests for those that have become late. A sixth of the
/// shortest goals; with one look per late request, a long queue costs a small instance its processor.
const REKEY_INTERVAL: Duration = Duration::from_millis(50);

/// Identifies a request in a [`WaitQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Why a request does not wait any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The queue is full, and the request is the last in the order.
    Full,
    /// It can't be answered before its deadline.
    Deadline,
}

impl RejectReason {
    /// The reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Deadline => "deadline",
        }
    }
}

/// A rejection, with the figures behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Reason of the rejection.
    pub reason: RejectReason,
    /// Expected wait; zero if it is not known.
    pub wait: Duration,
    /// Requests in the queue.
    pub queued: usize,
}

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueBounds {
    /// Most requests.
    pub entries: usize,
    /// Most bytes of bodies.
    pub bytes: usize,
}

#[derive(Debug)]
struct Entry {
    ticket: Ticket,
    key: u64,
    team: Arc<str>,
    request: Waiting,
}

impl Item for Entry {
    type Id = Ticket;
    type Team = Arc<str>;

    fn id(&self) -> Ticket {
        self.ticket
    }

    fn team(&self) -> &Arc<str> {
        &self.team
    }

    fn key(&self) -> u64 {
        self.key
    }

    fn work(&self) -> u64 {
        self.request.work.as_micros() as u64
    }
}

/// The waiting requests of one level.
#[derive(Debug)]
struct Level {
    level: u8,
    /// Requests of which a part of the work is done.
    begun: TurnQueue<Entry>,
    new: TurnQueue<Entry>,
    /// Work of all requests of the level.
    work: Duration,
    /// Requests of more urgent levels that started since the last start of this one.
    passes: u32,
}

impl Level {
    fn new(level: u8) -> Self {
        let queue = || TurnQueue::new(QUANTUM_MICROS);
        Self { level, begun: queue(), new: queue(), work: Duration::ZERO, passes: 0 }
    }

    fn len(&self) -> usize {
        self.begun.len() + self.new.len()
    }

    fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.begun.iter().chain(self.new.iter())
    }
}

/// The requests that wait for capacity of one target, in the order of a [`Policy`].
///
/// Invariants: `levels` is sorted by level, and none is empty. `len` and `bytes` are the sums over
/// all requests. With `n` levels and the policy's bound `m`, at most `m + n - 2` requests of other
/// levels start between the moment at which a level has requests and its next start.
#[derive(Debug)]
pub struct WaitQueue {
    policy: Box<dyn Policy>,
    bounds: QueueBounds,
    levels: Vec<Level>,
    len: usize,
    bytes: usize,
    pace: Pace,
    next_ticket: u64,
    /// Earliest time at which a request becomes late and its key changes.
    next_late: Time,
    /// Time before which keys are not looked at again.
    next_rekey: Time,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new(policy: Box<dyn Policy>, bounds: QueueBounds) -> Self {
        Self {
            policy,
            bounds,
            levels: Vec::new(),
            len: 0,
            bytes: 0,
            pace: Pace::default(),
            next_ticket: 0,
            next_late: Time::NEVER,
            next_rekey: Time(0),
        }
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether a new request is queued behind others: a request of its or a more urgent level waits, or
    /// one that was passed over as often as the policy allows. Begun requests don't count, since they
    /// may wait for a replica that new ones don't need.
    pub fn must_wait(&self, request: &Waiting) -> bool {
        let level = self.policy.level(request);
        let is_ahead = |l: &Level| l.level <= level || l.passes >= self.policy.max_passes();
        self.levels.iter().any(|l| l.new.len() > 0 && is_ahead(l))
    }

    /// Whether a request would be rejected on arrival.
    pub fn check(&self, request: &Waiting, now: Time) -> Result<(), Rejection> {
        let rejection = |reason, wait| Rejection { reason, wait, queued: self.len };
        let level = self.policy.level(request);
        if self.policy.sheds() {
            let wait = self.least_wait(level, now).unwrap_or_default();
            let wait = wait.min(request.free_at.since(now));
            if now.after(wait).after(request.work / WORK_MARGIN) > request.deadline {
                return Err(rejection(RejectReason::Deadline, wait));
            }
        }
        let is_full = self.len >= self.bounds.entries
            || self.bytes.saturating_add(request.bytes) > self.bounds.bytes;
        let is_last = self.levels.last().is_none_or(|l| l.level <= level);
        if is_full && is_last {
            return Err(rejection(RejectReason::Full, self.wait(level, now).unwrap_or_default()));
        }
        Ok(())
    }

    /// Shortest likely wait of a request that is queued now: for the work of more urgent levels and of
    /// its own.
    fn least_wait(&self, level: u8, now: Time) -> Option<Duration> {
        self.pace.least_time_for(self.work_to(level), now)
    }

    /// Expected wait of a request of `level` that is queued now; `None` if the pace is not known.
    pub fn wait(&self, level: u8, now: Time) -> Option<Duration> {
        self.pace.time_for(self.work_to(level), now)
    }

    /// Work of the waiting requests of `level` and of more urgent levels.
    fn work_to(&self, level: u8) -> Duration {
        self.levels.iter().take_while(|l| l.level <= level).map(|l| l.work).sum()
    }

    /// Time until a rejected caller of `level` should retry, spread over half as much again: once
    /// this and all more urgent levels have started what waits now, and not before `least`, until
    /// which no capacity is expected. `rank` is the number of more urgent levels of the target, and
    /// `random_bits` a new random number.
    pub fn retry_delay(
        &self,
        (level, rank): (u8, usize),
        least: Duration,
        random_bits: u64,
        now: Time,
    ) -> Duration {
        let wait = self.wait(level, now).unwrap_or_default().min(MAX_RETRY_DELAY);
        let delay = wait.max(least + RETRY_STEP * rank as u32);
        let share = (random_bits >> 40) as f64 / (1_u64 << 24) as f64;
        delay + wait.max(RETRY_STEP).mul_f64(share / 2.0)
    }

    /// Queues a request. Returns its ticket, and the ticket of the last request in the order if that
    /// has to leave a full queue.
    pub fn push(&mut self, request: Waiting, now: Time) -> (Ticket, Option<Ticket>) {
        if self.len == 0 {
            self.pace.begin(now);
        }
        let is_full = self.len >= self.bounds.entries
            || self.bytes.saturating_add(request.bytes) > self.bounds.bytes;
        let last = self.levels.last().filter(|_| is_full);
        let key = |e: &&Entry| (!e.request.is_begun, e.key, e.ticket);
        let evicted = last.and_then(|l| l.iter().max_by_key(key)).map(|e| e.ticket);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.insert(ticket, request, now);
        (ticket, evicted)
    }

    fn insert(&mut self, ticket: Ticket, request: Waiting, now: Time) {
        let (number, turns) = (self.policy.level(&request), self.policy.takes_turns());
        let is_late = request.late_at().passed(now);
        if !is_late {
            self.next_late = self.next_late.min(request.late_at());
        }
        let key = self.policy.key(&request, is_late);
        let team = if turns { request.team.clone() } else { "".into() };
        self.len += 1;
        self.bytes += request.bytes;
        let at = self.levels.partition_point(|l| l.level < number);
        if self.levels.get(at).is_none_or(|l| l.level != number) {
            self.levels.insert(at, Level::new(number));
        }
        let level = &mut self.levels[at];
        level.work += request.work;
        let queue = if turns && request.is_begun { &mut level.begun } else { &mut level.new };
        queue.push(Entry { ticket, key, team, request });
    }

    /// The requests to be tried next, in this order, `max` at most. The first one is also the first
    /// in the order of the policy.
    pub fn next(&mut self, max: usize, now: Time) -> Vec<Ticket> {
        if self.next_late.max(self.next_rekey).passed(now) {
            self.next_rekey = now.after(REKEY_INTERVAL);
            self.rekey(now);
        }
        let mut out = Vec::with_capacity(max.min(self.len));
        let due = self.due();
        let order = due.into_iter().chain((0..self.levels.len()).filter(|at| Some(*at) != due));
        for at in order {
            let Level { begun, new, .. } = &mut self.levels[at];
            begun.next(max - out.len(), &mut out);
            new.next(max - out.len(), &mut out);
        }
        out
    }

    /// The level that was passed over most, if the policy allows no more.
    fn due(&self) -> Option<usize> {
        let levels = self.levels.iter().enumerate();
        let due = levels.filter(|(_, l)| l.passes >= self.policy.max_passes());
        due.max_by_key(|(at, l)| (l.passes, std::cmp::Reverse(*at))).map(|(at, _)| at)
    }

    /// Removes a request that starts. Returns false if it is not queued.
    pub fn start(&mut self, ticket: Ticket, now: Time) -> bool {
        let Some(at) = self.find(ticket) else { return false };
        let level = &mut self.levels[at];
        let number = level.level;
        let entry = level.begun.start(ticket).or_else(|| level.new.start(ticket));
        let entry = entry.expect("the level has the request");
        level.passes = 0;
        self.pace.started(entry.request.work, now);
        self.removed(at, &entry);
        self.passed(number);
        true
    }

    /// Records that a request of `level` starts without having been queued.
    pub fn passed(&mut self, level: u8) {
        let less_urgent = self.levels.iter_mut().filter(|l| l.level > level);
        less_urgent.for_each(|l| l.passes = l.passes.saturating_add(1));
    }

    /// Removes a request that does not start. Returns false if it is not queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(at) = self.find(ticket) else { return false };
        let level = &mut self.levels[at];
        let entry = level.begun.remove(ticket).or_else(|| level.new.remove(ticket));
        self.removed(at, &entry.expect("the level has the request"));
        true
    }

    fn removed(&mut self, at: usize, entry: &Entry) {
        let level = &mut self.levels[at];
        level.work = level.work.saturating_sub(entry.request.work);
        if level.len() == 0 {
            self.levels.remove(at);
        }
        self.len -= 1;
        self.bytes -= entry.request.bytes;
    }

    /// Sets the levels of all requests anew, after the configuration changed priorities. `level`
    /// returns the level of a request by its ticket.
    pub fn relevel<F>(&mut self, level: F, now: Time)
    where
        F: Fn(Ticket) -> Option<u8>,
    {
        let mut old = std::mem::take(&mut self.levels);
        (self.len, self.bytes, self.next_late) = (0, 0, Time::NEVER);
        for queue in old.iter_mut().flat_map(|l| [&mut l.begun, &mut l.new]) {
            for mut entry in queue.extract(|_| true) {
                entry.request.level = level(entry.ticket).unwrap_or(entry.request.level);
                self.insert(entry.ticket, entry.request, now);
            }
        }
        for level in &mut self.levels {
            let known = old.iter().find(|l| l.level == level.level);
            level.passes = known.map_or(0, |l| l.passes);
        }
    }

    /// Sorts the requests anew, after some have become late.
    fn rekey(&mut self, now: Time) {
        let policy = &*self.policy;
        self.next_late = Time::NEVER;
        for queue in self.levels.iter_mut().flat_map(|l| [&mut l.begun, &mut l.new]) {
            queue.rekey(|e| {
                let is_late = e.request.late_at().passed(now);
                e.key = policy.key(&e.request, is_late);
                if !is_late {
                    self.next_late = self.next_late.min(e.request.late_at());
                }
            });
        }
    }

    fn find(&self, ticket: Ticket) -> Option<usize> {
        let has = |l: &Level| l.begun.contains(ticket) || l.new.contains(ticket);
        self.levels.iter().position(has)
    }
}
