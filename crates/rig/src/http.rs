//! A small HTTP client with an event stream reader.

use std::{io, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use eventsource_stream::{EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt, TryStreamExt};
use http_body_util::{BodyExt, BodyStream, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

/// Why a call gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The request could not be built.
    #[error("malformed URL or header: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection could not be made or broke before the answer began.
    #[error("no answer: {0}")]
    Connect(#[from] hyper_util::client::legacy::Error),
    /// The answer broke off.
    #[error("the answer broke off: {0}")]
    Body(#[from] hyper::Error),
    /// The event stream broke off or is malformed.
    #[error("the event stream broke off: {0}")]
    Events(#[from] EventStreamError<io::Error>),
    /// The event stream ended before its last event.
    #[error("the event stream ended early")]
    Ended,
    /// Nothing came in time.
    #[error("silent for {0:?}")]
    Silent(Duration),
    /// The answer is not the JSON that was expected.
    #[error("not the expected JSON ({error}): {text}")]
    Json {
        /// What the parser says.
        error: serde_json::Error,
        /// The answer.
        text: String,
    },
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// A header's value, when it is there and text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json<T>(&self) -> Result<T, HttpError>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .map_err(|error| HttpError::Json { error, text: self.text() })
    }
}

/// One event of an event stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// The field `event`; `message` when absent.
    pub kind: String,
    /// The last field `id` seen on the stream; empty when there was none.
    pub id: String,
    /// The field `data`.
    pub data: String,
}

type Events = dyn Stream<Item = Result<SseEvent, HttpError>> + Send;

/// Reads events as they come.
pub struct EventReader {
    events: Pin<Box<Events>>,
    /// When the last bytes came, those of comments included.
    heard: Arc<Mutex<Instant>>,
}

impl EventReader {
    fn new(body: Incoming) -> Self {
        let heard = Arc::new(Mutex::new(Instant::now()));
        let clock = heard.clone();
        let frames = BodyStream::new(body).try_filter_map(move |frame| {
            *clock.lock() = Instant::now();
            async { Ok(frame.into_data().ok()) }
        });
        let events = frames.map_err(io::Error::other).eventsource();
        let read = events.map(|event| {
            let event = event?;
            Ok(SseEvent { kind: event.event, id: event.id, data: event.data })
        });
        Self { events: Box::pin(read), heard }
    }

    /// The next event; `None` at the end. Fails when no bytes come for `limit`; comments count.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<SseEvent>, HttpError> {
        let start = Instant::now();
        loop {
            let end = start.max(*self.heard.lock()) + limit;
            if let Ok(event) = tokio::time::timeout_at(end, self.events.next()).await {
                return event.transpose();
            }
            if *self.heard.lock() + limit <= end {
                return Err(HttpError::Silent(limit));
            }
        }
    }

    /// All events to the end, as pairs of id and data.
    pub async fn all(mut self, limit: Duration) -> Result<Vec<(String, String)>, HttpError> {
        let mut out = Vec::new();
        while let Some(event) = self.next(limit).await? {
            out.push((event.id, event.data));
        }
        Ok(out)
    }
}

/// A client; clones share their connections.
#[derive(Debug, Clone)]
pub struct Http(Client<HttpConnector, Full<Bytes>>);

impl Default for Http {
    fn default() -> Self {
        Self::new()
    }
}

impl Http {
    /// A client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self(Client::builder(TokioExecutor::new()).build(connector))
    }

    /// Sends a request and returns the answer's head and unread body.
    pub async fn open(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, HttpError> {
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        Ok(self.0.request(request.body(Full::new(body))?).await?)
    }

    /// Sends a request and reads the whole answer.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Reply, HttpError> {
        let (head, body) = self.open(method, url, headers, body).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    /// `GET`.
    pub async fn get(&self, url: &str) -> Result<Reply, HttpError> {
        self.send(Method::GET, url, &[], Bytes::new()).await
    }

    /// `PUT` of JSON.
    pub async fn put<T>(&self, url: &str, body: &T) -> Result<Reply, HttpError>
    where
        T: Serialize + ?Sized,
    {
        self.send(Method::PUT, url, &[JSON], json(body)?).await
    }

    /// `POST` of JSON.
    pub async fn post<T>(&self, url: &str, body: &T) -> Result<Reply, HttpError>
    where
        T: Serialize + ?Sized,
    {
        self.send(Method::POST, url, &[JSON], json(body)?).await
    }

    /// `DELETE`.
    pub async fn delete(&self, url: &str) -> Result<Reply, HttpError> {
        self.send(Method::DELETE, url, &[], Bytes::new()).await
    }

    /// Sends a request and returns its event stream, or the whole answer when that is none.
    pub async fn events(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Result<EventReader, Reply>, HttpError> {
        let (head, body) = self.open(method, url, headers, body).await?.into_parts();
        let kind = head.headers.get("content-type").and_then(|v| v.to_str().ok());
        if head.status.is_success() && kind.is_some_and(|k| k.starts_with("text/event-stream")) {
            return Ok(Ok(EventReader::new(body)));
        }
        let body = body.collect().await?.to_bytes();
        Ok(Err(Reply { status: head.status, headers: head.headers, body }))
    }
}

/// The header of a JSON body.
pub(crate) const JSON: (&str, &str) = ("content-type", "application/json");

fn json<T>(body: &T) -> Result<Bytes, HttpError>
where
    T: Serialize + ?Sized,
{
    let bytes = serde_json::to_vec(body);
    bytes.map(Bytes::from).map_err(|error| HttpError::Json { error, text: String::new() })
}
