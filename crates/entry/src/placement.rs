//! Picks weight version, replica and plan for a job, in one step.

use std::{sync::Arc, time::Duration};

use conf::{State, TargetKind};
use ident::Name;
use kv::{PieceKey, Record};
use outbound::CallError;
use route::{Ask, Choice, Kept, NoRoute, Reason, Ticket, Value};
use tokio::time::timeout;

use crate::{
    core::Core,
    job::Job,
    launch::Pinned,
    problem::{Fault, Problem},
    stores::StoreRef,
};

/// Longest wait for a store's records; a slower store is not worth asking.
const LOOKUP_TERM: Duration = Duration::from_millis(200);

/// Where a job goes.
pub(crate) struct Placed {
    pub(crate) target: Name,
    pub(crate) weights: Name,
    pub(crate) choice: Choice,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) found: Found,
    /// How long ago the hot replica used the context.
    pub(crate) hot: Option<Duration>,
}

/// What the context's store has of a prompt.
pub(crate) struct Found {
    pub(crate) keys: Arc<[PieceKey]>,
    /// Verified records of the leading pieces.
    pub(crate) records: Vec<Record>,
    pub(crate) store: Option<StoreRef>,
}

/// Places a job, not on a replica named in `tried`.
pub(crate) async fn place(
    core: &Core,
    job: &Job,
    tried: &[Name],
    pinned: &Pinned,
) -> Result<Placed, Problem> {
    let targets = targets(core, job);
    if targets.is_empty() {
        return Err(Fault::UnknownModel(job.prompt.model.clone()).into());
    }
    let mut missed = None;
    for weights in versions(core, job, pinned)? {
        if !targets.iter().any(|t| core.pools.serves(t, &weights)) {
            continue;
        }
        let found = look_up(core, job, &weights).await;
        match choose(core, job, &targets, weights, found, tried) {
            Ok(placed) => return Ok(placed),
            Err(error) => missed = Some(error),
        }
    }
    Err(refusal(core, missed))
}

/// Active targets that serve the job's model, belong to the team's organisation and that the team
/// may reach.
fn targets(core: &Core, job: &Job) -> Vec<Name> {
    let (grant, view) = (&job.asked.grant, core.view());
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

/// Weight versions to try, the wanted one first.
fn versions(core: &Core, job: &Job, pinned: &Pinned) -> Result<Vec<Name>, Problem> {
    if let Pinned::To(weights) = pinned {
        return Ok(vec![weights.clone()]);
    }
    let model = &job.prompt.model;
    let doc = core.view().model(model).ok_or_else(|| Fault::UnknownModel(model.clone()))?;
    Ok(std::iter::once(doc.version.clone()).chain(doc.previous.clone()).collect())
}

/// Asks the context's store for the records of the prompt's pieces, and checks them.
async fn look_up(core: &Core, job: &Job, weights: &Name) -> Found {
    let keys = job.keys(core, weights);
    let now = core.now();
    let store = core.stores.home(&job.asked.grant.org, &job.context().0, now);
    let mut found = Found { keys, records: Vec::new(), store };
    let Some(store) = &found.store else { return found };
    if found.keys.is_empty() {
        return found;
    }
    let Some(probe) = core.stores.probe(&store.name, now) else { return found };
    let asked = core.backends.store.run(store.addr, &found.keys);
    let answer = timeout(LOOKUP_TERM, asked).await.unwrap_or(Err(CallError::Silent));
    let mut links = core.stores.links.lock();
    match answer {
        Ok(mut records) => {
            links.settle(probe, 0, core.now());
            records.truncate(kv::usable(&core.secrets.cache, &found.keys, &records));
            found.records = records;
        }
        Err(_) => links.failed(probe, core.now()),
    }
    found
}

fn choose(
    core: &Core,
    job: &Job,
    targets: &[Name],
    weights: Name,
    found: Found,
    tried: &[Name],
) -> Result<Placed, NoRoute> {
    let now = core.now();
    let hot = core.contexts.hot(&job.context(), &weights, now);
    let (hot, age) = hot.map_or((None, None), |(hot, age)| (Some(hot), Some(age)));
    let grant = &job.asked.grant;
    let ask = Ask {
        targets,
        weights: &weights,
        tokens: job.prompt_tokens(),
        pieces: u32::try_from(found.keys.len()).unwrap_or(u32::MAX),
        kept: kept(&found),
        hot,
        class: job.asked.class,
        value: Value {
            latency: grant.params.weights.latency,
            recompute: grant.params.weights.recompute,
        },
        zone: &core.zone,
        deadline: job.asked.deadline,
        exclude: tried,
    };
    let mut missed = None;
    for target in targets {
        match core.pools.choose(target, &core.stores.links, &ask, core.draws.draw(), now) {
            Ok((choice, ticket)) => {
                let target = target.clone();
                return Ok(Placed { target, weights, choice, ticket, found, hot: age });
            }
            Err(error) => missed = Some(error),
        }
    }
    Err(missed.expect("there is a target"))
}

fn kept(found: &Found) -> Option<Kept> {
    let store = found.store.as_ref().filter(|_| !found.records.is_empty())?;
    Some(Kept {
        store: store.name.clone(),
        pieces: u32::try_from(found.records.len()).unwrap_or(u32::MAX),
        bytes: found.records.iter().map(|r| r.receipt.len).sum(),
    })
}

fn refusal(core: &Core, missed: Option<NoRoute>) -> Problem {
    let now = core.now();
    let Some(NoRoute { reason, retry_at }) = missed else {
        return Problem::after(Fault::NoReplica, NO_VERSION_ADVICE);
    };
    let fault = match reason {
        Reason::Late => Fault::Deadline,
        _ => Fault::NoReplica,
    };
    Problem::after(fault, retry_at.since(now).max(MIN_ADVICE))
}

/// Advice while no replica serves the wanted version.
const NO_VERSION_ADVICE: Duration = Duration::from_secs(2);
/// Shortest advice.
const MIN_ADVICE: Duration = Duration::from_millis(100);
