//! Sends one request to one instance.

use std::time::Duration;

use admin::{CHANGE_ID, etag, parse_etag};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, header};
use hyper_util::{
    client::legacy::{Client, Error, connect::HttpConnector},
    rt::TokioExecutor,
};
use ident::{RequestId, Rev};

/// Longest answer that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A request to the administration API.
#[derive(Debug, Clone)]
pub struct AdminRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON text; empty if the request has no body.
    pub body: Bytes,
    /// For a change of a document: the change id and the revision that is expected; the revision is
    /// `None` if the document must not exist yet. `None` for all other requests.
    pub change: Option<(RequestId, Option<Rev>)>,
}

impl AdminRequest {
    /// A request without a body that does not change a document.
    pub fn new(method: Method, path: &str) -> Self {
        Self { method, path: path.into(), body: Bytes::new(), change: None }
    }
}

/// Answer of an instance.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Revision in the entity tag; `None` if the tag is missing or not a revision.
    pub rev: Option<Rev>,
    /// Complete body.
    pub body: Bytes,
}

/// A request that got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection could not be made, so nothing was sent.
    #[error("{admin}: can't connect; check the address and that the instance runs")]
    NotSent {
        /// Base URL of the instance.
        admin: String,
    },
    /// The request was sent, but no answer came. It may have taken effect.
    #[error("{admin}: {detail}")]
    Lost {
        /// Base URL of the instance.
        admin: String,
        /// How the exchange failed.
        detail: String,
    },
}

/// Sends requests that carry the operator's key.
pub struct Sender {
    http: Client<HttpConnector, Full<Bytes>>,
    key: String,
    timeout: Duration,
}

impl Sender {
    /// Creates a sender. `timeout` limits the connect and the wait for the complete answer.
    pub fn new(key: String, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { http, key, timeout }
    }

    /// Sends one request to the instance with the base URL `admin`.
    pub async fn send(
        &self,
        admin: &str,
        admin_request: AdminRequest,
    ) -> Result<Answer, SendError> {
        let lost = |detail: String| SendError::Lost { admin: admin.into(), detail };
        let request = self.request(admin, admin_request);
        let answer = tokio::time::timeout(self.timeout, self.exchange(request)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(ExchangeError::Request(e))) if e.is_connect() => {
                Err(SendError::NotSent { admin: admin.into() })
            }
            Ok(Err(e)) => Err(lost(format!("the connection broke: {e}"))),
            Err(_) => Err(lost(format!("no answer within {} ms", self.timeout.as_millis()))),
        }
    }

    fn request(&self, admin: &str, admin_request: AdminRequest) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(admin_request.method)
            .uri(format!("{admin}{}", admin_request.path))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some((id, expect)) = admin_request.change {
            request = request.header(CHANGE_ID, id.to_string());
            request = match expect {
                Some(rev) => request.header(header::IF_MATCH, etag(rev)),
                None => request.header(header::IF_NONE_MATCH, "*"),
            };
        }
        let request = request.body(Full::new(admin_request.body));
        request.expect("the address, key and names of a request were checked before")
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, ExchangeError> {
        let answer = self.http.request(request).await?;
        let tag = answer.headers().get(header::ETAG).and_then(|v| v.to_str().ok());
        let (status, rev) = (answer.status().as_u16(), tag.and_then(parse_etag));
        let body = Limited::new(answer.into_body(), MAX_BODY_BYTES).collect().await;
        let body = body.map_err(ExchangeError::Body)?.to_bytes();
        Ok(Answer { status, rev, body })
    }
}

/// Failure of an exchange before or after the head of the answer.
#[derive(Debug, thiserror::Error)]
enum ExchangeError {
    #[error("{0}")]
    Request(#[from] Error),
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}
