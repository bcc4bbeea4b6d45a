//! One attempt to have a replica answer a request, and the check of the answer's head.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use fleet::{CacheScope, Replica, Snapshot};
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header::CONTENT_ENCODING};
use ident::Time;
use parking_lot::Mutex;
use place::{Choice, Load, Outcome, Plan, Source, Transfer, cache_salt};
use tokio::time::timeout;
use tracing::info;

use crate::{
    conns::{Conn, Gate, SendError},
    core::Core,
    detour,
    ends::{self, FlightGuard},
    forward::{Attempt, Forwarder},
    links, loads,
    permits::{self, ColdPermit},
    protocol::{ForwardHeaders, ResponseMeta},
    tracking::Reservation,
    zones,
};

/// Stores are used only while the newest weights were confirmed less than this long ago. Parts of
/// older weights are freed some time after a newer version is announced.
const MAX_WEIGHTS_AGE: Duration = Duration::from_millis(1200);
/// Lower bound of the limit on connections to one replica, where the instance's share is smaller.
const MIN_CONN_LIMIT: u32 = 6;
/// A request on older weights that has not started is cancelled this long before those weights may
/// no longer be used. A replica needs this time to notice that the connection is closed.
const START_MARGIN: Duration = Duration::from_millis(300);
/// Shortest wait without an answer that counts against a replica. A request may have less time
/// left.
const MIN_SUSPECT_WAIT: Duration = Duration::from_secs(1);

/// Silence of a replica after which it is checked.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(900);

/// Counts a request's load at a replica until the guard is dropped.
pub(crate) struct LoadGuard {
    core: Arc<Core>,
    replica: Arc<str>,
    load: Load,
    /// Tells the engine's tracker; `None` if the request is not tracked.
    reservation: Option<Reservation>,
    sent: Time,
    /// Whether the answer has begun.
    begun: bool,
}

impl LoadGuard {
    fn new(core: &Arc<Core>, replica: &Arc<str>, load: Load) -> Self {
        core.pool.lock().add_load(replica, load);
        let sent = core.now();
        let (core, replica) = (core.clone(), replica.clone());
        Self { core, replica, load, reservation: None, sent, begun: false }
    }

    /// Removes the prefill tokens from the load, once the replica has begun to answer.
    pub(crate) fn prefill_done(&mut self) {
        let prefill =
            Load { prefill_tokens: self.load.prefill_tokens, memory_tokens: 0, requests: 0 };
        self.load.prefill_tokens = 0;
        if let Some(reservation) = &self.reservation {
            reservation.prefill_done();
        }
        let now = self.core.now();
        let mut pool = self.core.pool.lock();
        pool.remove_load(&self.replica, prefill);
        if !std::mem::replace(&mut self.begun, true) && self.load.is_long() {
            let (tokens, time) = (prefill.prefill_tokens, now.since(self.sent));
            pool.record_first_byte(&self.replica, tokens, time, now);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let now = self.core.now();
        let mut pool = self.core.pool.lock();
        pool.remove_load(&self.replica, self.load);
        if self.begun {
            pool.record_end(&self.replica, self.load.is_long(), now.since(self.sent), now);
        }
        drop(pool);
        self.core.queues.wake(now);
    }
}

/// A replica's answer whose head has been read and checked.
pub(crate) struct ReplicaAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) conn: Conn,
    pub(crate) load: LoadGuard,
    pub(crate) flight: FlightGuard,
    pub(crate) replica: Arc<Replica>,
}

/// How one attempt ended.
pub(crate) enum AttemptOutcome {
    /// The replica sent an answer that can be relayed.
    Answered(Box<ReplicaAnswer>),
    /// The replica refused; the request did not run.
    NotRun,
    /// There was no connection; the replica received nothing.
    Unsent,
    /// The outcome is unknown: the request may have run.
    Lost,
}

