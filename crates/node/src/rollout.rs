//! Drives rollouts of weights versions. For each target, the instance that holds the rollout lease
//! sends the orders to the replicas.

use std::{sync::Arc, time::Duration};

use admin::RolloutStatus;
use conf::{Target, TargetKind};
use entry::{Core, ReplicaRef};
use events::{EventKind, Phase};
use ident::{Name, Time};
use lease::{
    BlockReason, DesiredState, HeldLease, LeaseError, Leases, Order, Replica, Rollout,
    RolloutLimits, Step, VersionShare,
};
use outbound::{CallError, OrderStatus};
use parking_lot::Mutex;
use table::Table;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    follow::Follower,
    load_slots::{LoadSlots, MAX_CONCURRENT_LOADS},
};

/// Lease duration of a target's rollout and of the load slots that it holds.
const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Interval between two checks for new rollouts, and longest pause between two steps of one.
const STEP_INTERVAL: Duration = Duration::from_secs(1);
/// Percentage of a target's capacity that keeps serving during a rollout. Targets with few replicas
/// use less, see [`min_serving_percent`].
const MIN_SERVING_PERCENT: u8 = 60;
/// Percentage of a target's capacity that must keep serving the new version once that much serves
/// it; 0 reserves nothing.
const NEW_VERSION_MIN_PERCENT: u8 = 0;
/// A rollout that makes no progress for this long is logged as stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(60);

/// State of the rollouts of all targets, as this instance knows it.
pub struct Rollouts {
    core: Arc<Core>,
    follower: Arc<Follower>,
    leases: Leases,
    /// Targets whose rollout this instance leads. Sorted.
    led: Mutex<Vec<Name>>,
    /// Targets whose rollout this instance leads or tries to lead. Sorted.
    active: Mutex<Vec<Name>>,
}

impl Rollouts {
    /// Creates the state for rollouts whose leases are rows in `table`.
    pub fn new(core: Arc<Core>, follower: Arc<Follower>, table: Arc<dyn Table>) -> Self {
        let leases = Leases::new(table, core.clock.clone(), core.name.clone());
        Self { core, follower, leases, led: Mutex::default(), active: Mutex::default() }
    }

    /// Progress of the rollouts of all targets of a model; `None` if the model is unknown. `leader`
    /// is set if this instance leads at least one of them.
    pub fn status(&self, model: &Name) -> Option<RolloutStatus> {
        let view = self.core.view();
        let version = view.model(model)?.version.clone();
        let targets: Vec<Name> = view
            .targets()
            .filter(|t| matches!(&t.kind, TargetKind::Engine { model: m, .. } if m == model))
            .map(|t| t.name.clone())
            .collect();
        let of_model = |r: &route::Replica| targets.contains(&r.target) && !r.is_leaving();
        let replicas: Vec<_> =
            self.core.pools.replica_states().into_iter().filter(of_model).collect();
        let ready = replicas.iter().filter(|r| r.weights.as_ref() == Some(&version)).count();
        // The weights are `None` while the replica loads, and until its first report.
        let loading = replicas.iter().filter(|r| r.weights.is_none()).count();
        let leads = targets.iter().any(|t| self.led.lock().binary_search(t).is_ok());
        Some(RolloutStatus {
            model: model.clone(),
            version,
            leader: leads.then(|| self.core.name.clone()),
            total: u32::try_from(replicas.len()).unwrap_or(u32::MAX),
            ready: u32::try_from(ready).unwrap_or(u32::MAX),
            loading: u32::try_from(loading).unwrap_or(u32::MAX),
        })
    }
}

/// Adds a target to a sorted list or removes it. Returns true if the list changed.
fn set_present(list: &Mutex<Vec<Name>>, target: &Name, present: bool) -> bool {
    let mut list = list.lock();
    match (list.binary_search(target), present) {
        (Err(at), true) => list.insert(at, target.clone()),
        (Ok(at), false) => drop(list.remove(at)),
        _ => return false,
    }
    true
}

