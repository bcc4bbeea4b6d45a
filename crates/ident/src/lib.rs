//! Names, identifiers, points in time and rendezvous hashing shared by every crate.
//!
//! Nothing here does I/O, reads a clock or draws a random number.

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
    rank::{rank, top},
    time::{Clock, Time},
};
