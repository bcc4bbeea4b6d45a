//! The duties that one instance performs for all under a lease: it orders replicas to load new
//! weights, frees KV cache that no request will use again, and removes the entries of lost
//! instances.
//!
//! The lease is renewed concurrently with the duties, so that a slow or unreachable registry does
//! not delay an order while the lease is valid.

mod chores;
mod frees;
mod orders;

use std::{sync::Arc, time::Duration};

use fleet::Instance;
use ident::{Fence, Name, Time};
use lease::{HeldLease, LeaseError, Leases};
use parking_lot::Mutex;
use rand::Rng;
use table::TableError;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::core::Core;

/// Interval between two checks of a held lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before an instance that does not take requests checks again whether it does. Only an
/// instance that takes requests tries to acquire the lease.
const NOT_READY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which one of the first [`MAX_CANDIDATES`] instances tries to acquire the lease.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(700);
/// Shortest pause between two attempts.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Share of the lease duration after which the lease is renewed.
const RENEW_SHARE: f64 = 0.4;
/// Timeout of a renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(350);
/// Delay before a failed renewal is repeated.
const RENEW_RETRY_DELAY: Duration = Duration::from_millis(240);
/// Number of instances that use [`CANDIDATE_INTERVAL`]; the others use [`STANDBY_INTERVAL`].
const MAX_CANDIDATES: usize = 3;
/// Interval at which the other instances of a small deployment try to acquire the lease. It grows with
/// the instances, so that all together try as often.
const STANDBY_INTERVAL: Duration = Duration::from_secs(4);
/// Instances up to which [`STANDBY_INTERVAL`] does not grow.
const SMALL_DEPLOYMENT: usize = 12;
/// No order or free call is sent within this time before the lease expires, so that it arrives
/// while the lease is valid.
const ACT_MARGIN: Duration = Duration::from_millis(700);

/// An order arrives within this time, or not at all; also bears the error of two instances' readings
/// of the registry's clock.
const ORDER_FLIGHT: Duration = Duration::from_millis(1000);

