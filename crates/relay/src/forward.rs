//! Sends a request to a replica, once more where that is allowed, and passes on the answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::Snapshot;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE},
};
use ident::Time;
use place::{Ask, Choice, Denied, Outcome, Plan, Room, Source, Transfer, Work, salt};
use tokio::time::timeout;
use tracing::info;

use crate::{
    answer::{Body, Refusal, full},
    conns::{Conn, SendError},
    core::Core,
    dialect::{Marks, Reply},
    job::Job,
    relay,
};

/// Least time left for which a request is still sent.
const MIN_LEFT: Duration = Duration::from_millis(30);
/// Pause between two looks for a replica with room.
const ROOM_PAUSE: Duration = Duration::from_millis(15);
/// Share of the time in which an answer is on time during which a request waits for ample room.
const AMPLE_SHARE: f64 = 0.25;
/// The same for any room, as a multiple: a late answer is worth less, but a request that is sent to
/// a full engine delays all others there.
const TIGHT_SHARE: f64 = 2.5;
/// Share of a request's whole time that it waits for room at most.
const WAIT_SHARE: f64 = 0.4;
/// Silence that tells something about a replica; a client may have less time.
const SILENCE_TERM: Duration = Duration::from_secs(1);
/// Longest wait for a replica that is left alone for now.
const MAX_WAIT: Duration = Duration::from_millis(120);
/// Sends of one request, those included that were refused.
const MAX_SENDS: usize = 5;
/// Longest answer that is read whole before it is passed on, in bytes.
const WHOLE_ANSWER: u64 = 256 * 1024;
/// When to come back where all replicas are full or loading.
const BUSY_PAUSE: Duration = Duration::from_millis(400);
/// When to come back where a target has no replica.
const EMPTY_PAUSE: Duration = Duration::from_millis(800);

/// What a request counts for at a replica, until it is dropped.
pub(crate) struct Load {
    core: Arc<Core>,
    replica: Arc<str>,
    work: Work,
}

impl Load {
    fn new(core: &Arc<Core>, replica: &Arc<str>, work: Work) -> Self {
        core.pool.lock().begin(replica, work);
        Self { core: core.clone(), replica: replica.clone(), work }
    }

    /// The prompt is read.
    pub(crate) fn begun(&mut self) {
        let read = Work { reading: self.work.reading, memory: 0, runs: 0 };
        self.work.reading = 0;
        self.core.pool.lock().release(&self.replica, read);
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.core.pool.lock().release(&self.replica, self.work);
    }
}

/// A replica's answer whose head was read and believed.
pub(crate) struct Begun {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) conn: Conn,
    pub(crate) load: Load,
    pub(crate) replica: Arc<str>,
}

/// How one send ended.
enum Sent {
    /// With an answer to pass on.
    Begun(Box<Begun>),
    /// The request did not run.
    NotRun,
    /// No connection: nothing arrived.
    Unsent,
    /// It may have run.
    Lost,
}

/// A request on its way through the replicas.
pub(crate) struct Course {
    pub(crate) core: Arc<Core>,
    pub(crate) job: Arc<Job>,
    target: Arc<str>,
    /// Replicas it was sent to.
    tried: Vec<Arc<str>>,
    /// Replicas that may have run it.
    ran: u32,
    /// Times it arrived at a replica or may have.
    arrived: u32,
}

impl Course {
    pub(crate) fn new(core: Arc<Core>, job: Arc<Job>) -> Self {
        let target = job.target(rand::random());
        Self { core, job, target, tried: Vec::new(), ran: 0, arrived: 0 }
    }

