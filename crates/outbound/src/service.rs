//! Client for plain services.

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
    CallError, Framing, InformationalLimit, Refusal,
    checked_connection::{CheckedConnection, WriteRefused},
    client::{CONNECT_TIMEOUT, read},
};

/// Header with which a service reports that it did not run a call.
const NOT_RUN_HEADER: &str = "x-not-run";
/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query, with a leading slash.
    pub path: String,
    /// Content type that the caller sent; `None` if it sent none.
    pub content_type: Option<HeaderValue>,
    /// Idempotency key that the caller sent; `None` if it sent none.
    pub idempotency_key: Option<HeaderValue>,
    /// Request body.
    pub body: Bytes,
}

/// Complete answer of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Content type of the answer; `None` if it has none.
    pub content_type: Option<HeaderValue>,
    /// Body of the answer.
    pub body: Bytes,
    /// Whether its framing says that the body is whole. If not, only the connection has ended, and
    /// the body may have been cut.
    pub framed: bool,
}

/// Check whether a call may still be sent. It is made once the connection is open, and again right
/// before the first byte.
pub type MaySend<'a> = &'a (dyn Fn() -> bool + Sync);

/// Interface of the replicas of plain services.
#[async_trait]
pub trait Service: Send + Sync {
    /// Sends a call on a new connection, so that a failed connect proves that the call was not run.
    /// [`CallError::not_run`] is true for the error only if the call was not run.
    async fn call(
        &self,
        addr: SocketAddr,
        call: &ServiceCall,
        may_send: MaySend<'_>,
        limit: Duration,
    ) -> Result<Reply, CallError>;
}

/// Implementation of [`Service`] over HTTP.
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
        let refused = WriteRefused::default();
        let checked = CheckedConnection::new(stream, may_send, &refused);
        let handshake = http1::handshake(TokioIo::new(checked)).await;
        let (sender, connection) =
            handshake.map_err(|e| CallError::Connect(e.to_string().into()))?;
        let answer = exchange(sender, connection, request);
        match timeout(limit, answer).await {
            Ok(Err(_)) if refused.get() => Err(CallError::Late),
            Ok(result) => result,
            Err(_) => Err(CallError::Silent),
        }
    }
}

/// Opens a connection. Nothing is sent on it yet.
async fn connect(addr: SocketAddr) -> Result<TcpStream, CallError> {
    let failed = |e: &dyn std::error::Error| CallError::Connect(e.to_string().into());
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(stream) => stream.map_err(|e| failed(&e)),
        Err(late) => Err(failed(&late)),
    }
}

/// Sends the request and reads the answer. The connection is driven in the same task, so it ends
/// with the call.
async fn exchange<T>(
    mut sender: SendRequest<Full<Bytes>>,
    connection: http1::Connection<T, Full<Bytes>>,
    mut request: Request<Full<Bytes>>,
) -> Result<Reply, CallError>
where
    T: hyper::rt::Read + hyper::rt::Write + Unpin,
{
    let method = request.method().clone();
    let informational = InformationalLimit::new(&mut request);
    let answer = async {
        let response = informational.within(sender.send_request(request)).await;
        let response = response.map_err(|e| CallError::Broken(e.to_string().into()))?;
        reply(&method, response.map_err(|e| CallError::Broken(e.to_string().into()))?).await
    };
    let (mut answer, mut connection) = (pin!(answer), pin!(connection));
    tokio::select! {
        result = &mut answer => result,
        // A failure of the connection is also returned through `sender`.
        _ = &mut connection => answer.await,
    }
}

async fn reply(method: &Method, response: Response<Incoming>) -> Result<Reply, CallError> {
    let status = response.status();
    let not_run = response.headers().contains_key(NOT_RUN_HEADER);
    if status == StatusCode::SERVICE_UNAVAILABLE && not_run {
        return Err(Refusal::NotRun.into());
    }
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    let framed = Framing::of(method, status, response.headers()) != Framing::Connection;
    Ok(Reply { status, content_type, body: read(response.into_body()).await?, framed })
}

fn request(addr: SocketAddr, call: &ServiceCall) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(HOST, addr.to_string());
    if let Some(content_type) = &call.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = &call.idempotency_key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    // A request that cannot be built was not sent, so it counts as refused.
    builder.body(Full::from(call.body.clone())).map_err(|_| Refusal::Status(400).into())
}
