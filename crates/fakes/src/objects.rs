//! Stand-in for the platform's object store: S3 with path-style URLs, only for complete objects.

use std::sync::Arc;

use axum::{
    Router,
    body::Bytes,
    extract::{Path, State},
    http::{HeaderMap, StatusCode, header},
    response::{IntoResponse, Response},
    routing::get,
};
use ident::Digest;
use parking_lot::Mutex;

use crate::{
    control::{Control, unix_seconds},
    serve::App,
    sorted::SortedMap,
};

#[derive(Clone)]
struct Object {
    bytes: Bytes,
    etag: String,
    /// Time of the last write, in seconds of Unix time.
    modified: u64,
}

struct Objects {
    control: Arc<Control>,
    all: Mutex<SortedMap<Arc<str>, Object>>,
}

/// Creates an empty object store.
pub fn objects(control: Arc<Control>) -> App {
    let state = Arc::new(Objects { control: control.clone(), all: Mutex::default() });
    let router = Router::new()
        .route("/{bucket}/{*key}", get(read).put(write).delete(remove))
        .with_state(state);
    App::new(router, control)
}

fn path(bucket: &str, key: &str) -> Arc<str> {
    format!("{bucket}/{key}").into()
}

async fn write(
    State(objects): State<Arc<Objects>>,
    Path((bucket, key)): Path<(String, String)>,
    headers: HeaderMap,
    bytes: Bytes,
) -> Response {
    objects.control.count("writes", 1);
    let path = path(&bucket, &key);
    let mut all = objects.all.lock();
    let create = headers.get(header::IF_NONE_MATCH).is_some_and(|v| v == "*");
    if create && all.get(&*path).is_some() {
        return error(StatusCode::PRECONDITION_FAILED, "PreconditionFailed");
    }
    let etag = format!("\"{}\"", Digest::of(&bytes));
    all.put(path, Object { bytes, etag: etag.clone(), modified: unix_seconds() });
    [(header::ETAG, etag)].into_response()
}

async fn read(
    State(objects): State<Arc<Objects>>,
    Path((bucket, key)): Path<(String, String)>,
) -> Response {
    objects.control.count("reads", 1);
    let found = objects.all.lock().get(&*path(&bucket, &key)).cloned();
    let Some(object) = found else {
        return error(StatusCode::NOT_FOUND, "NoSuchKey");
    };
    let headers = [
        (header::ETAG, object.etag),
        (header::LAST_MODIFIED, http_date(object.modified)),
        (header::CONTENT_TYPE, "application/octet-stream".to_owned()),
    ];
    (headers, object.bytes).into_response()
}

async fn remove(
    State(objects): State<Arc<Objects>>,
    Path((bucket, key)): Path<(String, String)>,
) -> StatusCode {
    objects.control.count("writes", 1);
    objects.all.lock().remove(&*path(&bucket, &key));
    StatusCode::NO_CONTENT
}

fn error(status: StatusCode, code: &str) -> Response {
    let body = format!("<Error><Code>{code}</Code><Message>{code}</Message></Error>");
    (status, [(header::CONTENT_TYPE, "application/xml")], body).into_response()
}

/// Formats seconds of Unix time as a date of an HTTP header.
fn http_date(seconds: u64) -> String {
    const DAYS: [&str; 7] = ["Thu", "Fri", "Sat", "Sun", "Mon", "Tue", "Wed"];
    const MONTHS: [&str; 12] =
        ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];
    let (days, clock) = (seconds / 86_400, seconds % 86_400);
    // The days are split into eras of 400 years, each of which begins on 1 March.
    let shifted = days + 719_468;
    let (era, day) = (shifted / 146_097, shifted % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let march = (5 * day + 2) / 153;
    let date = day - (153 * march + 2) / 5 + 1;
    let month = (march + 2) % 12;
    let year = era * 400 + year + u64::from(month < 2);
    format!(
        "{}, {date:02} {} {year} {:02}:{:02}:{:02} GMT",
        DAYS[(days % 7) as usize],
        MONTHS[month as usize],
        clock / 3600,
        clock / 60 % 60,
        clock % 60,
    )
}
