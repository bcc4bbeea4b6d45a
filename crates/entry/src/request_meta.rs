//! What every caller's request states in its headers.

use std::time::Duration;

use axum::http::{HeaderMap, header};
use conf::Grant;
use ident::{Class, RequestId, Time};

use crate::{
    core::Core,
    problem::{Fault, Problem},
};

/// Header with the caller's deadline, in milliseconds from now.
const DEADLINE: &str = "x-deadline-ms";
/// Header with the request's class.
const CLASS: &str = "x-class";
/// Deadline of an interactive request that names none.
const INTERACTIVE_TERM: Duration = Duration::from_secs(30);
/// Deadline of a batch request that names none.
const BATCH_TERM: Duration = Duration::from_secs(120);
/// Longest deadline a caller may name.
const LONGEST_TERM: Duration = Duration::from_secs(600);

/// An authenticated request.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Identifies the request on the time line.
    pub id: RequestId,
    /// The team's parameters; the team comes from the key alone.
    pub grant: Grant,
    /// Its class.
    pub class: Class,
    /// When the caller has no more use for the first token or reply.
    pub deadline: Time,
}

impl Asked {
    /// Authenticates a request and reads its headers.
    pub fn read(core: &Core, headers: &HeaderMap) -> Result<Self, Problem> {
        let grant = core.grant(bearer(headers)?)?;
        let class = class(headers)?;
        let term = match deadline(headers)? {
            Some(term) => term.min(LONGEST_TERM),
            None if class == Class::Interactive => INTERACTIVE_TERM,
            None => BATCH_TERM,
        };
        Ok(Self { id: core.id(), grant, class, deadline: core.now().after(term) })
    }
}

/// The bearer token of a request.
pub fn bearer(headers: &HeaderMap) -> Result<&str, Fault> {
    let value = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    value.and_then(|v| v.strip_prefix("Bearer ")).ok_or(Fault::Unauthorised)
}

/// A header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Fault> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let bad = |_| Fault::Malformed(format!("header {name} is not visible ASCII").into());
    value.to_str().map(Some).map_err(bad)
}

fn class(headers: &HeaderMap) -> Result<Class, Fault> {
    match text(headers, CLASS)? {
        None | Some("interactive") => Ok(Class::Interactive),
        Some("batch") => Ok(Class::Batch),
        Some(_) => Err(Fault::Malformed("x-class is `interactive` or `batch`".into())),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Fault> {
    let Some(value) = text(headers, DEADLINE)? else { return Ok(None) };
    match value.parse() {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => {
            Err(Fault::Malformed("x-deadline-ms is a whole number of milliseconds above 0".into()))
        }
    }
}
