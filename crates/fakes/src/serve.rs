//! Serves a stand-in over HTTP and applies the common faults.

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

/// Pause after a failed accept, which is mostly for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A stand-in ready to be served.
#[derive(Clone)]
pub struct App {
    router: Router,
    /// Its knobs, log and counters.
    pub control: Arc<Control>,
}

impl App {
    pub(crate) fn new(router: Router, control: Arc<Control>) -> Self {
        let router = router.merge(control.routes()).layer(DefaultBodyLimit::disable());
        Self { router, control }
    }
}

/// The connection is closed without an answer, on purpose.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the connection is cut by a fault knob")]
pub(crate) struct Cut;

/// An answer that closes the connection instead of being sent.
pub(crate) fn cut() -> Response {
    let mut response = ().into_response();
    response.extensions_mut().insert(Cut);
    response
}

/// Binds `addr`; port 0 takes any free port.
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

/// Accepts connections for ever.
pub async fn serve(listener: TcpListener, app: App) -> Infallible {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(connection(stream, app.clone()))),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection(stream: TcpStream, app: App) {
    // Fails only when the caller has gone again.
    let _ = stream.set_nodelay(true);
    let line = Line { epoch: app.control.epoch(), control: app.control.clone() };
    let service = hyper::service::service_fn(move |request| {
        answer(app.router.clone(), line.clone(), request)
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().half_close(false);
    // An error here is a caller that went away or a cut made on purpose.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// What the faults need to know of a connection.
#[derive(Clone)]
struct Line {
    control: Arc<Control>,
    /// The control block's epoch when the connection was accepted.
    epoch: u64,
}

impl Line {
    fn silent(&self) -> bool {
        self.epoch < self.control.epoch() || self.control.with(|f| f.silent)
    }
}

async fn answer(router: Router, line: Line, request: Request<Incoming>) -> Result<Response, Cut> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
    let request = Request::from_parts(parts, Body::from(body));
    if request.uri().path().starts_with("/_") {
        return Ok(call(router, request).await);
    }
    if line.silent() {
        std::future::pending::<()>().await;
    }
    line.control.count("calls", 1);
    let (outage, delay) = line.control.with(|f| (f.outage, f.delay_ms));
    if outage {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    let lost = line.control.with(|f| f.lose_answers.take());
    // A task of its own, so that the call takes effect even if the caller has gone.
    let task = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(delay)).await;
        call(router, request).await
    });
    let response = task.await.map_err(|_| Cut)?;
    if line.silent() {
        std::future::pending::<()>().await;
    }
    if lost || response.extensions().get::<Cut>().is_some() {
        return Err(Cut);
    }
    let left = line.control.with(|f| f.cut_after_bytes);
    Ok(response.map(|inner| Body::new(Faulty { inner, line, left, silent: false })))
}

async fn call(router: Router, request: Request) -> Response {
    let service = TowerToHyperService::new(router);
    match hyper::service::Service::call(&service, request).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}

/// An answer's body that may be cut or go silent.
struct Faulty {
    inner: Body,
    line: Line,
    /// Bytes until the cut.
    left: Option<u64>,
    /// Once silent, always silent.
    silent: bool,
}

impl HttpBody for Faulty {
    type Data = Bytes;
    type Error = axum::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.silent = self.silent || self.line.silent();
        if self.silent {
            return Poll::Pending;
        }
        if self.left == Some(0) {
            return Poll::Ready(Some(Err(Cut.into())));
        }
        let frame = match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => frame,
            Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(e.into()))),
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Pending => return Poll::Pending,
        };
        let (Some(left), Some(data)) = (self.left, frame.data_ref()) else {
            return Poll::Ready(Some(Ok(frame)));
        };
        let sent = data.slice(..data.len().min(usize::try_from(left).unwrap_or(usize::MAX)));
        self.left = Some(left - sent.len() as u64);
        Poll::Ready(Some(Ok(Frame::data(sent))))
    }

    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
