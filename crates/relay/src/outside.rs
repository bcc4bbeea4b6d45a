//! The services that an instance itself talks to, behind traits.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use fleet::{Instance, Replica, Setup};
use place::{Change, Held};

/// Why a call to a service failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection, or no answer in time: the call may have taken effect.
    #[error("no answer: {0}")]
    Silent(Arc<str>),
    /// The service refused, by its own word.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The answer can't be understood.
    #[error("malformed answer: {0}")]
    Malformed(Arc<str>),
    /// The changes asked for are no longer kept; read everything.
    #[error("the history asked for is gone")]
    History,
}

/// What can be followed at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// Configuration and wanted weights.
    Operator,
    /// Replicas of all targets.
    Replicas,
    /// The instances themselves.
    Instances,
}

/// One change, or one row of a whole reading.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// A configuration, and the bytes that it was read from, to be handed on to peers.
    Setup(Box<Setup>, Bytes),
    /// Newest weights of a model.
    Weights {
        /// The model.
        model: Arc<str>,
        /// Its newest version.
        version: u64,
    },
    /// A replica registered or changed.
    Replica(Replica),
    /// A replica is no longer registered, or its entry names none.
    ReplicaGone(Arc<str>),
    /// An instance registered or changed.
    Instance(Instance),
    /// An instance is no longer registered.
    InstanceGone(Arc<str>),
}

/// An answer with changes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// In the order in which they were made.
    pub news: Vec<News>,
    /// Where to go on.
    pub next: u64,
    /// The registry's clock, in ms; it is steady.
    pub clock: u64,
}

/// The platform's registry.
#[async_trait]
pub trait Registry: Send + Sync {
    /// Reads everything under `topic`.
    async fn read(&self, topic: Topic) -> Result<Batch, CallError>;

    /// Waits up to `wait` for changes after `next`.
    async fn follow(&self, topic: Topic, next: u64, wait: Duration) -> Result<Batch, CallError>;

    /// Reads a configuration from the bytes that a peer handed on.
    fn setup(&self, bytes: &[u8]) -> Result<Setup, CallError>;

    /// Registers this instance.
    async fn announce(&self, instance: &Instance) -> Result<(), CallError>;

    /// Removes the entry of an instance.
    async fn withdraw(&self, name: &str) -> Result<(), CallError>;
}

/// What a replica says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Models and the versions it has.
    pub models: Vec<(Arc<str>, u64)>,
    /// An order is being carried out.
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
}

/// An order to take other weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The replica that is meant.
    pub replica: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The version that it is to have.
    pub version: u64,
    /// Who orders.
    pub holder: Arc<str>,
    /// The holder's fencing number.
    pub fence: u64,
    /// Orders that the replica must have accepted so far.
    pub orders: u64,
}

/// A replica's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ordered {
    /// It is being carried out.
    Taken,
    /// The replica has that state already.
    Holds,
    /// Another order is in progress, or the count of orders differs.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
    /// Another replica answers at that address, or it does not know the order.
    Wrong,
}

/// Events of a store or replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Events {
    /// Changes at each restart.
    pub epoch: u64,
    /// Where to go on.
    pub next: u64,
    /// Events between are missing.
    pub gap: bool,
    /// In order.
    pub changes: Vec<Change>,
    /// The engines' clock, in ms.
    pub clock: u64,
}

/// The whole content of a store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Content {
    /// Changes at each restart.
    pub epoch: u64,
    /// Where to go on with events.
    pub next: u64,
    /// The parts held whole.
    pub held: Vec<Held>,
    /// Parts that are being written or broke off: salt and part.
    pub partial: Vec<(Arc<str>, Arc<str>)>,
    /// The engines' clock, in ms.
    pub clock: u64,
}

/// Model engines and stores of kept KV cache.
#[async_trait]
pub trait Engines: Send + Sync {
    /// Asks a replica for its state.
    async fn report(&self, addr: SocketAddr) -> Result<Report, CallError>;

    /// Gives a replica an order.
    async fn order(&self, addr: SocketAddr, order: &Order) -> Result<Ordered, CallError>;

    /// Waits up to `wait` for events after `next`.
    async fn events(
        &self,
        addr: SocketAddr,
        next: u64,
        wait: Duration,
    ) -> Result<Events, CallError>;

    /// Reads the whole content of a store.
    async fn content(&self, addr: SocketAddr) -> Result<Content, CallError>;

    /// Frees parts of a store, if its epoch is `epoch` and its clock is not past `until`.
    async fn free(
        &self,
        addr: SocketAddr,
        parts: &[(Arc<str>, Arc<str>)],
        epoch: u64,
        until: u64,
    ) -> Result<(), CallError>;
}
