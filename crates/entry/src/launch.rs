//! Starts jobs on replicas. Imports saved pieces of the prompt where the placement plans it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use events::EventKind;
use ident::{Class, Name, RequestId, Time};
use kv::{PieceKey, Record};
use outbound::{CallError, Completion, Connection, Import, Refusal, TokenSource};
use route::{End, LastUse, Plan, Ticket, Transfer};
use tokio::time::sleep;

use crate::{
    core::Core,
    job::Job,
    placement::{Placement, StoreLookup, place},
    problem::{Problem, ProblemKind},
    stores::StoreRef,
};

/// Maximum number of replicas tried for one launch.
const MAX_ATTEMPTS: usize = 3;
/// Retry delay sent to a caller when all replicas that were tried refused or failed.
const NO_REPLICA_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Engine priority of interactive requests; a lower value runs first.
const INTERACTIVE_PRIORITY: u8 = 0;
/// Engine priority of batch requests.
const BATCH_PRIORITY: u8 = 10;

/// Which weights versions may serve a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WeightsConstraint {
    /// The announced version, which is the model's `version` in the configuration in force; the
    /// previous one if no replica can take the job with the announced one.
    Unconstrained,
    /// Only this version, since the caller has the beginning of its answer.
    Exact(Name),
}

/// A generation that runs on a replica.
pub struct ActiveGeneration {
    /// Stream of the generated tokens.
    pub source: Box<dyn TokenSource>,
    /// Identifier of the completion at the engine; not the one of the caller's request.
    pub engine_request: RequestId,
    /// Target that the replica belongs to.
    pub target: Name,
    /// Name of the replica.
    pub replica: Name,
    /// Socket address of the replica.
    pub addr: SocketAddr,
    /// Weights version that the replica serves.
    pub weights: Name,
    /// Keys of the prompt's full pieces.
    pub keys: Arc<[PieceKey]>,
    /// Verified records of the leading pieces that the store has.
    pub records: Vec<Record>,
    /// Store instance for the pieces of the context; `None` if the prompt is not saved.
    pub store: Option<StoreRef>,
    /// How long ago the replica used the context before, if it was chosen because it may have the
    /// context in its cache.
    pub(crate) context_age: Option<Duration>,
    /// Ticket with which the end of the request is reported to the pool. `None` after that, and if
    /// this instance did not place the request.
    pub(crate) ticket: Option<Ticket>,
}

impl ActiveGeneration {
    /// Records the arrival of the first token.
    pub(crate) fn first_token(&self, core: &Core, now: Time) {
        if let Some(ticket) = &self.ticket {
            core.pools.first_token(&self.target, ticket, now);
        }
    }

    /// Records the end of the generation, or that its caller has gone away.
    pub(crate) fn done(&mut self, core: &Core) {
        self.end(core, End::Done);
    }

    /// Records that the replica failed during the generation.
    pub(crate) fn failed(&mut self, core: &Core) {
        self.end(core, End::Failed);
        core.record(EventKind::ReplicaSuspect { replica: self.replica.clone() });
    }

    fn end(&mut self, core: &Core, end: End) {
        if let Some(ticket) = self.ticket.take() {
            core.pools.ended(&self.target, ticket, end, core.now());
        }
    }

    /// Cancels the generation at its replica, in a background task.
    pub(crate) fn cancel(&self, core: &Core) {
        let (engine, addr, request) =
            (core.backends.engine.clone(), self.addr, self.engine_request);
        tokio::spawn(async move {
            // The result is ignored: the engine drops the generation by itself if this call fails.
            let _ = engine.cancel(addr, request, false).await;
        });
    }

    /// Records which replica has the context in its cache now, and whether it still had it before.
    /// `cached` is the number of cached prompt tokens.
    pub(crate) fn record_context(&self, core: &Core, job: &Job, cached: u32) {
        let context = job.context();
        if let Some(age) = self.context_age {
            core.contexts.observed(&context, age, cached > 0);
        }
        let pieces = u32::try_from(self.keys.len()).unwrap_or(u32::MAX);
        let (replica, weights) = (self.replica.clone(), self.weights.clone());
        core.contexts.put(context, LastUse { replica, pieces, weights, at: core.now() });
    }
}

/// Starts a job on a replica that is not named in `failed`. After a refusal or a failure another
/// replica is tried, within the retry budget.
pub async fn launch(
    core: &Core,
    job: &Job,
    failed: &[Name],
    constraint: WeightsConstraint,
) -> Result<ActiveGeneration, Problem> {
    let placement = place(core, job, failed, &constraint).await?;
    launch_at(core, job, placement, failed, constraint).await
}

/// Like [`launch`], but the first replica is already chosen.
pub(crate) async fn launch_at(
    core: &Core,
    job: &Job,
    mut placement: Placement,
    failed: &[Name],
    constraint: WeightsConstraint,
) -> Result<ActiveGeneration, Problem> {
    let mut tried = failed.to_vec();
    for left in (0..MAX_ATTEMPTS).rev() {
        let (target, replica) = (placement.target.clone(), placement.choice.replica.clone());
        let error = match start_on_replica(core, job, placement).await {
            Ok(active) => return Ok(active),
            Err(error) => error,
        };
        apply_error(core, &target, &replica, &error);
        core.metrics.retries.with_label_values(&[call_error_label(&error)]).inc();
        tried.push(replica);
        if left == 0 || !core.admission.try_retry(core.now()) {
            break;
        }
        placement = place(core, job, &tried, &constraint).await?;
    }
    Err(Problem::after(ProblemKind::NoReplica, NO_REPLICA_RETRY_DELAY))
}

