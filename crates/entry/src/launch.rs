//! Starts a job on a replica, with its kept cache where that is worth importing.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use events::EventKind;
use ident::{Class, Name, RequestId, Time};
use kv::{PieceKey, Record};
use outbound::{CallError, Completion, Connection, Import, Refusal, TokenSource};
use route::{End, Plan, Ticket, Transfer, Used};
use tokio::time::sleep;

use crate::{
    core::Core,
    job::Job,
    placement::{Found, Placed, place},
    problem::{Fault, Problem},
    stores::StoreRef,
};

/// Replicas tried for one launch.
const MAX_TRIES: usize = 3;
/// Advice to a caller whose replicas all refused.
const RETRY_ADVICE: Duration = Duration::from_millis(500);
/// Engine priority of interactive requests.
const INTERACTIVE_PRIORITY: u8 = 0;
/// Engine priority of batch requests.
const BATCH_PRIORITY: u8 = 10;

/// Whether a generation must be served by a certain weight version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pinned {
    /// The version in force, or the one before where no replica serves it yet.
    No,
    /// This one: the caller holds the beginning of its answer.
    To(Name),
}

/// A generation on a replica.
pub struct Live {
    /// Its tokens.
    pub source: Box<dyn TokenSource>,
    /// Its id at the engine.
    pub request: RequestId,
    /// The target.
    pub target: Name,
    /// The replica.
    pub replica: Name,
    /// The replica's address.
    pub addr: SocketAddr,
    /// The weight version.
    pub weights: Name,
    /// Keys of the prompt's pieces.
    pub keys: Arc<[PieceKey]>,
    /// Verified records of the leading pieces that the store has.
    pub records: Vec<Record>,
    /// The store instance of the context.
    pub store: Option<StoreRef>,
    pub(crate) hot: Option<Duration>,
    pub(crate) ticket: Option<Ticket>,
}

impl Live {
    /// Notes the first token.
    pub(crate) fn first_token(&self, core: &Core, now: Time) {
        if let Some(ticket) = &self.ticket {
            core.pools.first_token(&self.target, ticket, now);
        }
    }

    /// Notes the end of the generation, or that its caller went away.
    pub(crate) fn done(&mut self, core: &Core) {
        self.end(core, End::Done);
    }

    /// Notes that the replica failed it.
    pub(crate) fn failed(&mut self, core: &Core) {
        self.end(core, End::Failed);
        core.record(EventKind::ReplicaSuspect { replica: self.replica.clone() });
    }

    fn end(&mut self, core: &Core, end: End) {
        if let Some(ticket) = self.ticket.take() {
            core.pools.ended(&self.target, ticket, end, core.now());
        }
    }

    /// Tells the replica, in the background, that nobody wants the rest.
    pub(crate) fn cancel(&self, core: &Core) {
        let (engine, addr, request) = (core.backends.engine.clone(), self.addr, self.request);
        tokio::spawn(async move {
            // The engine drops the generation by itself if this call is lost.
            let _ = engine.cancel(addr, request, false).await;
        });
    }

    /// Remembers where the context is hot now, and whether it still was.
    pub(crate) fn remember(&self, core: &Core, job: &Job, cached: u32) {
        let context = job.context();
        if let Some(age) = self.hot {
            core.contexts.observed(&context, age, cached > 0);
        }
        let pieces = u32::try_from(self.keys.len()).unwrap_or(u32::MAX);
        let (replica, weights) = (self.replica.clone(), self.weights.clone());
        core.contexts.put(context, Used { replica, pieces, weights, at: core.now() });
    }
}

/// Starts a job on a replica not named in `failed`; one that refuses is followed by another, within
/// the retry budget.
pub async fn launch(
    core: &Core,
    job: &Job,
    failed: &[Name],
    pinned: Pinned,
) -> Result<Live, Problem> {
    let mut tried = failed.to_vec();
    for left in (0..MAX_TRIES).rev() {
        let placed = place(core, job, &tried, &pinned).await?;
        let (target, replica) = (placed.target.clone(), placed.choice.replica.clone());
        let error = match start(core, job, placed).await {
            Ok(live) => return Ok(live),
            Err(error) => error,
        };
        learn(core, &target, &replica, &error);
        core.metrics.retries.with_label_values(&[cause(&error)]).inc();
        tried.push(replica);
        if left == 0 || !core.admission.retry(core.now()) {
            break;
        }
    }
    Err(Problem::after(Fault::NoReplica, RETRY_ADVICE))
}

async fn start(core: &Core, job: &Job, placed: Placed) -> Result<Live, CallError> {
    let Placed { target, weights, choice, ticket, found, hot } = placed;
    record(core, job, &target, &choice);
    let Found { keys, mut records, store } = found;
    let handle = match &choice.plan {
        Plan::Import { bytes, .. } => {
            let stage = Stage { job, weights: &weights, addr: choice.addr, bytes: *bytes };
            match stage.import(core, store.as_ref(), &records).await {
                Staged::Ready(handle) => Some(handle),
                Staged::Rejected { good } => {
                    // The rest is written anew after this request: its records are of no use.
                    records.truncate(good);
                    None
                }
                Staged::Failed => None,
            }
        }
        _ => None,
    };
    let request = core.id();
    let completion = completion(core, job, &weights, request, handle);
    let connection = if choice.probe { Connection::New } else { Connection::Pooled };
    match core.backends.engine.complete(choice.addr, &completion, connection).await {
        Ok(source) => Ok(Live {
            source,
            request,
            target,
            replica: choice.replica,
            addr: choice.addr,
            weights,
            keys,
            records,
            store,
            hot: hot.filter(|_| matches!(choice.plan, Plan::Hot { .. })),
            ticket,
        }),
        Err(error) => {
            if let Some(ticket) = ticket {
                core.pools.ended(&target, ticket, end(&error), core.now());
            }
            Err(error)
        }
    }
}

