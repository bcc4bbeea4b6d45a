//! Chooses the weights version, the replica and the cache plan for a job.

use std::{sync::Arc, time::Duration};

use conf::{State, TargetKind};
use ident::Name;
use kv::{PieceKey, Record};
use outbound::CallError;
use route::{Choice, CostWeights, End, Reason, RouteError, RoutingRequest, StoredPieces, Ticket};
use tokio::time::timeout;

use crate::{
    core::Core,
    job::Job,
    launch::WeightsConstraint,
    problem::{Problem, ProblemKind},
    stores::StoreRef,
};

/// Timeout for reading records from a store; after it, the job is placed without records.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);

/// Target, weights version and replica chosen for a job.
pub(crate) struct Placement {
    pub(crate) target: Name,
    pub(crate) weights: Name,
    pub(crate) choice: Choice,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) lookup: StoreLookup,
    /// How long ago the replica that may have the context in its cache last used it; `None` if no
    /// such replica is known.
    pub(crate) context_age: Option<Duration>,
}

impl Placement {
    /// Ends the placement of a job that is not started.
    pub(crate) fn release(self, core: &Core) {
        if let Some(ticket) = self.ticket {
            core.pools.ended(&self.target, ticket, End::RefusedOther, core.now());
        }
    }
}

/// Saved pieces of a prompt in the context's store.
pub(crate) struct StoreLookup {
    pub(crate) keys: Arc<[PieceKey]>,
    /// Verified records of the leading pieces that the store has.
    pub(crate) records: Vec<Record>,
    pub(crate) store: Option<StoreRef>,
}

/// Chooses a replica that is not named in `tried`. Fails when the team may not use the model or no
/// replica can take the job.
pub(crate) async fn place(
    core: &Core,
    job: &Job,
    tried: &[Name],
    constraint: &WeightsConstraint,
) -> Result<Placement, Problem> {
    let targets = targets(core, job);
    if targets.is_empty() {
        return Err(ProblemKind::UnknownModel(job.prompt.model.clone()).into());
    }
    let mut last_error = None;
    for weights in versions(core, job, constraint)? {
        if !targets.iter().any(|t| core.pools.serves(t, &weights)) {
            continue;
        }
        let lookup = look_up(core, job, &weights).await;
        match choose(core, job, &targets, weights, lookup, tried) {
            Ok(placement) => return Ok(placement),
            Err(error) => last_error = Some(error),
        }
    }
    Err(refusal(core, last_error))
}

/// Returns the active targets that serve the job's model, belong to the team's organisation and
/// that the team may use.
fn targets(core: &Core, job: &Job) -> Vec<Name> {
    let (grant, view) = (&job.meta.grant, core.view());
    if !grant.params.models.contains(&job.prompt.model) {
        return Vec::new();
    }
    let serves = |name: &&Name| {
        view.target(name).is_some_and(|doc| {
            let is_model =
                matches!(&doc.kind, TargetKind::Engine { model, .. } if *model == job.prompt.model);
            is_model && doc.org == grant.org && doc.state == State::Active
        })
    };
    grant.params.targets.iter().filter(serves).cloned().collect()
}

/// Returns the weights versions to try, the preferred one first.
fn versions(core: &Core, job: &Job, constraint: &WeightsConstraint) -> Result<Vec<Name>, Problem> {
    if let WeightsConstraint::Exact(weights) = constraint {
        return Ok(vec![weights.clone()]);
    }
    let model = &job.prompt.model;
    let doc = core.view().model(model).ok_or_else(|| ProblemKind::UnknownModel(model.clone()))?;
    Ok(std::iter::once(doc.version.clone()).chain(doc.previous.clone()).collect())
}

/// Reads the records of the prompt's pieces from the context's store and verifies them.
async fn look_up(core: &Core, job: &Job, weights: &Name) -> StoreLookup {
    let keys = job.keys(core, weights);
    let now = core.now();
    let store = core.stores.preferred(&job.meta.grant.org, &job.context().0, now);
    let mut lookup = StoreLookup { keys, records: Vec::new(), store };
    let Some(store) = &lookup.store else { return lookup };
    if lookup.keys.is_empty() {
        return lookup;
    }
    let Some(transfer) = core.stores.reserve_lookup(&store.name, now) else { return lookup };
    let records = core.backends.store.leading_records(store.addr, &lookup.keys);
    let answer = timeout(LOOKUP_TIMEOUT, records).await.unwrap_or(Err(CallError::Silent));
    let mut links = core.stores.links.lock();
    match answer {
        Ok(mut records) => {
            links.settle(transfer, 0, core.now());
            records.truncate(kv::usable_prefix(&core.secrets.cache, &lookup.keys, &records));
            lookup.records = records;
        }
        Err(_) => links.failed(transfer, core.now()),
    }
    lookup
}

fn choose(
    core: &Core,
    job: &Job,
    targets: &[Name],
    weights: Name,
    lookup: StoreLookup,
    tried: &[Name],
) -> Result<Placement, RouteError> {
    let now = core.now();
    let hot = core.contexts.hot(&job.context(), &weights, now);
    let (hot, age) = hot.map_or((None, None), |(hot, age)| (Some(hot), Some(age)));
    let grant = &job.meta.grant;
    let request = RoutingRequest {
        targets,
        weights: &weights,
        tokens: job.prompt_tokens(),
        pieces: u32::try_from(lookup.keys.len()).unwrap_or(u32::MAX),
        stored: stored_pieces(&lookup),
        hot,
        class: job.meta.class,
        value: CostWeights {
            latency: grant.params.weights.latency,
            recompute: grant.params.weights.recompute,
        },
        zone: &core.zone,
        deadline: job.meta.deadline,
        tried,
    };
    let mut last_error = None;
    for target in targets {
        match core.pools.choose(target, &core.stores.links, &request, core.random.next_u64(), now) {
            Ok((choice, ticket)) => {
                let target = target.clone();
                return Ok(Placement { target, weights, choice, ticket, lookup, context_age: age });
            }
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.expect("there is a target"))
}

fn stored_pieces(lookup: &StoreLookup) -> Option<StoredPieces> {
    let store = lookup.store.as_ref().filter(|_| !lookup.records.is_empty())?;
    Some(StoredPieces {
        store: store.name.clone(),
        pieces: u32::try_from(lookup.records.len()).unwrap_or(u32::MAX),
        bytes: lookup.records.iter().map(|r| r.receipt.len).sum(),
    })
}

fn refusal(core: &Core, last_error: Option<RouteError>) -> Problem {
    let now = core.now();
    let Some(RouteError { reason, retry_at }) = last_error else {
        return Problem::after(ProblemKind::NoReplica, NO_VERSION_RETRY_DELAY);
    };
    let kind = match reason {
        Reason::Late => ProblemKind::Deadline,
        _ => ProblemKind::NoReplica,
    };
    Problem::after(kind, retry_at.since(now).max(MIN_RETRY_DELAY))
}

/// Retry delay sent while no replica serves an allowed weights version.
const NO_VERSION_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Shortest retry delay sent to a caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
