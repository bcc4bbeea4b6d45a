//! Stand-ins for the systems around lentilpitch, with fault knobs.
//!
//! Each stand-in speaks the protocol written down in `docs/OUTSIDE.md`, keeps everything in memory
//! and listens on one socket. A test starts them in its own process with [`spawn`] or as processes
//! of `lentilfake`.

mod client;
mod control;
mod engine;
mod fault;
mod instances;
mod link;
mod model;
mod objects;
mod serve;
mod service;
mod sorted;
mod store;
mod table;
mod weights;

pub use crate::{
    control::Control,
    engine::{EngineConfig, engine},
    fault::{Count, Faults},
    instances::{Instance, instances},
    model::{PIECE_TEXT, TOKEN_BYTES, expected},
    objects::objects,
    serve::{App, bind, serve, spawn},
    service::service,
    store::{StoreConfig, store},
    table::{TableConfig, table},
    weights::weights,
};
