//! Traits of the services that an instance calls.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use fleet::{Config, Instance, Replica};
use place::{Change, HeldPart};
use table::Version;

/// An error of a call to a service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// There was no connection, it broke, or no answer came in time. The call may have taken
    /// effect.
    #[error("no answer: {0}")]
    Silent(Arc<str>),
    /// The service refused the call with this HTTP status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The answer can't be decoded.
    #[error("malformed answer: {0}")]
    Malformed(Arc<str>),
    /// The service no longer keeps the requested changes; everything must be read again.
    #[error("the history asked for is gone")]
    History,
}

/// A part of the registry that can be followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Configuration and announced weights, written by operators.
    Operator,
    /// Replicas of all targets.
    Replicas,
    /// Registered instances.
    Instances,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Replicas, Self::Instances];

    /// Name of the topic among peers.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Replicas => "replicas",
            Self::Instances => "instances",
        }
    }
}

/// A change in the registry, or one row of a complete reading.
#[derive(Debug, Clone, PartialEq)]
pub enum Update {
    /// A configuration and its encoded form, which is served to peers.
    Config(Box<Config>, Bytes),
    /// The newest announced version of a model's weights.
    Weights {
        /// Name of the model.
        model: Arc<str>,
        /// Version of the weights.
        version: u64,
    },
    /// The operators evacuate a zone, or no longer do.
    Evacuation {
        /// Name of the zone.
        zone: Arc<str>,
        /// Whether no requests may be sent to replicas in the zone.
        active: bool,
    },
    /// All evacuated zones, as a peer hands them on. Sorted.
    Evacuated(Vec<Arc<str>>),
    /// A replica registered or changed.
    Replica(Replica),
    /// A replica is no longer registered, or its entry can't be used as a replica.
    ReplicaRemoved(Arc<str>),
    /// An instance registered or changed.
    Instance(Instance),
    /// An instance is no longer registered.
    InstanceRemoved(Arc<str>),
}

/// An answer of the registry with changes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// Changes in the order in which they were made.
    pub updates: Vec<Update>,
    /// Position from which to follow further changes.
    pub next: Version,
    /// The registry's monotonic clock, in ms.
    pub clock: u64,
}

/// The platform's registry.
#[async_trait]
pub trait Registry: Send + Sync {
    /// The highest era in which the registry has answered; see [`table::Table::era`].
    fn era(&self) -> u64;

    /// Records an era in which the registry has answered a peer.
    fn observe_era(&self, era: u64);

    /// Reads all rows of `topic`.
    async fn read(&self, topic: Topic) -> Result<Batch, CallError>;

    /// Waits up to `wait` for changes after position `next`. Fails with [`CallError::History`]
    /// where they are no longer kept, or where the position is of an earlier era.
    async fn follow(&self, topic: Topic, next: Version, wait: Duration)
    -> Result<Batch, CallError>;

    /// Decodes a configuration from the bytes that a peer served.
    fn config(&self, bytes: &[u8]) -> Result<Config, CallError>;

    /// Registers this instance.
    async fn register(&self, instance: &Instance) -> Result<(), CallError>;

    /// Removes the registry entry of an instance.
    async fn deregister(&self, name: &str) -> Result<(), CallError>;
}

/// A replica's report of its state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Models and the versions that the replica has.
    pub models: Vec<(Arc<str>, u64)>,
    /// Whether the replica is executing an order.
    pub busy: bool,
    /// Number of orders accepted since the replica started.
    pub orders: u64,
    /// [`fleet::Replica::started_ms`] of the replica that reports; 0 if it does not say.
    pub started_ms: u64,
    /// Whether the answer says that the replica is leaving.
    pub leaving: bool,
}

/// An order to load another version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Identifier of the intended replica.
    pub replica: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Version to load.
    pub version: u64,
    /// Name of the instance that holds the lease.
    pub holder: Arc<str>,
    /// Fencing number of the holder's lease.
    pub fence: u64,
    /// Number of orders that the replica must have accepted so far.
    pub orders: u64,
}

/// A replica's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The replica accepted the order and executes it.
    Taken,
    /// The replica already has that version.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The replica has seen a higher fencing number.
    Fenced,
    /// Another replica listens at that address, or the replica does not know this kind of order.
    Wrong,
}

/// Events of a store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Events {
    /// Identifies the store's process; it changes at each restart.
    pub epoch: u64,
    /// Position from which to poll further events.
    pub next: u64,
    /// Whether events before these are missing.
    pub gap: bool,
    /// Changes in the order in which they happened.
    pub changes: Vec<Change>,
    /// Clock of the engines and stores, in ms.
    pub clock: u64,
}

/// The complete content of a store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Content {
    /// Identifies the store's process; it changes at each restart.
    pub epoch: u64,
    /// Position from which to poll events after this content.
    pub next: u64,
    /// The parts that are completely stored.
    pub held: Vec<HeldPart>,
    /// Cache salts and ids of incomplete parts, which are being written or whose transfer failed.
    pub partial: Vec<(Arc<str>, Arc<str>)>,
    /// Clock of the engines and stores, in ms.
    pub clock: u64,
}

/// Client of model engines and stores of kept KV cache.
#[async_trait]
pub trait Engines: Send + Sync {
    /// Asks a replica over a new connection for any answer, whatever its status.
    async fn probe(&self, addr: SocketAddr) -> Result<(), CallError>;

    /// Queries a replica's state.
    async fn report(&self, addr: SocketAddr) -> Result<Report, CallError>;

    /// Sends an order to a replica.
    async fn order(&self, addr: SocketAddr, order: &Order) -> Result<OrderAnswer, CallError>;

    /// Waits up to `wait` for a store's events after position `next`.
    async fn events(
        &self,
        addr: SocketAddr,
        next: u64,
        wait: Duration,
    ) -> Result<Events, CallError>;

    /// Reads the complete content of a store.
    async fn content(&self, addr: SocketAddr) -> Result<Content, CallError>;

    /// Frees parts, given by cache salt and id, if the store's epoch is `epoch` and its clock is
    /// not past `until` (ms; 0 for no limit).
    async fn free(
        &self,
        addr: SocketAddr,
        parts: &[(Arc<str>, Arc<str>)],
        epoch: u64,
        until: u64,
    ) -> Result<(), CallError>;
}