    /// Sends the request until an answer begins or it is given up. `last` is the event after which
    /// a stream goes on.
    pub(crate) async fn begin(&mut self, last: Option<u64>) -> Result<Begun, Refusal> {
        loop {
            let now = self.core.now();
            if self.job.left(now) < MIN_LEFT {
                return Err(self.given_up("the time is over", BUSY_PAUSE));
            }
            if self.ran >= self.job.route.attempts || self.tried.len() >= MAX_SENDS {
                return Err(self.given_up("all allowed replicas refused", BUSY_PAUSE));
            }
            let snapshot = self.core.view.get();
            let choice = match self.choose(&snapshot, now) {
                Ok(choice) => choice,
                Err(Denied::Empty) => {
                    return Err(self.given_up("the target has no replica", EMPTY_PAUSE));
                }
                Err(Denied::Crowded) => {
                    tokio::time::sleep(ROOM_PAUSE).await;
                    continue;
                }
                Err(Denied::Unusable { until }) => {
                    let wait = until.since(now);
                    if wait > MAX_WAIT || self.job.left(now) < wait + MIN_LEFT {
                        return Err(self.given_up("no replica is usable now", BUSY_PAUSE));
                    }
                    tokio::time::sleep(wait.max(Duration::from_millis(5))).await;
                    continue;
                }
            };
            if !self.allowed(&snapshot, now) {
                return Err(self.given_up("the budget of repeats is used up", BUSY_PAUSE));
            }
            let replica = choice.replica.id.clone();
            self.tried.push(replica.clone());
            match self.send(&snapshot, choice, last).await {
                Sent::Begun(begun) if self.repeats(&begun) => {
                    (self.ran, self.arrived) = (self.ran + 1, self.arrived + 1);
                    self.note("failed", &replica);
                }
                Sent::Begun(begun) => {
                    (self.ran, self.arrived) = (self.ran + 1, self.arrived + 1);
                    return Ok(*begun);
                }
                Sent::NotRun => self.arrived += 1,
                Sent::Unsent => {}
                Sent::Lost => {
                    (self.ran, self.arrived) = (self.ran + 1, self.arrived + 1);
                    if !self.job.route.repeatable() {
                        return Err(Refusal::Lost);
                    }
                }
            }
        }
    }

    /// Whether a failure of the replica's own is worth another replica.
    fn repeats(&self, begun: &Begun) -> bool {
        let more = self.ran + 1 < self.job.route.attempts && self.tried.len() < MAX_SENDS;
        begun.status.is_server_error() && self.job.route.repeatable() && more
    }

    /// The end of a request that is not sent any more.
    fn given_up(&self, why: &'static str, pause: Duration) -> Refusal {
        if self.ran == 0 {
            return Refusal::NotRun { why, pause };
        }
        let late = self.job.left(self.core.now()) < MIN_LEFT;
        if late { Refusal::Late } else { Refusal::Lost }
    }

    fn allowed(&self, snapshot: &Snapshot, now: Time) -> bool {
        let mut budgets = self.core.budgets.lock();
        let budget = budgets.of(&self.target);
        if self.arrived == 0 {
            if self.tried.is_empty() {
                budget.first(now);
            }
            return true;
        }
        let sharers = f64::from(self.core.sharers(snapshot));
        budget.repeat(self.core.settings.bounds.extra * EXTRA_SHARE / sharers, now)
    }

    fn choose(&self, snapshot: &Snapshot, now: Time) -> Result<Choice, Denied> {
        let setup = snapshot.setup.as_ref();
        let engine = setup.and_then(|s| s.target(&self.target)).and_then(|t| t.engine.as_ref());
        let prompt = self.job.prompt();
        let newest = |model: &str| snapshot.wanted(model).map_or(1, |w| w.version);
        let ask = Ask {
            target: &self.target,
            context: prompt.and_then(|p| p.context()).map(|c| &*c.id),
            work: self.work(),
            shared: prompt.map_or(0, |p| p.shared_tokens()),
            model: prompt.map(|p| (&*p.model, newest(&p.model))),
            floor: self.job.floor(&self.core, snapshot, now),
            room: self.room(now),
            zone: &self.core.settings.zone,
            tried: &self.tried,
            engine,
            draw: rand::random(),
        };
        self.core.pool.lock().choose(&ask, now)
    }