/// Acquires the lease whenever it is free, and performs the duties while it is held.
pub(crate) async fn run(core: Arc<Core>) {
    let name = Name::new("duties").expect("the lease name is valid");
    let me = Name::new(&core.settings.name).unwrap_or_else(|_| {
        let digest = format!("{:x}", rand::rng().random::<u64>());
        Name::new(&digest).expect("hexadecimal digits are a valid name")
    });
    // The platform starts a process only after the previous one of that name has ended.
    let leases =
        Leases::new(core.adapters.table.clone(), core.clock.clone(), me).with_own_takeover();
    // Spreads the first attempts of instances that start together.
    let jitter = rand::rng().random_range(0.2..2.0);
    tokio::time::sleep(NOT_READY_INTERVAL.mul_f64(jitter)).await;
    loop {
        if core.is_leaving() {
            return;
        }
        if !core.is_ready() {
            tokio::time::sleep(NOT_READY_INTERVAL).await;
            continue;
        }
        // When the lease is free, as far as is known.
        let mut free_at = Time::NEVER;
        match leases.acquire(&name, core.settings.bounds.lease).await {
            Ok(held) => {
                info!(fence = held.fence().0, until = %held.expires(), "duty lease acquired");
                run_duties(&core, &leases, held).await;
            }
            Err(LeaseError::Taken { until, .. }) => free_at = until,
            Err(error) => warn!(%error, "duty lease could not be acquired"),
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        let pause = match is_candidate(&core) {
            true => CANDIDATE_INTERVAL.mul_f64(jitter).min(free_at.since(core.now())),
            false => standby_interval(&core).mul_f64(jitter),
        };
        tokio::time::sleep(pause.max(MIN_PAUSE)).await;
    }
}

/// Interval at which an instance that is no candidate tries to acquire the lease.
fn standby_interval(core: &Core) -> Duration {
    let count = core.view.snapshot().instances.len();
    STANDBY_INTERVAL.mul_f64((count as f64 / SMALL_DEPLOYMENT as f64).max(1.0))
}

/// Whether this instance is one of the [`MAX_CANDIDATES`] that use [`CANDIDATE_INTERVAL`]: the first
/// of those that are heard and don't stop. So is an instance that is not listed.
fn is_candidate(core: &Core) -> bool {
    let snapshot = core.view.snapshot();
    let own = &core.settings.name;
    let runs = |i: &&Arc<Instance>| i.name == *own || (!i.leaving && core.is_heard(&i.name));
    let running: Vec<&Arc<Instance>> = snapshot.instances.iter().filter(runs).collect();
    let order = ident::rendezvous_order(b"duties", &running, |i| &i.name);
    let listed = running.iter().any(|i| i.name == *own);
    !listed || order.iter().take(MAX_CANDIDATES).any(|i| i.name == *own)
}

/// Performs the duties until the lease ends.
async fn run_duties(core: &Arc<Core>, leases: &Leases, held: HeldLease) {
    let lease_state = LeaseState::new(core.clone(), &held);
    let duties = async {
        tokio::join!(orders::run(&lease_state), frees::run(&lease_state), chores::run(core));
    };
    tokio::select! {
        // Polled first, so that no order is sent after the lease has ended.
        biased;
        released = renew_until_end(core, leases, held, &lease_state) => {
            if let Some(mut held) = released {
                let at = lease_state.next_may_act();
                held.set_act_after(core.registry_clock.lock().to_registry(at));
                let _ = leases.release(held).await;
                info!("duty lease released");
            }
        }
        () = duties => {}
    }
    core.loading.lock().clear();
}

/// Renews the lease until it ends. Returns the lease if this instance is stopping and should
/// release it.
async fn renew_until_end(
    core: &Core,
    leases: &Leases,
    mut held: HeldLease,
    lease_state: &LeaseState,
) -> Option<HeldLease> {
    let duration = core.settings.bounds.lease;
    let mut renew = core.now().after(duration.mul_f64(RENEW_SHARE));
    loop {
        let now = core.now();
        if core.is_leaving() {
            return Some(held);
        }
        if !held.is_valid(now) {
            let (fence, era) = (held.fence().0, held.era());
            info!(fence, era, until = %held.expires(), "duty lease expired, or its era ended");
            return None;
        }
        if renew.passed(now) {
            let renewed = timeout(RENEW_TIMEOUT, leases.renew(&mut held, duration)).await;
            match renewed.unwrap_or_else(|_| Err(timed_out())) {
                Ok(()) => renew = now.after(duration.mul_f64(RENEW_SHARE)),
                Err(LeaseError::Lost) => {
                    info!(fence = held.fence().0, "duty lease lost to another instance or era");
                    return None;
                }
                Err(error) => {
                    warn!(%error, "duty lease could not be renewed");
                    renew = core.now().after(RENEW_RETRY_DELAY);
                }
            }
            *lease_state.until.lock() = held.expires();
        }
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
    }
}

fn timed_out() -> LeaseError {
    LeaseError::Table(TableError::Unknown("no answer in time".into()))
}

/// The state of the lease that the duties consult before they act.
struct LeaseState {
    core: Arc<Core>,
    fence: Fence,
    /// Era of the table in which the lease was acquired. A later one ends it.
    era: u64,
    /// When the lease expires. Invariant: never later than the held lease says.
    until: Mutex<Time>,
    /// No order or free call is sent before this time: one of the previous holder may still be in
    /// flight.
    act_after: Mutex<Time>,
    /// When an order or a free call was last allowed.
    acted: Mutex<Option<Time>>,
}

impl LeaseState {
    fn new(core: Arc<Core>, held: &HeldLease) -> Self {
        let (now, bounds) = (core.now(), &core.settings.bounds);
        // Fencing number 1 has no previous holder. Replicas that check fencing numbers refuse late
        // orders of a previous holder themselves.
        let must_wait = held.fence().0 > 1 && !bounds.fenced;
        let clock = *core.registry_clock.lock();
        let said = held.act_after().and_then(|at| clock.to_local(at));
        let act_after = match said {
            _ if !must_wait => now,
            Some(at) => at.max(now).min(now.after(bounds.lease)),
            None => now.after(bounds.lease),
        };
        let (until, act_after) = (Mutex::new(held.expires()), Mutex::new(act_after));
        let acted = Mutex::default();
        Self { core, fence: held.fence(), era: held.era(), until, act_after, acted }
    }

    /// Whether an order or a free call may be sent now.
    fn may_act(&self) -> bool {
        let now = self.core.now();
        let may_act = self.core.adapters.table.era() == self.era
            && self.act_after.lock().passed(now)
            && !self.until.lock().passed(now.after(ACT_MARGIN));
        if may_act {
            *self.acted.lock() = Some(now);
        }
        may_act
    }

    /// When the next holder may act, if this one stops now. A holder that never acted leaves what it
    /// waited for itself.
    fn next_may_act(&self) -> Time {
        let lease = self.core.settings.bounds.lease;
        let acted = *self.acted.lock();
        acted.map_or(*self.act_after.lock(), |at| at.after(lease).after(ORDER_FLIGHT))
    }

    /// Allows no further order or free call, because a newer holder sends them.
    fn stop_acting(&self) {
        *self.act_after.lock() = Time::NEVER;
    }
}