async fn start_on_replica(
    core: &Core,
    job: &Job,
    placement: Placement,
) -> Result<ActiveGeneration, CallError> {
    let Placement { target, weights, choice, ticket, lookup, context_age } = placement;
    record(core, job, &target, &choice);
    let StoreLookup { keys, mut records, store } = lookup;
    let import_handle = match &choice.plan {
        Plan::Import { bytes, .. } => {
            let task = ImportTask { job, weights: &weights, addr: choice.addr, bytes: *bytes };
            match task.import(core, store.as_ref(), &records).await {
                ImportOutcome::Ready(handle) => Some(handle),
                ImportOutcome::Rejected { valid } => {
                    // The remaining pieces are saved again after this request, so their records are
                    // not used.
                    records.truncate(valid);
                    None
                }
                ImportOutcome::Failed => None,
            }
        }
        _ => None,
    };
    let engine_request = core.new_id();
    let completion = completion(core, job, &weights, engine_request, import_handle);
    let connection = if choice.probe { Connection::New } else { Connection::Pooled };
    match core.backends.engine.complete(choice.addr, &completion, connection).await {
        Ok(source) => Ok(ActiveGeneration {
            source,
            engine_request,
            target,
            replica: choice.replica,
            addr: choice.addr,
            weights,
            keys,
            records,
            store,
            context_age: context_age.filter(|_| matches!(choice.plan, Plan::Hot { .. })),
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
    engine_request: RequestId,
    import_handle: Option<Arc<str>>,
) -> Completion {
    Completion {
        model: job.prompt.model.clone(),
        weights: weights.clone(),
        prompt: job.prompt.text.clone(),
        max_tokens: job.prompt.max_tokens.min(job.meta.grant.params.limits.tokens),
        seed: job.prompt.seed,
        cache_salt: kv::cache_salt(&core.secrets.cache, &job.scope(weights)),
        priority: match job.meta.class {
            Class::Interactive => INTERACTIVE_PRIORITY,
            Class::Batch => BATCH_PRIORITY,
        },
        request_id: engine_request,
        kv_handle: import_handle,
        stream: true,
    }
}

/// Result of an import.
enum ImportOutcome {
    /// All pieces match their records. Holds the handle of the staged pieces.
    Ready(Arc<str>),
    /// A piece does not match its record. `valid` pieces before it match. The prompt is recomputed.
    Rejected { valid: usize },
    /// No store or link capacity was available, or the call failed; after a failed call it is
    /// unknown what was imported. The prompt is recomputed.
    Failed,
}

/// An import of saved pieces into a replica's staging area.
struct ImportTask<'a> {
    job: &'a Job,
    weights: &'a Name,
    addr: SocketAddr,
    bytes: u64,
}

impl ImportTask<'_> {
    /// Imports the recorded pieces and compares what the engine received with the records.
    async fn import(
        &self,
        core: &Core,
        store: Option<&StoreRef>,
        records: &[Record],
    ) -> ImportOutcome {
        let Some(store) = store else { return ImportOutcome::Failed };
        let (class, now) = (self.job.meta.class, core.now());
        let transfer = core.stores.links.lock().reserve_import(&store.name, self.bytes, class, now);
        let Some(transfer) = transfer else { return ImportOutcome::Failed };
        sleep(transfer.start.since(core.now())).await;
        core.metrics.link_bytes.inc_by(self.bytes);
        let import = Import {
            request: self.job.meta.id,
            weights: self.weights.clone(),
            salt: kv::cache_salt(&core.secrets.cache, &self.job.scope(self.weights)),
            source: store.addr,
            pieces: records.iter().map(|r| (r.receipt.key, r.receipt.generation)).collect(),
        };
        let result = core.backends.engine.import(self.addr, &import).await;
        self.settle(core, transfer, result.is_ok());
        let Ok(staged) = result else { return ImportOutcome::Failed };
        if kv::check_import(records, &staged.receipts).is_ok() {
            return ImportOutcome::Ready(staged.handle);
        }
        self.reject(core, &staged.handle).await;
        let pairs = records.iter().zip(&staged.receipts);
        ImportOutcome::Rejected { valid: pairs.take_while(|(r, got)| r.receipt == **got).count() }
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
        let cause = Name::new("receipt-mismatch").expect("the cause is a valid name");
        core.record(EventKind::Recomputed { request: self.job.meta.id, cause });
        // The result is ignored: the replica drops the staging area after its own timeout if this
        // call fails.
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
        request: job.meta.id,
        team: job.meta.grant.team.clone(),
        target: target.clone(),
        replica: choice.replica.clone(),
        plan: Name::new(plan).expect("the plan is a valid name"),
    });
}

fn end(error: &CallError) -> End {
    match error {
        CallError::Refused(Refusal::Overloaded) => End::Full,
        CallError::Refused(_) => End::RefusedOther,
        _ => End::Failed,
    }
}

fn apply_error(core: &Core, target: &Name, replica: &Name, error: &CallError) {
    match error {
        CallError::Refused(Refusal::Leaving) => core.pools.set_leaving(target, replica, core.now()),
        CallError::Refused(Refusal::WrongWeights) => core.pools.set_weights(target, replica, None),
        CallError::Refused(_) => {}
        _ => core.record(EventKind::ReplicaSuspect { replica: replica.clone() }),
    }
}

fn call_error_label(error: &CallError) -> &'static str {
    match error {
        CallError::Refused(_) => "refused",
        CallError::Silent => "silent",
        CallError::Connect(_) => "connect",
        _ => "broken",
    }
}
