//! Server side: answers the requests of peers.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    MAX_FRAME_BYTES, Message, decode, encode,
    hub::Shared,
    seal::{OpenError, OpenedRequest},
    stats::{CountingStream, count},
};

/// Pause after a failed accept. The usual cause is that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time to read the body of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest read buffer of a connection.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Accepts connections and serves each in its own task, until the future is dropped.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let permits = Arc::new(Semaphore::new(shared.options.max_connections));
    let mut tasks = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            count(&shared.counters.connections_refused);
            continue;
        };
        count(&shared.counters.connections);
        let shared = shared.clone();
        tasks.spawn(async move {
            serve(stream, shared).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let idle_timeout = shared.options.idle_timeout;
    let io = TokioIo::new(CountingStream { stream, counters: shared.counters.clone() });
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(respond(request, &shared).await) }
    });
    // On an error the connection is closed, which the peer sees.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MAX_BUFFER_BYTES)
        .auto_date_header(false)
        .serve_connection(io, service)
        .await;
}

async fn respond(request: Request<Incoming>, shared: &Shared) -> Response<Full<Bytes>> {
    let (status, body) = match handle(request, shared).await {
        Ok(Some(body)) => (StatusCode::OK, body),
        Ok(None) => (StatusCode::NO_CONTENT, Vec::new()),
        Err(status) => (status, Vec::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

async fn handle(
    request: Request<Incoming>,
    shared: &Shared,
) -> Result<Option<Vec<u8>>, StatusCode> {
    let body = Limited::new(request.into_body(), MAX_FRAME_BYTES).collect();
    let read = timeout(READ_TIMEOUT, body).await.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
    let bytes = read
        .map_err(|_| {
            count(&shared.counters.malformed);
            StatusCode::PAYLOAD_TOO_LARGE
        })?
        .to_bytes();
    let opened = shared.identity.open_request(&bytes).map_err(|e| reject(shared, &e))?;
    let message =
        decode(opened.body, opened.boot).map_err(|_| reject(shared, &OpenError::Malformed))?;
    check_seq(shared, &opened, &message)?;
    let Some(reply) = shared.handler.handle(opened.from.clone(), message).await else {
        return Ok(None);
    };
    let body = encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    let sealed = shared.identity.seal_response(&opened.from, opened.boot, opened.seq, &body);
    if sealed.len() > MAX_FRAME_BYTES {
        return Err(StatusCode::INTERNAL_SERVER_ERROR);
    }
    count(&shared.counters.requests_answered);
    Ok(Some(sealed))
}

/// Counts a request that could not be opened or decoded and returns the status for it.
fn reject(shared: &Shared, error: &OpenError) -> StatusCode {
    match error {
        OpenError::Malformed => {
            count(&shared.counters.malformed);
            StatusCode::BAD_REQUEST
        }
        OpenError::NotAuthentic => {
            count(&shared.counters.not_authentic);
            StatusCode::FORBIDDEN
        }
    }
}

/// Rejects a ping whose sequence number is not higher than those before it: a replay, or one that
/// a later ping overtook.
fn check_seq(
    shared: &Shared,
    opened: &OpenedRequest<'_>,
    message: &Message,
) -> Result<(), StatusCode> {
    if !matches!(message, Message::Ping(_)) {
        return Ok(());
    }
    if shared.accept_seq(&opened.from, opened.boot, opened.seq) {
        return Ok(());
    }
    count(&shared.counters.replayed);
    Err(StatusCode::CONFLICT)
}