/// Records the flight of a request once it is written.
struct FlightGate<'f> {
    forwarder: &'f Forwarder,
    replica: &'f Arc<Replica>,
    plan: Option<&'f Plan>,
    /// Scope of the request's KV cache; `None` without a prompt.
    scope: Option<&'f CacheScope>,
    /// The permit for a cold replica.
    cold: Option<ColdPermit>,
    flight: &'f Mutex<Option<FlightGuard>>,
}

impl Gate for FlightGate<'_> {
    fn open(&self) -> bool {
        let Forwarder { core, suspects, .. } = self.forwarder;
        let now = core.now();
        // It may have turned others away while the request waited for a connection, and this process
        // may have been suspended since the transfers were planned.
        let may_send = self.forwarder.may_send()
            && self.plan.is_none_or(|plan| plan.may_send(now))
            && self.scope.is_none_or(|scope| {
                self.forwarder.job.cache_scope(&core.view.snapshot()) == *scope
            })
            && !core.has_said_leaving(self.replica)
            && !core.view.snapshot().is_evacuated(&self.replica.zone)
            && !core.pool.lock().declines(&self.replica.id, now)
            && permits::may_write(core, &self.replica.id, self.cold, now);
        let begin = || FlightGuard::new(core, self.replica, suspects.clone());
        *self.flight.lock() = may_send.then(begin);
        if may_send {
            self.forwarder.job.in_doubt.store(true, Ordering::Relaxed);
        }
        may_send
    }

    fn unsent(&self) {
        let in_doubt = self.forwarder.possible_runs() > 0;
        self.forwarder.job.in_doubt.store(in_doubt, Ordering::Relaxed);
        self.flight.lock().take();
    }

    fn closed_early(&self) {
        zones::note_broken(&self.forwarder.core, self.replica, true);
    }
}

impl Forwarder {
    /// Plans the transfers for the prompt's shared parts. `None` without a prompt.
    fn plan(&self, choice: &Choice, salt: &Arc<str>, now: Time) -> Option<Plan> {
        let prompt = self.job.prompt()?;
        let snapshot = self.core.view.snapshot();
        let wanted = snapshot.announced(&prompt.model);
        let newer = wanted.filter(|w| choice.version < Some(w.version));
        // `Time(0)` where the announcement can't be dated: older parts may be freed at any moment.
        let older = newer.map(|w| if w.certain { w.announced_at() } else { Time(0) });
        let stores_usable = now.since(snapshot.confirmed.weights) < MAX_WEIGHTS_AGE
            && !self.core.walls_change.lock().pauses_stores;
        let mut catalogs = self.core.catalogs.lock();
        let usable = catalogs.iter_mut().filter(|_| stores_usable);
        let mut stores: Vec<_> = usable.map(|s| (s.store.clone(), &mut s.catalog)).collect();
        let preferred = choice.preferred.as_ref().map(|r| r.addr);
        let plan = Plan::new(prompt, salt, preferred, older, &mut stores, now);
        // `preferred` is `None` where the chosen replica is the preferred one or there is none.
        for (part, moved) in prompt.shared().iter().zip(&plan.parts) {
            let source = match moved.fetch {
                None if choice.preferred.is_none() => "home",
                None => "read",
                Some(Source { tokens: None, .. }) => "replica",
                Some(_) => "store",
            };
            self.core.metrics.shared_tokens.with_label_values(&[source]).inc_by(part.tokens);
        }
        Some(plan)
    }

