//! Routes of the HTTP API for callers.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Path, Query, Request, State},
    http::{HeaderMap, Method, StatusCode, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{any, get, post},
};
use ident::Name;
use serde::{Deserialize, Serialize};
use tower::ServiceBuilder;

use crate::{
    body::{Api, MAX_CONTEXT_BYTES},
    call, completion,
    core::Core,
    problem::{Problem, ProblemKind},
    request_meta::RequestMeta,
};

/// Returns the router of the HTTP API for callers.
pub fn router(core: Arc<Core>) -> Router {
    let limit = core.request_limits.max_body_bytes;
    Router::new()
        .route("/v1/where", get(locate))
        .route("/v1/completions", post(text))
        .route("/v1/chat/completions", post(chat))
        .route("/v1/call/{target}/{*path}", any(service))
        .route("/v1/outcomes/{key}", get(outcome))
        .layer(
            ServiceBuilder::new()
                .layer(DefaultBodyLimit::max(limit))
                .layer(middleware::from_fn_with_state(core.clone(), count)),
        )
        .route("/healthz", get(healthy))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .with_state(core)
}

type Body = Result<Bytes, axum::extract::rejection::BytesRejection>;

async fn text(
    State(core): State<Arc<Core>>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Problem> {
    let body = read_body(&core, body)?;
    completion::serve(core, Api::Text, &headers, &body).await
}

async fn chat(
    State(core): State<Arc<Core>>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Problem> {
    let body = read_body(&core, body)?;
    completion::serve(core, Api::Chat, &headers, &body).await
}

async fn service(
    State(core): State<Arc<Core>>,
    Path((target, _)): Path<(String, String)>,
    method: Method,
    uri: axum::http::Uri,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, Problem> {
    let body = read_body(&core, body)?;
    let target = name(&target)?;
    let prefix = format!("/v1/call/{target}");
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let path = path.strip_prefix(&prefix).unwrap_or("/").to_owned();
    let forwarded = call::forwarded_call(method, path, &headers, body);
    call::serve(core, headers, target, forwarded).await
}

async fn outcome(
    State(core): State<Arc<Core>>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Problem> {
    call::outcome(&core, &headers, &key).await
}

fn read_body(core: &Core, body: Body) -> Result<Bytes, Problem> {
    body.map_err(|e| match e.status() {
        StatusCode::PAYLOAD_TOO_LARGE => {
            ProblemKind::TooLarge(core.request_limits.max_body_bytes).into()
        }
        _ => ProblemKind::Malformed("the body could not be read".into()).into(),
    })
}

fn name(text: &str) -> Result<Name, ProblemKind> {
    Name::new(text).map_err(|e| ProblemKind::Malformed(e.to_string().into()))
}

#[derive(Deserialize)]
struct WhereQuery {
    #[serde(default)]
    context: String,
    zone: Option<String>,
}

#[derive(Serialize)]
struct WhereWire {
    addresses: Vec<AddressWire>,
    expires_ms: u64,
}

#[derive(Serialize)]
struct AddressWire {
    addr: std::net::SocketAddr,
    zone: Name,
    home: bool,
}

/// Returns the addresses that a caller should use for a context, and how long they are valid.
async fn locate(
    State(core): State<Arc<Core>>,
    headers: HeaderMap,
    Query(query): Query<WhereQuery>,
) -> Result<Json<WhereWire>, Problem> {
    let meta = RequestMeta::read(&core, &headers)?;
    if query.context.len() > MAX_CONTEXT_BYTES {
        return Err(ProblemKind::Malformed("the context has at most 256 bytes".into()).into());
    }
    let zone = query.zone.as_deref().map(name).transpose()?;
    let grant = meta.grant;
    let now = core.now();
    let answer = core.members.lock().answer(
        &grant.team,
        &query.context,
        grant.params.spread,
        zone.as_ref(),
        now,
    );
    let address = |a: member::Address| AddressWire { addr: a.addr, zone: a.zone, home: a.home };
    let expires = answer.expires.since(now);
    Ok(Json(WhereWire {
        addresses: answer.addresses.into_iter().map(address).collect(),
        expires_ms: u64::try_from(expires.as_millis()).unwrap_or(u64::MAX),
    }))
}

async fn healthy() -> StatusCode {
    StatusCode::OK
}

/// Succeeds when this instance accepts new work.
async fn ready(State(core): State<Arc<Core>>) -> Result<StatusCode, Problem> {
    core.check_accepting().map(|()| StatusCode::OK)
}

async fn metrics(State(core): State<Arc<Core>>) -> Response {
    let running = i64::try_from(core.running.count()).unwrap_or(i64::MAX);
    core.metrics.running.set(running);
    core.metrics.accepting_work.set(i64::from(core.check_accepting().is_ok()));
    match core.metrics.render() {
        Ok(text) => ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Counts each request by API and result.
async fn count(State(core): State<Arc<Core>>, request: Request, next: Next) -> Response {
    let api = match request.uri().path() {
        "/v1/where" => "where",
        "/v1/completions" => "completions",
        "/v1/chat/completions" => "chat",
        path if path.starts_with("/v1/call/") => "call",
        _ => "outcomes",
    };
    let response = next.run(request).await;
    let result = response.extensions().get::<ProblemLabel>().map_or("ok", |l| l.0);
    core.metrics.requests.with_label_values(&[api, result]).inc();
    response
}

/// Label of the problem in a response, for the request counter.
#[derive(Clone, Copy)]
pub(crate) struct ProblemLabel(pub(crate) &'static str);
