//! Orders replicas to load new weights.

use std::{sync::Arc, time::Duration};

use fleet::{Replica, Snapshot, Weights};
use futures_util::future::join_all;
use ident::Time;
use lease::{ReplicaReport, Upgrade, UpgradeActions};
use tokio::time::timeout;
use tracing::{info, warn};

use super::LeaseState;
use crate::{
    core::Core,
    peers::LOADING_TTL,
    permits,
    services::{Order, OrderAnswer, Report},
};

/// Interval between two runs while an upgrade is in progress.
const BUSY_INTERVAL: Duration = Duration::from_millis(120);
/// Interval between two runs otherwise, unless the view changes.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which peers are told of replicas that load: half of the time for which they exclude
/// them.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for peers to receive the datagram that excludes a replica, before its order is sent.
const EXCLUDE_DELAY: Duration = Duration::from_millis(5);

/// Gives orders until the lease ends.
pub(super) async fn run(lease_state: &LeaseState) {
    let core = &lease_state.core;
    let (upgrades, states) = (Vec::new(), Vec::new());
    let mut orders = Orders { lease_state, core, upgrades, states, next_notice: Time(0) };
    let mut changes = core.view.changes();
    loop {
        let busy = orders.run_once().await;
        tokio::time::sleep(BUSY_INTERVAL).await;
        if !busy {
            // Waits for the interval to pass or the view to change.
            let _ = timeout(IDLE_INTERVAL, changes.changed()).await;
        }
    }
}

/// A state that an incarnation of a replica reported.
struct State {
    started_ms: u64,
    report: ReplicaReport,
}

struct Orders<'a> {
    lease_state: &'a LeaseState,
    core: &'a Core,
    /// Progress of each model's upgrade. Sorted by model.
    upgrades: Vec<(Arc<str>, Upgrade)>,
    /// Newest state of each replica that was queried. Sorted by replica.
    ///
    /// A replica that starts again may keep its id, with other weights, so a state counts for one
    /// incarnation only.
    states: Vec<State>,
    /// When peers are told again which replicas load.
    next_notice: Time,
}