    /// Makes one attempt. `last` is the event after which a stream is resumed.
    pub(crate) async fn send(&self, attempt: Attempt, last: Option<u64>) -> AttemptOutcome {
        let (core, job) = (&self.core, &self.job);
        let Attempt { snapshot, choice, cold } = attempt;
        let now = core.now();
        let replica = &choice.replica;
        let model = job.prompt().map(|p| p.model.clone());
        let scope = job.cache_scope(&core.view.snapshot());
        let salt = model.zip(choice.version).map(|(m, v)| cache_salt(&m, v, scope.clone()));
        let plan = salt.as_ref().and_then(|s| self.plan(&choice, s, now));
        let shared = job.prompt().map_or(0, |p| p.shared_tokens());
        let cached = choice.preferred.is_none() || plan.as_ref().is_some_and(Plan::fetches);
        let mut load = self.load();
        load.prefill_tokens -= if cached { shared.min(load.prefill_tokens) } else { 0 };
        let forward_headers = ForwardHeaders {
            time_left: job.time_left(now),
            replica: &replica.id,
            team: job.team.as_ref().map(|t| &*t.name),
            salt: salt.as_deref(),
            version: choice.version,
            priority: self.engine_priority(),
            plan: plan.as_ref(),
            last_event: last.or(job.meta.last_event),
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = job.headers.clone();
        core.adapters.protocol.set_forward_headers(request.headers_mut(), &forward_headers);
        let mut guard = LoadGuard::new(core, &replica.id, load);
        if place::is_long(self.load().prefill_tokens) {
            let until = job.deadline;
            guard.reservation = Reservation::new(core, &self.target, &replica.id, load, until);
        }
        self.log_attempt(&choice, plan.as_ref(), forward_headers.time_left, &snapshot);
        let max_conns = self.max_conns(&snapshot);
        let flight = Mutex::new(None);
        let plan = plan.as_ref();
        let scope = salt.as_ref().map(|_| &scope);
        let gate = FlightGate { forwarder: self, replica, plan, scope, cold, flight: &flight };
        let sent = core.conns.send(&replica.id, replica.addr, max_conns, request, &gate, now);
        let latest = self.latest_start(&choice);
        let wait = latest
            .map_or(forward_headers.time_left, |at| forward_headers.time_left.min(at.since(now)));
        let sent = tokio::select! {
            sent = timeout(wait, sent) => sent,
            () = self.watch_silence(replica) => {
                Ok(Err(SendError::Broken("no replica of the target is reached, a peer reaches some".into())))
            }
        };
        // Without one, nothing was written.
        let flight = flight.into_inner();
        match sent {
            Ok(Ok((response, conn))) => {
                let flight = flight.expect("an answered request was written");
                self.check_head(response, conn, guard, flight, &choice)
            }
            Ok(Err(SendError::Refused(why))) => {
                core.reach.lock().failed(&replica.id, core.now());
                ends::note_refused(core, replica);
                zones::note_lost(core, replica);
                core.pool.lock().mark_unreachable(&replica.id, core.now());
                self.log_outcome("unreachable", &choice, &why);
                AttemptOutcome::Unsent
            }
            Ok(Err(SendError::Connect(why))) => {
                core.reach.lock().failed(&replica.id, core.now());
                ends::check_replica(core, replica);
                zones::note_lost(core, replica);
                core.pool.lock().mark_unreachable(&replica.id, core.now());
                self.log_outcome("unreachable", &choice, &why);
                AttemptOutcome::Unsent
            }
            Ok(Err(SendError::Withheld)) => {
                self.count_outcome("withheld", &replica.id);
                AttemptOutcome::Unsent
            }
            Ok(Err(SendError::NoFreeConn)) => {
                core.pool.lock().record_outcome(&replica.id, Outcome::Full, core.now());
                self.count_outcome("crowded", &replica.id);
                AttemptOutcome::Unsent
            }
            Ok(Err(SendError::Broken(why))) => {
                if let Some(flight) = flight {
                    flight.lost();
                }
                let (checking, checked) = (core.clone(), replica.clone());
                zones::note_broken(core, replica, false);
                tokio::spawn(async move { links::check(&checking, &checked).await });
                core.pool.lock().record_outcome(&replica.id, Outcome::NoAnswer, core.now());
                self.log_outcome("broken", &choice, &why);
                AttemptOutcome::Lost
            }
            Err(_) if wait < forward_headers.time_left => {
                self.log_outcome(
                    "over",
                    &choice,
                    "no answer before the deadline for starting on replaced weights",
                );
                AttemptOutcome::Lost
            }
            Err(_) => {
                if forward_headers.time_left >= MIN_SUSPECT_WAIT {
                    core.pool.lock().record_outcome(&replica.id, Outcome::NoAnswer, core.now());
                }
                self.log_outcome("silent", &choice, "no answer in time");
                AttemptOutcome::Lost
            }
        }
    }

    /// Checks a replica that does not answer, at intervals, so that no further requests are sent to
    /// one that is not reached. Those that are there go on: a sound one may be silent for a second.
    /// Completes for a request that may be repeated, once it must go through a peer.
    async fn watch_silence(&self, replica: &Arc<Replica>) {
        let core = &self.core;
        loop {
            let since = core.now();
            tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
            if self.job.route.repeatable()
                && !self.job.is_detour
                && detour::is_needed(core, &self.target)
            {
                return;
            }
            let check = core.pool.lock().take_check(&replica.id, since, core.now());
            if check && !links::check(core, replica).await {
                core.pool.lock().mark_unreachable(&replica.id, core.now());
                zones::note_lost(core, replica);
                self.log_silence(replica);
            }
        }
    }

    fn log_silence(&self, replica: &Replica) {
        info!(
            request = &*self.job.meta.id,
            replica = &*replica.id,
            "replica does not answer and is not reached"
        );
    }

    /// Latest time at which the request must have started. It may wait at the replica until its
    /// weights may no longer be used. `None` where its version has not been replaced.
    fn latest_start(&self, choice: &Choice) -> Option<Time> {
        let snapshot = self.core.view.snapshot();
        let weights = snapshot.announced(&self.job.prompt()?.model)?;
        let replaced = weights.replaced_at(choice.version?)?;
        Some(replaced.after(self.core.settings.bounds.version).before(START_MARGIN))
    }

    /// Logs one line for each attempt: the figures behind the choice, and their age.
    fn log_attempt(&self, choice: &Choice, plan: Option<&Plan>, left: Duration, view: &Snapshot) {
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
            request = &*self.job.meta.id,
            digest = %self.job.digest,
            resumes = self.job.meta.resumes.as_deref(),
            replica = &*choice.replica.id,
            software = choice.replica.software.as_deref(),
            home = choice.preferred.as_ref().map(|h| &*h.id),
            version = choice.version,
            send = self.tried.len(),
            delay_ms = choice.delay_ms as u64,
            left_ms = left.as_millis() as u64,
            known_ms = now.since(view.confirmed.replicas).as_millis() as u64,
            reading = choice.load.prefill_tokens,
            memory = choice.load.memory_tokens,
            requests = choice.requests,
            moved,
            parts = self.job.prompt().map(tracing::field::display),
            "request sent to replica"
        );
    }

