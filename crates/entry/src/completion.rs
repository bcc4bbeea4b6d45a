//! Serves completions.

use std::{sync::Arc, time::Duration};

use axum::{http::HeaderMap, response::Response};
use conf::Grant;
use outbound::CallError;
use tokio::sync::mpsc;

use crate::{
    admission::Permit,
    asked::{Asked, text},
    body::{Api, Prompt},
    core::Core,
    handle::Handle,
    job::Job,
    launch::{Live, Pinned, launch},
    problem::{Fault, Problem},
    relay::{Item, Relay, Start},
    respond,
    sequence::CatchUp,
};

/// What a caller is to be sent.
type Items = mpsc::Receiver<Item>;

/// Header with the handle of the last event a caller received.
const LAST_EVENT: &str = "last-event-id";
/// Time a request is expected to hold its place, before anything was measured.
const FIRST_SERVICE: Duration = Duration::from_millis(200);

/// Serves a completion from its headers and body.
pub async fn serve(
    core: Arc<Core>,
    api: Api,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Response, Problem> {
    // First of all: a stale configuration decides nothing, not even a refusal.
    core.taking()?;
    let asked = Asked::read(&core, headers)?;
    let items = begin(&core, &asked, api, headers, body).await;
    let (job, items) = items.inspect_err(|problem| core.refuse(&asked, problem))?;
    answer(&job, items).await
}

/// Admits a request and sends it to a replica.
async fn begin(
    core: &Arc<Core>,
    asked: &Asked,
    api: Api,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<(Arc<Job>, Items), Problem> {
    let prompt = Prompt::parse(api, body)?;
    check(&asked.grant, &prompt)?;
    let resumed = handle(core, headers, asked, &prompt)?;
    // And again, in case the process was paused while it read that configuration.
    core.taking()?;
    let job = Arc::new(Job { asked: asked.clone(), prompt });
    let permit = core.admission.enter(core, &job, FIRST_SERVICE).await?;
    // A caller that goes away drops this call at any point. What is counted at a replica or planned
    // on a link from here on is given back by a task that ends by itself.
    let started = tokio::spawn(start(core.clone(), job.clone(), resumed, permit));
    let items = started.await.unwrap_or_else(|_| Err(Fault::Upstream.into()))?;
    Ok((job, items))
}

/// Starts or resumes a generation and its relay, which ends it if the caller has gone.
async fn start(
    core: Arc<Core>,
    job: Arc<Job>,
    resumed: Option<Handle>,
    permit: Permit,
) -> Result<Items, Problem> {
    let start = match resumed {
        None => {
            let live = launch(&core, &job, &[], Pinned::No).await?;
            Start { live, from: 0, catch_up: CatchUp::resumed(Default::default()), permit }
        }
        Some(handle) => {
            let (live, from, catch_up) = resume(&core, &job, handle).await?;
            Start { live, from, catch_up, permit }
        }
    };
    Ok(Relay::spawn(core, job, start))
}

async fn answer(job: &Job, items: Items) -> Result<Response, Problem> {
    if job.prompt.stream {
        respond::stream(job, items).await
    } else {
        respond::whole(job, items).await
    }
}

/// Checks a prompt against the team's limits.
fn check(grant: &Grant, prompt: &Prompt) -> Result<(), Problem> {
    let (got, limit) = (prompt.text.len(), grant.params.limits.prompt);
    if got > limit as usize {
        return Err(Fault::PromptTooLong { got, limit }.into());
    }
    Ok(())
}

/// The handle a caller resumes with; it must be of the caller's team and of this very request.
fn handle(
    core: &Core,
    headers: &HeaderMap,
    asked: &Asked,
    prompt: &Prompt,
) -> Result<Option<Handle>, Problem> {
    let Some(text) = text(headers, LAST_EVENT)? else { return Ok(None) };
    let handle = Handle::open(&core.secrets.handle, text).map_err(|_| Fault::BadHandle)?;
    let own = handle.sealed.team == asked.grant.team && handle.sealed.body == prompt.digest;
    if own { Ok(Some(handle)) } else { Err(Fault::BadHandle.into()) }
}

/// Goes on with a stream that began at another instance or on another connection: with the same
/// generation where its replica still has it, otherwise with a new one of the same weights.
async fn resume(core: &Core, job: &Job, handle: Handle) -> Result<(Live, u64, CatchUp), Problem> {
    let Handle { sealed, mark } = handle;
    let offset = u32::try_from(mark.tokens).unwrap_or(u32::MAX);
    core.record(events::EventKind::Resumed { request: job.asked.id, offset });
    match core.backends.engine.resume(sealed.addr, sealed.request, mark.tokens).await {
        Ok(source) => {
            let keys = job.keys(core, &sealed.weights);
            let target = core.pools.target_of(&sealed.replica);
            let live = Live {
                source,
                request: sealed.request,
                target: target.unwrap_or_else(|| sealed.replica.clone()),
                replica: sealed.replica,
                addr: sealed.addr,
                weights: sealed.weights,
                keys,
                records: Vec::new(),
                store: None,
                hot: None,
                ticket: None,
            };
            Ok((live, mark.tokens, CatchUp::resumed(mark)))
        }
        Err(error) => {
            let failed = match error {
                CallError::Refused(_) => Vec::new(),
                _ => vec![sealed.replica],
            };
            let live = launch(core, job, &failed, Pinned::To(sealed.weights)).await?;
            Ok((live, 0, CatchUp::anew(mark)))
        }
    }
}
