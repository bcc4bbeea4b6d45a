//! Which instances callers are told to use.

use std::{net::SocketAddr, time::Duration};

use hyper::{Response, StatusCode};
use rand::seq::SliceRandom;

use crate::{
    answer::{Body, json},
    core::Core,
    peers::PEER_TERM,
};

/// Most addresses in an answer.
const MAX_ADDRS: usize = 64;
/// How long an answer is to be kept; shorter means more questions, longer means that callers find
/// a replaced instance later.
const TTL: Duration = Duration::from_secs(2);

/// Answers with the instances that take requests, the caller's zone first.
pub(crate) fn answer(core: &Core, zone: Option<&str>) -> Response<Body> {
    let addrs = addresses(core, zone);
    if addrs.is_empty() {
        let error = core.outside.dialect.error("no instance takes requests now; ask another one");
        return json(StatusCode::SERVICE_UNAVAILABLE, error);
    }
    let ttl = TTL.min(core.settings.bounds.ttl);
    json(StatusCode::OK, core.outside.dialect.addresses(&addrs, ttl))
}

fn addresses(core: &Core, zone: Option<&str>) -> Vec<SocketAddr> {
    let snapshot = core.view.get();
    let now = core.now();
    let heard = core.heard.lock();
    let me = &core.settings.name;
    let fresh = |name: &str| {
        let found = heard.binary_search_by(|(n, _)| (**n).cmp(name));
        found.is_ok_and(|at| now.since(heard[at].1) < PEER_TERM)
    };
    let others = snapshot.instances.iter().filter(|i| i.name != *me && !i.leaving);
    let mut out: Vec<_> = others
        .filter(|i| fresh(&i.name))
        .map(|i| (zone.is_some_and(|z| z != &*i.zone), i.front))
        .collect();
    if core.ready() {
        out.push((zone.is_some_and(|z| z != &*core.settings.zone), core.settings.listen.front));
    }
    out.shuffle(&mut rand::rng());
    if out.len() > MAX_ADDRS {
        out.sort_by_key(|(far, _)| *far);
        out.truncate(MAX_ADDRS);
    }
    out.into_iter().map(|(_, addr)| addr).collect()
}
