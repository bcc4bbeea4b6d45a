//! HTTP client that reads event streams.

use std::{io, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use eventsource_stream::{EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt, TryStreamExt};
use http_body_util::{BodyExt, BodyStream, Full, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

/// Longest body that is read into memory, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A call that got no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The request could not be built.
    #[error("malformed URL or header: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection could not be made or broke before the answer began.
    #[error("no answer: {0}")]
    Connect(#[from] hyper_util::client::legacy::Error),
    /// The connection broke before the end of the answer, or the answer is too long.
    #[error("the answer broke off: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The connection broke before the end of the event stream, or the stream is malformed.
    #[error("the event stream broke off: {0}")]
    Events(#[from] EventStreamError<io::Error>),
    /// The event stream ended before its last event.
    #[error("the event stream ended early")]
    Ended,
    /// Nothing was received in time; holds the timeout.
    #[error("silent for {0:?}")]
    Silent(Duration),
    /// The answer is not the JSON that was expected.
    #[error("not the expected JSON ({error}): {text}")]
    Json {
        /// Error of the parser.
        error: serde_json::Error,
        /// Body of the answer; empty if a request could not be written.
        text: String,
    },
}

/// Complete answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Value of a header; `None` if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
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
    /// Field `event`; `message` if it is missing.
    pub kind: String,
    /// Last field `id` of the stream so far; empty if there was none.
    pub id: String,
    /// Field `data`.
    pub data: String,
}

type Events = dyn Stream<Item = Result<SseEvent, HttpError>> + Send;

/// Reads the events of a stream.
pub struct EventReader {
    events: Pin<Box<Events>>,
    /// Time of the last received bytes, comments included.
    last_received: Arc<Mutex<Instant>>,
}

impl EventReader {
    fn new(body: Incoming) -> Self {
        let last_received = Arc::new(Mutex::new(Instant::now()));
        let clock = last_received.clone();
        let frames = BodyStream::new(body).try_filter_map(move |frame| {
            *clock.lock() = Instant::now();
            async { Ok(frame.into_data().ok()) }
        });
        let events = frames.map_err(io::Error::other).eventsource();
        let read = events.map(|event| {
            let event = event?;
            Ok(SseEvent { kind: event.event, id: event.id, data: event.data })
        });
        Self { events: Box::pin(read), last_received }
    }

    /// Reads the next event; `None` at the end. Fails if no bytes, comments included, are received
    /// for `timeout`.
    pub async fn next(&mut self, timeout: Duration) -> Result<Option<SseEvent>, HttpError> {
        let start = Instant::now();
        loop {
            let deadline = start.max(*self.last_received.lock()) + timeout;
            if let Ok(event) = tokio::time::timeout_at(deadline, self.events.next()).await {
                return event.transpose();
            }
            if *self.last_received.lock() + timeout <= deadline {
                return Err(HttpError::Silent(timeout));
            }
        }
    }

    /// Reads all events to the end, as pairs of id and data. `timeout` as for [`Self::next`].
    pub async fn all(mut self, timeout: Duration) -> Result<Vec<(String, String)>, HttpError> {
        let mut out = Vec::new();
        while let Some(event) = self.next(timeout).await? {
            out.push((event.id, event.data));
        }
        Ok(out)
    }
}

/// HTTP client; clones share their connections.
#[derive(Debug, Clone)]
pub struct Http(Client<HttpConnector, Full<Bytes>>);

impl Default for Http {
    fn default() -> Self {
        Self::new()
    }
}

impl Http {
    /// Creates a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self(Client::builder(TokioExecutor::new()).build(connector))
    }

    /// Sends a request and returns the head and the unread body of the answer.
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

    /// Sends a request and reads the complete answer.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Reply, HttpError> {
        let (head, body) = self.open(method, url, headers, body).await?.into_parts();
        let body = read(body).await?;
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    /// Sends a `GET` request.
    pub async fn get(&self, url: &str) -> Result<Reply, HttpError> {
        self.send(Method::GET, url, &[], Bytes::new()).await
    }

    /// Sends a `PUT` request with a JSON body.
    pub async fn put<T>(&self, url: &str, body: &T) -> Result<Reply, HttpError>
    where
        T: Serialize + ?Sized,
    {
        self.send(Method::PUT, url, &[JSON], json(body)?).await
    }

    /// Sends a `POST` request with a JSON body.
    pub async fn post<T>(&self, url: &str, body: &T) -> Result<Reply, HttpError>
    where
        T: Serialize + ?Sized,
    {
        self.send(Method::POST, url, &[JSON], json(body)?).await
    }

    /// Sends a `DELETE` request.
    pub async fn delete(&self, url: &str) -> Result<Reply, HttpError> {
        self.send(Method::DELETE, url, &[], Bytes::new()).await
    }

    /// Sends a request and returns the event stream, or the complete answer if it is not an event
    /// stream.
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
        let body = read(body).await?;
        Ok(Err(Reply { status: head.status, headers: head.headers, body }))
    }
}

/// Reads a body to its end, up to [`MAX_BODY_BYTES`].
async fn read(body: Incoming) -> Result<Bytes, HttpError> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    Ok(body.map_err(HttpError::Body)?.to_bytes())
}

/// Content type header of a JSON body.
pub(crate) const JSON: (&str, &str) = ("content-type", "application/json");

fn json<T>(body: &T) -> Result<Bytes, HttpError>
where
    T: Serialize + ?Sized,
{
    let bytes = serde_json::to_vec(body);
    bytes.map(Bytes::from).map_err(|error| HttpError::Json { error, text: String::new() })
}
