//! Answering peers.

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
    MAX_FRAME, Message, decode, encode,
    hub::Shared,
    seal::{OpenError, Question},
    stats::{Counted, count},
};

/// Pause after a failed accept, which mostly means that no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time to read a question.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest buffer of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Accepts connections until dropped.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let slots = Arc::new(Semaphore::new(shared.options.connections));
    let mut tasks = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            count(&shared.counters.refused);
            continue;
        };
        count(&shared.counters.connections);
        let shared = shared.clone();
        tasks.spawn(async move {
            serve(stream, shared).await;
            drop(slot);
        });
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let idle = shared.options.idle;
    let io = TokioIo::new(Counted { stream, counters: shared.counters.clone() });
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(respond(request, &shared).await) }
    });
    // The peer sees a failed connection; nothing is to be done here.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(BUFFER_BYTES)
        .auto_date_header(false)
        .serve_connection(io, service)
        .await;
}

async fn respond(request: Request<Incoming>, shared: &Shared) -> Response<Full<Bytes>> {
    let (status, body) = match answer(request, shared).await {
        Ok(Some(body)) => (StatusCode::OK, body),
        Ok(None) => (StatusCode::NO_CONTENT, Vec::new()),
        Err(status) => (status, Vec::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

async fn answer(
    request: Request<Incoming>,
    shared: &Shared,
) -> Result<Option<Vec<u8>>, StatusCode> {
    let body = Limited::new(request.into_body(), MAX_FRAME).collect();
    let read = timeout(READ_TIMEOUT, body).await.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
    let bytes = read
        .map_err(|_| {
            count(&shared.counters.garbled);
            StatusCode::PAYLOAD_TOO_LARGE
        })?
        .to_bytes();
    let question = shared.identity.open_ask(&bytes).map_err(|e| drop_frame(shared, &e))?;
    let message = decode(question.body, question.boot)
        .map_err(|_| drop_frame(shared, &OpenError::Garbled))?;
    check_number(shared, &question, &message)?;
    let Some(reply) = shared.handler.handle(question.from.clone(), message).await else {
        return Ok(None);
    };
    let body = encode(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    let sealed = shared.identity.answer(&question.from, question.boot, question.seq, &body);
    if sealed.len() > MAX_FRAME {
        return Err(StatusCode::INTERNAL_SERVER_ERROR);
    }
    count(&shared.counters.answered);
    Ok(Some(sealed))
}

fn drop_frame(shared: &Shared, error: &OpenError) -> StatusCode {
    match error {
        OpenError::Garbled => {
            count(&shared.counters.garbled);
            StatusCode::BAD_REQUEST
        }
        OpenError::Forged => {
            count(&shared.counters.forged);
            StatusCode::FORBIDDEN
        }
    }
}

/// Refuses a ping that was seen before or was overtaken by a later one.
fn check_number(
    shared: &Shared,
    question: &Question<'_>,
    message: &Message,
) -> Result<(), StatusCode> {
    if !matches!(message, Message::Ping(_)) {
        return Ok(());
    }
    if shared.take_number(&question.from, question.boot, question.seq) {
        return Ok(());
    }
    count(&shared.counters.replayed);
    Err(StatusCode::CONFLICT)
}