    /// Most connections that this instance may have to one replica: its share of the target's
    /// limit.
    fn max_conns(&self, snapshot: &Snapshot) -> u32 {
        let target = snapshot.config.as_ref().and_then(|s| s.target(&self.target));
        let instance_count = self.core.instance_count(snapshot);
        target.map_or(u32::MAX, |t| (t.max_conns / instance_count).max(MIN_CONN_LIMIT))
    }

    /// Checks an answer's head and records the replica's health.
    fn check_head(
        &self,
        response: Response<Incoming>,
        conn: Conn,
        load: LoadGuard,
        flight: FlightGuard,
        choice: &Choice,
    ) -> AttemptOutcome {
        let (core, job) = (&self.core, &self.job);
        let id = &choice.replica.id;
        let (head, body) = response.into_parts();
        let meta = core.adapters.protocol.parse_response(head.status, &head.headers);
        let now = core.now();
        loads::observe(core, &meta, &choice.replica, now);
        // Nothing came before the first answer on a connection. Later, a refusal without an id may
        // be a copy of that of an earlier request.
        let is_own = match &meta.request_id {
            Some(id) => *id == job.meta.id,
            None => meta.refused && !conn.is_kept(),
        };
        if !is_own {
            core.pool.lock().record_outcome(id, Outcome::Failed, now);
            self.log_outcome(
                "foreign",
                choice,
                "the request id of the answer is missing or differs",
            );
            return AttemptOutcome::Lost;
        }
        flight.begun();
        links::note_reached(core, &choice.replica);
        if meta.sealed || meta.refused {
            permits::observe(core, &meta, &choice.replica, now);
            permits::observe_leaving(core, &meta, &choice.replica);
            if head.status == StatusCode::SERVICE_UNAVAILABLE {
                permits::observe_retry_after(core, &meta, &choice.replica, now);
            }
        }
        if meta.refused {
            self.handle_refusal(head.status, &meta, choice, now);
            return AttemptOutcome::NotRun;
        }
        let encoded = head.headers.contains_key(CONTENT_ENCODING);
        if !meta.sealed || encoded {
            core.pool.lock().record_outcome(id, Outcome::Failed, now);
            self.log_outcome("unsealed", choice, head.status.as_str());
            return AttemptOutcome::Lost;
        }
        if let (Some(version), Some(prompt)) = (meta.version, job.prompt())
            && Some(version) != choice.version
        {
            core.pool.lock().set_version(id, &prompt.model, version);
        }
        let outcome = match head.status.is_server_error() {
            true => Outcome::Failed,
            false => Outcome::Answered,
        };
        core.pool.lock().record_outcome(id, outcome, now);
        let (status, headers, replica) = (head.status, head.headers, choice.replica.clone());
        AttemptOutcome::Answered(Box::new(ReplicaAnswer {
            status,
            headers,
            body,
            conn,
            load,
            flight,
            replica,
        }))
    }

