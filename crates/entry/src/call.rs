//! Calls to plain services, each non-idempotent one at most once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use axum::{
    body::Bytes,
    http::{HeaderMap, HeaderValue, Method, StatusCode, header},
    response::{IntoResponse, Response},
};
use conf::TargetKind;
use events::EventKind;
use ident::{Digest, Name};
use ledger::{Begin, CallId, Claim, LedgerError, Outcome, Status};
use outbound::{CallError, Listed, Reply, ServiceCall};

use crate::{
    asked::{Asked, text},
    core::Core,
    problem::{Fault, Problem},
};

/// Header with the key that makes a call idempotent.
const KEY: &str = "idempotency-key";
/// Header on answers that repeat a stored outcome.
const REPLAYED: &str = "idempotency-replayed";
/// Longest wait for a service's answer.
const CALL_TERM: Duration = Duration::from_secs(20);
/// Advice to a caller whose call was not run.
const RETRY_ADVICE: Duration = Duration::from_millis(500);
/// Advice to a caller whose call is running.
const RUNNING_ADVICE: Duration = Duration::from_secs(1);
/// Advice to a caller while the platform's table service does not answer.
const TABLE_ADVICE: Duration = Duration::from_secs(2);
/// Replicas tried for a call that none has run yet.
const MAX_TRIES: usize = 3;

/// A caller's call to a target.
#[derive(Debug)]
pub struct Call {
    /// The target.
    pub target: Name,
    /// Method, path, body and key to pass on.
    pub call: ServiceCall,
}

/// Serves a call.
pub async fn serve(
    core: Arc<Core>,
    headers: HeaderMap,
    target: Name,
    call: ServiceCall,
) -> Result<Response, Problem> {
    // First of all: a stale configuration decides nothing, not even a refusal.
    core.taking()?;
    let asked = Asked::read(&core, &headers)?;
    let made = make(&core, asked.clone(), headers, Call { target, call }).await;
    made.inspect_err(|problem| core.refuse(&asked, problem))
}

async fn make(
    core: &Arc<Core>,
    asked: Asked,
    headers: HeaderMap,
    call: Call,
) -> Result<Response, Problem> {
    let repeatable = repeatable(core, &asked, &call.target, &call.call)?;
    // And again, in case the process was paused while it read that configuration.
    core.taking()?;
    let core = core.clone();
    // The work goes on when the caller goes away: a claimed call must reach its outcome.
    let work = core.running.begin();
    let task = tokio::spawn(async move {
        let _work = work;
        if repeatable {
            repeat(&core, &asked, &call).await
        } else {
            once(&core, &asked, &headers, &call).await
        }
    });
    match task.await {
        Ok(result) => result,
        Err(_) => Err(Fault::MayHaveRun.into()),
    }
}

/// Answers with the outcome of a call by its key.
pub async fn outcome(core: &Core, headers: &HeaderMap, key: &str) -> Result<Response, Problem> {
    let asked = Asked::read(core, headers)?;
    let id = CallId::new(asked.grant.team, key).map_err(|_| Fault::NoKey)?;
    match core.ledger.lookup(&id).await {
        Ok(Some(Status::Stored(outcome))) => Ok(replayed(outcome)),
        Ok(Some(Status::Running)) => Err(Problem::after(Fault::Running, RUNNING_ADVICE)),
        Ok(Some(Status::MayHaveRun)) => Err(Fault::MayHaveRun.into()),
        Ok(Some(Status::NotRun) | None) => Err(Fault::NoOutcome.into()),
        Err(error) => Err(ledger_problem(&error)),
    }
}

/// Whether a call may be repeated; fails when the team may not reach the target.
fn repeatable(
    core: &Core,
    asked: &Asked,
    target: &Name,
    call: &ServiceCall,
) -> Result<bool, Problem> {
    let unknown = || Problem::from(Fault::UnknownTarget(target.clone()));
    let doc = core.view().target(target).ok_or_else(unknown)?;
    let listed = asked.grant.params.targets.contains(target);
    if !listed || doc.org != asked.grant.org {
        return Err(unknown());
    }
    if doc.state != conf::State::Active {
        return Err(Problem::after(Fault::NoReplica, RETRY_ADVICE));
    }
    let TargetKind::Service { idempotent } = &doc.kind else { return Err(unknown()) };
    let safe = call.method == Method::GET || call.method == Method::HEAD;
    Ok(safe || idempotent.iter().any(|prefix| call.path.starts_with(prefix.as_str())))
}

/// An idempotent call: tried on one replica after the other within the retry budget.
async fn repeat(core: &Core, asked: &Asked, call: &Call) -> Result<Response, Problem> {
    let mut last = Fault::NoReplica;
    for (i, replica) in replicas(core, &call.target).iter().take(MAX_TRIES).enumerate() {
        if i > 0 && !core.admission.retry(core.now()) {
            break;
        }
        let limit = limit(core, asked);
        match core.backends.service.call(replica.addr, &call.call, &|| true, limit).await {
            Ok(reply) => return Ok(answer(reply)),
            Err(e) if e.not_run() => last = Fault::Refused,
            Err(_) => last = Fault::Upstream,
        }
    }
    Err(Problem::after(last, RETRY_ADVICE))
}

