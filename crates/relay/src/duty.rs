//! What one instance does for all, under a lease: ordering new weights, freeing KV cache that no
//! request will use again, and removing the entries of instances that are gone.

use std::{sync::Arc, time::Duration};

use fleet::{Replica, Snapshot};
use ident::{Name, Time};
use lease::{Held, LeaseError, Leases, Moves, Reading, Upgrade};
use place::{Held as HeldPart, free_term, salted};
use rand::Rng;
use table::TableError;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::{
    core::Core,
    dates,
    outside::{Order, Ordered},
    peers::LOADING_TERM,
};

/// Pause between two rounds of a holder that has something under way.
const BUSY_ROUND: Duration = Duration::from_millis(120);
/// Pause between two rounds of a holder that has nothing to do.
const IDLE_ROUND: Duration = Duration::from_millis(500);
/// Pause between two looks of an instance at another's lease.
const WATCH_ROUND: Duration = Duration::from_millis(700);
/// A lease is renewed once this share of its term is over.
const RENEW_SHARE: f64 = 0.4;
/// How long a renewal may take: orders wait for it.
const RENEW_TERM: Duration = Duration::from_millis(350);
/// Instances that watch the lease closely; the others look seldom.
const WATCHERS: usize = 3;
/// Pause between two looks of the other instances.
const REST_ROUND: Duration = Duration::from_secs(4);
/// No order is sent in the last part of a lease's term: it must arrive within it.
const ORDER_MARGIN: Duration = Duration::from_millis(700);
/// Parts freed by one call.
const FREE_BATCH: usize = 200;
/// How long a freeing call may be under way, on the store's clock, in ms.
const FREE_LIMIT_MS: u64 = 1500;
/// An instance that was not heard of for so long loses its entry.
const GONE_AFTER: Duration = Duration::from_secs(12);

