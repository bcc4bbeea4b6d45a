//! Calls to plain services.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use tokio::time::timeout;

use crate::{CallError, Client, Connection, Refusal, client::read};

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

/// A plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Makes the call on a new connection, so that a failed connect proves it was not run. Fails
    /// with [`CallError::Connect`] or [`CallError::Refused`] only when it was not run.
    async fn call(
        &self,
        addr: SocketAddr,
        call: &ServiceCall,
        limit: Duration,
    ) -> Result<Reply, CallError>;
}

/// [`Service`] over HTTP.
pub struct ServiceClient(Client);

impl ServiceClient {
    /// Calls services through `client`.
    pub fn new(client: Client) -> Self {
        Self(client)
    }
}

#[async_trait]
impl Service for ServiceClient {
    async fn call(
        &self,
        addr: SocketAddr,
        call: &ServiceCall,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let request = request(addr, call)?;
        let whole = async {
            let response = self.0.send(request, Connection::New, limit).await?;
            let status = response.status();
            let refused = response.headers().contains_key(NOT_RUN);
            if status == StatusCode::SERVICE_UNAVAILABLE && refused {
                return Err(Refusal::NotRun.into());
            }
            let content = response.headers().get(CONTENT_TYPE).cloned();
            Ok(Reply { status, content, body: read(response).await? })
        };
        timeout(limit, whole).await.unwrap_or(Err(CallError::Silent))
    }
}

fn request(addr: SocketAddr, call: &ServiceCall) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder =
        Request::builder().method(call.method.clone()).uri(format!("http://{addr}{}", call.path));
    if let Some(content) = &call.content {
        builder = builder.header(CONTENT_TYPE, content);
    }
    if let Some(key) = &call.key {
        builder = builder.header(KEY, key);
    }
    // A request that cannot be built was certainly not sent.
    builder.body(Full::from(call.body.clone())).map_err(|_| Refusal::Status(400).into())
}
