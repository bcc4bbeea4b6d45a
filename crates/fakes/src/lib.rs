//! Stand-ins for the systems around lentilpitch, with fault knobs.
//!
//! Each stand-in speaks the protocol that `docs/OUTSIDE.md` describes, keeps its data in memory and
//! listens on one socket. A test starts stand-ins in its own process with [`spawn`], or runs
//! `lentilfake` to have each in a process of its own.

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
    model::{PIECE_TEXT_BYTES, TOKEN_BYTES, expected},
    objects::objects,
    serve::{App, bind, serve, spawn},
    service::service,
    store::{StoreConfig, store},
    table::{TableConfig, table},
    weights::weights,
};
