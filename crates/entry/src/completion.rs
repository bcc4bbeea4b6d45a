//! Serves completion requests.

use std::{sync::Arc, time::Duration};

use axum::{http::HeaderMap, response::Response};
use conf::ResolvedTeam;
use outbound::CallError;
use tokio::sync::mpsc;

use crate::{
    admission::Permit,
    body::{Api, Prompt},
    core::Core,
    handle::Handle,
    job::Job,
    launch::{ActiveGeneration, WeightsConstraint, launch},
    problem::{Problem, ProblemKind},
    relay::{AnswerItem, Relay, RelayParams},
    request_meta::{RequestMeta, text},
    respond,
    sequence::CatchUp,
};

/// Channel of the items to send to a caller.
type Items = mpsc::Receiver<AnswerItem>;

/// Header with the handle of the last event that the caller received.
const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Expected time from the start of a request to its first token. A request that cannot have its
/// first token by its deadline is refused.
const EXPECTED_FIRST_TOKEN_TIME: Duration = Duration::from_millis(200);

/// Serves the completion request with the given headers and body.
pub async fn serve(
    core: Arc<Core>,
    api: Api,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Response, Problem> {
    // Checked first: a stale configuration must not decide anything, not even a refusal.
    core.check_accepting()?;
    let meta = RequestMeta::read(&core, headers)?;
    let items = admit_and_start(&core, &meta, api, headers, body).await;
    let (job, items) = items.inspect_err(|problem| core.record_problem(&meta, problem))?;
    answer(&job, items).await
}

/// Admits a request and sends it to a replica.
async fn admit_and_start(
    core: &Arc<Core>,
    meta: &RequestMeta,
    api: Api,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<(Arc<Job>, Items), Problem> {
    let prompt = Prompt::parse(api, body)?;
    check_prompt_length(&meta.grant, &prompt)?;
    let resumed = resume_handle(core, headers, meta, &prompt)?;
    // Checked again, since the process may have been paused while it read the configuration.
    core.check_accepting()?;
    let job = Arc::new(Job { meta: meta.clone(), prompt });
    let permit = core.admission.admit(core, &job, EXPECTED_FIRST_TOKEN_TIME).await?;
    // The future of this handler is dropped when the caller goes away, at any await point. From
    // here on, the request is counted at a replica and may reserve link capacity. A separate task
    // releases both, since it runs to its end in any case.
    let started = tokio::spawn(start_relay(core.clone(), job.clone(), resumed, permit));
    let items = started.await.unwrap_or_else(|_| Err(ProblemKind::Upstream.into()))?;
    Ok((job, items))
}

/// Starts or resumes a generation and the relay of its tokens. The relay ends the generation if the
/// caller has gone away.
async fn start_relay(
    core: Arc<Core>,
    job: Arc<Job>,
    resumed: Option<Handle>,
    permit: Permit,
) -> Result<Items, Problem> {
    let params = match resumed {
        None => {
            let active = launch(&core, &job, &[], WeightsConstraint::Unconstrained).await?;
            RelayParams { active, from: 0, catch_up: CatchUp::resumed(Default::default()), permit }
        }
        Some(handle) => {
            let (active, from, catch_up) = resume(&core, &job, handle).await?;
            RelayParams { active, from, catch_up, permit }
        }
    };
    Ok(Relay::spawn(core, job, params))
}

async fn answer(job: &Job, items: Items) -> Result<Response, Problem> {
    if job.prompt.stream {
        respond::stream(job, items).await
    } else {
        respond::document(job, items).await
    }
}

/// Checks the length of a prompt against the team's limit.
fn check_prompt_length(grant: &ResolvedTeam, prompt: &Prompt) -> Result<(), Problem> {
    let (got, limit) = (prompt.text.len(), grant.params.limits.prompt);
    if got > limit as usize {
        return Err(ProblemKind::PromptTooLong { got, limit }.into());
    }
    Ok(())
}

/// Returns the handle of the stream to resume, `None` if the request starts a new one. Fails if the
/// handle belongs to another team or another request.
fn resume_handle(
    core: &Core,
    headers: &HeaderMap,
    meta: &RequestMeta,
    prompt: &Prompt,
) -> Result<Option<Handle>, Problem> {
    let Some(text) = text(headers, LAST_EVENT_ID_HEADER)? else { return Ok(None) };
    let handle = Handle::parse(&core.secrets.handle, text).map_err(|_| ProblemKind::BadHandle)?;
    let own = handle.payload.team == meta.grant.team && handle.payload.body == prompt.digest;
    if own { Ok(Some(handle)) } else { Err(ProblemKind::BadHandle.into()) }
}

/// Resumes a stream that began at another instance or on another connection. Continues the same
/// generation if its replica still has it, and otherwise starts a new one with the same weights
/// version.
///
/// Returns the generation, the offset of its first token and the position of the caller.
async fn resume(
    core: &Core,
    job: &Job,
    handle: Handle,
) -> Result<(ActiveGeneration, u64, CatchUp), Problem> {
    let Handle { payload, position } = handle;
    let offset = u32::try_from(position.tokens).unwrap_or(u32::MAX);
    core.record(events::EventKind::Resumed { request: job.meta.id, offset });
    match core.backends.engine.resume(payload.addr, payload.request, position.tokens).await {
        Ok(source) => {
            let keys = job.keys(core, &payload.weights);
            let target = core.pools.target_of(&payload.replica);
            let active = ActiveGeneration {
                source,
                engine_request: payload.request,
                // The target is only used with a ticket. A resumed generation has none, since this
                // instance did not place it.
                target: target.unwrap_or_else(|| payload.replica.clone()),
                replica: payload.replica,
                addr: payload.addr,
                weights: payload.weights,
                keys,
                records: Vec::new(),
                // Without a store, the prompt is not saved again.
                store: None,
                context_age: None,
                ticket: None,
            };
            Ok((active, position.tokens, CatchUp::resumed(position)))
        }
        Err(error) => {
            let failed = match error {
                CallError::Refused(_) => Vec::new(),
                _ => vec![payload.replica],
            };
            let active =
                launch(core, job, &failed, WeightsConstraint::Exact(payload.weights)).await?;
            Ok((active, 0, CatchUp::restarted(position)))
        }
    }
}
