//! Accepts connections and serves them until the process ends.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use ident::Time;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tracing::{info, warn};

use crate::{
    accept::accept,
    answer::{Body, full_body, json_response},
    caller_conn::{CallerConn, Incomplete},
    connections::{Connections, Slot},
    conns::{CALLER_UNACKED_TIMEOUT, set_socket_options},
    core::Core,
    detour::{self, DETOUR},
    directory, feed,
    forward::forward,
    job::ActiveGuard,
    peers::CONFIG_PATH,
    protocol::Endpoint,
    unwritten::{CountedBody, Unwritten},
};

/// Largest head of a request, in bytes, before a configuration sets a limit.
const DEFAULT_HEAD_BYTES: usize = 64 * 1024;
/// Timeout for reading a request's head before a configuration sets one.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Shortest time between two log lines about failed accepts.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Connections that a listener serves however few the process may have.
const MIN_CONNS: usize = 64;

/// How long a connection that is closed for another may take to write the end of an answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The kind of requests that a listener takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Callers' requests.
    Front,
    /// Readiness, addresses and metrics.
    Info,
    /// Peers' queries.
    Peer,
}

impl ListenerKind {
    /// Most connections that a listener of this kind serves at a time, of `all` that the process may
    /// have: five in eight for callers, one in sixteen for each of the three listeners for
    /// information, and the rest for peers.
    fn max_conns(self, all: usize) -> usize {
        let sixteenths = match self {
            Self::Front => 10,
            Self::Info => 1,
            Self::Peer => 3,
        };
        (all * sixteenths / 16).max(MIN_CONNS)
    }
}

