//! Answers that are read to their end before they are passed on.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, header::CONTENT_LENGTH};
use outbound::{Framing, end_with_connection};
use tokio::time::timeout;

use crate::{
    answer::{Body, full_body, unsized_body},
    core::Core,
    job::Job,
    send::ReplicaAnswer,
};

/// Longest answer, in bytes, that is read to its end before it is passed on.
pub(crate) const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// What was read of an answer's body before it is passed on.
pub(crate) enum Start {
    /// The body, to its end.
    Whole(Bytes),
    /// More than [`MAX_BUFFERED_BYTES`]; the rest is still to be read.
    Part(Bytes),
}

/// Reads an answer to its end before it is passed on, so that a truncated answer never looks
/// complete, unless it is long. Returns `None` if it breaks off or doesn't end within `limit`.
pub(crate) async fn read_start(answer: &mut ReplicaAnswer, limit: Duration) -> Option<Start> {
    let mut read = BytesMut::new();
    let reading = async {
        while let Some(frame) = answer.body.frame().await {
            if let Ok(bytes) = frame.ok()?.into_data() {
                read.extend_from_slice(&bytes);
            }
            if read.len() as u64 > MAX_BUFFERED_BYTES {
                return Some(false);
            }
        }
        Some(true)
    };
    let ended = timeout(limit, reading).await.ok()??;
    let bytes = read.freeze();
    Some(if ended { Start::Whole(bytes) } else { Start::Part(bytes) })
}

/// The response for the caller to an answer whose body is `bytes`.
pub(crate) fn whole_answer(
    core: &Core,
    job: &Job,
    answer: ReplicaAnswer,
    bytes: Bytes,
) -> Response<Body> {
    let ReplicaAnswer { status, mut headers, conn, flight, .. } = answer;
    let framing = Framing::of(&job.method, status, &headers);
    flight.ended(status, framing);
    core.metrics.ended.with_label_values(&[framing.name(), "event"]).inc();
    let unframed = framing == Framing::Connection;
    if !unframed {
        core.conns.keep(conn, &headers, core.now());
    }
    core.adapters.protocol.strip_response(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let body = if unframed { unsized_body(bytes) } else { full_body(bytes) };
    let mut out = Response::new(body);
    *out.status_mut() = status;
    *out.headers_mut() = headers;
    if unframed {
        end_with_connection(&mut out);
    }
    out
}

pub(crate) fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
