//! The queues of requests that wait for capacity.
//!
//! A target has queues where its requests have different effective priorities. Requests that need the
//! same thing, a model, and headroom in an engine's memory or none, are in one queue. Capacity shows
//! only when a request is tried, so each queue gives one request at a time a turn. Events of other
//! instances reach the first request by its fallback timer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use admit::{FairLevels, QueueBounds, RejectReason, Rejection, Rounds, Ticket, WaitQueue, Waiting};
use fleet::{Config, Route, Team};
use ident::Time;
use parking_lot::Mutex;
use place::{Headroom, Prompt};
use tokio::sync::Notify;
use tracing::info;

use crate::{
    answer::Refusal,
    core::{Core, Settings},
    forward::{BUSY_RETRY_DELAY, Forwarder, MAX_LIMITED_WAIT, MIN_TIME_LEFT},
    placement::load,
    protocol::RequestMeta,
    spot::Spot,
};

/// Requests of more urgent levels that may start before a waiting one of a level, see the comparison in
/// the design note.
const MAX_PASSES: u32 = 16;
/// Interval at which a request that is not the first checks whether its queue is stuck.
pub(crate) const FALLBACK_INTERVAL: Duration = Duration::from_millis(250);
/// Waiting requests may hold one part in this many of the memory for bodies, and of the connections.
/// The rest is for requests that are being read and answered.
const QUEUE_DIVISOR: usize = 2;
/// Queues from which on those without requests are dropped. Callers name the models, so there may be
/// any number of kinds.
const MAX_IDLE_QUEUES: usize = 64;
/// Highest level that metrics tell from others.
const MAX_LABEL: u8 = 9;

/// What a waiting request needs. Capacity for one request of a kind is capacity for all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Kind {
    target: Arc<str>,
    model: Option<Arc<str>>,
    /// Whether it needs headroom in an engine's memory.
    headroom: bool,
}

#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) notify: Arc<Notify>,
    route: Arc<str>,
    team: Option<Arc<str>>,
    /// Set once the request had to leave a full queue.
    pub(crate) evicted: Option<Rejection>,
}

/// Invariant: `waiters` has the queued requests and those that were evicted and have not seen it.
#[derive(Debug)]
pub(crate) struct TargetQueue {
    kind: Kind,
    pub(crate) rounds: Rounds,
    pub(crate) waiters: Vec<Waiter>,
}

/// Invariant: `levels` holds the levels of targets by the configuration with revision `rev`.
#[derive(Debug, Default)]
pub(crate) struct State {
    rev: u64,
    /// Targets with the effective priorities of their requests, in ascending order.
    levels: Vec<(Arc<str>, Arc<[u8]>)>,
    queues: Vec<TargetQueue>,
}

/// The queues of an instance.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    pub(crate) state: Mutex<State>,
    /// Number of waiters.
    pub(crate) waiting: AtomicUsize,
}

impl Kind {
    fn new(target: &Arc<str>, prompt: Option<&Prompt>) -> Self {
        let (target, model) = (target.clone(), prompt.map(|p| p.model.clone()));
        Self { target, model, headroom: prompt.is_some() && load(prompt).needs_headroom() }
    }
}

/// Time from which a request goes to any replica, with headroom or not.
fn free_at(route: &Route, prompt: Option<&Prompt>, start: Time, deadline: Time) -> Time {
    match prompt.filter(|_| load(prompt).needs_headroom()) {
        Some(_) => start.after(Headroom::longest_wait(route.goal, deadline.since(start))),
        None => Time::NEVER,
    }
}

/// What a new request without a body needs and how long it may wait.
fn waiting(
    route: &Route,
    team: Option<&Team>,
    prompt: Option<&Prompt>,
    start: Time,
    deadline: Time,
) -> Waiting {
    let shared = prompt.map_or(0, Prompt::shared_tokens);
    Waiting {
        level: effective_priority(route, team),
        team: team.map_or_else(|| "".into(), |t| t.name.clone()),
        arrived: start,
        goal: start.after(route.goal),
        deadline,
        free_at: free_at(route, prompt, start, deadline),
        work: load(prompt).work(shared).max(MIN_TIME_LEFT),
        is_begun: false,
        bytes: 0,
    }
}

