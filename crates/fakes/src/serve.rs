//! Serves a stand-in over HTTP and injects the faults that all stand-ins share.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use axum::{
    Router,
    body::{Body, HttpBody},
    extract::{DefaultBodyLimit, Request},
    http::StatusCode,
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
    service::TowerToHyperService,
};
use tokio::net::{TcpListener, TcpStream};

use crate::control::Control;

/// Pause after a failed accept. Its usual cause is that no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A stand-in that is ready to be served.
#[derive(Clone)]
pub struct App {
    router: Router,
    /// Fault knobs, log and counters of the stand-in.
    pub control: Arc<Control>,
}

impl App {
    pub(crate) fn new(router: Router, control: Arc<Control>) -> Self {
        let router = router.merge(control.routes()).layer(DefaultBodyLimit::disable());
        Self { router, control }
    }
}

/// Marks a response, or ends a body, whose connection a fault knob closes.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the connection is cut by a fault knob")]
pub(crate) struct ConnectionCut;

/// Returns a response that is not sent; the connection is closed instead.
pub(crate) fn cut_connection() -> Response {
    let mut response = ().into_response();
    response.extensions_mut().insert(ConnectionCut);
    response
}

/// Binds a listener to `addr`; port 0 takes any free port.
pub async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}

/// Serves `app` on a free loopback port from a task of the current runtime.
pub async fn spawn(app: App) -> io::Result<SocketAddr> {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(serve(listener, app));
    Ok(addr)
}

/// Accepts connections without end and serves each in a task of its own.
pub async fn serve(listener: TcpListener, app: App) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(stream, app.clone()))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, app: App) {
    // This fails only if the caller has already closed the connection.
    let _ = stream.set_nodelay(true);
    let connection =
        Connection { epoch: app.control.silence_epoch(), control: app.control.clone() };
    let service = hyper::service::service_fn(move |request| {
        handle_request(app.router.clone(), connection.clone(), request)
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().half_close(false);
    // An error means that the caller closed the connection or that a fault knob did.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// State of a connection that decides which faults apply to it.
#[derive(Clone)]
struct Connection {
    control: Arc<Control>,
    /// Value of `Control::silence_epoch` at the time the connection was accepted.
    epoch: u64,
}

impl Connection {
    fn is_silent(&self) -> bool {
        self.epoch < self.control.silence_epoch() || self.control.with_faults(|f| f.silent)
    }
}

async fn handle_request(
    router: Router,
    connection: Connection,
    request: Request<Incoming>,
) -> Result<Response, ConnectionCut> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionCut)?.to_bytes();
    let request = Request::from_parts(parts, Body::from(body));
    if request.uri().path().starts_with("/_") {
        return Ok(call_router(router, request).await);
    }
    if connection.is_silent() {
        std::future::pending::<()>().await;
    }
    connection.control.count("calls", 1);
    let (outage, delay) = connection.control.with_faults(|f| (f.outage, f.delay_ms));
    if outage {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    let lose_answer = connection.control.with_faults(|f| f.lose_answers.take());
    // The call runs in its own task, so that it takes effect even if the caller disconnects.
    let task = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(delay)).await;
        call_router(router, request).await
    });
    let response = task.await.map_err(|_| ConnectionCut)?;
    if connection.is_silent() {
        std::future::pending::<()>().await;
    }
    if lose_answer || response.extensions().get::<ConnectionCut>().is_some() {
        return Err(ConnectionCut);
    }
    let remaining = connection.control.with_faults(|f| f.cut_after_bytes);
    Ok(response.map(|inner| Body::new(FaultyBody { inner, connection, remaining, silent: false })))
}

async fn call_router(router: Router, request: Request) -> Response {
    let service = TowerToHyperService::new(router);
    match hyper::service::Service::call(&service, request).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}

/// Body of an answer that fault knobs may cut off or make silent.
struct FaultyBody {
    inner: Body,
    connection: Connection,
    /// Bytes to send before the connection is closed; `None` means no limit.
    remaining: Option<u64>,
    /// Whether the body sends nothing more; it never becomes false again.
    silent: bool,
}

impl HttpBody for FaultyBody {
    type Data = Bytes;
    type Error = axum::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.silent = self.silent || self.connection.is_silent();
        if self.silent {
            return Poll::Pending;
        }
        if self.remaining == Some(0) {
            return Poll::Ready(Some(Err(ConnectionCut.into())));
        }
        let frame = match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => frame,
            Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(e.into()))),
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Pending => return Poll::Pending,
        };
        let (Some(remaining), Some(data)) = (self.remaining, frame.data_ref()) else {
            return Poll::Ready(Some(Ok(frame)));
        };
        let sent = data.slice(..data.len().min(usize::try_from(remaining).unwrap_or(usize::MAX)));
        self.remaining = Some(remaining - sent.len() as u64);
        Poll::Ready(Some(Ok(Frame::data(sent))))
    }

    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
