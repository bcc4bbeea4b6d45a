//! Calls to plain services.

use std::{net::SocketAddr, pin::pin, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::{
    CallError, Refusal,
    client::{CONNECT_TERM, read},
    gate::{Closed, Gate},
};

/// Header by which a service says that it did not run a call.
const NOT_RUN: &str = "x-not-run";
/// Header that carries the caller's idempotency key on.
const KEY: &str = "idempotency-key";

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The method.
    pub method: Method,
    /// Path and query, with leading slash.
    pub path: String,
    /// The caller's content type.
    pub content: Option<HeaderValue>,
    /// The caller's idempotency key.
    pub key: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// A service's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Its content type.
    pub content: Option<HeaderValue>,
    /// Its body.
    pub body: Bytes,
}

/// Whether a call may still be sent; asked once its connection is there, and again right before its
/// first byte.
pub type MaySend<'a> = &'a (dyn Fn() -> bool + Sync);

/// A plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Makes the call on a new connection, so that a failed connect proves it was not run. Fails
    /// with an error of [`CallError::not_run`] only when it was not run.
    async fn call(
        &self,
        addr: SocketAddr,
        call: &ServiceCall,
        may_send: MaySend<'_>,
        limit: Duration,
    ) -> Result<Reply, CallError>;
}

/// [`Service`] over HTTP.
#[derive(Debug, Default)]
pub struct ServiceClient;

#[async_trait]
impl Service for ServiceClient {
    async fn call(
        &self,
        addr: SocketAddr,
        call: &ServiceCall,
        may_send: MaySend<'_>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let request = request(addr, call)?;
        let stream = connect(addr).await?;
        if !may_send() {
            return Err(CallError::Late);
        }
        let closed = Closed::default();
        let gate = Gate::new(stream, may_send, &closed);
        let handshake = http1::handshake(TokioIo::new(gate)).await;
        let (sender, connection) =
            handshake.map_err(|e| CallError::Connect(e.to_string().into()))?;
        let whole = exchange(sender, connection, request);
        match timeout(limit, whole).await {
            Ok(Err(_)) if closed.get() => Err(CallError::Late),
            Ok(answered) => answered,
            Err(_) => Err(CallError::Silent),
        }
    }
}

/// Opens a connection; nothing is sent on it yet.
async fn connect(addr: SocketAddr) -> Result<TcpStream, CallError> {
    let failed = |e: &dyn std::error::Error| CallError::Connect(e.to_string().into());
    match timeout(CONNECT_TERM, TcpStream::connect(addr)).await {
        Ok(stream) => stream.map_err(|e| failed(&e)),
        Err(late) => Err(failed(&late)),
    }
}

/// Sends the request and reads the answer, with the connection driven in the same task: it ends
/// with the call.
async fn exchange<T>(
    mut sender: SendRequest<Full<Bytes>>,
    connection: http1::Connection<T, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<Reply, CallError>
where
    T: hyper::rt::Read + hyper::rt::Write + Unpin,
{
    let whole = async {
        let response = sender.send_request(request).await;
        reply(response.map_err(|e| CallError::Broken(e.to_string().into()))?).await
    };
    let (mut whole, mut connection) = (pin!(whole), pin!(connection));
    tokio::select! {
        answered = &mut whole => answered,
        // What became of it comes back through the sender.
        _ = &mut connection => whole.await,
    }
}

async fn reply(response: Response<Incoming>) -> Result<Reply, CallError> {
    let status = response.status();
    let refused = response.headers().contains_key(NOT_RUN);
    if status == StatusCode::SERVICE_UNAVAILABLE && refused {
        return Err(Refusal::NotRun.into());
    }
    let content = response.headers().get(CONTENT_TYPE).cloned();
    Ok(Reply { status, content, body: read(response).await? })
}

fn request(addr: SocketAddr, call: &ServiceCall) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(HOST, addr.to_string());
    if let Some(content) = &call.content {
        builder = builder.header(CONTENT_TYPE, content);
    }
    if let Some(key) = &call.key {
        builder = builder.header(KEY, key);
    }
    // A request that cannot be built was certainly not sent.
    builder.body(Full::from(call.body.clone())).map_err(|_| Refusal::Status(400).into())
}