/// Starts rollouts until the process ends. Each target has its own task, so that a target whose
/// replicas never finish loading does not delay the others.
pub async fn run(rollouts: Arc<Rollouts>) {
    loop {
        let view = rollouts.core.view();
        for target in view.targets() {
            let Some((version, fenced)) = pending_version(&rollouts.core, target) else { continue };
            if set_present(&rollouts.active, &target.name, true) {
                let (rollouts, target) = (rollouts.clone(), target.clone());
                tokio::spawn(async move {
                    lead(&rollouts, &target, version, fenced).await;
                    set_present(&rollouts.active, &target.name, false);
                });
            }
        }
        sleep(STEP_INTERVAL).await;
    }
}

/// The configured version, if some replica of the target serves another one, and whether the
/// target's engines check fencing numbers.
fn pending_version(core: &Core, target: &Target) -> Option<(Name, bool)> {
    let TargetKind::Engine { model, fenced } = &target.kind else { return None };
    let version = core.view().model(model)?.version.clone();
    let replicas = core.pools.replica_states();
    let own = || replicas.iter().filter(|r| r.target == target.name && !r.is_leaving());
    let differs = own().any(|r| r.weights.as_ref().is_some_and(|w| *w != version));
    differs.then_some((version, *fenced))
}

/// Acquires the target's rollout lease, if it is free. Then sends orders to the replicas until all
/// of them serve the version, the lease is lost or another version is configured.
///
/// The log is read after the lease is acquired, since an earlier holder may have rolled out a
/// version that this instance did not know of. So no holder orders an older version than those
/// before it.
async fn lead(rollouts: &Rollouts, target: &Target, version: Name, fenced: bool) {
    let core = &rollouts.core;
    // If the target's name is too long for the prefix, the lease has the name of the target.
    let lease_name =
        Name::new(&format!("rollout.{}", target.name)).unwrap_or_else(|_| target.name.clone());
    let Ok(mut held) = rollouts.leases.acquire(&lease_name, LEASE_DURATION).await else { return };
    if !confirm_version(rollouts, target, &version).await {
        // A lease that could not be released expires.
        let _ = rollouts.leases.release(held).await;
        return;
    }
    set_present(&rollouts.led, &target.name, true);
    let phase = |phase| EventKind::Rollout {
        target: target.name.clone(),
        version: version.clone(),
        phase,
        fence: held.fence(),
    };
    core.record(phase(Phase::Started));
    tracing::info!(target = %target.name, %version, "rollout started");
    let done_event = phase(Phase::Done);
    let stopped_event = phase(Phase::Stopped);
    let done = Leader { rollouts, target, version: &version, fenced }.run(&mut held).await;
    core.record(if done { done_event } else { stopped_event });
    tracing::info!(target = %target.name, %version, done, "rollout ended");
    set_present(&rollouts.led, &target.name, false);
    // A lease that could not be released expires.
    let _ = rollouts.leases.release(held).await;
}

/// Whether `version` is the configured one by the end of the log, and is still to be rolled out.
async fn confirm_version(rollouts: &Rollouts, target: &Target, version: &Name) -> bool {
    if let Err(error) = rollouts.follower.catch_up().await {
        let target = &target.name;
        tracing::warn!(%target, %version, %error, "rollout not started: the configuration may be old");
        return false;
    }
    pending_version(&rollouts.core, target).is_some_and(|(pending, _)| pending == *version)
}

/// How long a rollout has made no progress, and what was logged about it.
struct Stall {
    /// Start of the period without progress.
    since: Instant,
    /// Number of replicas that do not serve the version yet.
    behind: usize,
    /// Reason logged last: `None` if nothing was logged, `Some(None)` if replicas are loading,
    /// `Some(Some(_))` if the rollout is blocked.
    logged: Option<Option<BlockReason>>,
}

