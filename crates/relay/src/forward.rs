//! Forwards a request to a replica, retries where that is allowed, and passes the answer on.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use blame::{Admission, SuspectKey, Suspects};
use bytes::Bytes;
use fleet::{Replica, RequestKind, Route, Snapshot};
use hyper::{HeaderMap, Response, header::CONTENT_TYPE};
use ident::Time;
use origin::{Origin, Record};
use place::{Choice, Outcome, PlacementError};
use tracing::info;

use crate::{
    answer::{Body, Refusal},
    core::Core,
    detour, ends,
    job::Job,
    origins,
    permits::{self, ColdPermit},
    relay, retries,
    send::{AttemptOutcome, ReplicaAnswer},
    spot::Spot,
    verdicts, versions,
    whole::{MAX_BUFFERED_BYTES, Start, content_length, read_start, whole_answer},
};

/// Shortest time left for which a request is still sent.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(30);
/// Pause between two checks for a replica with free capacity.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Longest wait for the end of a replica's cooldown.
const MAX_COOLDOWN_WAIT: Duration = Duration::from_millis(120);
/// Shortest pause before another look at replicas that are excluded or at their limits.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// Age from which a request does not wait for replicas that are at their limits.
pub(crate) const MAX_LIMITED_WAIT: Duration = Duration::from_millis(250);
/// Most attempts of one request, refused ones included.
const MAX_ATTEMPTS: usize = 5;
/// Why a request is not sent again.
pub(crate) const BUDGET_USED_UP: &str = "the budget of repeats is used up";
/// Delay after which callers should retry where all replicas are full or loading weights.
pub(crate) const BUSY_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Shortest delay after which callers should retry where the replicas are at their limits.
const MIN_LIMITED_DELAY: Duration = Duration::from_millis(30);
/// Delay after which callers should retry while their request, or a part of it, is being tried.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Delay after which callers should retry where a target has no replica.
const NO_REPLICA_RETRY_DELAY: Duration = Duration::from_millis(800);

/// The same where all its replicas are in evacuated zones. Their return has no set time.
const EVACUATED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// An attempt that may be made: its replica, and the state on which the choice is based.
pub(crate) struct Attempt {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) choice: Choice,
    /// The permit for the request if the replica is cold.
    pub(crate) cold: Option<ColdPermit>,
}

/// What can be done next for a request without an answer.
pub(crate) enum Step {
    Send(Attempt),
    /// All replicas are full or excluded; one may be usable after the pause.
    Wait(Duration),
    /// No attempt is allowed or possible any more.
    Stop {
        why: &'static str,
        retry_delay: Duration,
    },
    /// No replica of the target is reached from here, and a peer reaches some.
    Detour,
    /// Replicas ended under the request, or under a part of its prompt.
    Bar {
        what: &'static str,
        retry_delay: Duration,
    },
}

/// Why no answer of a replica comes.
#[derive(Debug)]
pub(crate) enum Stopped {
    /// The request is refused.
    Refused(Refusal),
    /// It must go through a peer.
    CutOff,
}

impl From<Refusal> for Stopped {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// At which replicas a stream may go on: what two versions of their software write doesn't fit
/// together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Pin {
    /// At all, before its first event.
    Free,
    /// At those with this version.
    Software(Arc<str>),
    /// At none, since the version that began it is not known.
    Nowhere,
}

/// Forwards one request and keeps the record of its attempts.
pub(crate) struct Forwarder {
    pub(crate) core: Arc<Core>,
    pub(crate) job: Arc<Job>,
    pub(crate) target: Arc<str>,
    /// Replicas chosen for an attempt so far, also where nothing could be sent. They are not chosen
    /// again.
    pub(crate) tried: Vec<Arc<str>>,
    /// What replicas may end under: the prompt's shared parts, and the request.
    pub(crate) suspects: Suspects,
    /// At which replicas the request's stream may go on.
    pub(crate) pin: Pin,
    /// Whether the next attempt is a trial of something under which replicas ended.
    is_trial: bool,
    /// Number of replicas that may have run the request.
    possible_runs: u32,
    /// Number of attempts that reached a replica or may have.
    arrivals: u32,
    /// Selects the candidates of the next choice.
    pub(crate) tie_breaker: u64,
    /// When the trackers of engines were last asked.
    pub(crate) asked_at: Time,
}

impl Forwarder {
    pub(crate) fn new(core: Arc<Core>, job: Arc<Job>) -> Self {
        let target = job.target(rand::random());
        let suspects = job.suspects();
        let (possible_runs, arrivals) = (0, 0);
        let (tried, is_trial) = (Vec::new(), false);
        Self {
            core,
            job,
            target,
            tried,
            suspects,
            pin: Pin::Free,
            is_trial,
            possible_runs,
            arrivals,
            tie_breaker: rand::random(),
            asked_at: Time(0),
        }
    }

