//! Sources that a few instances read and serve on to the others: what changed after a position, and
//! which instance reads, or follows which other one.
//!
//! The code does no I/O and reads neither a clock nor a random source.

mod log;
mod readers;

pub use crate::{
    log::{Delta, Log},
    readers::{Member, Readers, Role},
};
