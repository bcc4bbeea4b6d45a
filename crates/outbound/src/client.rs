//! HTTP client that all other clients of this crate use.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{CallError, InformationalLimit};

/// Maximum size of an answer that is read into memory.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Longest head of an answer, in bytes. It also bounds what is read at once.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Time after which an unused pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for opening a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeouts of calls.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time from sending a small call to the end of its answer.
    pub call: Duration,
    /// Time from sending a transfer of pieces to the end of its answer.
    pub transfer: Duration,
    /// Maximum time until the head of a stream's response, and between two chunks of its body,
    /// keep-alives included.
    pub stream_idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            call: Duration::from_millis(1500),
            transfer: Duration::from_secs(5),
            stream_idle: Duration::from_millis(2500),
        }
    }
}

/// The connection that a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// A pooled connection, or a new one if none is idle.
    Pooled,
    /// A new connection, which is closed after the call.
    New,
}

type HttpClient = legacy::Client<HttpConnector, Full<Bytes>>;

/// HTTP client that offers pooled and single-use connections.
#[derive(Clone)]
pub struct Client {
    pooled: HttpClient,
    unpooled: HttpClient,
    timeouts: Timeouts,
}

impl Client {
    /// Creates a client with the given timeouts.
    pub fn new(timeouts: Timeouts) -> Self {
        Self { pooled: build_client(usize::MAX), unpooled: build_client(0), timeouts }
    }

    /// Returns the timeouts of this client.
    pub fn timeouts(&self) -> Timeouts {
        self.timeouts
    }

    /// Sends a request and returns the head of the answer. Fails with [`CallError::Silent`] if it
    /// does not arrive within `limit`.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        connection: Connection,
        limit: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let informational = InformationalLimit::new(&mut request);
        let client = match connection {
            Connection::Pooled => &self.pooled,
            Connection::New => &self.unpooled,
        };
        match timeout(limit, informational.within(client.request(request))).await {
            Ok(Ok(Ok(response))) => Ok(response),
            Ok(Ok(Err(e))) if e.is_connect() => Err(CallError::Connect(cause(&e))),
            Ok(Ok(Err(e))) => Err(CallError::Broken(cause(&e))),
            Ok(Err(e)) => Err(CallError::Broken(e.to_string().into())),
            Err(_) => Err(CallError::Silent),
        }
    }

    /// Sends a JSON call and parses the JSON answer, within `limit`. `refuse` converts an
    /// unsuccessful status and its body into an error.
    pub async fn json<A, B, F>(
        &self,
        call: JsonCall<'_, A>,
        limit: Duration,
        refuse: F,
    ) -> Result<B, CallError>
    where
        A: Serialize + Sync,
        B: DeserializeOwned,
        F: Fn(StatusCode, &[u8]) -> CallError,
    {
        let bytes = self.bytes(call, limit, refuse).await?;
        serde_json::from_slice(&bytes).map_err(CallError::malformed)
    }

    /// Like [`Client::json`], but returns the bytes of the answer's body.
    pub async fn bytes<A, F>(
        &self,
        call: JsonCall<'_, A>,
        limit: Duration,
        refuse: F,
    ) -> Result<Bytes, CallError>
    where
        A: Serialize + Sync,
        F: Fn(StatusCode, &[u8]) -> CallError,
    {
        self.call_bytes(call.request()?, call.connection, limit, refuse).await
    }

    /// Like [`Client::bytes`], but returns answers of any status, with their headers.
    pub async fn answer<A>(
        &self,
        call: JsonCall<'_, A>,
        limit: Duration,
    ) -> Result<Response<Bytes>, CallError>
    where
        A: Serialize + Sync,
    {
        self.call_answer(call.request()?, call.connection, limit).await
    }

    /// Sends a prepared request over a pooled connection and parses the JSON answer, within
    /// `limit`.
    pub async fn send_json<B, F>(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        refuse: F,
    ) -> Result<B, CallError>
    where
        B: DeserializeOwned,
        F: Fn(StatusCode, &[u8]) -> CallError,
    {
        let bytes = self.call_bytes(request, Connection::Pooled, limit, refuse).await?;
        serde_json::from_slice(&bytes).map_err(CallError::malformed)
    }

    async fn call_bytes<F>(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
        limit: Duration,
        refuse: F,
    ) -> Result<Bytes, CallError>
    where
        F: Fn(StatusCode, &[u8]) -> CallError,
    {
        let answer = self.call_answer(request, connection, limit).await?;
        let status = answer.status();
        if status.is_success() {
            Ok(answer.into_body())
        } else {
            Err(refuse(status, answer.body()))
        }
    }

    async fn call_answer(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
        limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let answer = async {
            let (head, body) = self.send(request, connection, limit).await?.into_parts();
            Ok(Response::from_parts(head, read(body).await?))
        };
        timeout(limit, answer).await.unwrap_or(Err(CallError::Silent))
    }
}

/// An HTTP call with an optional JSON body.
pub struct JsonCall<'a, A> {
    /// HTTP method.
    pub method: Method,
    /// Socket address of the back end.
    pub addr: SocketAddr,
    /// Path and query, with a leading slash.
    pub path: &'a str,
    /// Value to send as a JSON body; `None` for an empty body.
    pub body: Option<&'a A>,
    /// The connection that the call may use.
    pub connection: Connection,
}

impl<A> JsonCall<'_, A>
where
    A: Serialize,
{
    pub(crate) fn request(&self) -> Result<Request<Full<Bytes>>, CallError> {
        let body = match self.body {
            Some(body) => serde_json::to_vec(body).map_err(CallError::malformed)?,
            None => Vec::new(),
        };
        Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{}{}", self.addr, self.path))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(CallError::malformed)
    }
}

/// Reads the body of an answer, up to [`MAX_ANSWER_BYTES`].
pub(crate) async fn read(body: Incoming) -> Result<Bytes, CallError> {
    let broken = |e: &dyn std::error::Error| CallError::Broken(e.to_string().into());
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    // Copied, since many small frames would keep the buffers that they were read into.
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| broken(&*e))?;
        if let Ok(bytes) = frame.into_data() {
            read.extend_from_slice(&bytes);
        }
    }
    Ok(read.freeze())
}

fn build_client(max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .http1_max_buf_size(MAX_HEAD_BYTES)
        // The caller decides about retries, since it knows whether the call is idempotent.
        .retry_canceled_requests(false)
        .build(connector)
}

fn cause(error: &legacy::Error) -> std::sync::Arc<str> {
    let mut text = error.to_string();
    let mut next = std::error::Error::source(error);
    while let Some(e) = next {
        text = format!("{text}: {e}");
        next = e.source();
    }
    text.into()
}
