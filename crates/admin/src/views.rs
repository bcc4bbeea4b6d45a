//! Handlers for status, events, drain and rollouts.

use std::sync::Arc;

use axum::{
    Json,
    extract::{Path, Query, State, rejection::QueryRejection},
    http::StatusCode,
};
use events::Page;
use ident::Name;
use serde::Deserialize;

use crate::{Control, Problem, RolloutWire, StatusWire};

/// Number of events on a page if the request has no limit.
const DEFAULT_PAGE_SIZE: usize = 1000;

/// Maximum number of events on a page.
const MAX_PAGE_SIZE: usize = 10_000;

/// Parameters of a page of events.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventsQuery {
    /// Sequence number of the last event that the client has.
    #[serde(default)]
    after: u64,
    /// Maximum number of events to return.
    limit: Option<usize>,
}

/// `GET /admin/v1/status`
pub async fn status(State(control): State<Arc<dyn Control>>) -> Json<StatusWire> {
    Json(control.status().await.into())
}

/// `GET /admin/v1/events?after=&limit=`
pub async fn events(
    State(control): State<Arc<dyn Control>>,
    query: Result<Query<EventsQuery>, QueryRejection>,
) -> Result<Json<Page>, Problem> {
    let Query(query) = query.map_err(|e| Problem::BadRequest(e.body_text()))?;
    let limit = query.limit.unwrap_or(DEFAULT_PAGE_SIZE).clamp(1, MAX_PAGE_SIZE);
    Ok(Json(control.events(query.after, limit).await))
}

/// `POST /admin/v1/drain`
pub async fn drain(State(control): State<Arc<dyn Control>>) -> (StatusCode, Json<StatusWire>) {
    control.drain().await;
    (StatusCode::ACCEPTED, Json(control.status().await.into()))
}

/// `GET /admin/v1/rollouts/{model}`
pub async fn rollout(
    State(control): State<Arc<dyn Control>>,
    Path(model): Path<String>,
) -> Result<Json<RolloutWire>, Problem> {
    let model = Name::new(&model).map_err(|e| Problem::BadRequest(e.to_string()))?;
    let status = control.rollout(&model).await?.ok_or(Problem::NotFound)?;
    Ok(Json(status.into()))
}