    /// Makes attempts until an answer begins or no further attempt is allowed. `last` is the event
    /// after which a stream is resumed.
    pub(crate) async fn send_until_answered(
        &mut self,
        last: Option<u64>,
    ) -> Result<ReplicaAnswer, Stopped> {
        self.try_trial().await;
        let mut spot = self.join_behind()?;
        loop {
            if let Some(spot) = &mut spot {
                spot.turn(self).await?;
            }
            self.refresh_work().await;
            let attempt = match self.next_step() {
                Step::Send(attempt) => {
                    spot.take().map_or_else(|| self.start_unqueued(), Spot::start);
                    attempt
                }
                Step::Wait(pause) => {
                    self.wait(&mut spot, pause).await?;
                    continue;
                }
                Step::Detour => return Err(Stopped::CutOff),
                Step::Stop { why, retry_delay } => {
                    return Err(self.refusal(why, retry_delay).into());
                }
                Step::Bar { .. } if self.possible_runs > 0 => return Err(Refusal::Lost.into()),
                Step::Bar { what, retry_delay } => {
                    return Err(Refusal::Barred { what, retry_delay }.into());
                }
            };
            match self.attempt(attempt, last).await {
                AttemptOutcome::Answered(answer) if self.should_retry(&answer) => {
                    self.count_outcome("failed", &answer.replica.id);
                }
                AttemptOutcome::Answered(answer) => return Ok(*answer),
                AttemptOutcome::Lost if !self.job.route.repeatable() => {
                    return Err(Refusal::Lost.into());
                }
                AttemptOutcome::NotRun | AttemptOutcome::Unsent | AttemptOutcome::Lost => {}
            }
        }
    }

    /// Pins a stream that its caller takes up to the target and the software that began it.
    async fn pin_to_origin(&mut self) -> Result<(), Refusal> {
        let refuse = |why| Err(Refusal::NotRun { why, retry_delay: NO_REPLICA_RETRY_DELAY });
        let Some(first) = self.job.meta.resumes.clone() else {
            let only = versions::only_version(&self.core, &self.job, &self.target).await;
            self.pin = only.map_or(Pin::Nowhere, Pin::Software);
            return match self.pin {
                Pin::Nowhere => refuse("it names no stream that it takes up; begin it anew"),
                _ => Ok(()),
            };
        };
        match origins::find(&self.core, &self.job, &first).await {
            Some(Record::Begun(origin)) => {
                if !self.job.route.shares.iter().any(|s| s.target == origin.target) {
                    return refuse("the stream began at another target; begin it anew");
                }
                self.target = origin.target;
                self.pin = Pin::Software(origin.software);
                Ok(())
            }
            Some(Record::Ambiguous) => refuse("several streams began under the id; begin it anew"),
            None => refuse("it is not known where the stream began; begin it anew"),
        }
    }

    /// Pins the request's stream to the software of the replica that wrote its first event, unless it
    /// is pinned, and tells peers.
    pub(crate) fn pin_to(&mut self, replica: &Replica) {
        if self.pin != Pin::Free {
            return;
        }
        let Some(software) = replica.software.clone() else {
            self.pin = Pin::Nowhere;
            return;
        };
        self.pin = Pin::Software(software.clone());
        let origin = Origin { target: self.target.clone(), software };
        origins::begun(&self.core, &self.job, origin);
    }

    /// Makes one attempt and counts it. `last` is the event after which a stream is resumed.
    pub(crate) async fn attempt(&mut self, attempt: Attempt, last: Option<u64>) -> AttemptOutcome {
        let outcome = self.send(attempt, last).await;
        self.asked_at = Time(0);
        let (arrivals, runs) = match &outcome {
            AttemptOutcome::Answered(_) | AttemptOutcome::Lost => (1, 1),
            AttemptOutcome::NotRun => (1, 0),
            AttemptOutcome::Unsent => (0, 0),
        };
        self.arrivals += arrivals;
        self.possible_runs += runs;
        self.job.in_doubt.store(self.possible_runs > 0, Ordering::Relaxed);
        // A trial is one arrival.
        self.is_trial &= arrivals == 0;
        outcome
    }

    /// Whether the request may be sent now, as far as replicas ended under it.
    pub(crate) fn may_send(&self) -> bool {
        self.is_trial || self.admission() == Admission::Free
    }

    fn admission(&self) -> Admission {
        self.core.blame.lock().admit(&self.suspects, self.core.now())
    }

    /// Takes the trial of what replicas ended under, if one is due.
    async fn try_trial(&mut self) {
        if let Admission::Trial { suspect, number } = self.admission() {
            self.is_trial = verdicts::take_trial(&self.core, suspect, number).await;
            if self.is_trial {
                info!(request = &*self.job.meta.id, number, "request sent as a trial");
            }
        }
    }

