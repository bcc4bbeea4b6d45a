//! Drives rollouts: for each model deployment, whoever holds its lease orders the replicas.

use std::{sync::Arc, time::Duration};

use admin::RolloutStatus;
use conf::{Target, TargetKind};
use entry::{Core, ReplicaRef};
use events::{EventKind, Phase};
use ident::{Name, Time};
use lease::{
    Block, Bounds, Demand, Held, LeaseError, Leases, Order, Replica, Rollout, Step, Wanted,
};
use outbound::{CallError, Orders};
use parking_lot::Mutex;
use table::Table;
use tokio::time::{Instant, sleep, timeout};

use crate::loads::{Loads, MAX_LOADS};

/// Term of a target's rollout lease.
const TERM: Duration = Duration::from_secs(10);
/// Time between two rounds.
const ROUND: Duration = Duration::from_secs(1);
/// Percentage of a target's capacity that keeps serving, where one replica is not more than the
/// rest.
const FLOOR: u8 = 60;
/// Share of capacity, in percent, that keeps serving the version before.
const PREVIOUS_SHARE: u8 = 0;

/// A rollout that takes no step for this long says so in the log.
const STUCK: Duration = Duration::from_secs(60);

/// The rollouts of all model deployments as this instance sees them.
pub struct Rollouts {
    core: Arc<Core>,
    leases: Leases,
    /// What this instance leads. Sorted by target.
    led: Mutex<Vec<Name>>,
    /// Targets this instance is leading or trying to lead. Sorted.
    tried: Mutex<Vec<Name>>,
}

impl Rollouts {
    /// Rollouts driven by leases in `table`.
    pub fn new(core: Arc<Core>, table: Arc<dyn Table>) -> Self {
        let leases = Leases::new(table, core.clock.clone(), core.name.clone());
        Self { core, leases, led: Mutex::default(), tried: Mutex::default() }
    }

    /// How far a model's version has come; `None` for an unknown model.
    pub fn status(&self, model: &Name) -> Option<RolloutStatus> {
        let view = self.core.view();
        let version = view.model(model)?.version.clone();
        let targets: Vec<Name> = view
            .targets()
            .filter(|t| matches!(&t.kind, TargetKind::Engine { model: m, .. } if m == model))
            .map(|t| t.name.clone())
            .collect();
        let of_model = |r: &route::Replica| targets.contains(&r.target) && !r.is_leaving();
        let replicas: Vec<_> = self.core.pools.status().into_iter().filter(of_model).collect();
        let ready = replicas.iter().filter(|r| r.weights.as_ref() == Some(&version)).count();
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

/// Puts a target into a sorted list or removes it; whether that changed the list.
fn set(list: &Mutex<Vec<Name>>, target: &Name, present: bool) -> bool {
    let mut list = list.lock();
    match (list.binary_search(target), present) {
        (Err(at), true) => list.insert(at, target.clone()),
        (Ok(at), false) => drop(list.remove(at)),
        _ => return false,
    }
    true
}

/// Looks after all rollouts until the process ends. Each target has a task of its own, so that one
/// whose replicas never finish loading does not hold up the others.
pub async fn run(rollouts: Arc<Rollouts>) {
    loop {
        let view = rollouts.core.view();
        for target in view.targets() {
            let Some((version, fenced)) = pending(&rollouts.core, target) else { continue };
            if set(&rollouts.tried, &target.name, true) {
                let (rollouts, target) = (rollouts.clone(), target.clone());
                tokio::spawn(async move {
                    lead(&rollouts, &target, version, fenced).await;
                    set(&rollouts.tried, &target.name, false);
                });
            }
        }
        sleep(ROUND).await;
    }
}

/// The version a target should serve and does not, with whether its engines check fences.
fn pending(core: &Core, target: &Target) -> Option<(Name, bool)> {
    let TargetKind::Engine { model, fenced } = &target.kind else { return None };
    let version = core.view().model(model)?.version.clone();
    let replicas = core.pools.status();
    let own = || replicas.iter().filter(|r| r.target == target.name && !r.is_leaving());
    let differs = own().any(|r| r.weights.as_ref().is_some_and(|w| *w != version));
    differs.then_some((version, *fenced))
}

/// Takes the target's lease, if it is free, and orders its replicas until all serve the version,
/// the lease is lost or another version is wanted.
async fn lead(rollouts: &Rollouts, target: &Target, version: Name, fenced: bool) {
    let core = &rollouts.core;
    let name =
        Name::new(&format!("rollout.{}", target.name)).unwrap_or_else(|_| target.name.clone());
    let Ok(mut held) = rollouts.leases.acquire(&name, TERM).await else { return };
    set(&rollouts.led, &target.name, true);
    let phase = |phase| EventKind::Rollout {
        target: target.name.clone(),
        version: version.clone(),
        phase,
        fence: held.fence(),
    };
    core.record(phase(Phase::Started));
    tracing::info!(target = %target.name, %version, "rollout started");
    let started = phase(Phase::Done);
    let stopped = phase(Phase::Stopped);
    let done = Lead { rollouts, target, version: &version, fenced }.run(&mut held).await;
    core.record(if done { started } else { stopped });
    tracing::info!(target = %target.name, %version, done, "rollout ended");
    set(&rollouts.led, &target.name, false);
    // A lease that is not given back lapses by itself.
    let _ = rollouts.leases.release(held).await;
}

/// Since when a rollout has not got on.
struct Stall {
    since: Instant,
    /// Replicas that do not serve the version yet.
    behind: usize,
    /// What the log says already; within, `None` while replicas load.
    told: Option<Option<Block>>,
}

impl Default for Stall {
    fn default() -> Self {
        Self { since: Instant::now(), behind: 0, told: None }
    }
}

struct Lead<'a> {
    rollouts: &'a Rollouts,
    target: &'a Target,
    version: &'a Name,
    fenced: bool,
}

impl Lead<'_> {
    /// Whether the rollout was carried to its end.
    async fn run(&self, held: &mut Held) -> bool {
        let core = &self.rollouts.core;
        let wanted = Wanted { weights: self.version.clone(), role: mixed() };
        let quiet = Rollout::quiet_until(core.now(), TERM);
        let bounds = Bounds { floor: floor(self.replicas().len()), loads: MAX_LOADS };
        let mut rollout = Rollout::new(wanted, held.fence(), self.fenced, quiet, bounds);
        let mut readings: Vec<Replica> = Vec::new();
        let mut loads = Loads::new(&self.rollouts.leases, TERM);
        let mut stall = Stall::default();
        let done = loop {
            if !self.renew(held).await || !self.still_wanted() {
                break false;
            }
            loads.hold(spared(self.replicas().len())).await;
            self.read(&mut readings).await;
            let demands = [Demand { version: self.version.clone(), share: PREVIOUS_SHARE }];
            let step = rollout.step(&readings, &demands, loads.held(core.now()), core.now());
            self.note(&mut stall, &step, &readings);
            match step {
                Step::Done => break true,
                Step::Superseded => break false,
                Step::Orders(orders) => self.send(held, orders).await,
                Step::Wait(until) => sleep(until.since(core.now()).min(ROUND)).await,
                Step::Loading | Step::Settling | Step::Blocked(_) => sleep(ROUND).await,
            }
        };
        loads.release().await;
        done
    }

