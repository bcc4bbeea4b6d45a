//! Calls to plain services. A call that is not idempotent runs at most once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use axum::{
    body::{Body, Bytes},
    http::{HeaderMap, HeaderValue, Method, StatusCode, header},
    response::{IntoResponse, Response},
};
use conf::TargetKind;
use events::EventKind;
use ident::{Digest, Name};
use ledger::{Begin, CallId, Claim, LedgerError, Outcome, Status};
use outbound::{CallError, ListEntry, Reply, ServiceCall, end_with_connection};

use crate::{
    core::Core,
    problem::{Problem, ProblemKind},
    request_meta::{RequestMeta, text},
};

/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header of answers that repeat a stored outcome.
const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Timeout for a service's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Retry delay sent to a caller when no replica answered its call.
const NO_ANSWER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay sent to a caller whose call is running.
const RUNNING_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay sent to a caller while the platform's table service, in which the ledger keeps the
/// claims of calls, does not answer.
const TABLE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of replicas tried for one call.
const MAX_ATTEMPTS: usize = 3;

/// A caller's call to a target.
#[derive(Debug)]
pub struct TargetedCall {
    /// Name of the target.
    pub target: Name,
    /// Method, path, body and idempotency key to forward.
    pub request: ServiceCall,
}

/// Serves a call to a plain service.
pub async fn serve(
    core: Arc<Core>,
    headers: HeaderMap,
    target: Name,
    call: ServiceCall,
) -> Result<Response, Problem> {
    // Checked first: a stale configuration must not decide anything, not even a refusal.
    core.check_accepting()?;
    let meta = RequestMeta::read(&core, &headers)?;
    let response =
        dispatch(&core, meta.clone(), headers, TargetedCall { target, request: call }).await;
    response.inspect_err(|problem| core.record_problem(&meta, problem))
}

async fn dispatch(
    core: &Arc<Core>,
    meta: RequestMeta,
    headers: HeaderMap,
    call: TargetedCall,
) -> Result<Response, Problem> {
    let idempotent = check_target_and_idempotence(core, &meta, &call.target, &call.request)?;
    // Checked again, since the process may have been paused while it read the configuration.
    core.check_accepting()?;
    let core = core.clone();
    // The call continues in its own task when the caller goes away: a claimed call must reach an
    // outcome.
    let work = core.running.begin();
    let task = tokio::spawn(async move {
        let _work = work;
        if idempotent {
            call_idempotent(&core, &meta, &call).await
        } else {
            call_once(&core, &meta, &headers, &call).await
        }
    });
    match task.await {
        Ok(result) => result,
        Err(_) => Err(ProblemKind::MayHaveRun.into()),
    }
}

/// Answers with the stored outcome of the call that used an idempotency key.
pub async fn outcome(core: &Core, headers: &HeaderMap, key: &str) -> Result<Response, Problem> {
    let meta = RequestMeta::read(core, headers)?;
    let id = CallId::new(meta.grant.team, key).map_err(|_| ProblemKind::NoKey)?;
    match core.ledger.lookup(&id).await {
        Ok(Some(Status::Stored(outcome))) => Ok(replayed(outcome)),
        Ok(Some(Status::Running)) => Err(Problem::after(ProblemKind::Running, RUNNING_RETRY_DELAY)),
        Ok(Some(Status::MayHaveRun)) => Err(ProblemKind::MayHaveRun.into()),
        Ok(Some(Status::NotRun) | None) => Err(ProblemKind::NoOutcome.into()),
        Err(error) => Err(ledger_problem(&error)),
    }
}