impl Default for Stall {
    fn default() -> Self {
        Self { since: Instant::now(), behind: 0, logged: None }
    }
}

/// One rollout led by this instance.
struct Leader<'a> {
    rollouts: &'a Rollouts,
    target: &'a Target,
    version: &'a Name,
    /// Whether the target's engines check fencing numbers.
    fenced: bool,
}

impl Leader<'_> {
    /// Runs the rollout. Returns true if all replicas serve the version, false if the lease was
    /// lost, another version is configured or a replica has accepted an order of a newer leader.
    async fn run(&self, held: &mut HeldLease) -> bool {
        let core = &self.rollouts.core;
        let wanted = DesiredState { weights: self.version.clone(), role: mixed_role() };
        let first_order_at = Rollout::first_order_at(core.now(), LEASE_DURATION);
        let limits = RolloutLimits {
            min_capacity: min_serving_percent(self.replicas().len()),
            max_loads: MAX_CONCURRENT_LOADS,
        };
        let mut rollout = Rollout::new(wanted, held.fence(), self.fenced, first_order_at, limits);
        let mut readings: Vec<Replica> = Vec::new();
        let mut slots = LoadSlots::new(&self.rollouts.leases, LEASE_DURATION);
        let mut stall = Stall::default();
        let done = loop {
            if !self.renew(held).await || !self.still_wanted() {
                break false;
            }
            slots.renew(max_loading(self.replicas().len())).await;
            self.read_replicas(&mut readings).await;
            let version_shares =
                [VersionShare { version: self.version.clone(), share: NEW_VERSION_MIN_PERCENT }];
            let step =
                rollout.step(&readings, &version_shares, slots.valid_count(core.now()), core.now());
            self.log_stall(&mut stall, &step, &readings);
            match step {
                Step::Done => break true,
                Step::Superseded => break false,
                Step::Orders(orders) => self.send_orders(held, orders).await,
                Step::Wait(until) => sleep(until.since(core.now()).min(STEP_INTERVAL)).await,
                Step::Loading | Step::Confirming | Step::Blocked(_) => sleep(STEP_INTERVAL).await,
            }
        };
        slots.release().await;
        done
    }

    /// Logs why a rollout makes no progress, once for each reason.
    fn log_stall(&self, stall: &mut Stall, step: &Step, readings: &[Replica]) {
        let behind = |r: &&Replica| r.actual.as_ref().is_none_or(|a| a.weights != *self.version);
        let behind: Vec<_> = readings.iter().filter(behind).map(|r| r.name.clone()).collect();
        let reason = match step {
            Step::Loading => None,
            Step::Blocked(block) => Some(block.clone()),
            _ => return *stall = Stall::default(),
        };
        if behind.len() != stall.behind {
            *stall = Stall { behind: behind.len(), ..Stall::default() };
        }
        if stall.since.elapsed() < STALL_THRESHOLD || stall.logged.as_ref() == Some(&reason) {
            return;
        }
        let (target, version) = (&self.target.name, self.version);
        self.rollouts.core.metrics.rollout_stalls.with_label_values(&[target.as_str()]).inc();
        match &reason {
            Some(block) => tracing::warn!(%target, %version, ?behind, %block, "rollout blocked"),
            None => tracing::warn!(%target, %version, ?behind, "rollout stalled: replicas loading"),
        }
        stall.logged = Some(reason);
    }

    /// Renews the rollout lease. Returns whether this instance still holds it; without an answer
    /// from the table the lease is held until it expires.
    async fn renew(&self, held: &mut HeldLease) -> bool {
        match self.rollouts.leases.renew(held, LEASE_DURATION).await {
            Ok(()) => true,
            Err(LeaseError::Lost | LeaseError::Taken { .. }) => false,
            Err(LeaseError::Table(_)) => held.is_valid(self.rollouts.core.now()),
        }
    }

    /// Whether the configuration still names this version for the target.
    fn still_wanted(&self) -> bool {
        let core = &self.rollouts.core;
        let Some(doc) = core.view().target(&self.target.name) else { return false };
        let TargetKind::Engine { model, .. } = &doc.kind else { return false };
        core.view().model(model).is_some_and(|m| m.version == *self.version)
    }

    fn replicas(&self) -> Vec<ReplicaRef> {
        let all = self.rollouts.core.pools.replicas();
        all.into_iter().filter(|r| r.target == self.target.name).collect()
    }

    /// Reads the orders and the state of all replicas. The last reading of a replica is kept if it
    /// does not answer.
    async fn read_replicas(&self, readings: &mut Vec<Replica>) {
        let core = &self.rollouts.core;
        let replicas = self.replicas();
        readings.retain(|r| replicas.iter().any(|known| known.name == r.name));
        for replica in replicas {
            let read_started = core.now();
            let Ok(orders) = core.backends.engine.order_status(replica.addr).await else {
                continue;
            };
            let reading = reading(&replica, orders, read_started);
            match readings.iter_mut().find(|r| r.name == replica.name) {
                Some(old) => *old = reading,
                None => readings.push(reading),
            }
        }
    }

    /// Sends orders one by one. Stops when the lease is no longer valid or a deadline has passed.
    async fn send_orders(&self, held: &HeldLease, orders: Vec<Order>) {
        let core = &self.rollouts.core;
        for order in orders {
            let replicas = core.pools.replicas();
            let Some(replica) = replicas.iter().find(|r| r.name == order.replica) else { continue };
            let now = core.now();
            if !held.is_valid(now) || order.deadline.passed(now) {
                return;
            }
            core.record(EventKind::OrderSent {
                target: self.target.name.clone(),
                replica: order.replica.clone(),
                fence: order.fence,
            });
            let wanted =
                outbound::ReplicaState { weights: order.wanted.weights, role: order.wanted.role };
            let sent = core.backends.engine.order(replica.addr, order.fence, &wanted);
            let result = timeout(order.deadline.since(now), sent).await;
            let label = match result.unwrap_or(Err(CallError::Silent)) {
                Ok(()) => "ok",
                Err(CallError::Refused(_)) => "refused",
                Err(_) => "unknown",
            };
            core.metrics.orders.with_label_values(&[label]).inc();
        }
    }
}