/// Rejects a request before its body is read, if it would be rejected by the queues of all targets of
/// its route. `bytes` is the length of its body, 0 if it is not known.
pub(crate) fn check_arrival(
    core: &Core,
    (route, team): (&Route, Option<&Team>),
    meta: &RequestMeta,
    (start, deadline): (Time, Time),
    bytes: usize,
) -> Result<(), Refusal> {
    if core.queues.waiting.load(Ordering::Relaxed) == 0 {
        return Ok(());
    }
    let prompt = meta.prompt.as_ref().filter(|_| route.sticky);
    let request = Waiting { bytes, ..waiting(route, team, prompt, start, deadline) };
    let mut rejected = None;
    for share in &route.shares {
        let kind = Kind::new(&share.target, prompt);
        let mut state = core.queues.state.lock();
        let queue = state.queue_mut(&kind).map(|q| q.rounds.queue());
        match queue.filter(|q| q.must_wait(&request)).map(|q| q.check(&request, core.now())) {
            Some(Err(rejection)) => rejected = Some((kind, rejection)),
            _ => return Ok(()),
        }
    }
    let Some((kind, rejection)) = rejected else { return Ok(()) };
    Err(reject(core, (&*meta.id, deadline), &kind, request.level, rejection))
}

/// The effective priority of a request: the team's, else the route's.
pub(crate) fn effective_priority(route: &Route, team: Option<&Team>) -> u8 {
    team.and_then(|t| t.priority).unwrap_or(route.priority)
}

/// The effective priorities that requests to a target may have, in ascending order.
fn target_levels(config: &Config, target: &str) -> Vec<u8> {
    let has_plain_team = config.teams.iter().any(|t| t.priority.is_none());
    let routes = || config.routes.iter().filter(|r| r.shares.iter().any(|s| *s.target == *target));
    let plain = routes().filter(|r| has_plain_team || r.public || !config.requires_key);
    let teams = config.teams.iter().filter_map(|t| t.priority);
    let any_route = routes().next().is_some();
    let mut out: Vec<u8> = plain.map(|r| r.priority).chain(teams.filter(|_| any_route)).collect();
    out.sort_unstable();
    out.dedup();
    out
}

impl TargetQueue {
    pub(crate) fn notify(&self, ticket: Option<Ticket>) {
        let woken = self.waiters.iter().find(|w| Some(w.ticket) == ticket);
        woken.inspect(|w| w.notify.notify_one());
    }
}

impl State {
    /// Applies a configuration that is newer than the known one.
    pub(crate) fn sync(&mut self, config: &Config, now: Time) {
        if config.rev <= self.rev {
            return;
        }
        self.rev = config.rev;
        self.levels.clear();
        for TargetQueue { rounds, waiters, .. } in &mut self.queues {
            let level = |ticket| {
                let waiter = waiters.iter().find(|w| w.ticket == ticket)?;
                let route = config.routes.iter().find(|r| r.name == waiter.route)?;
                let team = config.teams.iter().find(|t| Some(&t.name) == waiter.team.as_ref());
                Some(effective_priority(route, team))
            };
            rounds.queue_mut().relevel(level, now);
        }
    }

    fn levels(&mut self, config: &Config, target: &Arc<str>, now: Time) -> Arc<[u8]> {
        self.sync(config, now);
        if let Some((_, levels)) = self.levels.iter().find(|(name, _)| name == target) {
            return levels.clone();
        }
        let levels: Arc<[u8]> = target_levels(config, target).into();
        self.levels.push((target.clone(), levels.clone()));
        levels
    }

    pub(crate) fn queue_mut(&mut self, kind: &Kind) -> Option<&mut TargetQueue> {
        self.queues.iter_mut().find(|q| q.kind == *kind)
    }

