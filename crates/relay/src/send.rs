//! One send of a request to a replica, and what its answer is worth.

use std::{sync::Arc, time::Duration};

use fleet::Snapshot;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header::CONTENT_ENCODING};
use ident::Time;
use place::{Choice, Outcome, Plan, Source, Transfer, Work, salt};
use tokio::time::timeout;
use tracing::info;

use crate::{
    conns::{Conn, SendError},
    core::Core,
    dialect::{Marks, Reply},
    forward::Course,
};

/// Stores are used only while the newest weights are known to be no older than this: parts of older
/// ones are freed some time after newer ones are named.
const STORE_AGE: Duration = Duration::from_millis(1200);
/// Least number of connections that an instance may have to one replica.
const MIN_CONNS: u32 = 6;
/// A request on older weights that has not begun is given up this long before they are over: what a
/// replica takes to notice that the connection is closed.
const BEGIN_MARGIN: Duration = Duration::from_millis(300);
/// Silence that tells something about a replica; a client may have less time.
const SILENCE_TERM: Duration = Duration::from_secs(1);

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
pub(crate) enum Sent {
    /// With an answer to pass on.
    Begun(Box<Begun>),
    /// The request did not run.
    NotRun,
    /// No connection: nothing arrived.
    Unsent,
    /// It may have run.
    Lost,
}

impl Course {
    /// What moves for the prompt's shared parts, where the weights are known.
    fn plan(&self, choice: &Choice, salt: &Arc<str>, now: Time) -> Option<Plan> {
        let prompt = self.job.prompt()?;
        let snapshot = self.core.view.get();
        let wanted = snapshot.wanted(&prompt.model);
        let newer = wanted.filter(|w| choice.version < Some(w.version));
        // Long ago, where the naming can't be dated: older parts may be freed at any moment.
        let older = newer.map(|w| if w.sure { w.learnt() } else { Time(0) });
        let stores_usable = now.since(snapshot.age.weights) < STORE_AGE;
        let mut shelves = self.core.shelves.lock();
        let usable = shelves.iter_mut().filter(|_| stores_usable);
        let mut stores: Vec<_> = usable.map(|s| (s.store.clone(), &mut s.catalog)).collect();
        let home = choice.home.as_ref().map(|r| r.addr);
        let plan = Plan::new(prompt, salt, home, older, &mut stores, now);
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

    /// Sends the request once.
    pub(crate) async fn send(
        &self,
        snapshot: &Snapshot,
        choice: Choice,
        last: Option<u64>,
    ) -> Sent {
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
        let latest = self.latest_start(&choice);
        let wait = latest.map_or(marks.left, |at| marks.left.min(at.since(now)));
        match timeout(wait, sent).await {
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
            Err(_) if wait < marks.left => {
                self.log_send("over", &choice, "it had not begun when its weights were over");
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

    /// When the request must have begun: it may wait at the replica, and its weights be over then.
    fn latest_start(&self, choice: &Choice) -> Option<Time> {
        let snapshot = self.core.view.get();
        let weights = snapshot.wanted(&self.job.prompt()?.model)?;
        let replaced = weights.replaced(choice.version?)?;
        Some(replaced.after(self.core.settings.bounds.version).before(BEGIN_MARGIN))
    }

    /// One line for each send: what decided it, and how old that knowledge was.
    fn log_sent(&self, choice: &Choice, plan: Option<&Plan>, left: Duration, known: &Snapshot) {
        let now = self.core.now();
        let source = |part: &Transfer| match (part.fetch, part.save) {
            (Some(Source { tokens: Some(_), .. }), _) => 's',
            (Some(_), None) => 'r',
            (Some(_), Some(_)) => 'R',
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
            parts = self.job.prompt().map(tracing::field::display),
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

    /// Counts a send's outcome.
    pub(crate) fn note(&self, outcome: &str, replica: &str) {
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
}
