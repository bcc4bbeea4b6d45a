//! One request to one instance.

use std::time::Duration;

use admin::{CHANGE_ID, etag, parse_etag};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header};
use hyper_util::{
    client::legacy::{Client, Error, connect::HttpConnector},
    rt::TokioExecutor,
};
use ident::{RequestId, Rev};

/// What is asked.
#[derive(Debug, Clone)]
pub struct Ask {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON text; empty for none.
    pub body: Bytes,
    /// For a change: its id and the revision it builds on, `None` to create.
    pub change: Option<(RequestId, Option<Rev>)>,
}

impl Ask {
    /// A request that is no change of a document.
    pub fn plain(method: Method, path: &str) -> Self {
        Self { method, path: path.into(), body: Bytes::new(), change: None }
    }
}

/// What an instance answered.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The revision of the entity tag.
    pub rev: Option<Rev>,
    /// The body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection: nothing was sent.
    #[error("{admin}: can't connect; check the address and that the instance runs")]
    NotSent {
        /// The instance.
        admin: String,
    },
    /// The answer is lost: the request may have taken effect.
    #[error("{admin}: {detail}")]
    Lost {
        /// The instance.
        admin: String,
        /// What happened.
        detail: String,
    },
}

/// Sends requests.
pub struct Sender {
    http: Client<HttpConnector, Full<Bytes>>,
    key: String,
    timeout: Duration,
}

impl Sender {
    /// A sender that carries the operator's key.
    pub fn new(key: String, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self { http, key, timeout }
    }

    /// Sends one request to one instance.
    pub async fn send(&self, admin: &str, ask: Ask) -> Result<Answer, SendError> {
        let lost = |detail: String| SendError::Lost { admin: admin.into(), detail };
        let request = self.request(admin, ask);
        let answer = tokio::time::timeout(self.timeout, self.exchange(request)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(Broken::Request(e))) if e.is_connect() => {
                Err(SendError::NotSent { admin: admin.into() })
            }
            Ok(Err(e)) => Err(lost(format!("the connection broke: {e}"))),
            Err(_) => Err(lost(format!("no answer within {} ms", self.timeout.as_millis()))),
        }
    }

    fn request(&self, admin: &str, ask: Ask) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(ask.method)
            .uri(format!("{admin}{}", ask.path))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some((id, expect)) = ask.change {
            request = request.header(CHANGE_ID, id.to_string());
            request = match expect {
                Some(rev) => request.header(header::IF_MATCH, etag(rev)),
                None => request.header(header::IF_NONE_MATCH, "*"),
            };
        }
        let request = request.body(Full::new(ask.body));
        request.expect("checked addresses, keys and names make a valid request")
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, Broken> {
        let answer = self.http.request(request).await?;
        let tag = answer.headers().get(header::ETAG).and_then(|v| v.to_str().ok());
        let (status, rev) = (answer.status().as_u16(), tag.and_then(parse_etag));
        let body = answer.into_body().collect().await?.to_bytes();
        Ok(Answer { status, rev, body })
    }
}

/// Where an exchange broke off.
#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("{0}")]
    Request(#[from] Error),
    #[error("{0}")]
    Body(#[from] hyper::Error),
}
