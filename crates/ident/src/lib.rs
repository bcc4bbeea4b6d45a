//! Names, identifiers, points in time and rendezvous hashing, which all other crates use.
//!
//! This crate does no I/O, reads no clock and generates no random numbers.

mod class;
mod digest;
mod id;
mod name;
mod rank;
mod time;

pub use crate::{
    class::Class,
    digest::{Digest, Secret},
    id::{Boot, Fence, ParseIdError, RequestId, Rev},
    name::{Name, NameError},
    rank::{rendezvous_first, rendezvous_order},
    time::{Clock, Time},
};