fn completion(
    core: &Core,
    job: &Job,
    weights: &Name,
    request: RequestId,
    handle: Option<Arc<str>>,
) -> Completion {
    Completion {
        model: job.prompt.model.clone(),
        weights: weights.clone(),
        prompt: job.prompt.text.clone(),
        max_tokens: job.prompt.tokens.min(job.asked.grant.params.limits.tokens),
        seed: job.prompt.seed,
        cache_salt: kv::salt(&core.secrets.cache, &job.scope(weights)),
        priority: match job.asked.class {
            Class::Interactive => INTERACTIVE_PRIORITY,
            Class::Batch => BATCH_PRIORITY,
        },
        request_id: request,
        kv_handle: handle,
        stream: true,
    }
}

/// How an import went.
enum Staged {
    /// All pieces are the recorded ones; the handle names them.
    Ready(Arc<str>),
    /// A piece is not the recorded one; so many before it are. The prompt is recomputed.
    Rejected { good: usize },
    /// Nothing is known of the pieces. The prompt is recomputed.
    Failed,
}

/// An import into a replica's staging area.
struct Stage<'a> {
    job: &'a Job,
    weights: &'a Name,
    addr: SocketAddr,
    bytes: u64,
}

impl Stage<'_> {
    /// Stages the recorded pieces and checks what the engine received.
    async fn import(&self, core: &Core, store: Option<&StoreRef>, records: &[Record]) -> Staged {
        let Some(store) = store else { return Staged::Failed };
        let (class, now) = (self.job.asked.class, core.now());
        let transfer = core.stores.links.lock().reserve(&store.name, self.bytes, class, now);
        let Some(transfer) = transfer else { return Staged::Failed };
        sleep(transfer.start.since(core.now())).await;
        core.metrics.link_bytes.inc_by(self.bytes);
        let import = Import {
            request: self.job.asked.id,
            weights: self.weights.clone(),
            salt: kv::salt(&core.secrets.cache, &self.job.scope(self.weights)),
            source: store.addr,
            pieces: records.iter().map(|r| (r.receipt.key, r.receipt.generation)).collect(),
        };
        let result = core.backends.engine.import(self.addr, &import).await;
        self.settle(core, transfer, result.is_ok());
        let Ok(staged) = result else { return Staged::Failed };
        if kv::confirm(records, &staged.receipts).is_ok() {
            return Staged::Ready(staged.handle);
        }
        self.reject(core, &staged.handle).await;
        let pairs = records.iter().zip(&staged.receipts);
        Staged::Rejected { good: pairs.take_while(|(r, got)| r.receipt == **got).count() }
    }

    fn settle(&self, core: &Core, transfer: Transfer, done: bool) {
        let (mut links, now) = (core.stores.links.lock(), core.now());
        if done {
            links.settle(transfer, self.bytes, now);
        } else {
            links.failed(transfer, now);
        }
    }

    async fn reject(&self, core: &Core, handle: &str) {
        core.metrics.rejected_imports.inc();
        let cause = Name::new("receipt-mismatch").expect("a valid name");
        core.record(EventKind::Recomputed { request: self.job.asked.id, cause });
        // A staging area that is not dropped ends with its replica's own timeout.
        let _ = core.backends.engine.discard(self.addr, handle).await;
    }
}

fn record(core: &Core, job: &Job, target: &Name, choice: &route::Choice) {
    let plan = match choice.plan {
        Plan::Hot { .. } => "hot",
        Plan::Import { .. } => "import",
        Plan::Recompute => "recompute",
    };
    core.metrics.plans.with_label_values(&[plan]).inc();
    core.record(EventKind::Routed {
        request: job.asked.id,
        team: job.asked.grant.team.clone(),
        target: target.clone(),
        replica: choice.replica.clone(),
        plan: Name::new(plan).expect("a valid name"),
    });
}

fn end(error: &CallError) -> End {
    match error {
        CallError::Refused(Refusal::Overloaded) => End::Refused,
        CallError::Refused(_) => End::Declined,
        _ => End::Failed,
    }
}

fn learn(core: &Core, target: &Name, replica: &Name, error: &CallError) {
    match error {
        CallError::Refused(Refusal::Leaving) => core.pools.left(target, replica, core.now()),
        CallError::Refused(Refusal::WrongWeights) => core.pools.served_other(target, replica, None),
        CallError::Refused(_) => {}
        _ => core.record(EventKind::ReplicaSuspect { replica: replica.clone() }),
    }
}

fn cause(error: &CallError) -> &'static str {
    match error {
        CallError::Refused(_) => "refused",
        CallError::Silent => "silent",
        CallError::Connect(_) => "connect",
        _ => "broken",
    }
}