    /// How crowded a replica may be: the longer the request has waited, the more.
    fn room(&self, now: Time) -> Room {
        let (goal, waited) = (self.job.route.goal, now.since(self.job.start));
        // Whoever has little time is offered to a replica all the same.
        let most = self.job.deadline.since(self.job.start).mul_f64(WAIT_SHARE);
        match waited {
            w if w < goal.mul_f64(AMPLE_SHARE).min(most) => Room::Ample,
            w if w < goal.mul_f64(TIGHT_SHARE).min(most) => Room::Tight,
            _ => Room::Any,
        }
    }

    fn work(&self) -> Work {
        match self.job.prompt() {
            Some(p) => Work { reading: p.input, memory: p.input + p.output, runs: 1 },
            None => Work { reading: 0, memory: 0, runs: 1 },
        }
    }

    /// What moves for the prompt's shared parts, where the weights are known.
    fn plan(&self, choice: &Choice, salt: &Arc<str>, now: Time) -> Option<Plan> {
        let prompt = self.job.prompt()?;
        let snapshot = self.core.view.get();
        let wanted = snapshot.wanted(&prompt.model);
        let newest = wanted.map_or(0, |w| w.version);
        let recent = wanted.is_some_and(|w| now.since(w.learnt) < OLD_STORE_TERM);
        let stores_usable = now.since(snapshot.age.weights) < STORE_AGE
            && (choice.version.is_some_and(|v| v >= newest) || recent);
        let mut shelves = self.core.shelves.lock();
        let usable = shelves.iter_mut().filter(|_| stores_usable);
        let mut stores: Vec<_> = usable.map(|s| (s.store.clone(), &mut s.catalog)).collect();
        let home = choice.home.as_ref().map(|r| r.addr);
        let plan = Plan::new(prompt, salt, home, &mut stores, now);
        for (part, moved) in prompt.shared().iter().zip(&plan.parts) {
            let source = match moved.fetch {
                None if choice.home.is_none() => "home",
                None => "read",
                Some(Source { tokens: None, .. }) => "replica",
                Some(_) => "store",
            };
            self.core.metrics.tokens.with_label_values(&[source]).inc_by(part.tokens);
        }
        Some(plan)
    }

