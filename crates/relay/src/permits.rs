//! What replicas say of how much they take, and whether this instance may send to them.

use std::{sync::Arc, time::Duration};

use fleet::Replica;
use ident::Time;
use place::{NamedLimit, Peers, Permit};
use tracing::{info, warn};

use crate::{
    core::Core,
    protocol::ResponseMeta,
    services::{CallError, Report},
};

/// How long a request with a permit for a cold replica may wait for a connection. With the time on
/// the network it stays within the second of the bound on cold replicas.
const COLD_PERMIT_TTL: Duration = Duration::from_millis(100);

/// The replicas that restrict what they take, and whether this instance may send to them. Sorted by
/// replica.
pub(crate) fn permits(core: &Core, now: Time) -> Vec<(Arc<str>, Permit)> {
    let mut out = core.limits.lock().permits(now);
    merge(&mut out, core.cold.lock().permits(now));
    let mut refusals = core.refusals.lock();
    if refusals.is_empty() {
        return out;
    }
    let pool = core.pool.lock();
    merge(&mut out, refusals.permits(|id| pool.own_requests(id), now));
    out
}

/// Adds permits, of which the stricter one counts for each replica.
fn merge(out: &mut Vec<(Arc<str>, Permit)>, permits: Vec<(Arc<str>, Permit)>) {
    for (replica, permit) in permits {
        match out.binary_search_by(|(id, _)| id.cmp(&replica)) {
            Ok(at) => out[at].1 = out[at].1.max(permit),
            Err(at) => out.insert(at, (replica, permit)),
        }
    }
}

/// Takes the permit for one request to a replica. Returns `None` if there is none, else the permit
/// for a cold replica, unless the replica is warm.
pub(crate) fn take(core: &Core, replica: &str, now: Time) -> Option<Option<ColdPermit>> {
    let requests = core.pool.lock().own_requests(replica);
    // Only the last of them is lost if another request has taken one since the choice.
    if !core.refusals.lock().take(replica, requests, now) || !core.limits.lock().take(replica, now)
    {
        return None;
    }
    let is_cold = core.cold.lock().take(replica, now)?;
    Some(is_cold.then_some(ColdPermit { taken: now }))
}

/// A permit for one request to a cold replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdPermit {
    taken: Time,
}

/// Whether a request may be written to a replica that may be cold. The permit that it got when the
/// replica was chosen counts for [`COLD_PERMIT_TTL`]: requests that wait for a connection would
/// otherwise arrive together, and the replica may have become cold meanwhile.
pub(crate) fn may_write(core: &Core, replica: &str, permit: Option<ColdPermit>, now: Time) -> bool {
    let is_valid = permit.is_some_and(|p| now.since(p.taken) < COLD_PERMIT_TTL);
    is_valid || core.cold.lock().take(replica, now).is_some()
}

/// Records what the head of a replica's answer says of how much it takes, and logs a change.
pub(crate) fn observe(core: &Core, meta: &ResponseMeta, replica: &Replica, now: Time) {
    if let Some(rate) = parse(&meta.limit, replica, "replica names a malformed limit") {
        let mut limits = core.limits.lock();
        if limits.observe(replica, rate, now) {
            core.metrics.limited_replicas.set(limits.count() as i64);
            info!(replica = &*replica.id, rate, "replica's limit changed");
            core.notify_evidence.notify_one();
        }
    }
    let malformed = "replica names a malformed number of refusals";
    if let Some(max) = parse(&meta.max_refusals, replica, malformed) {
        let mut refusals = core.refusals.lock();
        if refusals.observe(replica, max, now) {
            core.metrics.brittle_replicas.set(refusals.count(now) as i64);
            info!(replica = &*replica.id, max, "refusals that the replica bears changed");
        }
    }
}

/// Queries a replica's state, and takes it out of the choice if it says that it is leaving.
pub(crate) async fn report(core: &Core, replica: &Replica) -> Result<Report, CallError> {
    let report = core.adapters.engines.report(replica.addr).await?;
    // Another replica may have the address now.
    if report.leaving && report.started_ms == replica.started_ms {
        apply_leaving(core, replica);
    }
    Ok(report)
}

/// Takes a replica that said that it is leaving out of the choice, and tells peers.
fn apply_leaving(core: &Core, replica: &Replica) {
    if core.apply_leaving(replica) {
        core.metrics.leaving_said.inc();
        info!(replica = &*replica.id, "replica said that it is leaving");
        core.notify_peers.notify_one();
    }
}

/// Takes a replica whose answer says that it is leaving out of the choice.
pub(crate) fn observe_leaving(core: &Core, meta: &ResponseMeta, replica: &Replica) {
    match &meta.leaving {
        Ok(false) => {}
        Ok(true) => apply_leaving(core, replica),
        Err(error) => {
            warn!(replica = &*replica.id, %error, "replica's word of leaving is malformed")
        }
    }
}

/// Sends nothing to a replica for the time that it named when it turned a request away.
pub(crate) fn observe_retry_after(core: &Core, meta: &ResponseMeta, replica: &Replica, now: Time) {
    match &meta.retry_after {
        Ok(None) => {}
        Ok(Some(time)) => {
            core.metrics.retry_after.inc();
            info!(
                replica = &*replica.id,
                ms = time.as_millis() as u64,
                "replica wants no requests for some time"
            );
            core.pool.lock().decline(replica, *time, now);
        }
        Err(error) => {
            warn!(replica = &*replica.id, %error, "time for which the replica wants no requests is malformed");
        }
    }
}

/// What a replica names, `None` if that is malformed. It names nothing where that is `Some(None)`.
fn parse(named: &NamedLimit, replica: &Replica, message: &str) -> Option<Option<f64>> {
    match named {
        NamedLimit::None => Some(None),
        NamedLimit::Rate(rate) => Some(Some(*rate)),
        NamedLimit::Malformed(text) => {
            warn!(replica = &*replica.id, %text, "{message}");
            None
        }
    }
}

/// Records that a replica refused a request for want of room, and tells peers if they may not know
/// that it is full.
pub(crate) fn refused(core: &Core, replica: &str, now: Time) {
    let others = core.pool.lock().own_requests(replica).saturating_sub(1);
    if core.refusals.lock().refused(replica, others, now) {
        info!(replica, requests = others, "replica that bears few refusals is full");
        core.metrics.full_replicas.inc();
        core.notify_peers.notify_one();
    }
}

impl Core {
    /// The instances among which the limits of replicas are shared.
    pub(crate) fn limit_peers(&self) -> Peers {
        let snapshot = self.view.snapshot();
        let own = &self.settings.name;
        let heard = self.last_heard.lock();
        let is_alive =
            |name: &Arc<str>| name == own || heard.binary_search_by(|(n, _)| n.cmp(name)).is_ok();
        let names = snapshot.instances.iter().filter(|i| !i.leaving).map(|i| &i.name);
        let mut alive: Vec<Arc<str>> = names.filter(|n| is_alive(n)).cloned().collect();
        alive.push(own.clone());
        alive.sort();
        alive.dedup();
        Peers { own: own.clone(), alive, registered: snapshot.instances.len() }
    }
}
