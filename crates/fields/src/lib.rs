//! Reads documents written by people and reports all their faults at once.
//!
//! A document is a JSON value (YAML is converted first). Each field is taken out by name and parsed
//! as a [`Form`]. A field that is missing or has a wrong value adds a [`Fault`] with its path and
//! the expected value, and reading continues. Fields that were not taken are faults, too.

mod fault;
mod form;
mod read;

pub use crate::{
    fault::{Fault, Faults},
    form::{BOOL, DIGEST, Form, NAME, SPAN, TEXT, parse_span},
    read::{Fields, Item},
};