/// A call that must not run twice.
async fn once(
    core: &Core,
    asked: &Asked,
    headers: &HeaderMap,
    call: &Call,
) -> Result<Response, Problem> {
    let key = text(headers, KEY)?.ok_or(Fault::NoKey)?;
    let id = CallId::new(asked.grant.team.clone(), key).map_err(|_| Fault::NoKey)?;
    let deadline = core.now().after(limit(core, asked));
    match core.ledger.begin(&id, core.id(), digest(call), deadline).await {
        Ok(Begin::Send(claim)) => send(core, asked, call, &id, claim).await,
        Ok(Begin::Stored(outcome)) => {
            count(core, "replayed");
            Ok(replayed(outcome))
        }
        Ok(Begin::Running) => Err(Problem::after(Fault::Running, RUNNING_ADVICE)),
        Ok(Begin::MayHaveRun) => Err(Fault::MayHaveRun.into()),
        Ok(Begin::Mismatch) => Err(Fault::KeyReused.into()),
        Err(error) => Err(ledger_problem(&error)),
    }
}

/// An attempt that got no claim was not sent; what became of earlier attempts may be unknown.
fn ledger_problem(error: &LedgerError) -> Problem {
    let fault = match error {
        LedgerError::NotClaimed(_) => Fault::NotClaimed,
        LedgerError::Outcome(_) => Fault::OutcomeUnread,
        _ => Fault::ClaimUnread,
    };
    Problem::after(fault, TABLE_ADVICE)
}

/// Sends a claimed call to one replica after the other, as long as none may have run it.
async fn send(
    core: &Core,
    asked: &Asked,
    call: &Call,
    id: &CallId,
    claim: Claim,
) -> Result<Response, Problem> {
    let (team, key) = (id.team().clone(), Digest::of(id.key().as_bytes()));
    core.record(EventKind::CallClaimed { team: team.clone(), key });
    // Asked with the connection there and again at the first byte, so that only the write itself
    // can come after it. Recorded at the first, so that no call is sent that the record lacks.
    let told = AtomicBool::new(false);
    let may_send = || {
        let may = claim.may_send(core.now());
        if may && !told.swap(true, Ordering::Relaxed) {
            core.record(EventKind::CallSent { team: team.clone(), key });
        }
        may
    };
    for replica in replicas(core, &call.target).iter().take(MAX_TRIES) {
        let sent =
            core.backends.service.call(replica.addr, &call.call, &may_send, limit(core, asked));
        match sent.await {
            Ok(reply) => return Ok(finish(core, &claim, reply, team, key).await),
            Err(e) if e.not_run() => continue,
            Err(e) => return Err(unknown(core, team, key, &e)),
        }
    }
    count(core, "not-run");
    // The row stays claimed if this fails; the ledger voids it later.
    let _ = core.ledger.void(claim).await;
    Err(Problem::after(Fault::Refused, RETRY_ADVICE))
}

async fn finish(core: &Core, claim: &Claim, reply: Reply, team: Name, key: Digest) -> Response {
    count(core, "done");
    // A failed write is repeated by the ledger; the caller has its answer in any case.
    if core.ledger.finish(claim, stored(&reply)).await.is_ok() {
        core.record(EventKind::CallDone { team, key });
    }
    answer(reply)
}

fn unknown(core: &Core, team: Name, key: Digest, error: &CallError) -> Problem {
    count(core, "unknown");
    core.record(EventKind::CallUnknown { team, key });
    tracing::debug!(%error, "a call may have run");
    Fault::MayHaveRun.into()
}

fn count(core: &Core, result: &str) {
    core.metrics.calls.with_label_values(&[result]).inc();
}

/// Live replicas of a service, the instance's own zone first, otherwise in random order.
fn replicas(core: &Core, target: &Name) -> Vec<Listed> {
    let mut live = core.pools.services(target);
    let turn = usize::try_from(core.draws.draw() % 1024).unwrap_or(0);
    if !live.is_empty() {
        let turn = turn % live.len();
        live.rotate_left(turn);
    }
    live.sort_by_key(|r| r.zone != core.zone);
    live
}

fn limit(core: &Core, asked: &Asked) -> Duration {
    asked.deadline.since(core.now()).min(CALL_TERM)
}

fn digest(call: &Call) -> Digest {
    let head = format!("{} {} {}\n", call.target, call.call.method, call.call.path);
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&call.call.body);
    Digest::of(&bytes)
}

fn stored(reply: &Reply) -> Outcome {
    let content = reply.content.as_ref().and_then(|c| c.to_str().ok()).unwrap_or_default();
    Outcome { status: reply.status.as_u16(), content: content.into(), body: reply.body.clone() }
}

fn answer(reply: Reply) -> Response {
    let mut response = (reply.status, reply.body).into_response();
    match reply.content {
        Some(content) => response.headers_mut().insert(header::CONTENT_TYPE, content),
        None => response.headers_mut().remove(header::CONTENT_TYPE),
    };
    response
}

fn replayed(outcome: Outcome) -> Response {
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let content = HeaderValue::from_str(&outcome.content).ok();
    let content = content.filter(|c| !c.is_empty());
    let mut response = answer(Reply { status, content, body: outcome.body });
    response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    response
}

/// The part of a caller's call that is passed on.
pub fn passed_on(method: Method, path: String, headers: &HeaderMap, body: Bytes) -> ServiceCall {
    ServiceCall {
        method,
        path,
        content: headers.get(header::CONTENT_TYPE).cloned(),
        key: headers.get(KEY).cloned(),
        body,
    }
}