/// Percentage of the capacity that keeps serving. With few replicas it is lower than
/// [`MIN_SERVING_PERCENT`], so that one replica may always load.
fn min_serving_percent(replicas: usize) -> u8 {
    let without_one = 100 * replicas.saturating_sub(1) / replicas.max(1);
    MIN_SERVING_PERCENT.min(u8::try_from(without_one).unwrap_or(MIN_SERVING_PERCENT))
}

/// Maximum number of replicas that may load at the same time: those not needed to keep
/// [`min_serving_percent`] of the capacity serving, at least 1, at most [`MAX_CONCURRENT_LOADS`].
fn max_loading(replicas: usize) -> usize {
    let serving = (replicas * usize::from(min_serving_percent(replicas))).div_ceil(100);
    replicas.saturating_sub(serving).clamp(1, MAX_CONCURRENT_LOADS)
}

/// The reading of a replica. Each replica in the instance list counts as live, and all have the
/// same capacity.
fn reading(replica: &ReplicaRef, orders: OrderStatus, read_at: Time) -> Replica {
    let state = |w: outbound::ReplicaState| DesiredState { weights: w.weights, role: w.role };
    Replica {
        name: replica.name.clone(),
        live: true,
        capacity: 1,
        fence: orders.fence,
        ordered: orders.wanted.map(state),
        actual: orders.actual.map(state),
        read_at,
    }
}

/// The only role that rollouts order.
fn mixed_role() -> Name {
    Name::new("mixed").expect("`mixed` is a valid name")
}