impl Orders<'_> {
    async fn run_once(&mut self) -> bool {
        let snapshot = self.core.view.snapshot();
        let mut busy = false;
        let mut loading = Vec::new();
        for weights in &snapshot.weights {
            let actions = self.next_actions(&snapshot, weights);
            busy |= actions != UpgradeActions::default();
            loading.extend(actions.loading.iter().cloned());
            self.apply_actions(&snapshot, &weights.model, weights.version, actions, &mut loading)
                .await;
        }
        let is_loading = !loading.is_empty();
        *self.core.loading.lock() = loading;
        // Peers exclude a replica for a short time only, and hear of it seldom if there are many.
        let now = self.core.now();
        if is_loading && self.next_notice.passed(now) {
            self.next_notice = now.after(NOTICE_INTERVAL);
            self.core.notify_peers.notify_one();
        }
        busy
    }

    fn next_actions(&mut self, snapshot: &Snapshot, weights: &Weights) -> UpgradeActions {
        let model = &weights.model;
        let serves_model = |r: &&Arc<Replica>| !r.leaving && r.version(model).is_some();
        let registered: Vec<(Arc<str>, u64)> = snapshot
            .replicas
            .iter()
            .filter(serves_model)
            .map(|r| (r.id.clone(), r.version(model).unwrap_or(0)))
            .collect();
        let now = self.core.now();
        let is_current = |s: &State| {
            let known = snapshot.replica(&s.report.replica);
            known.is_some_and(|r| r.started_ms == s.started_ms)
        };
        self.states.retain(is_current);
        let reports: Vec<ReplicaReport> = self.states.iter().map(|s| s.report.clone()).collect();
        let at = match self.upgrades.binary_search_by(|(m, _)| m.cmp(model)) {
            Ok(at) => at,
            Err(at) => {
                self.upgrades.insert(at, (model.clone(), Upgrade::default()));
                at
            }
        };
        let usable = self.core.min_version(weights, now);
        self.upgrades[at].1.step(weights.version, usable, &registered, &reports, now)
    }

    async fn apply_actions(
        &mut self,
        snapshot: &Snapshot,
        model: &Arc<str>,
        wanted: u64,
        actions: UpgradeActions,
        loading: &mut Vec<Arc<str>>,
    ) {
        // Queries all replicas at once, so that one that does not answer delays no other.
        let reads = actions.read.iter().filter_map(|id| snapshot.replica(id));
        for state in join_all(reads.map(|r| query(self.core, r, model))).await {
            self.put_state(state);
        }
        if actions.order.is_empty() || !self.lease_state.may_act() {
            return;
        }
        // Peers exclude the replicas before the order makes them refuse requests.
        let until = self.core.now().after(LOADING_TTL);
        for state in &actions.order {
            loading.push(state.replica.clone());
            self.core.pool.lock().exclude_loading(&state.replica, until);
        }
        *self.core.loading.lock() = loading.clone();
        self.core.notify_peers.notify_one();
        tokio::time::sleep(EXCLUDE_DELAY).await;
        for state in actions.order {
            let Some(replica) = snapshot.replica(&state.replica) else { continue };
            self.send_order(replica, model, wanted, &state).await;
        }
    }

    fn put_state(&mut self, state: Option<State>) {
        let Some(state) = state else { return };
        match self.states.binary_search_by(|s| s.report.replica.cmp(&state.report.replica)) {
            Ok(at) => self.states[at] = state,
            Err(at) => self.states.insert(at, state),
        }
    }

    async fn send_order(
        &mut self,
        replica: &Replica,
        model: &Arc<str>,
        version: u64,
        base: &ReplicaReport,
    ) {
        if !self.lease_state.may_act() {
            return;
        }
        let order = Order {
            replica: replica.id.clone(),
            model: model.clone(),
            version,
            holder: self.core.settings.name.clone(),
            fence: self.lease_state.fence.0,
            orders: base.orders,
        };
        let at = self.upgrades.binary_search_by(|(m, _)| m.cmp(model));
        if let Ok(at) = at {
            self.upgrades[at].1.record_sent(&replica.id, self.core.now());
        }
        let answer = self.core.adapters.engines.order(replica.addr, &order).await;
        info!(
            replica = %replica.id,
            %model,
            version,
            fence = order.fence,
            orders = order.orders,
            outcome = ?answer,
            "weights order sent"
        );
        if answer == Ok(OrderAnswer::Fenced) {
            warn!(
                fence = order.fence,
                "order refused for a newer lease holder; no more orders are sent"
            );
            self.lease_state.stop_acting();
        }
        // The next run queries the replica again, whatever the answer was.
        self.states.retain(|s| s.report.replica != replica.id);
    }
}

/// Queries a replica's state; `None` where this incarnation does not answer.
async fn query(core: &Core, replica: &Replica, model: &Arc<str>) -> Option<State> {
    let asked_at = core.now();
    let started_ms = replica.started_ms;
    match permits::report(core, replica).await {
        Ok(report) if ![0, started_ms].contains(&report.started_ms) => {
            info!(
                replica = %replica.id,
                started_ms,
                reported_ms = report.started_ms,
                "replica state ignored, it is another incarnation's"
            );
            None
        }
        Ok(report) => {
            let report = to_replica_report(core, replica, model, &report, asked_at);
            Some(State { started_ms, report })
        }
        Err(error) => {
            info!(replica = %replica.id, %error, "replica state query failed");
            None
        }
    }
}

fn to_replica_report(
    core: &Core,
    replica: &Replica,
    model: &Arc<str>,
    report: &Report,
    asked_at: Time,
) -> ReplicaReport {
    let version = report.models.iter().find(|(m, _)| m == model).map_or(0, |(_, v)| *v);
    let mut pool = core.pool.lock();
    if version > 0 {
        pool.set_version(&replica.id, model, version);
    }
    if report.busy {
        pool.exclude_loading(&replica.id, asked_at.after(LOADING_TTL));
    }
    let (orders, busy, replica) = (report.orders, report.busy, replica.id.clone());
    ReplicaReport { replica, version, orders, busy, asked_at }
}
