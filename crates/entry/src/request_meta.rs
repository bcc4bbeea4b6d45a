//! Authentication, class and deadline of a request, read from its headers.

use std::time::Duration;

use axum::http::{HeaderMap, header};
use conf::ResolvedTeam;
use ident::{Class, RequestId, Time};

use crate::{
    core::Core,
    problem::{Problem, ProblemKind},
};

/// Header with the caller's deadline, in milliseconds after the arrival of the request.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the request's class, `interactive` or `batch`.
const CLASS_HEADER: &str = "x-class";
/// Time until the deadline of an interactive request without a deadline header.
const DEFAULT_INTERACTIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time until the deadline of a batch request without a deadline header.
const DEFAULT_BATCH_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest time until the deadline that a caller may set; a longer one is shortened to this.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// What the headers of an authenticated request say.
#[derive(Debug, Clone)]
pub struct RequestMeta {
    /// Identifier of the request in the event log.
    pub id: RequestId,
    /// Parameters of the team, which is determined by the API key alone.
    pub grant: ResolvedTeam,
    /// Class of the request.
    pub class: Class,
    /// Deadline for the first token or the reply.
    pub deadline: Time,
}

impl RequestMeta {
    /// Authenticates a request and reads its class and deadline.
    pub fn read(core: &Core, headers: &HeaderMap) -> Result<Self, Problem> {
        let grant = core.grant(bearer(headers)?)?;
        let class = class(headers)?;
        let timeout = match deadline(headers)? {
            Some(timeout) => timeout.min(MAX_TIMEOUT),
            None if class == Class::Interactive => DEFAULT_INTERACTIVE_TIMEOUT,
            None => DEFAULT_BATCH_TIMEOUT,
        };
        Ok(Self { id: core.new_id(), grant, class, deadline: core.now().after(timeout) })
    }
}

/// Returns the bearer token of a request, which is the API key.
pub fn bearer(headers: &HeaderMap) -> Result<&str, ProblemKind> {
    let value = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    value.and_then(|v| v.strip_prefix("Bearer ")).ok_or(ProblemKind::Unauthorised)
}

/// Returns the value of a header as text; `None` if there is no such header.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ProblemKind> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let bad = |_| ProblemKind::Malformed(format!("header {name} is not visible ASCII").into());
    value.to_str().map(Some).map_err(bad)
}

fn class(headers: &HeaderMap) -> Result<Class, ProblemKind> {
    match text(headers, CLASS_HEADER)? {
        None | Some("interactive") => Ok(Class::Interactive),
        Some("batch") => Ok(Class::Batch),
        Some(_) => Err(ProblemKind::Malformed("x-class is `interactive` or `batch`".into())),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, ProblemKind> {
    let Some(value) = text(headers, DEADLINE_HEADER)? else { return Ok(None) };
    match value.parse() {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => Err(ProblemKind::Malformed(
            "x-deadline-ms is a whole number of milliseconds above 0".into(),
        )),
    }
}
