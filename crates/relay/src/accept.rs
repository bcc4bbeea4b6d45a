//! Turns a caller's request into a [`Job`], or refuses it.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use fleet::Snapshot;
use hyper::{
    Request,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
    http::request::Parts,
};
use ident::Time;

use crate::{
    answer::Refusal,
    bodies,
    core::Core,
    detour::DETOUR,
    job::{Job, request_digest},
    queue,
};

/// Timeout of a request that names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a request and its body, and finds its route and team.
pub(crate) async fn accept(
    core: &Arc<Core>,
    request: Request<Incoming>,
    start: Time,
) -> Result<Job, Refusal> {
    let (head, body) = request.into_parts();
    let snapshot: Arc<Snapshot> = core.view.snapshot();
    let config = snapshot.config.as_ref().ok_or(Refusal::Unready)?;
    check_framing(&head)?;
    let meta = core.adapters.protocol.parse_request(&head.headers)?;
    let host = host(&head).ok_or(Refusal::NoRoute)?;
    let route = config.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?.clone();
    let host = host.to_owned();
    let team = match meta.key.as_deref().and_then(|k| config.team(k)) {
        Some(team) => Some(team.clone()),
        None if config.requires_key && !route.public => return Err(Refusal::NoKey),
        None => None,
    };
    let request_timeout = meta.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = start.after(request_timeout);
    let bytes = body.size_hint().exact().unwrap_or(0) as usize;
    queue::check_arrival(core, (&route, team.as_ref()), &meta, (start, deadline), bytes)?;
    let max_bytes = config.limits.body_bytes;
    let (body, hold) = tokio::select! {
        read = bodies::read(&core.bodies, body, max_bytes, deadline) => read?,
        () = core.ending() => return Err(Refusal::STOPPING),
    };
    let mut headers = head.headers;
    core.adapters.protocol.strip_request(&mut headers);
    headers.remove(DETOUR);
    let (method, uri) = (head.method, origin_form(head.uri));
    let name = team.as_ref().map(|t| &*t.name);
    let digest = request_digest(&host, &method, &uri, name, meta.prompt.as_ref(), &body);
    Ok(Job {
        method,
        uri,
        headers,
        body,
        digest,
        meta,
        route,
        team,
        start,
        deadline,
        is_detour: false,
        in_doubt: AtomicBool::new(false),
        _body_hold: hold,
    })
}

/// Refuses a request with several lengths, or with a length and a transfer coding: another server
/// might take it for two requests.
fn check_framing(head: &Parts) -> Result<(), Refusal> {
    let lengths = head.headers.get_all(CONTENT_LENGTH).iter().count();
    let encoded = head.headers.contains_key(TRANSFER_ENCODING);
    if lengths > 1 || (lengths > 0 && encoded) { Err(Refusal::Framing) } else { Ok(()) }
}

/// The host without a port: from the URI if it names one, else from the `Host` header. `None` where
/// the header is missing, unreadable or repeated.
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

/// Removes all but path and query, as a replica expects.
fn origin_form(uri: hyper::Uri) -> hyper::Uri {
    if uri.host().is_none() {
        return uri;
    }
    let path = uri.path_and_query().cloned();
    path.map_or(uri, hyper::Uri::from)
}
