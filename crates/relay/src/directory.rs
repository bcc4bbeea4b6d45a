//! Answers callers' queries for the addresses of instances.

use std::{net::SocketAddr, time::Duration};

use hyper::{Response, StatusCode};
use rand::seq::SliceRandom;

use crate::{
    answer::{Body, json_response},
    core::Core,
    peers::PEER_TTL,
};

/// Most addresses in an answer.
const MAX_ADDRS: usize = 64;
/// How long callers may cache an answer. A shorter TTL means more queries, a longer one that
/// callers notice a replaced instance later.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// Answers with the addresses of the instances that take requests. Where not all fit, those in the
/// caller's zone are preferred.
pub(crate) fn answer(core: &Core, zone: Option<&str>) -> Response<Body> {
    let addrs = addresses(core, zone);
    if addrs.is_empty() {
        let error =
            core.adapters.protocol.error_body("no instance takes requests now; ask another one");
        return json_response(StatusCode::SERVICE_UNAVAILABLE, error);
    }
    let ttl = ANSWER_TTL.min(core.settings.bounds.ttl);
    json_response(StatusCode::OK, core.adapters.protocol.addresses_body(&addrs, ttl))
}

fn addresses(core: &Core, zone: Option<&str>) -> Vec<SocketAddr> {
    let snapshot = core.view.snapshot();
    let now = core.now();
    let last_heard = core.last_heard.lock();
    let me = &core.settings.name;
    let alive = |name: &str| {
        let found = last_heard.binary_search_by(|(n, _)| (**n).cmp(name));
        found.is_ok_and(|at| now.since(last_heard[at].1) < PEER_TTL)
    };
    let others = snapshot.instances.iter().filter(|i| i.name != *me && !i.leaving);
    let mut out: Vec<_> = others
        .filter(|i| alive(&i.name))
        .map(|i| (zone.is_some_and(|z| z != &*i.zone), i.front))
        .collect();
    if core.is_ready() {
        out.push((zone.is_some_and(|z| z != &*core.settings.zone), core.settings.listen.front));
    }
    out.shuffle(&mut rand::rng());
    if out.len() > MAX_ADDRS {
        out.sort_by_key(|(other_zone, _)| *other_zone);
        out.truncate(MAX_ADDRS);
    }
    out.into_iter().map(|(_, addr)| addr).collect()
}
