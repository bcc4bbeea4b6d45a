//! Turns a client's request into a [`Job`], or refuses it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{Setup, Snapshot};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Request,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
    http::request::Parts,
};
use ident::Time;
use tokio::{sync::OwnedSemaphorePermit, time::timeout};

use crate::{
    answer::Refusal,
    core::{BODY_UNIT, Core},
    job::{Active, Job},
};

/// How long a request waits for memory for its body.
const ROOM_TERM: Duration = Duration::from_millis(300);
/// What is reserved for a body without a length, in bytes: longer ones are rare.
const UNSIZED: usize = 256 * 1024;
/// Patience of a client that names none.
const PATIENCE: Duration = Duration::from_secs(30);

/// Reads a request whole and finds its route and team.
pub(crate) async fn accept(
    core: &Arc<Core>,
    request: Request<Incoming>,
    start: Time,
) -> Result<Job, Refusal> {
    let active = Active::new(core);
    let (head, body) = request.into_parts();
    let snapshot: Arc<Snapshot> = core.view.get();
    let setup = snapshot.setup.as_ref().ok_or(Refusal::Unready)?;
    check_framing(&head)?;
    let told = core.outside.dialect.told(&head.headers)?;
    let host = host(&head).ok_or(Refusal::NoRoute)?;
    let route = setup.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?.clone();
    let team = match told.key.as_deref().and_then(|k| setup.team(k)) {
        Some(team) => Some(team.clone()),
        None if setup.keyed && !route.public => return Err(Refusal::NoKey),
        None => None,
    };
    let patience = told.patience.unwrap_or(PATIENCE).min(route.timeout);
    let deadline = start.after(patience);
    let room = reserve(core, setup, &body, deadline).await?;
    let body = read(core, setup, body, deadline).await?;
    let mut headers = head.headers;
    core.outside.dialect.strip(&mut headers);
    let (method, uri) = (head.method, origin_form(head.uri));
    Ok(Job {
        method,
        uri,
        headers,
        body,
        told,
        route,
        team,
        start,
        deadline,
        _room: room,
        _active: active,
    })
}

/// A request with both a length and a transfer coding may be two in disguise.
fn check_framing(head: &Parts) -> Result<(), Refusal> {
    let lengths = head.headers.get_all(CONTENT_LENGTH).iter().count();
    let coded = head.headers.contains_key(TRANSFER_ENCODING);
    if lengths > 1 || (lengths > 0 && coded) { Err(Refusal::Framing) } else { Ok(()) }
}

/// The host without a port: that of the address, where it names one, or of the header.
fn host(head: &Parts) -> Option<&str> {
    if let Some(host) = head.uri.host() {
        return Some(host);
    }
    let mut all = head.headers.get_all(HOST).iter();
    let text = all.next()?.to_str().ok()?;
    if all.next().is_some() {
        return None;
    }
    Some(text.rsplit_once(':').map_or(text, |(host, _)| host))
}

/// Path and query alone, as a replica expects them.
fn origin_form(uri: hyper::Uri) -> hyper::Uri {
    if uri.host().is_none() {
        return uri;
    }
    let path = uri.path_and_query().cloned();
    path.map_or(uri, hyper::Uri::from)
}

/// Reserves memory for a body before it is read.
async fn reserve(
    core: &Core,
    setup: &Setup,
    body: &Incoming,
    deadline: Time,
) -> Result<OwnedSemaphorePermit, Refusal> {
    let most = setup.limits.body;
    let bytes = body.size_hint().upper().map_or(UNSIZED.min(most), |n| n as usize);
    if bytes > most {
        return Err(Refusal::TooLong(most));
    }
    let units = bytes.div_ceil(BODY_UNIT).min(core.settings.bounds.bodies / BODY_UNIT);
    let permits = core.bodies.clone().acquire_many_owned(units as u32);
    let wait = deadline.since(core.now()).min(ROOM_TERM);
    let pause = ROOM_TERM * 2;
    match timeout(wait, permits).await {
        Ok(Ok(room)) => Ok(room),
        _ => Err(Refusal::NotRun { why: "no memory is free for its body", pause }),
    }
}

async fn read(
    core: &Core,
    setup: &Setup,
    body: Incoming,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    let most = setup.limits.body;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let left = deadline.since(core.now());
    match timeout(left, Limited::new(body, most).collect()).await {
        Ok(Ok(read)) => Ok(read.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::TooLong(most)),
        Ok(Err(_)) => Err(Refusal::Gone),
        Err(_) => Err(Refusal::Slow),
    }
}
