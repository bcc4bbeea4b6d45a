//! Reads documents written by people and lists every fault at once.
//!
//! A document is a JSON value (YAML is converted first). Each field is taken out by name and read
//! by a [`Form`]; a field that does not fit becomes a [`Fault`] with its path and what is wanted,
//! and reading goes on. Fields that nobody took are faults too.

mod fault;
mod form;
mod read;

pub use crate::{
    fault::{Fault, Faults},
    form::{BOOL, DIGEST, Form, NAME, SPAN, TEXT, parse_span},
    read::{Fields, Item},
};