    /// Refuses the request if replicas ended under it, or under a part of its prompt.
    fn check_suspects(&self, now: Time) -> Option<Step> {
        let admission = if self.is_trial { Admission::Free } else { self.admission() };
        let (suspect, until) = match admission {
            Admission::Free => return None,
            // Another request has taken the trial, or the table does not answer.
            Admission::Trial { suspect, .. } => (suspect, now.after(TRIAL_RETRY_DELAY)),
            Admission::Barred { suspect, ends, since, until } => {
                let at = self.suspects.iter().position(|s| *s == suspect);
                let prompt = self.job.meta.prompt.as_ref();
                let part = at.and_then(|at| prompt?.shared().get(at));
                info!(
                    request = &*self.job.meta.id,
                    digest = %self.job.digest,
                    part = part.map(|p| &*p.id),
                    ends,
                    age_ms = now.since(since).as_millis() as u64,
                    runs = self.possible_runs,
                    "request refused, replicas ended under it"
                );
                (suspect, until)
            }
        };
        let what = match suspect {
            SuspectKey::Part(_) => "a part of this prompt",
            SuspectKey::Request(_) => "this request",
        };
        Some(Step::Bar { what, retry_delay: until.since(now) })
    }

    /// Chooses the replica for the next attempt and takes the attempt from the retry budget, or
    /// returns why no attempt can be made now.
    pub(crate) fn next_step(&mut self) -> Step {
        let stop = |why, retry_delay| Step::Stop { why, retry_delay };
        let now = self.core.now();
        if self.job.time_left(now) < MIN_TIME_LEFT {
            return stop("the time is over", BUSY_RETRY_DELAY);
        }
        let may_run = self.possible_runs < self.job.route.attempts;
        if let Some(step) = self.check_suspects(now).filter(|_| may_run) {
            return step;
        }
        if may_run && self.must_detour() {
            return Step::Detour;
        }
        if !may_run || self.tried.len() >= MAX_ATTEMPTS {
            return stop("all allowed replicas refused", BUSY_RETRY_DELAY);
        }
        if self.pin == Pin::Nowhere {
            return stop("the version that began the stream is not known", NO_REPLICA_RETRY_DELAY);
        }
        let snapshot = self.core.view.snapshot();
        let choice = match self.choose(&snapshot, now) {
            Ok(choice) => choice,
            Err(PlacementError::Limited { until }) => {
                let wait = until.since(now);
                let is_short = wait <= MAX_COOLDOWN_WAIT
                    && now.since(self.job.start) < MAX_LIMITED_WAIT
                    && self.job.time_left(now) >= wait + MIN_TIME_LEFT;
                if is_short {
                    return Step::Wait(wait.max(MIN_WAIT));
                }
                return stop("the replicas are at their limits", wait.max(MIN_LIMITED_DELAY));
            }
            Err(PlacementError::Declined { until }) => {
                return stop("all replicas turn requests away for now", until.since(now));
            }
            Err(PlacementError::NoReplica) => {
                let why = match self.pin {
                    Pin::Free => "the target has no replica",
                    _ => "no replica has the version that began the stream",
                };
                return stop(why, NO_REPLICA_RETRY_DELAY);
            }
            Err(PlacementError::Evacuated) => {
                return stop("all replicas are in evacuated zones", EVACUATED_RETRY_DELAY);
            }
            Err(PlacementError::Overloaded) => return Step::Wait(CAPACITY_CHECK_INTERVAL),
            // The last replica may have been found unreachable since the check above.
            Err(PlacementError::Excluded { .. }) if self.must_detour() => return Step::Detour,
            Err(PlacementError::Excluded { until }) => {
                let wait = until.since(now);
                if wait > MAX_COOLDOWN_WAIT || self.job.time_left(now) < wait + MIN_TIME_LEFT {
                    return stop("no replica is usable now", BUSY_RETRY_DELAY);
                }
                return Step::Wait(wait.max(MIN_WAIT));
            }
        };
        if self.pin != Pin::Free && ends::has_ended(&self.core, &choice.replica) {
            // Its entry is still there, and another incarnation may listen at its address.
            self.tried.push(choice.replica.id.clone());
            return Step::Wait(Duration::ZERO);
        }
        let Some(cold) = permits::take(&self.core, &choice.replica.id, now) else {
            // Another request has taken it since the choice.
            return Step::Wait(Duration::ZERO);
        };
        if !self.within_budget(now) {
            return stop(BUDGET_USED_UP, BUSY_RETRY_DELAY);
        }
        self.tried.push(choice.replica.id.clone());
        Step::Send(Attempt { snapshot, choice, cold })
    }