/// Returns whether a call is idempotent: a `GET` or `HEAD`, or a path that the target lists as
/// idempotent. Fails when the team may not use the target or the target is not active.
fn check_target_and_idempotence(
    core: &Core,
    meta: &RequestMeta,
    target: &Name,
    call: &ServiceCall,
) -> Result<bool, Problem> {
    let unknown = || Problem::from(ProblemKind::UnknownTarget(target.clone()));
    let doc = core.view().target(target).ok_or_else(unknown)?;
    let listed = meta.grant.params.targets.contains(target);
    if !listed || doc.org != meta.grant.org {
        return Err(unknown());
    }
    if doc.state != conf::State::Active {
        return Err(Problem::after(ProblemKind::NoReplica, NO_ANSWER_RETRY_DELAY));
    }
    let TargetKind::Service { idempotent } = &doc.kind else { return Err(unknown()) };
    let safe = call.method == Method::GET || call.method == Method::HEAD;
    Ok(safe || idempotent.iter().any(|prefix| call.path.starts_with(prefix.as_str())))
}

/// Serves an idempotent call: tries one replica after the other, within the retry budget.
async fn call_idempotent(
    core: &Core,
    meta: &RequestMeta,
    call: &TargetedCall,
) -> Result<Response, Problem> {
    let mut last = ProblemKind::NoReplica;
    for (i, replica) in replicas(core, &call.target).iter().take(MAX_ATTEMPTS).enumerate() {
        if i > 0 && !core.admission.try_retry(core.now()) {
            break;
        }
        let timeout = remaining_time(core, meta);
        match core.backends.service.call(replica.addr, &call.request, &|| true, timeout).await {
            Ok(reply) => return Ok(answer(reply)),
            Err(e) if e.not_run() => last = ProblemKind::Refused,
            Err(_) => last = ProblemKind::Upstream,
        }
    }
    Err(Problem::after(last, NO_ANSWER_RETRY_DELAY))
}

/// Serves a call that must not run twice.
async fn call_once(
    core: &Core,
    meta: &RequestMeta,
    headers: &HeaderMap,
    call: &TargetedCall,
) -> Result<Response, Problem> {
    let key = text(headers, IDEMPOTENCY_KEY_HEADER)?.ok_or(ProblemKind::NoKey)?;
    let id = CallId::new(meta.grant.team.clone(), key).map_err(|_| ProblemKind::NoKey)?;
    let deadline = core.now().after(remaining_time(core, meta));
    match core.ledger.begin(&id, core.new_id(), digest(call), deadline).await {
        Ok(Begin::Send(claim)) => send(core, meta, call, &id, claim).await,
        Ok(Begin::Stored(outcome)) => {
            count_result(core, "replayed");
            Ok(replayed(outcome))
        }
        Ok(Begin::Running) => Err(Problem::after(ProblemKind::Running, RUNNING_RETRY_DELAY)),
        Ok(Begin::MayHaveRun) => Err(ProblemKind::MayHaveRun.into()),
        Ok(Begin::Mismatch) => Err(ProblemKind::KeyReused.into()),
        Err(error) => Err(ledger_problem(&error)),
    }
}

/// Returns the problem for a failed operation of the ledger: a claim, without which the call is not
/// sent, or the look-up of an outcome.
fn ledger_problem(error: &LedgerError) -> Problem {
    let kind = match error {
        LedgerError::NotClaimed(_) => ProblemKind::NotClaimed,
        LedgerError::Outcome(_) => ProblemKind::OutcomeUnreadable,
        _ => ProblemKind::ClaimUnreadable,
    };
    Problem::after(kind, TABLE_RETRY_DELAY)
}

/// Sends a claimed call to one replica after the other, until one of them may have run it.
async fn send(
    core: &Core,
    meta: &RequestMeta,
    call: &TargetedCall,
    id: &CallId,
    claim: Claim,
) -> Result<Response, Problem> {
    let (team, key) = (id.team().clone(), Digest::of(id.key().as_bytes()));
    core.record(EventKind::CallClaimed { team: team.clone(), key });
    // The client checks this once it is connected, and again before the first byte, so that only
    // the write itself can come after the last check. The event is recorded at the first check, so
    // that no call is sent without an event.
    let recorded = AtomicBool::new(false);
    let may_send = || {
        let may = claim.may_send(core.now());
        if may && !recorded.swap(true, Ordering::Relaxed) {
            core.record(EventKind::CallSent { team: team.clone(), key });
        }
        may
    };
    for replica in replicas(core, &call.target).iter().take(MAX_ATTEMPTS) {
        let sent = core.backends.service.call(
            replica.addr,
            &call.request,
            &may_send,
            remaining_time(core, meta),
        );
        match sent.await {
            Ok(reply) => return Ok(finish(core, &claim, reply, team, key).await),
            Err(e) if e.not_run() => continue,
            Err(e) => return Err(unknown_outcome(core, team, key, &e)),
        }
    }
    count_result(core, "not-run");
    // The result is ignored: the ledger repeats a failed write. Until the write succeeds, the call
    // counts as running and, after its deadline, as one that may have run.
    let _ = core.ledger.mark_not_run(claim).await;
    Err(Problem::after(ProblemKind::Refused, NO_ANSWER_RETRY_DELAY))
}

