//! HTTP clients for the services behind an instance: model engines, store instances, plain services
//! and the platform's instance list.
//!
//! Every call has a timeout, and every stream has a timeout between two chunks, since an open
//! connection does not show that the other side works. A call states whether it may use a
//! connection from the pool. A call takes a new connection if it must not use a dead connection
//! twice, or if it must be certain that a failed connect means it was not run.

mod checked_connection;
mod client;
mod engine;
mod error;
mod framing;
mod informational;
mod list;
mod service;
mod store;
mod tokens;

pub use crate::{
    client::{Client, Connection, JsonCall, Timeouts},
    engine::{
        Completion, Engine, EngineClient, Export, Import, Load, OrderStatus, ReplicaState,
        StagedImport,
    },
    error::{CallError, Refusal},
    framing::{Framing, end_with_connection},
    informational::{InformationalLimit, TooManyInformational},
    list::{InstanceList, InstanceListClient, ListEntry, ListState, Role},
    service::{MaySend, Reply, Service, ServiceCall, ServiceClient},
    store::{Store, StoreClient},
    tokens::{FinishReason, Token, TokenSource, Usage},
};