    /// Whether only a peer reaches replicas of the target.
    fn must_detour(&self) -> bool {
        !self.job.is_detour && detour::is_needed(&self.core, &self.target)
    }

    /// Sends the request on to a peer.
    async fn send_on(&self) -> Result<Response<Body>, Refusal> {
        detour::send(self, self.possible_runs, self.arrivals > 0).await
    }

    /// Whether to retry at another replica after a replica answered with a server error.
    fn should_retry(&self, answer: &ReplicaAnswer) -> bool {
        let attempts_left =
            self.possible_runs < self.job.route.attempts && self.tried.len() < MAX_ATTEMPTS;
        answer.status.is_server_error() && self.job.route.repeatable() && attempts_left
    }

    /// The refusal for a request that is not sent any more.
    fn refusal(&self, why: &'static str, retry_delay: Duration) -> Refusal {
        if self.possible_runs == 0 {
            return Refusal::NotRun { why, retry_delay: self.retry_delay(retry_delay) };
        }
        // The caller's error does not tell the reason once the request may have run.
        info!(
            request = &*self.job.meta.id,
            runs = self.possible_runs,
            arrivals = self.arrivals,
            sends = self.tried.len(),
            why,
            "no further attempt"
        );
        let late = self.job.time_left(self.core.now()) < MIN_TIME_LEFT;
        if late { Refusal::TimedOut } else { Refusal::Lost }
    }

    /// Takes the next attempt from the retry budget, unless it is the first one.
    fn within_budget(&self, now: Time) -> bool {
        if self.arrivals > 0 {
            return retries::take(&self.core, &self.target, &self.job.meta.id, now);
        }
        if self.tried.is_empty() {
            let age = now.since(self.job.start);
            self.core.metrics.first_attempt.observe(age.as_secs_f64());
        }
        true
    }

    /// Number of replicas that may have run the request.
    pub(crate) fn possible_runs(&self) -> u32 {
        self.possible_runs
    }
}

/// Forwards a request and returns the answer for the caller, in any case before the process ends.
pub(crate) async fn forward(core: Arc<Core>, job: Arc<Job>) -> Result<Response<Body>, Refusal> {
    tokio::select! {
        answer = forward_in_time(core.clone(), job.clone()) => answer,
        () = core.ending() => {
            let in_doubt = job.in_doubt.load(Ordering::Relaxed);
            Err(if in_doubt { Refusal::Lost } else { Refusal::STOPPING })
        }
    }
}

async fn forward_in_time(core: Arc<Core>, job: Arc<Job>) -> Result<Response<Body>, Refusal> {
    let mut forwarder = Forwarder::new(core.clone(), job.clone());
    if job.route.resumable && job.meta.last_event.is_some() {
        forwarder.pin_to_origin().await?;
    }
    // What a peer sends on counts there.
    if !job.is_detour {
        retries::note_request(&core, &forwarder.target, &job);
    }
    loop {
        let mut answer = match forwarder.send_until_answered(None).await {
            Ok(answer) => answer,
            Err(Stopped::Refused(refusal)) => return Err(refusal),
            Err(Stopped::CutOff) => return forwarder.send_on().await,
        };
        let first = core.now().since(job.start);
        core.metrics.first_byte.observe(first.as_secs_f64());
        let streamed = answer.status.is_success() && is_stream(&job.route, &answer.headers);
        if streamed || content_length(&answer.headers).is_some_and(|n| n > MAX_BUFFERED_BYTES) {
            return Ok(relay::relay_answer(forwarder, answer, Bytes::new(), streamed));
        }
        match read_start(&mut answer, job.time_left(core.now())).await {
            Some(Start::Whole(bytes)) => return Ok(whole_answer(&core, &job, answer, bytes)),
            Some(Start::Part(bytes)) => {
                return Ok(relay::relay_answer(forwarder, answer, bytes, false));
            }
            None => answer.flight.lost(),
        }
        core.pool.lock().record_outcome(&answer.replica.id, Outcome::NoAnswer, core.now());
        if !job.route.repeatable() || forwarder.possible_runs() >= job.route.attempts {
            return Err(Refusal::Lost);
        }
        let status = answer.status.as_u16();
        info!(request = &*job.meta.id, status, outcome = "cut", "answer truncated");
    }
}

/// Whether an answer is an event stream. Without a content type, the kind of its route decides.
pub(crate) fn is_stream(route: &Route, headers: &HeaderMap) -> bool {
    match headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok()) {
        Some(text) => {
            let essence = text.split(';').next().unwrap_or_default();
            essence.trim().eq_ignore_ascii_case("text/event-stream")
        }
        None => route.kind == RequestKind::Streaming,
    }
}
