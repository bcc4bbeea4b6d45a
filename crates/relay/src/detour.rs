//! Requests that go through a peer, since this instance reaches no replica of their target.
//!
//! The peer takes such a request as if the caller had sent it there, but sends it to replicas only.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    HeaderMap, Request, Response, Version,
    body::{Body as _, Frame, Incoming},
    header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING},
};
use outbound::end_with_connection;
use reach::Candidate;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::{
    accept::accept,
    answer::{AbortedBody, Body, Refusal, full_body},
    conns::{Conn, Gate, SendError},
    core::Core,
    forward::{BUDGET_USED_UP, BUSY_RETRY_DELAY, Forwarder, forward},
    job::Job,
    links, retries,
    whole::MAX_BUFFERED_BYTES,
};

/// Header between instances. In a request: the revision of the sender's configuration and the number
/// of replicas that may still run the request. In an answer: [`TAKEN`] or [`NOT_TAKEN`].
pub(crate) const DETOUR: HeaderName = HeaderName::from_static("lentil-detour");
/// The peer took the request, and this is its answer.
const TAKEN: HeaderValue = HeaderValue::from_static("taken");
/// The peer did not take the request: its configuration is older, or it reaches no replica either.
const NOT_TAKEN: HeaderValue = HeaderValue::from_static("not taken");
/// Most peers that are asked to send a request on.
const MAX_PEERS: usize = 3;
/// Most connections to a peer.
const MAX_CONNS: u32 = 64;

/// Lets all requests pass.
pub(crate) struct Open;

impl Gate for Open {
    fn open(&self) -> bool {
        true
    }

    fn unsent(&self) {}
}

/// Counts a request at a peer until the guard is dropped.
struct PeerGuard {
    core: Arc<Core>,
    peer: Arc<str>,
}

impl PeerGuard {
    fn new(core: &Arc<Core>, peer: &Arc<str>) -> Self {
        core.detours.lock().push(peer.clone());
        Self { core: core.clone(), peer: peer.clone() }
    }
}

impl Drop for PeerGuard {
    fn drop(&mut self) {
        let mut detours = self.core.detours.lock();
        if let Some(at) = detours.iter().position(|peer| *peer == self.peer) {
            detours.swap_remove(at);
        }
    }
}

/// Peers that may take requests for `target`.
fn candidates(core: &Core) -> Vec<Candidate> {
    let snapshot = core.view.snapshot();
    let others = snapshot.instances.iter().filter(|i| i.name != core.settings.name && !i.leaving);
    let detours = core.detours.lock();
    let candidate = |i: &Arc<fleet::Instance>| Candidate {
        peer: i.name.clone(),
        near: i.zone == core.settings.zone,
        requests: detours.iter().filter(|peer| **peer == i.name).count(),
    };
    others.filter(|i| core.is_ready_peer(&i.name)).map(candidate).collect()
}

/// Whether requests for `target` go through peers: this instance reaches none of its replicas, and a
/// peer does.
pub(crate) fn is_needed(core: &Core, target: &str) -> bool {
    if !links::cut_off(core).iter().any(|t| **t == *target) {
        return false;
    }
    let candidates = candidates(core);
    core.reach.lock().choose_peer(target, &candidates, 0, core.now()).is_some()
}

/// Sends a request on to a peer and returns its answer for the caller. `runs` replicas may have run
/// it before, and it reached a replica before if `has_arrived`.
pub(crate) async fn send(
    forwarder: &Forwarder,
    runs: u32,
    has_arrived: bool,
) -> Result<Response<Body>, Refusal> {
    let (core, job) = (&forwarder.core, &forwarder.job);
    let attempts = job.route.attempts.saturating_sub(runs);
    if attempts == 0 || (runs > 0 && !job.route.repeatable()) {
        return Err(Refusal::Lost);
    }
    let snapshot = core.view.snapshot();
    let rev = snapshot.config.as_ref().map_or(0, |c| c.rev);
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut needs_retry = has_arrived;
    let refuse = |why| match runs {
        0 => Refusal::NotRun { why, retry_delay: BUSY_RETRY_DELAY },
        _ => Refusal::Lost,
    };
    while tried.len() < MAX_PEERS {
        let now = core.now();
        let mut candidates = candidates(core);
        candidates.retain(|c| !tried.contains(&c.peer));
        let target = &forwarder.target;
        let peer = core.reach.lock().choose_peer(target, &candidates, rand::random(), now);
        let Some(peer) = peer else { break };
        if needs_retry && !retries::take(core, target, &job.meta.id, now) {
            return Err(refuse(BUDGET_USED_UP));
        }
        needs_retry = false;
        tried.push(peer.clone());
        let Some(instance) = snapshot.instances.iter().find(|i| i.name == peer) else { continue };
        let time_left = job.time_left(now);
        info!(
            request = &*job.meta.id,
            peer = &*peer,
            target = &**target,
            left_ms = time_left.as_millis() as u64,
            rev,
            "request sent on to peer"
        );
        let guard = PeerGuard::new(core, &peer);
        let request = request(core, job, time_left, rev, attempts);
        job.in_doubt.store(true, Ordering::Relaxed);
        let sent = core.peer_conns.send(&peer, instance.peer, MAX_CONNS, request, &Open, now);
        let (outcome, response) = match timeout(time_left, sent).await {
            Ok(Ok((response, conn))) => match response.headers().get(DETOUR) {
                Some(value) if *value == TAKEN => ("taken", Ok(Some((response, conn)))),
                _ => {
                    core.reach.lock().not_taken(&peer, target, core.now());
                    // It may have sent the request to replicas that refused it.
                    needs_retry = true;
                    ("not_taken", Ok(None))
                }
            },
            Ok(Err(SendError::Broken(_))) => ("broken", Err(Refusal::Lost)),
            Ok(Err(_)) => ("unreachable", Ok(None)),
            Err(_) => ("silent", Err(Refusal::TimedOut)),
        };
        core.metrics.detours.with_label_values(&[outcome]).inc();
        let response = response?;
        // A peer that does not take the request promises that no replica runs it.
        job.in_doubt.store(response.is_some() || runs > 0, Ordering::Relaxed);
        match response {
            Some((response, conn)) => return pass_on(core, job, response, conn, guard).await,
            None => info!(request = &*job.meta.id, peer = &*peer, outcome, "detour ended"),
        }
    }
    Err(refuse("no replica is reached, and no peer takes it"))
}

