//! The protocol of callers and replicas, as far as forwarding depends on it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{HeaderMap, StatusCode};
use place::{NamedLimit, Plan, Prompt};

/// What a caller's headers say about its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMeta {
    /// Identifier of the request. A caller that retries sends a new one; all attempts of the
    /// instance share it.
    pub id: Arc<str>,
    /// How long the caller will wait; `None` where it does not say.
    pub timeout: Option<Duration>,
    /// API key of the caller; `None` where it sent none.
    pub key: Option<Arc<str>>,
    /// Description of the prompt; `None` where the request has none.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller received; `None` unless it resumes a stream.
    pub last_event: Option<u64>,
    /// Identifier of the request that brought the first event of the stream that is resumed, as the
    /// caller names it.
    pub resumes: Option<Arc<str>>,
}

/// An error in a request's headers.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// A header that every request needs is missing.
    #[error("the header {0} is missing; send it with every request")]
    Missing(Arc<str>),
    /// A header occurs twice or can't be read.
    #[error("the header {0} is malformed; see the API description")]
    Malformed(Arc<str>),
}

/// What an instance tells a replica in addition to the caller's headers.
#[derive(Debug, Clone)]
pub struct ForwardHeaders<'a> {
    /// How long the replica may work on the request.
    pub time_left: Duration,
    /// Identifier of the intended replica; any other refuses the request.
    pub replica: &'a str,
    /// Name of the caller's team; `None` where it has none.
    pub team: Option<&'a str>,
    /// Cache salt of the prompt's parts; `None` without a prompt or a known version.
    pub salt: Option<&'a str>,
    /// Intended version of the model's weights; a replica with another version refuses the request.
    /// `None` where the version is not known.
    pub version: Option<u64>,
    /// Priority at the engine, from 0 (first) to 9; `None` without a prompt.
    pub priority: Option<u8>,
    /// Transfers of KV cache for the prompt's shared parts; `None` without a prompt.
    pub plan: Option<&'a Plan>,
    /// Number of the last event that was delivered; `None` unless a stream is resumed.
    pub last_event: Option<u64>,
}

/// What the head of a replica's answer says. An optional field is `None` where its header is
/// missing or unreadable.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseMeta {
    /// Identifier of the request that the replica answers.
    pub request_id: Option<Arc<str>>,
    /// Whether the answer bears the replica's signature.
    pub sealed: bool,
    /// Whether the replica refused, so that the request did not run.
    pub refused: bool,
    /// Number of running and waiting requests at the replica.
    pub requests: Option<u32>,
    /// Whether the replica says how fast its machine is now, since others use it too.
    pub shares_machine: bool,
    /// Version of the weights that produced the answer.
    pub version: Option<u64>,
    /// Identifier of the replica that answers.
    pub replica: Option<Arc<str>>,
    /// Limit on requests that the replica names.
    pub limit: NamedLimit,
    /// Refusals per second that the replica says it bears.
    pub max_refusals: NamedLimit,
    /// Whether the replica says that it is leaving; an error if it says something else.
    pub leaving: Result<bool, HeaderError>,
    /// How long the replica wants no requests of this instance; `None` if it does not say.
    pub retry_after: Result<Option<Duration>, HeaderError>,
}

/// The protocol of callers and replicas.
pub trait Protocol: Send + Sync {
    /// Parses a caller's headers.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMeta, HeaderError>;

    /// Removes hop-by-hop headers, the API key, and all headers that only an instance may set.
    fn strip_request(&self, headers: &mut HeaderMap);

    /// Sets the headers that the instance adds for the replica.
    fn set_forward_headers(&self, headers: &mut HeaderMap, forward_headers: &ForwardHeaders<'_>);

    /// Restores what [`Protocol::strip_request`] removed, for a peer that sends the request on.
    fn set_detour_headers(&self, headers: &mut HeaderMap, meta: &RequestMeta, time_left: Duration);

    /// Parses the head of a replica's answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMeta;

    /// Removes hop-by-hop headers and what a replica says of itself from an answer.
    fn strip_response(&self, headers: &mut HeaderMap);

    /// Removes hop-by-hop headers from a peer's answer.
    fn strip_detour_response(&self, headers: &mut HeaderMap);

    /// The endpoint of the instance itself that a request asks for, by path and query.
    fn endpoint(&self, path: &str, query: Option<&str>) -> Endpoint;

    /// A list of instances' addresses, which callers may cache for `ttl`, as a JSON body.
    fn addresses_body(&self, addrs: &[SocketAddr], ttl: Duration) -> Vec<u8>;

    /// An error as a JSON body.
    fn error_body(&self, message: &str) -> Vec<u8>;
}

/// An endpoint that the instance itself serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Endpoint {
    /// Readiness: whether the instance takes requests.
    Ready,
    /// Addresses of the instances that callers should use.
    Addresses {
        /// Zone of the caller; `None` where it does not say.
        zone: Option<Arc<str>>,
    },
    /// No such endpoint.
    Unknown,
}
