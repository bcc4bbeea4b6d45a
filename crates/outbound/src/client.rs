//! The HTTP client under all others.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::CallError;

/// Largest answer that is read whole, in bytes.
const MAX_ANSWER: usize = 8 * 1024 * 1024;
/// How long an unused connection is kept.
const IDLE_TERM: Duration = Duration::from_secs(15);
/// How long a connection may take to be made.
pub(crate) const CONNECT_TERM: Duration = Duration::from_millis(800);

/// How long calls may take.
#[derive(Debug, Clone, Copy)]
pub struct Deadlines {
    /// From sending a small call to its whole answer.
    pub call: Duration,
    /// From sending a transfer of cache blocks to its whole answer.
    pub transfer: Duration,
    /// The longest silence within a stream, keep-alives included.
    pub progress: Duration,
}

impl Default for Deadlines {
    fn default() -> Self {
        Self {
            call: Duration::from_millis(1500),
            transfer: Duration::from_secs(5),
            progress: Duration::from_millis(2500),
        }
    }
}

/// Which connection a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// A kept one, or a new one where none is idle.
    Pooled,
    /// A new one, closed after the call.
    New,
}

type Inner = legacy::Client<HttpConnector, Full<Bytes>>;

/// An HTTP client with a pool, and one without.
#[derive(Clone)]
pub struct Client {
    pooled: Inner,
    single: Inner,
    deadlines: Deadlines,
}

impl Client {
    /// A client whose calls keep to `deadlines`.
    pub fn new(deadlines: Deadlines) -> Self {
        Self { pooled: inner(usize::MAX), single: inner(0), deadlines }
    }

    /// The limits this client keeps to.
    pub fn deadlines(&self) -> Deadlines {
        self.deadlines
    }

    /// Sends a request and returns the answer's head, within `limit`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
        limit: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let client = match connection {
            Connection::Pooled => &self.pooled,
            Connection::New => &self.single,
        };
        match timeout(limit, client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) if e.is_connect() => Err(CallError::Connect(cause(&e))),
            Ok(Err(e)) => Err(CallError::Broken(cause(&e))),
            Err(_) => Err(CallError::Silent),
        }
    }

    /// Sends JSON and reads a JSON answer whole; `refuse` turns a status into an error.
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

    /// Like [`Client::json`], returning the answer's bytes.
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
        self.whole(call.request()?, call.connection, limit, refuse).await
    }

    /// Sends a prepared request over a pooled connection and reads a JSON answer whole.
    pub async fn exchange<B, F>(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        refuse: F,
    ) -> Result<B, CallError>
    where
        B: DeserializeOwned,
        F: Fn(StatusCode, &[u8]) -> CallError,
    {
        let bytes = self.whole(request, Connection::Pooled, limit, refuse).await?;
        serde_json::from_slice(&bytes).map_err(CallError::malformed)
    }

    async fn whole<F>(
        &self,
        request: Request<Full<Bytes>>,
        connection: Connection,
        limit: Duration,
        refuse: F,
    ) -> Result<Bytes, CallError>
    where
        F: Fn(StatusCode, &[u8]) -> CallError,
    {
        let whole = async {
            let response = self.send(request, connection, limit).await?;
            let status = response.status();
            let body = read(response).await?;
            if status.is_success() { Ok(body) } else { Err(refuse(status, &body)) }
        };
        timeout(limit, whole).await.unwrap_or(Err(CallError::Silent))
    }
}

/// A call with an optional JSON body.
pub struct JsonCall<'a, A> {
    /// The method.
    pub method: Method,
    /// Address of the back end.
    pub addr: SocketAddr,
    /// Path and query.
    pub path: &'a str,
    /// The body, if any.
    pub body: Option<&'a A>,
    /// Which connection may be used.
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

/// Reads an answer whole, up to a fixed size.
pub(crate) async fn read(response: Response<Incoming>) -> Result<Bytes, CallError> {
    match Limited::new(response.into_body(), MAX_ANSWER).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) => Err(CallError::Broken(e.to_string().into())),
    }
}

fn inner(idle: usize) -> Inner {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TERM));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TERM)
        .pool_max_idle_per_host(idle)
        // A repeat is decided by the caller, who knows whether the call is idempotent.
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
