//! A plain service: runs and logs whatever it is sent.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Bytes,
    extract::State,
    http::{HeaderMap, Method, StatusCode, Uri},
    response::{IntoResponse, Response},
};
use serde::Serialize;

use crate::{
    control::Control,
    serve::{App, cut},
};

#[derive(Serialize)]
struct Call {
    method: String,
    path: String,
    body: String,
    /// The header `idempotency-key`.
    key: Option<String>,
}

#[derive(Serialize)]
struct Answer {
    seq: u64,
    #[serde(flatten)]
    call: Call,
}

/// A plain service that answers each call with what it ran and the run's sequence number.
pub fn service(control: Arc<Control>) -> App {
    let router = Router::new().fallback(run).with_state(control.clone());
    App::new(router, control)
}

async fn run(
    State(control): State<Arc<Control>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if control.with(|f| f.refuse.take()) {
        return (StatusCode::SERVICE_UNAVAILABLE, [("x-not-run", "1")]).into_response();
    }
    if control.with(|f| f.cut_before_run.take()) {
        return cut();
    }
    let key = headers.get("idempotency-key").and_then(|v| v.to_str().ok()).map(str::to_owned);
    let path = uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let body = String::from_utf8_lossy(&body).into_owned();
    let call = Call { method: method.to_string(), path, body, key };
    let seq = control.log(&call);
    control.count("runs", 1);
    let (lost, stall) = control.with(|f| (f.cut_after_run.take(), f.stall_ms));
    if lost {
        return cut();
    }
    tokio::time::sleep(Duration::from_millis(stall)).await;
    Json(Answer { seq, call }).into_response()
}
