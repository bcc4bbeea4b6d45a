//! Listeners: accepting connections and serving them until the process ends.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    Request, Response, StatusCode, body::Incoming, header::CONNECTION, header::HeaderValue,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tracing::{info, warn};

use crate::{
    accept::accept,
    answer::{Body, full, json},
    conns::tune,
    core::Core,
    dialect::Question,
    directory,
    forward::forward,
    peers::SETUP_PATH,
};

/// Largest head of a request, in bytes, where the configuration does not say.
const HEAD_BYTES: usize = 64 * 1024;
/// How long a head may take, where the configuration does not say.
const HEAD_TERM: Duration = Duration::from_secs(5);
/// Pause after an accept that failed, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a listener is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Door {
    /// Callers' requests.
    Front,
    /// Readiness, addresses and metrics.
    Inquiry,
    /// Peers' questions.
    Peer,
}

/// Accepts connections until the process ends.
pub(crate) async fn listen(core: Arc<Core>, listener: TcpListener, door: Door) {
    let permits = Arc::new(tokio::sync::Semaphore::new(core.settings.bounds.callers));
    let mut closing = core.closing.subscribe();
    loop {
        let permit = permits.clone().acquire_owned().await.expect("it is never closed");
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Callers that still know this address are refused and use another one.
            _ = closing.wait_for(|c| *c), if door == Door::Front => return,
        };
        match accepted {
            Ok((stream, from)) => {
                let core = core.clone();
                tokio::spawn(async move {
                    serve(core, stream, from, door).await;
                    drop(permit);
                });
            }
            Err(e) => {
                warn!(error = %e, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(core: Arc<Core>, stream: TcpStream, from: SocketAddr, door: Door) {
    if let Err(e) = tune(&stream) {
        warn!(error = %e, %from, "socket options could not be set");
    }
    let limits = core.view.get().setup.as_ref().map(|s| s.limits);
    let head = limits.map_or(HEAD_BYTES, |l| l.head.max(8192));
    let mut closing = core.closing.subscribe();
    let service = service_fn(move |request| answer(core.clone(), request, door));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).max_buf_size(head);
    builder.header_read_timeout(limits.map_or(HEAD_TERM, |l| l.idle.max(l.patience)));
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    // An error is the client's leaving or a protocol fault that was answered already.
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = closing.wait_for(|c| *c), if door == Door::Front => {}
    }
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}

async fn answer(
    core: Arc<Core>,
    request: Request<Incoming>,
    door: Door,
) -> Result<Response<Body>, Infallible> {
    let mut out = match door {
        Door::Front => request_answer(&core, request).await,
        Door::Inquiry => inquiry_answer(&core, &request),
        Door::Peer => peer_answer(&core, &request),
    };
    if core.is_leaving() {
        out.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(out)
}

async fn request_answer(core: &Arc<Core>, request: Request<Incoming>) -> Response<Body> {
    let start = core.now();
    let rev = core.view.get().setup.as_ref().map(|s| s.rev);
    let job = match accept(core, request, start).await {
        Ok(job) => Arc::new(job),
        Err(refusal) => {
            core.metrics.requests.with_label_values(&[refusal.name()]).inc();
            info!(outcome = refusal.name(), rev, why = %refusal, "request refused");
            return refusal.response(&*core.outside.dialect);
        }
    };
    match forward(core.clone(), job.clone()).await {
        Ok(response) => {
            core.metrics.requests.with_label_values(&["answered"]).inc();
            response
        }
        Err(refusal) => {
            core.metrics.requests.with_label_values(&[refusal.name()]).inc();
            let took = core.now().since(job.start).as_millis() as u64;
            info!(
                request = &*job.told.id,
                route = &*job.route.name,
                rev,
                outcome = refusal.name(),
                took_ms = took,
                why = %refusal,
                "request ended"
            );
            refusal.response(&*core.outside.dialect)
        }
    }
}

fn inquiry_answer(core: &Core, request: &Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    match core.outside.dialect.question(uri.path(), uri.query()) {
        Question::Ready if core.ready() => Response::new(full("".into())),
        Question::Ready => json(StatusCode::SERVICE_UNAVAILABLE, b"{}".to_vec()),
        Question::Addresses { zone } => directory::answer(core, zone.as_deref()),
        Question::Unknown if uri.path() == METRICS_PATH => {
            Response::new(full(core.metrics.text().into()))
        }
        Question::Unknown => json(
            StatusCode::NOT_FOUND,
            core.outside.dialect.error("nothing is served at this path"),
        ),
    }
}

/// The configuration in force, as it was read.
fn peer_answer(core: &Core, request: &Request<Incoming>) -> Response<Body> {
    let bytes = core.source.lock().clone();
    if request.uri().path() != SETUP_PATH || bytes.is_empty() {
        return json(StatusCode::NOT_FOUND, core.outside.dialect.error("there is nothing here"));
    }
    Response::new(full(bytes))
}

/// Where the metrics are.
const METRICS_PATH: &str = "/metrics";