    fn queue_or_new(&mut self, kind: &Kind, settings: &Settings) -> &mut TargetQueue {
        let at = self.queues.iter().position(|q| q.kind == *kind).unwrap_or_else(|| {
            if self.queues.len() >= MAX_IDLE_QUEUES {
                self.queues.retain(|q| !q.waiters.is_empty());
            }
            let bounds = QueueBounds {
                entries: settings.bounds.callers / QUEUE_DIVISOR,
                bytes: settings.bounds.bodies / QUEUE_DIVISOR,
            };
            let queue = WaitQueue::new(Box::new(FairLevels { max_passes: MAX_PASSES }), bounds);
            let (kind, rounds) = (kind.clone(), Rounds::new(queue));
            self.queues.push(TargetQueue { kind, rounds, waiters: Vec::new() });
            self.queues.len() - 1
        });
        &mut self.queues[at]
    }
}

/// The value of `level` in metrics.
pub(crate) fn label(level: u8) -> u8 {
    level.min(MAX_LABEL)
}

impl Forwarder {
    fn kind(&self) -> Kind {
        Kind::new(&self.target, self.job.prompt())
    }

    /// Waits for capacity in the target's queue, or for `pause` where it has none.
    pub(crate) async fn wait(
        &self,
        spot: &mut Option<Spot>,
        pause: Duration,
    ) -> Result<(), Refusal> {
        if pause.is_zero() {
            // The state changed during the try. A queued request keeps its turn.
            tokio::time::sleep(pause).await;
            return Ok(());
        }
        match spot {
            Some(spot) => spot.failed(pause),
            None => *spot = self.join(pause, true)?,
        }
        if spot.is_none() {
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Queues a request before its first try, if others of its kind precede it. Returns an error if it
    /// can't be answered before its deadline, or its queue is full.
    pub(crate) fn join_behind(&self) -> Result<Option<Spot>, Refusal> {
        if self.core.queues.waiting.load(Ordering::Relaxed) == 0 {
            return Ok(None);
        }
        self.join(Duration::ZERO, false)
    }

    /// Queues a request that found no capacity; one may be free after `pause`. Returns `None` if its
    /// target has no queues, or the request may be tried at once.
    pub(crate) fn join(&self, pause: Duration, was_tried: bool) -> Result<Option<Spot>, Refusal> {
        let (core, job) = (&self.core, &self.job);
        let snapshot = core.view.snapshot();
        let Some(config) = &snapshot.config else { return Ok(None) };
        let now = core.now();
        let kind = self.kind();
        let mut state = core.queues.state.lock();
        if state.levels(config, &kind.target, now).len() < 2 {
            return Ok(None);
        }
        let request = self.waiting();
        let (level, free_at) = (request.level, request.free_at);
        let queue = state.queue_or_new(&kind, &core.settings);
        if !was_tried && !queue.rounds.queue().must_wait(&request) {
            return Ok(None);
        }
        if let Err(rejection) = queue.rounds.queue().check(&request, now) {
            drop(state);
            if self.possible_runs() > 0 {
                // It may have run, so it is not rejected but checks for capacity by itself.
                return Ok(None);
            }
            return Err(reject(core, (&*job.meta.id, job.deadline), &kind, level, rejection));
        }
        let (ticket, evicted) = queue.rounds.push(request, now);
        if let Some(evicted) = evicted {
            queue.evict(evicted, now);
        }
        let notify = Arc::new(Notify::new());
        queue.waiters.push(Waiter {
            ticket,
            notify: notify.clone(),
            route: job.route.name.clone(),
            team: job.team.as_ref().map(|t| t.name.clone()),
            evicted: None,
        });
        let is_first = queue.rounds.is_first(ticket, now);
        core.queues.waiting.fetch_add(1, Ordering::Relaxed);
        drop(state);
        let limited_at =
            if kind.headroom { Time::NEVER } else { job.start.after(MAX_LIMITED_WAIT) };
        let pause = if is_first { pause } else { pause.max(FALLBACK_INTERVAL) };
        Ok(Some(Spot {
            core: core.clone(),
            kind,
            ticket,
            notify,
            level,
            since: now,
            free_at,
            try_at: free_at.min(limited_at),
            retry_at: now.after(pause),
            starts: false,
        }))
    }

    /// What the queue knows of the request.
    fn waiting(&self) -> Waiting {
        let job = &self.job;
        Waiting {
            is_begun: !self.tried.is_empty(),
            bytes: job.body.len(),
            ..waiting(&job.route, job.team.as_ref(), job.prompt(), job.start, job.deadline)
        }
    }

    /// The request's priority at an engine, 0 first; `None` without a prompt.
    pub(crate) fn engine_priority(&self) -> Option<u8> {
        let (core, job) = (&self.core, &self.job);
        job.prompt()?;
        let snapshot = core.view.snapshot();
        let mut state = core.queues.state.lock();
        let levels = match &snapshot.config {
            Some(config) => state.levels(config, &self.target, core.now()),
            None => Arc::default(),
        };
        let level = effective_priority(&job.route, job.team.as_ref());
        job.priority(levels.partition_point(|l| *l < level), levels.len())
    }

    /// Records that the request starts without having been queued.
    pub(crate) fn start_unqueued(&self) {
        if self.core.queues.waiting.load(Ordering::Relaxed) > 0
            && let Some(queue) = self.core.queues.state.lock().queue_mut(&self.kind())
        {
            let level = effective_priority(&self.job.route, self.job.team.as_ref());
            queue.rounds.queue_mut().passed(level);
        }
    }

    /// Time after which the caller of a rejected request should retry: later for less urgent levels.
    /// No capacity is expected before `least`.
    pub(crate) fn retry_delay(&self, least: Duration) -> Duration {
        let level = effective_priority(&self.job.route, self.job.team.as_ref());
        retry_delay(&self.core, &self.kind(), level, least)
    }
}

impl TargetQueue {
    fn evict(&mut self, ticket: Ticket, now: Time) {
        let next = self.rounds.remove(ticket, false, now);
        self.notify(next);
        let queued = self.rounds.queue().len();
        if let Some(waiter) = self.waiters.iter_mut().find(|w| w.ticket == ticket) {
            let (reason, wait) = (RejectReason::Full, Duration::ZERO);
            waiter.evicted = Some(Rejection { reason, wait, queued });
            waiter.notify.notify_one();
        }
    }
}

fn retry_delay(core: &Core, kind: &Kind, level: u8, least: Duration) -> Duration {
    let snapshot = core.view.snapshot();
    let Some(config) = &snapshot.config else { return least };
    let now = core.now();
    let mut state = core.queues.state.lock();
    let levels = state.levels(config, &kind.target, now);
    if levels.len() < 2 {
        return least;
    }
    let rank = levels.partition_point(|l| *l < level);
    let queue = state.queue_or_new(kind, &core.settings).rounds.queue();
    queue.retry_delay((level, rank), least, rand::random(), now)
}

pub(crate) fn reject(
    core: &Core,
    (id, deadline): (&str, Time),
    kind: &Kind,
    level: u8,
    rejection: Rejection,
) -> Refusal {
    let reason = rejection.reason.name();
    let retry_delay = retry_delay(core, kind, level, BUSY_RETRY_DELAY);
    core.metrics.rejections.with_label_values(&[&*label(level).to_string(), reason]).inc();
    info!(
        request = id,
        target = &*kind.target,
        level,
        reason,
        wait_ms = rejection.wait.as_millis() as u64,
        left_ms = deadline.since(core.now()).as_millis() as u64,
        queued = rejection.queued,
        retry_ms = retry_delay.as_millis() as u64,
        "request rejected by the queue"
    );
    let why = match rejection.reason {
        RejectReason::Full => "too many requests wait for capacity",
        RejectReason::Deadline => "no capacity is expected before its deadline",
    };
    Refusal::NotRun { why, retry_delay }
}

impl Queues {
    /// Gives waiting requests a turn, after a request of this instance ended at a replica.
    pub(crate) fn wake(&self, now: Time) {
        if self.waiting.load(Ordering::Relaxed) == 0 {
            return;
        }
        for queue in self.state.lock().queues.iter_mut().filter(|q| !q.waiters.is_empty()) {
            let next = queue.rounds.wake(now);
            queue.notify(next);
        }
    }
}
