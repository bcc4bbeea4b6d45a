//! How callers and replicas put things, as far as forwarding needs to understand them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{HeaderMap, StatusCode};
use place::{Plan, Prompt};

/// What a caller says of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// The request's id, unique to one attempt of the client.
    pub id: Arc<str>,
    /// How long the client will wait.
    pub patience: Option<Duration>,
    /// The API key.
    pub key: Option<Arc<str>>,
    /// The prompt, where the request has one.
    pub prompt: Option<Prompt>,
    /// The last event that the client has, where it resumes a stream.
    pub last: Option<u64>,
}

/// Why a request's headers are not understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A header that every request needs is missing.
    #[error("the header {0} is missing; send it with every request")]
    Missing(Arc<str>),
    /// A header occurs twice or can't be read.
    #[error("the header {0} is malformed; see the API description")]
    Malformed(Arc<str>),
}

/// What an instance tells a replica beside the caller's own words.
#[derive(Debug, Clone)]
pub struct Marks<'a> {
    /// How long the replica may work.
    pub left: Duration,
    /// The replica that is meant; another refuses.
    pub replica: &'a str,
    /// The caller's team.
    pub team: Option<&'a str>,
    /// The salt of cached parts.
    pub salt: Option<&'a str>,
    /// The model's version that is meant; a replica with another refuses.
    pub version: Option<u64>,
    /// Rank at the engine, 0 first to 9.
    pub rank: Option<u8>,
    /// Transfers of KV cache.
    pub plan: Option<&'a Plan>,
    /// The last event that was delivered, where a stream goes on.
    pub last: Option<u64>,
}

/// What a replica's answer says beside its body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// The id of the request it answers.
    pub id: Option<Arc<str>>,
    /// It bears the replica's signature.
    pub sealed: bool,
    /// The request did not run.
    pub refused: bool,
    /// Running and waiting requests at the replica.
    pub requests: Option<u32>,
    /// The version of the weights that answers.
    pub version: Option<u64>,
    /// The id of the replica that answers.
    pub replica: Option<Arc<str>>,
}

/// The callers' and replicas' protocol.
pub trait Dialect: Send + Sync {
    /// Reads a caller's headers.
    fn told(&self, headers: &HeaderMap) -> Result<Told, Fault>;

    /// Removes headers of one connection, the key, and all that only an instance may set.
    fn strip(&self, headers: &mut HeaderMap);

    /// Sets what the instance tells the replica.
    fn mark(&self, headers: &mut HeaderMap, marks: &Marks<'_>);

    /// Reads a replica's answer.
    fn reply(&self, status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Removes headers of one connection from an answer.
    fn strip_reply(&self, headers: &mut HeaderMap);

    /// Which of the instance's own questions a request is, by method and path.
    fn question(&self, path: &str, query: Option<&str>) -> Question;

    /// The answer to a question for addresses, as a JSON body.
    fn addresses(&self, addrs: &[SocketAddr], ttl: Duration) -> Vec<u8>;

    /// An error as a JSON body.
    fn error(&self, text: &str) -> Vec<u8>;
}

/// A question to the instance itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Question {
    /// Whether it takes requests.
    Ready,
    /// Which addresses to use, from which zone.
    Addresses {
        /// The caller's zone, where it says.
        zone: Option<Arc<str>>,
    },
    /// Anything else.
    Unknown,
}