async fn finish(core: &Core, claim: &Claim, reply: Reply, team: Name, key: Digest) -> Response {
    count_result(core, "done");
    // The ledger repeats a failed write. The caller gets its answer in any case.
    if core.ledger.store_outcome(claim, stored(&reply)).await.is_ok() {
        core.record(EventKind::CallDone { team, key });
    }
    answer(reply)
}

fn unknown_outcome(core: &Core, team: Name, key: Digest, error: &CallError) -> Problem {
    count_result(core, "unknown");
    core.record(EventKind::CallUnknown { team, key });
    tracing::debug!(%error, "call failed after it may have been sent; its outcome is unknown");
    ProblemKind::MayHaveRun.into()
}

fn count_result(core: &Core, result: &str) {
    core.metrics.calls.with_label_values(&[result]).inc();
}

/// Returns the live replicas of a service, those in the instance's own zone first. Apart from that,
/// the order starts at a random replica.
fn replicas(core: &Core, target: &Name) -> Vec<ListEntry> {
    let mut replicas = core.pools.service_replicas(target);
    let start = usize::try_from(core.random.next_u64() % 1024).unwrap_or(0);
    if !replicas.is_empty() {
        let start = start % replicas.len();
        replicas.rotate_left(start);
    }
    replicas.sort_by_key(|r| r.zone != core.zone);
    replicas
}

fn remaining_time(core: &Core, meta: &RequestMeta) -> Duration {
    meta.deadline.since(core.now()).min(CALL_TIMEOUT)
}

fn digest(call: &TargetedCall) -> Digest {
    let head = format!("{} {} {}\n", call.target, call.request.method, call.request.path);
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&call.request.body);
    Digest::of(&bytes)
}

fn stored(reply: &Reply) -> Outcome {
    let content = reply.content_type.as_ref().and_then(|c| c.to_str().ok()).unwrap_or_default();
    Outcome {
        status: reply.status.as_u16(),
        content_type: content.into(),
        body: reply.body.clone(),
        framed: reply.framed,
    }
}

fn answer(reply: Reply) -> Response {
    let mut response = (reply.status, reply.body).into_response();
    if !reply.framed {
        let body = std::mem::take(response.body_mut());
        *response.body_mut() = Body::from_stream(body.into_data_stream());
        end_with_connection(&mut response);
    }
    match reply.content_type {
        Some(content) => response.headers_mut().insert(header::CONTENT_TYPE, content),
        None => response.headers_mut().remove(header::CONTENT_TYPE),
    };
    response
}

fn replayed(outcome: Outcome) -> Response {
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let content = HeaderValue::from_str(&outcome.content_type).ok();
    let content = content.filter(|c| !c.is_empty());
    let (body, framed) = (outcome.body, outcome.framed);
    let mut response = answer(Reply { status, content_type: content, body, framed });
    response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}

/// Returns the parts of a caller's request that are forwarded to the service.
pub fn forwarded_call(
    method: Method,
    path: String,
    headers: &HeaderMap,
    body: Bytes,
) -> ServiceCall {
    ServiceCall {
        method,
        path,
        content_type: headers.get(header::CONTENT_TYPE).cloned(),
        idempotency_key: headers.get(IDEMPOTENCY_KEY_HEADER).cloned(),
        body,
    }
}