    /// Updates the view and the replica's health after a refusal.
    fn handle_refusal(&self, status: StatusCode, meta: &ResponseMeta, choice: &Choice, now: Time) {
        let id = &choice.replica.id;
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let other_replica = meta.replica.as_ref().is_some_and(|r| r != id);
        if misdirected && other_replica {
            // Another incarnation listens at the address: this one is gone.
            ends::replica_ended(&self.core, &choice.replica);
            self.core.view.mark_leaving(id);
            self.core.record_departure(id);
            self.core.pool.lock().sync(&self.core.view.snapshot().replicas);
        } else if misdirected {
            self.learn_version(meta, choice);
            self.core.pool.lock().record_outcome(id, Outcome::Full, now);
        } else {
            permits::refused(&self.core, id, now);
            self.core.pool.lock().record_outcome(id, Outcome::Full, now);
        }
        self.log_outcome("not_run", choice, status.as_str());
    }

    /// Records that the replica has other weights than it registered. Versions only grow, so unless
    /// the replica names its version, it most likely has the newest.
    fn learn_version(&self, meta: &ResponseMeta, choice: &Choice) {
        let (Some(prompt), Some(assumed)) = (self.job.prompt(), choice.version) else { return };
        let newest = self.core.view.snapshot().announced(&prompt.model).map_or(0, |w| w.version);
        let version = meta.version.unwrap_or(newest.max(assumed.saturating_add(1)));
        self.core.pool.lock().set_version(&choice.replica.id, &prompt.model, version);
    }

    /// Counts an attempt's outcome.
    pub(crate) fn count_outcome(&self, outcome: &str, replica: &str) {
        self.core.metrics.attempts.with_label_values(&[outcome]).inc();
        tracing::debug!(request = &*self.job.meta.id, replica, outcome, "attempt ended");
    }

    fn log_outcome(&self, outcome: &str, choice: &Choice, why: &str) {
        self.core.metrics.attempts.with_label_values(&[outcome]).inc();
        let age =
            self.core.now().since(self.core.view.snapshot().confirmed.replicas).as_millis() as u64;
        info!(
            request = &*self.job.meta.id,
            digest = %self.job.digest,
            replica = &*choice.replica.id,
            version = choice.version,
            known_ms = age,
            outcome,
            why,
            parts = self.job.prompt().map(tracing::field::display),
            "attempt ended"
        );
    }
}
