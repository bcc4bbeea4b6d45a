//! Orders for new weights.

use std::{sync::Arc, time::Duration};

use fleet::{Replica, Snapshot};
use futures_util::future::join_all;
use ident::Time;
use lease::{Moves, Reading, Upgrade};
use tokio::time::timeout;
use tracing::{info, warn};

use super::Tenure;
use crate::{
    core::Core,
    outside::{Order, Ordered, Report},
    peers::LOADING_TERM,
};

/// Pause between two rounds while something is under way.
const BUSY_ROUND: Duration = Duration::from_millis(120);
/// Pause between two rounds with nothing to do, unless the view changes.
const IDLE_ROUND: Duration = Duration::from_millis(500);
/// Peers learn within this time that a replica is left alone, before its order is sent.
const TELL_TERM: Duration = Duration::from_millis(5);

/// Gives orders for ever.
pub(super) async fn run(tenure: &Tenure) {
    let core = &tenure.core;
    let mut orders = Orders { tenure, core, upgrades: Vec::new(), readings: Vec::new() };
    let mut changes = core.view.changes();
    loop {
        let busy = orders.round().await;
        tokio::time::sleep(BUSY_ROUND).await;
        if !busy {
            // Until then or something changes.
            let _ = timeout(IDLE_ROUND, changes.changed()).await;
        }
    }
}

struct Orders<'a> {
    tenure: &'a Tenure,
    core: &'a Core,
    /// Sorted by model.
    upgrades: Vec<(Arc<str>, Upgrade)>,
    /// Newest reading of each replica that was read. Sorted by replica.
    readings: Vec<Reading>,
}

impl Orders<'_> {
    async fn round(&mut self) -> bool {
        let snapshot = self.core.view.get();
        let mut busy = false;
        let mut loading = Vec::new();
        for weights in &snapshot.weights {
            let moves = self.upgrade(&snapshot, &weights.model, weights.version);
            busy |= moves != Moves::default();
            loading.extend(moves.loading.iter().cloned());
            self.act(&snapshot, &weights.model, weights.version, moves, &mut loading).await;
        }
        *self.core.loading.lock() = loading;
        busy
    }

    fn upgrade(&mut self, snapshot: &Snapshot, model: &Arc<str>, wanted: u64) -> Moves {
        let has = |r: &&Arc<Replica>| !r.leaving && r.version(model).is_some();
        let registered: Vec<(Arc<str>, u64)> = snapshot
            .replicas
            .iter()
            .filter(has)
            .map(|r| (r.id.clone(), r.version(model).unwrap_or(0)))
            .collect();
        let now = self.core.now();
        self.readings.retain(|r| snapshot.replica(&r.replica).is_some());
        let at = match self.upgrades.binary_search_by(|(m, _)| m.cmp(model)) {
            Ok(at) => at,
            Err(at) => {
                self.upgrades.insert(at, (model.clone(), Upgrade::default()));
                at
            }
        };
        self.upgrades[at].1.step(wanted, &registered, &self.readings, now)
    }

    async fn act(
        &mut self,
        snapshot: &Snapshot,
        model: &Arc<str>,
        wanted: u64,
        moves: Moves,
        loading: &mut Vec<Arc<str>>,
    ) {
        // All at once: one that does not answer delays no other.
        let reads = moves.read.iter().filter_map(|id| snapshot.replica(id));
        for reading in join_all(reads.map(|r| read(self.core, r, model))).await {
            self.take_in(reading);
        }
        if moves.order.is_empty() || !self.tenure.may_order() {
            return;
        }
        // Peers stop placing there before the order makes the replica refuse.
        let until = self.core.now().after(LOADING_TERM);
        for reading in &moves.order {
            loading.push(reading.replica.clone());
            self.core.pool.lock().avoid(&reading.replica, until);
        }
        *self.core.loading.lock() = loading.clone();
        self.core.tell.notify_one();
        tokio::time::sleep(TELL_TERM).await;
        for reading in moves.order {
            let Some(replica) = snapshot.replica(&reading.replica) else { continue };
            self.order(replica, model, wanted, &reading).await;
        }
    }

    fn take_in(&mut self, reading: Option<Reading>) {
        let Some(reading) = reading else { return };
        match self.readings.binary_search_by(|r| r.replica.cmp(&reading.replica)) {
            Ok(at) => self.readings[at] = reading,
            Err(at) => self.readings.insert(at, reading),
        }
    }

    async fn order(&mut self, replica: &Replica, model: &Arc<str>, version: u64, base: &Reading) {
        if !self.tenure.may_order() {
            return;
        }
        let order = Order {
            replica: replica.id.clone(),
            model: model.clone(),
            version,
            holder: self.core.settings.name.clone(),
            fence: self.tenure.fence.0,
            orders: base.orders,
        };
        let at = self.upgrades.binary_search_by(|(m, _)| m.cmp(model));
        if let Ok(at) = at {
            self.upgrades[at].1.sent(&replica.id, self.core.now());
        }
        let answer = self.core.outside.engines.order(replica.addr, &order).await;
        info!(
            replica = %replica.id,
            %model,
            version,
            fence = order.fence,
            orders = order.orders,
            outcome = ?answer,
            "weights ordered"
        );
        if answer == Ok(Ordered::Fenced) {
            warn!(fence = order.fence, "a newer holder gives orders: duties are given up");
            self.tenure.resign();
        }
        // The next step reads the replica again, whatever the answer was.
        self.readings.retain(|r| r.replica != replica.id);
    }
}

/// Reads a replica's state; `None` where it does not answer.
async fn read(core: &Core, replica: &Replica, model: &Arc<str>) -> Option<Reading> {
    let read = core.now();
    match core.outside.engines.report(replica.addr).await {
        Ok(report) => Some(judge(core, replica, model, &report, read)),
        Err(error) => {
            info!(replica = %replica.id, %error, "replica can't be read");
            None
        }
    }
}

fn judge(core: &Core, replica: &Replica, model: &Arc<str>, report: &Report, read: Time) -> Reading {
    let version = report.models.iter().find(|(m, _)| m == model).map_or(0, |(_, v)| *v);
    let mut pool = core.pool.lock();
    if version > 0 {
        pool.learnt(&replica.id, model, version);
    }
    if report.busy {
        pool.avoid(&replica.id, read.after(LOADING_TERM));
    }
    let (orders, busy, replica) = (report.orders, report.busy, replica.id.clone());
    Reading { replica, version, orders, busy, read }
}
