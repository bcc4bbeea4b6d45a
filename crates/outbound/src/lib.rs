//! HTTP clients for what stands behind an instance: model engines, store instances, plain
//! services and the platform's instance list.
//!
//! Every call has a deadline and every stream a progress deadline, since an open connection
//! proves nothing. A call says whether its connection may come from the pool; a call that must
//! not reach a silent connection twice, or that must prove it was not run, takes a new one.

mod client;
mod engine;
mod error;
mod gate;
mod list;
mod service;
mod store;
mod tokens;

pub use crate::{
    client::{Client, Connection, Deadlines, JsonCall},
    engine::{Completion, Engine, EngineClient, Export, Import, Imported, Load, Orders, Wanted},
    error::{CallError, Refusal},
    list::{Instances, ListClient, ListState, Listed, Role},
    service::{MaySend, Reply, Service, ServiceCall, ServiceClient},
    store::{Store, StoreClient},
    tokens::{Finish, Token, TokenSource, Usage},
};
