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
use tokio::time::timeout;

use crate::{
    answer::Refusal,
    core::Core,
    job::{Active, Job},
};

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
    let body = read(core, setup, body, deadline).await?;
    let mut headers = head.headers;
    core.outside.dialect.strip(&mut headers);
    let (method, uri) = (head.method, origin_form(head.uri));
    Ok(Job { method, uri, headers, body, told, route, team, start, deadline, _active: active })
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

async fn read(
    core: &Core,
    setup: &Setup,
    body: Incoming,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    let most = setup.limits.body;
    if body.size_hint().lower() > most as u64 {
        return Err(Refusal::TooLong(most));
    }
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
