//! Answers callers' queries for the addresses of instances.

use std::{net::SocketAddr, time::Duration};

use hyper::{Response, StatusCode};
use rand::seq::SliceRandom;

use crate::{
    answer::{Body, json_response},
    core::Core,
    links,
};

/// Most addresses in an answer.
const MAX_ADDRS: usize = 64;
/// How long callers may cache an answer. A shorter TTL means more queries, a longer one that
/// callers notice a replaced instance later.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// An instance that takes requests.
struct Listed {
    other_zone: bool,
    /// Whether it reaches no replica of some target.
    cut_off: bool,
    front: SocketAddr,
}

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
    let me = &core.settings.name;
    let others = snapshot.instances.iter().filter(|i| i.name != *me && !i.leaving);
    let is_cut_off = !links::cut_off(core).is_empty();
    let reach = core.reach.lock();
    let mut all: Vec<Listed> = others
        .filter(|i| core.is_ready_peer(&i.name))
        .map(|i| Listed {
            other_zone: zone.is_some_and(|z| z != &*i.zone),
            cut_off: !reach.peer_reaches_all(&i.name, now),
            front: i.front,
        })
        .collect();
    if core.is_ready() {
        all.push(Listed {
            other_zone: zone.is_some_and(|z| z != &*core.settings.zone),
            cut_off: is_cut_off,
            front: core.settings.listen.front,
        });
    }
    drop(reach);
    // Instances that send requests on through others are left out while half or more are not cut off.
    let reaching = all.iter().filter(|listed| !listed.cut_off).count();
    if reaching * 2 >= all.len() {
        all.retain(|listed| !listed.cut_off);
    }
    let mut out: Vec<_> = all.into_iter().map(|listed| (listed.other_zone, listed.front)).collect();
    out.shuffle(&mut rand::rng());
    if out.len() > MAX_ADDRS {
        out.sort_by_key(|(other_zone, _)| *other_zone);
        out.truncate(MAX_ADDRS);
    }
    out.into_iter().map(|(_, addr)| addr).collect()
}