/// Accepts connections until the process ends.
pub(crate) async fn listen(core: Arc<Core>, listener: TcpListener, kind: ListenerKind) {
    let max = kind.max_conns(core.settings.bounds.callers);
    let rejected = core.metrics.rejected_clients.clone();
    let conns = Connections::new(max, core.clock.clone(), rejected);
    let mut closing = core.closing.subscribe();
    let mut logged = Time(0);
    loop {
        let accepted = async {
            let accepted = listener.accept().await?;
            Ok::<_, io::Error>((accepted, conns.enter().await))
        };
        let accepted = tokio::select! {
            accepted = accepted => accepted,
            // Callers that still use this address are refused and choose another instance.
            _ = closing.wait_for(|c| *c), if kind == ListenerKind::Front => return,
        };
        match accepted {
            Ok(((stream, from), slot)) => {
                let (core, aborted) = (core.clone(), slot.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve_connection(core, stream, from, kind, slot) => {}
                        () = aborted.must_abort() => {}
                    }
                });
            }
            Err(e) => {
                let now = core.now();
                if now.since(logged) >= ACCEPT_LOG_INTERVAL {
                    logged = now;
                    warn!(error = %e, "connection could not be accepted");
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    core: Arc<Core>,
    stream: TcpStream,
    from: SocketAddr,
    kind: ListenerKind,
    slot: Arc<Slot>,
) {
    if let Err(e) = set_socket_options(&stream, CALLER_UNACKED_TIMEOUT) {
        warn!(error = %e, %from, "socket options of connection could not be set");
    }
    let limits = core.view.snapshot().config.as_ref().map(|s| s.limits);
    // hyper panics on a limit below 8192 bytes.
    let head = limits.map_or(DEFAULT_HEAD_BYTES, |l| l.head_bytes.max(8192));
    let mut closing = core.closing.subscribe();
    let incomplete = Incomplete::default();
    let unwritten = Unwritten::default();
    let stream = CallerConn::new(stream, incomplete.clone(), unwritten.clone(), slot.clone());
    let served = slot.clone();
    let service = service_fn(move |request| {
        let (core, incomplete, unwritten) = (core.clone(), incomplete.clone(), unwritten.clone());
        let busy = served.busy();
        async move {
            // Followers ask again and again, also while the instance stops.
            let is_counted = kind != ListenerKind::Peer || request.headers().contains_key(DETOUR);
            let active = is_counted.then(|| ActiveGuard::new(&core));
            let unread = core.bodies.unread.clone();
            let answer = respond(core, request, kind, from, incomplete).await;
            let answer = answer.map(|body| busy.until_end(body, &unread));
            Ok::<_, Infallible>(answer.map(|body| CountedBody::new(body, active, unwritten)))
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).max_buf_size(head);
    // hyper's timer also covers the idle time before a request, so the longer limit applies to it.
    builder.header_read_timeout(
        limits.map_or(DEFAULT_HEAD_TIMEOUT, |l| l.idle_timeout.max(l.head_timeout)),
    );
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    // An error means that the caller went away, or a protocol error that was already answered.
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |l| l.head_timeout);
    let is_closing = tokio::select! {
        // What has arrived is read before the time for a head is checked.
        biased;
        _ = conn.as_mut() => return,
        is_closing = async { closing.wait_for(|c| *c).await.is_ok() },
            if kind == ListenerKind::Front => is_closing,
        () = slot.must_close() => false,
        () = slot.head_overdue(head_timeout) => return,
    };
    // A head that is not complete would delay the end of the connection.
    if !is_closing && !slot.has_served() {
        return;
    }
    conn.as_mut().graceful_shutdown();
    // The end of an answer may still have to be written, or a request may have come meanwhile.
    while !is_closing && timeout(CLOSE_TIMEOUT, conn.as_mut()).await.is_err() {
        if !slot.is_busy() {
            return;
        }
    }
    if is_closing {
        let _ = conn.await;
    }
}

async fn respond(
    core: Arc<Core>,
    request: Request<Incoming>,
    kind: ListenerKind,
    from: SocketAddr,
    incomplete: Incomplete,
) -> Response<Body> {
    let mut out = match kind {
        ListenerKind::Front => {
            let (version, method) = (request.version(), request.method().clone());
            let answer = serve_request(&core, request).await;
            incomplete.follow(version, &method, answer)
        }
        ListenerKind::Info => serve_info(&core, &request),
        ListenerKind::Peer if request.headers().contains_key(DETOUR) => {
            let (version, method) = (request.version(), request.method().clone());
            let answer = detour::answer(&core, request, from).await;
            incomplete.follow(version, &method, answer.unwrap_or_else(|| not_found(&core)))
        }
        ListenerKind::Peer => match feed::answer(&core, &request).await {
            Some(answer) => answer,
            None => serve_peer(&core, &request),
        },
    };
    if core.is_leaving() {
        out.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    out
}

async fn serve_request(core: &Arc<Core>, request: Request<Incoming>) -> Response<Body> {
    let start = core.now();
    let snapshot = core.view.snapshot();
    let rev = snapshot.config.as_ref().map(|s| s.rev);
    let (uri, host) = (request.uri().clone(), request.headers().get(HOST).cloned());
    let job = match accept(core, request, start).await {
        Ok(job) => Arc::new(job),
        Err(refusal) => {
            core.metrics.requests.with_label_values(&[refusal.name()]).inc();
            let known_ms = start.since(snapshot.confirmed.config).as_millis() as u64;
            info!(
                outcome = refusal.name(),
                rev,
                known_ms,
                host = host.as_ref().and_then(|h| h.to_str().ok()),
                path = uri.path(),
                why = %refusal,
                "request refused"
            );
            return refusal.response(&*core.adapters.protocol);
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
                request = &*job.meta.id,
                route = &*job.route.name,
                rev,
                outcome = refusal.name(),
                took_ms = took,
                why = %refusal,
                "request failed"
            );
            refusal.response(&*core.adapters.protocol)
        }
    }
}

fn serve_info(core: &Core, request: &Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    match core.adapters.protocol.endpoint(uri.path(), uri.query()) {
        Endpoint::Ready if core.is_ready() => Response::new(full_body("".into())),
        Endpoint::Ready => json_response(StatusCode::SERVICE_UNAVAILABLE, b"{}".to_vec()),
        Endpoint::Addresses { zone } => directory::answer(core, zone.as_deref()),
        Endpoint::Unknown if uri.path() == METRICS_PATH => {
            Response::new(full_body(core.metrics.text().into()))
        }
        Endpoint::Unknown => json_response(
            StatusCode::NOT_FOUND,
            core.adapters.protocol.error_body("nothing is served at this path"),
        ),
    }
}

/// Answers with the encoded configuration in force.
fn serve_peer(core: &Core, request: &Request<Incoming>) -> Response<Body> {
    let bytes = core.config_bytes.lock().clone();
    if request.uri().path() != CONFIG_PATH || bytes.is_empty() {
        return not_found(core);
    }
    Response::new(full_body(bytes))
}

fn not_found(core: &Core) -> Response<Body> {
    let body = core.adapters.protocol.error_body("there is nothing here");
    json_response(StatusCode::NOT_FOUND, body)
}

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