/// The request for a peer.
fn request(
    core: &Core,
    job: &Job,
    time_left: Duration,
    rev: u64,
    attempts: u32,
) -> Request<Full<Bytes>> {
    let mut out = Request::new(Full::new(job.body.clone()));
    *out.method_mut() = job.method.clone();
    *out.uri_mut() = job.uri.clone();
    *out.headers_mut() = job.headers.clone();
    core.adapters.protocol.set_detour_headers(out.headers_mut(), &job.meta, time_left);
    let value = HeaderValue::from_str(&format!("{rev},{attempts}"));
    out.headers_mut().insert(DETOUR, value.expect("digits and a comma are a valid value"));
    out
}

/// Turns a peer's answer into one for the caller. A short one is read to its end first.
async fn pass_on(
    core: &Arc<Core>,
    job: &Arc<Job>,
    response: Response<Incoming>,
    conn: Conn,
    guard: PeerGuard,
) -> Result<Response<Body>, Refusal> {
    let (mut head, body) = response.into_parts();
    head.headers.remove(DETOUR);
    let version = head.version;
    let unframed = version == Version::HTTP_10
        || !(head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING));
    let length = body.size_hint().exact().filter(|_| !unframed);
    let kept = head.headers.clone();
    core.adapters.protocol.strip_detour_response(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let mut out = if length.is_some_and(|n| n <= MAX_BUFFERED_BYTES) {
        let read = timeout(job.time_left(core.now()), body.collect()).await;
        let bytes = match read {
            Ok(Ok(read)) => read.to_bytes(),
            Ok(Err(_)) => return Err(Refusal::Lost),
            Err(_) => return Err(Refusal::TimedOut),
        };
        core.peer_conns.keep(conn, &kept, core.now());
        Response::new(full_body(bytes))
    } else {
        Response::new(stream_body(job.clone(), body, conn, kept, guard))
    };
    (*out.status_mut(), *out.headers_mut()) = (head.status, head.headers);
    if unframed {
        end_with_connection(&mut out);
    }
    Ok(out)
}

/// The body of a peer's answer, which ends with an error where the peer's breaks off or the time is
/// over. Dropping it closes the connection, so that the peer sees the caller leave.
fn stream_body(
    job: Arc<Job>,
    body: Incoming,
    conn: Conn,
    headers: HeaderMap,
    guard: PeerGuard,
) -> Body {
    let state = Some((job, body, conn, headers, guard));
    let frames = stream::unfold(state, |state| async {
        let (job, mut body, conn, headers, guard) = state?;
        let core = guard.core.clone();
        match timeout(job.time_left(core.now()), body.frame()).await {
            Ok(None) => {
                core.peer_conns.keep(conn, &headers, core.now());
                None
            }
            Ok(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                Some((Ok(Frame::data(bytes)), Some((job, body, conn, headers, guard))))
            }
            Ok(Some(Err(_))) | Err(_) => Some((Err(AbortedBody), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// What a peer's [`DETOUR`] header says: revision and attempts.
fn parse(headers: &HeaderMap) -> Option<(u64, u32)> {
    let (rev, attempts) = headers.get(DETOUR)?.to_str().ok()?.split_once(',')?;
    Some((rev.parse().ok()?, attempts.parse().ok()?))
}

/// Answers a request that a peer sends on. `None` if it is none, or its sender is no instance.
pub(crate) async fn answer(
    core: &Arc<Core>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Option<Response<Body>> {
    let (rev, attempts) = parse(request.headers())?;
    let snapshot = core.view.snapshot();
    if !snapshot.instances.iter().any(|i| i.peer.ip() == from.ip()) {
        warn!(%from, "request with a detour from an address of no instance");
        return None;
    }
    let protocol = &*core.adapters.protocol;
    let own_rev = snapshot.config.as_ref().map_or(0, |c| c.rev);
    if own_rev < rev {
        info!(
            rev = own_rev,
            newer = rev,
            "request of a peer not taken, its configuration is newer"
        );
        let mut out = Refusal::Unready.response(protocol);
        out.headers_mut().insert(DETOUR, NOT_TAKEN);
        return Some(out);
    }
    let answer = match accept(core, request, core.now()).await {
        Ok(mut job) => {
            job.is_detour = true;
            job.route.attempts = job.route.attempts.min(attempts);
            info!(request = &*job.meta.id, %from, rev = own_rev, "request taken from peer");
            forward(core.clone(), Arc::new(job)).await
        }
        Err(refusal) => Err(refusal),
    };
    let is_not_run = matches!(answer, Err(Refusal::NotRun { .. }));
    let is_cut_off = || !links::cut_off(core).is_empty();
    let taken = if is_not_run && is_cut_off() { NOT_TAKEN } else { TAKEN };
    let mut out = answer.unwrap_or_else(|refusal| {
        info!(outcome = refusal.name(), why = %refusal, "request of a peer failed");
        refusal.response(protocol)
    });
    out.headers_mut().insert(DETOUR, taken);
    Some(out)
}
