//! Stand-in for a plain service: accepts any call, logs it and answers it.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::{Body, Bytes},
    extract::State,
    http::{
        HeaderMap, HeaderValue, Method, StatusCode, Uri, Version,
        header::{CONNECTION, CONTENT_LENGTH},
    },
    response::{IntoResponse, Response},
};
use serde::Serialize;

use crate::{
    control::Control,
    serve::{App, cut_connection},
};

#[derive(Serialize)]
struct Call {
    method: String,
    path: String,
    body: String,
    /// Value of the header `idempotency-key`, if present.
    key: Option<String>,
}

#[derive(Serialize)]
struct Answer {
    seq: u64,
    #[serde(flatten)]
    call: Call,
}

/// Creates a plain service that answers each call with the call and its sequence number in the log.
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
    if control.with_faults(|f| f.refuse.take()) {
        return (StatusCode::SERVICE_UNAVAILABLE, [("x-not-run", "1")]).into_response();
    }
    if control.with_faults(|f| f.cut_before_run.take()) {
        return cut_connection();
    }
    let key = headers.get("idempotency-key").and_then(|v| v.to_str().ok()).map(str::to_owned);
    let path = uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let body = String::from_utf8_lossy(&body).into_owned();
    let call = Call { method: method.to_string(), path, body, key };
    let seq = control.log(&call);
    control.count("runs", 1);
    let (lose_answer, delay) = control.with_faults(|f| (f.cut_after_run.take(), f.stall_ms));
    if lose_answer {
        return cut_connection();
    }
    tokio::time::sleep(Duration::from_millis(delay)).await;
    let response = Json(Answer { seq, call }).into_response();
    if control.with_faults(|f| f.unframed.take()) { unframed(response) } else { response }
}

/// The same response with nothing but the end of its connection to end it.
fn unframed(response: Response) -> Response {
    let (mut head, body) = response.into_parts();
    // hyper frames the answers of newer versions.
    head.version = Version::HTTP_10;
    head.headers.remove(CONTENT_LENGTH);
    head.headers.insert(CONNECTION, HeaderValue::from_static("close"));
    Response::from_parts(head, Body::from_stream(body.into_data_stream()))
}