    async fn send(&self, snapshot: &Snapshot, choice: Choice, last: Option<u64>) -> Sent {
        let (core, job) = (&self.core, &self.job);
        let now = core.now();
        let replica = &choice.replica;
        let model = job.prompt().map(|p| p.model.clone());
        let salt = model.zip(choice.version).map(|(m, v)| salt(&m, v, job.wall()));
        let plan = salt.as_ref().and_then(|s| self.plan(&choice, s, now));
        let shared = job.prompt().map_or(0, |p| p.shared_tokens());
        let spared = choice.home.is_none() || plan.as_ref().is_some_and(Plan::fetches);
        let mut work = self.work();
        work.reading -= if spared { shared.min(work.reading) } else { 0 };
        let marks = Marks {
            left: job.left(now),
            replica: &replica.id,
            team: job.team.as_ref().map(|t| &*t.name),
            salt: salt.as_deref(),
            version: choice.version,
            rank: job.rank(),
            plan: plan.as_ref(),
            last: last.or(job.told.last),
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = job.headers.clone();
        core.outside.dialect.mark(request.headers_mut(), &marks);
        let load = Load::new(core, &replica.id, work);
        self.log_sent(&choice, plan.as_ref(), marks.left, snapshot);
        let most = self.most(snapshot);
        let sent = core.conns.send(&replica.id, replica.addr, most, request, now);
        match timeout(job.left(now), sent).await {
            Ok(Ok((response, conn))) => self.believe(response, conn, load, &choice),
            Ok(Err(SendError::Connect(why))) => {
                core.pool.lock().unreachable(&replica.id, core.now());
                self.log_send("unreachable", &choice, &why);
                Sent::Unsent
            }
            Ok(Err(SendError::Crowded)) => {
                core.pool.lock().outcome(&replica.id, Outcome::Full, core.now());
                self.note("crowded", &replica.id);
                Sent::Unsent
            }
            Ok(Err(SendError::Broken(why))) => {
                core.pool.lock().outcome(&replica.id, Outcome::Silent, core.now());
                self.log_send("broken", &choice, &why);
                Sent::Lost
            }
            Err(_) => {
                if marks.left >= SILENCE_TERM {
                    core.pool.lock().outcome(&replica.id, Outcome::Silent, core.now());
                }
                self.log_send("silent", &choice, "no answer in time");
                Sent::Lost
            }
        }
    }

    /// One line for each send: what decided it, and how old that knowledge was.
    fn log_sent(&self, choice: &Choice, plan: Option<&Plan>, left: Duration, known: &Snapshot) {
        let now = self.core.now();
        let source = |part: &Transfer| match (part.fetch, part.save) {
            (Some(Source { tokens: Some(_), .. }), _) => 's',
            (Some(_), _) => 'r',
            (None, Some(_)) => 'w',
            (None, None) => '-',
        };
        let moved: String = plan.iter().flat_map(|p| p.parts.iter().map(source)).collect();
        info!(
            request = &*self.job.told.id,
            replica = &*choice.replica.id,
            home = choice.home.as_ref().map(|h| &*h.id),
            version = choice.version,
            send = self.tried.len(),
            delay_ms = choice.delay as u64,
            left_ms = left.as_millis() as u64,
            known_ms = now.since(known.age.replicas).as_millis() as u64,
            reading = choice.work.reading,
            memory = choice.work.memory,
            requests = choice.requests,
            moved,
            context = self.job.prompt().and_then(|p| p.context()).map(|c| &*c.id),
            shared = self.job.prompt().map(|p| p.shared_tokens()),
            "sent"
        );
    }

    /// Connections that this instance may have to one replica.
    fn most(&self, snapshot: &Snapshot) -> u32 {
        let target = snapshot.setup.as_ref().and_then(|s| s.target(&self.target));
        let sharers = self.core.sharers(snapshot);
        target.map_or(u32::MAX, |t| (t.conns / sharers).max(MIN_CONNS))
    }

    /// Judges an answer's head.
    fn believe(
        &self,
        response: Response<Incoming>,
        conn: Conn,
        load: Load,
        choice: &Choice,
    ) -> Sent {
        let (core, job) = (&self.core, &self.job);
        let id = &choice.replica.id;
        let (head, body) = response.into_parts();
        let reply = core.outside.dialect.reply(head.status, &head.headers);
        let now = core.now();
        if let Some(requests) = reply.requests {
            core.pool.lock().reported(id, requests, now);
        }
        let foreign = reply.id.as_ref().is_some_and(|i| *i != job.told.id);
        if foreign || (reply.id.is_none() && !reply.refused) {
            core.pool.lock().outcome(id, Outcome::Failed, now);
            self.log_send("foreign", choice, "the answer belongs to another request");
            return Sent::Lost;
        }
        if reply.refused {
            self.refused(head.status, &reply, choice, now);
            return Sent::NotRun;
        }
        let coded = head.headers.contains_key(CONTENT_ENCODING);
        if !reply.sealed || coded {
            core.pool.lock().outcome(id, Outcome::Failed, now);
            self.log_send("unsealed", choice, head.status.as_str());
            return Sent::Lost;
        }
        if let (Some(version), Some(prompt)) = (reply.version, job.prompt())
            && Some(version) != choice.version
        {
            core.pool.lock().learnt(id, &prompt.model, version);
        }
        let outcome = match head.status.is_server_error() {
            true => Outcome::Failed,
            false => Outcome::Answered,
        };
        core.pool.lock().outcome(id, outcome, now);
        let (status, headers, replica) = (head.status, head.headers, id.clone());
        Sent::Begun(Box::new(Begun { status, headers, body, conn, load, replica }))
    }

    /// Learns from a refusal.
    fn refused(&self, status: StatusCode, reply: &Reply, choice: &Choice, now: Time) {
        let id = &choice.replica.id;
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let other = reply.replica.as_ref().is_some_and(|r| r != id);
        if misdirected && other {
            // Another incarnation has the address: this one is gone.
            self.core.view.mark_leaving(id);
            self.core.depart(id);
            self.core.pool.lock().sync(&self.core.view.get().replicas);
        } else if misdirected {
            self.other_weights(reply, choice);
            self.core.pool.lock().outcome(id, Outcome::Full, now);
        } else {
            self.core.pool.lock().outcome(id, Outcome::Full, now);
        }
        self.log_send("not_run", choice, status.as_str());
    }

    /// The replica has other weights than it registered. Versions only grow, so unless it says
    /// which, it most likely has the newest.
    fn other_weights(&self, reply: &Reply, choice: &Choice) {
        let (Some(prompt), Some(counted)) = (self.job.prompt(), choice.version) else { return };
        let newest = self.core.view.get().wanted(&prompt.model).map_or(0, |w| w.version);
        let version = reply.version.unwrap_or(newest.max(counted + 1));
        self.core.pool.lock().learnt(&choice.replica.id, &prompt.model, version);
    }

    fn note(&self, outcome: &str, replica: &str) {
        self.core.metrics.sends.with_label_values(&[outcome]).inc();
        tracing::debug!(request = &*self.job.told.id, replica, outcome, "send");
    }

    fn log_send(&self, outcome: &str, choice: &Choice, why: &str) {
        self.core.metrics.sends.with_label_values(&[outcome]).inc();
        let age = self.core.now().since(self.core.view.get().age.replicas).as_millis() as u64;
        info!(
            request = &*self.job.told.id,
            replica = &*choice.replica.id,
            version = choice.version,
            known_ms = age,
            outcome,
            why,
            "send"
        );
    }

    /// The number of replicas that may have run the request.
    pub(crate) fn ran(&self) -> u32 {
        self.ran
    }
}

/// How long after newer weights are named the stores still serve those before: until most replicas
/// have the newer ones, reading everything again would take all engines.
const OLD_STORE_TERM: Duration = Duration::from_millis(6500);
/// Stores are used only while the newest weights are known to be no older than this: parts of older
/// ones are freed some time after newer ones are named.
const STORE_AGE: Duration = Duration::from_millis(1200);
/// Share of the fixed allowance of repeats that is used; the rest covers instances that are not
/// known of.
const EXTRA_SHARE: f64 = 0.7;
/// Least number of connections that an instance may have to one replica.
const MIN_CONNS: u32 = 6;

/// Forwards a request and returns the answer to pass on.
pub(crate) async fn forward(core: Arc<Core>, job: Arc<Job>) -> Result<Response<Body>, Refusal> {
    let mut course = Course::new(core.clone(), job.clone());
    loop {
        let begun = course.begin(None).await?;
        let first = core.now().since(job.start);
        core.metrics.first.observe(first.as_secs_f64());
        let streamed = begun.status.is_success() && is_stream(&begun.headers);
        if streamed || length(&begun.headers).is_some_and(|n| n > WHOLE_ANSWER) {
            return Ok(relay::pass_on(course, begun, streamed));
        }
        match whole(&core, &job, begun).await {
            Ok(answer) => return Ok(answer),
            Err(status) if job.route.repeatable() && course.ran() < job.route.attempts => {
                info!(request = &*job.told.id, status, outcome = "cut", "answer");
            }
            Err(_) => return Err(Refusal::Lost),
        }
    }
}

/// Reads an answer to its end before passing it on, so that a cut one never looks complete.
async fn whole(core: &Core, job: &Job, begun: Begun) -> Result<Response<Body>, u16> {
    let Begun { status, mut headers, body, conn, replica, .. } = begun;
    let read = timeout(job.left(core.now()), body.collect()).await;
    let Ok(Ok(read)) = read else {
        core.pool.lock().outcome(&replica, Outcome::Silent, core.now());
        return Err(status.as_u16());
    };
    let bytes: Bytes = read.to_bytes();
    core.conns.keep(conn, &headers, core.now());
    core.outside.dialect.strip_reply(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut out = Response::new(full(bytes));
    *out.status_mut() = status;
    *out.headers_mut() = headers;
    Ok(out)
}

fn is_stream(headers: &HeaderMap) -> bool {
    let text = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    text.is_some_and(|t| t.starts_with("text/event-stream"))
}

fn length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
