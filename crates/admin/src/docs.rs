//! Handlers that read and change documents.

use std::sync::Arc;

use axum::{
    Json,
    body::Bytes,
    extract::{Path, State, rejection::BytesRejection},
    http::{HeaderMap, StatusCode, header},
    response::{IntoResponse, Response},
};
use conf::{Change, Doc, DocKey};
use fields::Faults;
use ident::{Name, Rev};
use serde_json::Value;

use crate::{
    ChangeWire, Control, ControlError, ListWire, Problem,
    body::{parse_kind, read_doc},
    headers::{CHANGE_ID, change_id, etag, expected},
};

/// `GET /admin/v1/{kind}`
pub async fn list(
    State(control): State<Arc<dyn Control>>,
    Path(kind): Path<String>,
) -> Result<Json<Vec<ListWire>>, Problem> {
    let kind = parse_kind(&kind).ok_or(Problem::NotFound)?;
    Ok(Json(control.names(kind).into_iter().map(ListWire::from).collect()))
}

/// `GET /admin/v1/{kind}/{name}`
pub async fn get(
    State(control): State<Arc<dyn Control>>,
    Path(path): Path<(String, String)>,
) -> Result<Response, Problem> {
    let (doc, rev) = control.doc(&doc_key(&path)?).ok_or(Problem::NotFound)?;
    Ok(([(header::ETAG, etag(rev))], Json(to_json(&doc))).into_response())
}

/// `PUT /admin/v1/{kind}/{name}`
pub async fn put(
    State(control): State<Arc<dyn Control>>,
    Path(path): Path<(String, String)>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Response, Problem> {
    let key = doc_key(&path)?;
    let doc = read_doc(&key, json(body)?).map_err(Problem::Invalid)?;
    let expect = expected(&headers)?;
    let change = change(&*control, &headers, key, Some(doc), expect).await?;
    let status = if expect.is_none() { StatusCode::CREATED } else { StatusCode::OK };
    Ok(accepted(status, change))
}

/// `DELETE /admin/v1/{kind}/{name}`
pub async fn remove(
    State(control): State<Arc<dyn Control>>,
    Path(path): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, Problem> {
    let key = doc_key(&path)?;
    let expect = expected(&headers)?.ok_or(Problem::PreconditionRequired)?;
    let change = change(&*control, &headers, key, None, Some(expect)).await?;
    Ok(accepted(StatusCode::OK, change))
}

async fn change(
    control: &dyn Control,
    headers: &HeaderMap,
    key: DocKey,
    doc: Option<Doc>,
    expect: Option<Rev>,
) -> Result<Change, Problem> {
    let id = change_id(headers)?;
    let change = match control.accept(id, key.clone(), doc.clone(), expect).await {
        Err(ControlError::Stale { current: Some(current) }) if expect.is_none() => {
            return Err(Problem::Exists { current });
        }
        answer => answer?,
    };
    assert_eq!(change.id, id, "an instance answered with another change");
    if change.key != key || change.doc != doc {
        return Err(Problem::IdReused { id, current: change.rev });
    }
    Ok(change)
}

fn accepted(status: StatusCode, change: Change) -> Response {
    let tag = [(header::ETAG.as_str(), etag(change.rev)), (CHANGE_ID, change.id.to_string())];
    (status, tag, Json(ChangeWire::from(change))).into_response()
}

fn doc_key((kind, name): &(String, String)) -> Result<DocKey, Problem> {
    let kind = parse_kind(kind).ok_or(Problem::NotFound)?;
    let name = Name::new(name).map_err(|e| Problem::BadRequest(e.to_string()))?;
    Ok(DocKey { kind, name })
}

fn json(body: Result<Bytes, BytesRejection>) -> Result<Value, Problem> {
    let body = body.map_err(|e| match e.status() {
        StatusCode::PAYLOAD_TOO_LARGE => Problem::TooLarge,
        _ => Problem::BadRequest("the body broke off; send it again".into()),
    })?;
    serde_json::from_slice(&body).map_err(|e| {
        let mut faults = Faults::default();
        faults.add("", "JSON", &e.to_string());
        Problem::Invalid(faults)
    })
}

fn to_json(doc: &Doc) -> Value {
    let value = match doc {
        Doc::Template(d) => serde_json::to_value(d),
        Doc::Team(d) => serde_json::to_value(d),
        Doc::Target(d) => serde_json::to_value(d),
        Doc::Model(d) => serde_json::to_value(d),
    };
    value.expect("documents have text keys only, so they can be written as JSON")
}