    /// Says in the log why a rollout does not get on, once for each reason.
    fn note(&self, stall: &mut Stall, step: &Step, readings: &[Replica]) {
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
        if stall.since.elapsed() < STUCK || stall.told.as_ref() == Some(&reason) {
            return;
        }
        let (target, version) = (&self.target.name, self.version);
        self.rollouts.core.metrics.stalls.with_label_values(&[target.as_str()]).inc();
        match &reason {
            Some(block) => tracing::warn!(%target, %version, ?behind, %block, "rollout blocked"),
            None => tracing::warn!(%target, %version, ?behind, "replicas still load the version"),
        }
        stall.told = Some(reason);
    }

    async fn renew(&self, held: &mut Held) -> bool {
        match self.rollouts.leases.renew(held, TERM).await {
            Ok(()) => true,
            Err(LeaseError::Lost | LeaseError::Taken { .. }) => false,
            Err(LeaseError::Table(_)) => held.valid(self.rollouts.core.now()),
        }
    }

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

    /// Reads all replicas back; one that does not answer keeps its last reading.
    async fn read(&self, readings: &mut Vec<Replica>) {
        let core = &self.rollouts.core;
        let replicas = self.replicas();
        readings.retain(|r| replicas.iter().any(|known| known.name == r.name));
        for replica in replicas {
            let asked = core.now();
            let Ok(orders) = core.backends.engine.orders(replica.addr).await else { continue };
            let reading = reading(&replica, orders, asked);
            match readings.iter_mut().find(|r| r.name == replica.name) {
                Some(old) => *old = reading,
                None => readings.push(reading),
            }
        }
    }

    async fn send(&self, held: &Held, orders: Vec<Order>) {
        let core = &self.rollouts.core;
        for order in orders {
            let replicas = core.pools.replicas();
            let Some(replica) = replicas.iter().find(|r| r.name == order.replica) else { continue };
            let now = core.now();
            if !held.valid(now) || order.deadline.passed(now) {
                return;
            }
            core.record(EventKind::OrderSent {
                target: self.target.name.clone(),
                replica: order.replica.clone(),
                fence: order.fence,
            });
            let wanted =
                outbound::Wanted { weights: order.wanted.weights, role: order.wanted.role };
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

/// The part of the capacity, in percent, that keeps serving. With few replicas less, so that one
/// may always load.
fn floor(replicas: usize) -> u8 {
    let spared = 100 * replicas.saturating_sub(1) / replicas.max(1);
    FLOOR.min(u8::try_from(spared).unwrap_or(FLOOR))
}

/// Most replicas that may load at once, by the floor.
fn spared(replicas: usize) -> usize {
    let kept = (replicas * usize::from(floor(replicas))).div_ceil(100);
    replicas.saturating_sub(kept).clamp(1, MAX_LOADS)
}

fn reading(replica: &ReplicaRef, orders: Orders, read: Time) -> Replica {
    let state = |w: outbound::Wanted| Wanted { weights: w.weights, role: w.role };
    Replica {
        name: replica.name.clone(),
        live: true,
        capacity: 1,
        fence: orders.fence,
        wanted: orders.wanted.map(state),
        actual: orders.actual.map(state),
        read,
    }
}

fn mixed() -> Name {
    Name::new("mixed").expect("a valid name")
}
