//! What an instance holds for its requests, checks and questions to peers.

use std::sync::atomic::Ordering;

use crate::core::Core;

/// What is held at the moment, by kind. All are 0 while nothing is under way and the kept connections
/// have been closed: a count that stays above 0 then shows a leak.
pub fn holdings(core: &Core) -> [(&'static str, u64); 10] {
    let loads = core.pool.lock().own_loads();
    let at_replicas: u64 = loads.iter().map(|l| u64::from(l.load.requests)).sum();
    [
        ("requests", core.active.load(Ordering::Relaxed).into()),
        ("body_bytes", core.bodies.held() as u64),
        ("replica_requests", at_replicas),
        ("flights", core.blame.lock().flight_count() as u64),
        ("peer_requests", core.detours.lock().len() as u64),
        ("replica_conns", core.conns.open_conns().into()),
        ("peer_conns", core.peer_conns.open_conns().into()),
        ("inquiries", core.inquiries.lock().len() as u64),
        ("checks", core.checked.lock().len() as u64),
        ("config_fetches", core.fetching_config.load(Ordering::Relaxed).into()),
    ]
}

/// Sets the gauges of what is held.
pub(crate) fn record(core: &Core) {
    for (kind, count) in holdings(core) {
        core.metrics.held.with_label_values(&[kind]).set(count as i64);
    }
}