/// Takes part in the duties for ever.
pub(crate) async fn run(core: Arc<Core>) {
    let name = Name::new("duties").expect("the name is valid");
    let me = Name::new(&core.settings.name).unwrap_or_else(|_| {
        let digest = format!("{:x}", rand::rng().random::<u64>());
        Name::new(&digest).expect("hexadecimal digits are valid")
    });
    let leases = Leases::new(core.outside.table.clone(), core.clock.clone(), me);
    // Not all at once at the start.
    let jitter = rand::rng().random_range(0.2..2.0);
    tokio::time::sleep(IDLE_ROUND.mul_f64(jitter)).await;
    loop {
        if core.is_leaving() {
            return;
        }
        if !core.ready() {
            tokio::time::sleep(IDLE_ROUND).await;
            continue;
        }
        match leases.acquire(&name, core.settings.bounds.lease).await {
            Ok(held) => {
                info!(fence = held.fence().0, until = %held.until(), "duties taken over");
                Holder::new(core.clone(), held).run(&leases).await;
            }
            Err(LeaseError::Taken { .. }) => {}
            Err(error) => warn!(%error, "the lease for duties can't be read"),
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        let pause = if watches(&core) { WATCH_ROUND } else { REST_ROUND };
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Whether this instance is one of those that watch the lease closely.
fn watches(core: &Core) -> bool {
    let snapshot = core.view.get();
    let order = ident::rank(b"duties", &snapshot.instances, |i| &i.name);
    let known = snapshot.instances.iter().any(|i| i.name == core.settings.name);
    !known || order.iter().take(WATCHERS).any(|i| i.name == core.settings.name)
}

fn silent() -> LeaseError {
    LeaseError::Table(TableError::Unknown("no answer in time".into()))
}

struct Holder {
    core: Arc<Core>,
    held: Held,
    /// When the lease is renewed next.
    renew: Time,
    /// No order is sent earlier: a former holder's may be under way.
    quiet: Time,
    /// Sorted by model.
    upgrades: Vec<(Arc<str>, Upgrade)>,
    /// Newest reading of each replica that was read. Sorted by replica.
    readings: Vec<Reading>,
    /// Models and newest versions whose naming is written down.
    dated: Vec<(Arc<str>, u64)>,
    /// When instances that are gone are looked for next.
    census: Time,
}

impl Holder {
    fn new(core: Arc<Core>, held: Held) -> Self {
        let (now, bounds) = (core.now(), &core.settings.bounds);
        let taken_over = held.fence().0 > 1 && !bounds.fenced;
        let quiet = if taken_over { now.after(bounds.lease) } else { now };
        let renew = now.after(bounds.lease.mul_f64(RENEW_SHARE));
        let (upgrades, readings, dated) = (Vec::new(), Vec::new(), Vec::new());
        let census = now.after(GONE_AFTER);
        Self { core, held, renew, quiet, upgrades, readings, dated, census }
    }

    async fn run(mut self, leases: &Leases) {
        loop {
            let now = self.core.now();
            if self.core.is_leaving() {
                let _ = leases.release(self.held).await;
                info!("duties released");
                return;
            }
            if !self.held.valid(now) {
                info!(fence = self.held.fence().0, until = %self.held.until(), "duties lapsed");
                return;
            }
            if self.renew.passed(now) {
                let renewal = leases.renew(&mut self.held, self.core.settings.bounds.lease);
                let renewed = timeout(RENEW_TERM, renewal).await;
                match renewed.unwrap_or_else(|_| Err(silent())) {
                    Ok(()) => {
                        let term = self.core.settings.bounds.lease.mul_f64(RENEW_SHARE);
                        self.renew = now.after(term);
                    }
                    Err(LeaseError::Lost) => {
                        info!(fence = self.held.fence().0, "duties lost to another instance");
                        return;
                    }
                    Err(error) => {
                        warn!(%error, "the lease for duties could not be renewed");
                        self.renew = now.after(BUSY_ROUND * 2);
                    }
                }
            }
            let busy = self.round().await;
            tokio::time::sleep(if busy { BUSY_ROUND } else { IDLE_ROUND }).await;
        }
    }

    /// Whether an order may be sent now.
    fn may_order(&self) -> bool {
        let now = self.core.now();
        self.quiet.passed(now) && self.held.valid(now.after(ORDER_MARGIN))
    }

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
        self.date(&snapshot).await;
        self.free(&snapshot).await;
        self.count(&snapshot).await;
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
        let readings: Vec<Reading> = self.readings.clone();
        let at = match self.upgrades.binary_search_by(|(m, _)| m.cmp(model)) {
            Ok(at) => at,
            Err(at) => {
                self.upgrades.insert(at, (model.clone(), Upgrade::default()));
                at
            }
        };
        self.upgrades[at].1.step(wanted, &registered, &readings, now)
    }

    async fn act(
        &mut self,
        snapshot: &Snapshot,
        model: &Arc<str>,
        wanted: u64,
        moves: Moves,
        loading: &mut Vec<Arc<str>>,
    ) {
        for id in &moves.read {
            if let Some(replica) = snapshot.replica(id) {
                self.read(replica, model).await;
            }
        }
        if moves.order.is_empty() || !self.may_order() {
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
        tokio::time::sleep(Duration::from_millis(5)).await;
        for reading in moves.order {
            let Some(replica) = snapshot.replica(&reading.replica) else { continue };
            self.order(replica, model, wanted, &reading).await;
        }
    }

    async fn read(&mut self, replica: &Replica, model: &Arc<str>) {
        let read = self.core.now();
        let report = match self.core.outside.engines.report(replica.addr).await {
            Ok(report) => report,
            Err(error) => {
                info!(replica = %replica.id, %error, "replica can't be read");
                return;
            }
        };
        let version = report.models.iter().find(|(m, _)| m == model).map_or(0, |(_, v)| *v);
        if version > 0 {
            self.core.pool.lock().learnt(&replica.id, model, version);
        }
        if report.busy {
            self.core.pool.lock().avoid(&replica.id, read.after(LOADING_TERM));
        }
        let (orders, busy, id) = (report.orders, report.busy, replica.id.clone());
        let reading = Reading { replica: id, version, orders, busy, read };
        match self.readings.binary_search_by(|r| r.replica.cmp(&reading.replica)) {
            Ok(at) => self.readings[at] = reading,
            Err(at) => self.readings.insert(at, reading),
        }
    }

    async fn order(&mut self, replica: &Replica, model: &Arc<str>, version: u64, base: &Reading) {
        if !self.may_order() {
            return;
        }
        let order = Order {
            replica: replica.id.clone(),
            model: model.clone(),
            version,
            holder: self.core.settings.name.clone(),
            fence: self.held.fence().0,
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
            self.quiet = Time::NEVER;
        }
        // The next step reads the replica again, whatever the answer was.
        self.readings.retain(|r| r.replica != replica.id);
    }

    /// Writes down when new versions were named.
    async fn date(&mut self, snapshot: &Snapshot) {
        for weights in &snapshot.weights {
            let known = (weights.model.clone(), weights.version);
            if self.dated.contains(&known) {
                continue;
            }
            match dates::note(&self.core, weights).await {
                Ok(()) => {
                    self.dated.retain(|(model, _)| *model != weights.model);
                    self.dated.push(known);
                }
                Err(error) => {
                    warn!(model = %weights.model, %error, "the naming of weights isn't noted");
                }
            }
        }
    }

    /// Frees what was made by older weights.
    async fn free(&mut self, snapshot: &Snapshot) {
        let now = self.core.now();
        let dead = |held: &HeldPart| {
            let Some((model, version)) = salted(&held.salt) else { return false };
            let newer = snapshot.wanted(model).filter(|w| version < w.version);
            newer.is_some_and(|w| now.since(w.learnt) > free_term(&held.part))
        };
        let batches: Vec<_> = self
            .core
            .shelves
            .lock()
            .iter()
            .filter_map(|s| {
                let parts = s.catalog.dead(dead);
                let epoch = s.catalog.epoch().filter(|_| !parts.is_empty())?;
                Some((s.store.clone(), parts, epoch, s.catalog.clock() + FREE_LIMIT_MS))
            })
            .collect();
        for (store, parts, epoch, until) in batches {
            if !self.may_order() {
                return;
            }
            let parts: Vec<_> =
                parts.into_iter().take(FREE_BATCH).map(|p| (p.salt, p.part)).collect();
            let freed = self.core.outside.engines.free(store.addr, &parts, epoch, until).await;
            info!(store = %store.name, parts = parts.len(), outcome = ?freed, "cached parts freed");
            if freed.is_err() {
                continue;
            }
            let mut shelves = self.core.shelves.lock();
            if let Some(shelf) = shelves.iter_mut().find(|s| s.store.addr == store.addr) {
                shelf.catalog.freed(&parts);
            }
        }
    }

    /// Removes the entries of instances that are gone.
    async fn count(&mut self, snapshot: &Snapshot) {
        let now = self.core.now();
        if !self.census.passed(now) {
            return;
        }
        self.census = now.after(GONE_AFTER);
        let heard: Vec<Arc<str>> =
            self.core.heard.lock().iter().map(|(name, _)| name.clone()).collect();
        let me = &self.core.settings.name;
        let gone = snapshot.instances.iter().filter(|i| i.name != *me && !heard.contains(&i.name));
        for instance in gone {
            let result = self.core.outside.registry.withdraw(&instance.name).await;
            info!(instance = %instance.name, outcome = ?result, "entry of a lost instance removed");
        }
    }
}
