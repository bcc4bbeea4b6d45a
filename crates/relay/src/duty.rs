//! What one instance does for all, under a lease: ordering new weights, freeing KV cache that no
//! request will use again, and removing the entries of instances that are gone.
//!
//! The lease is renewed beside the duties: a registry that is slow or away delays no order while
//! the lease stands.

mod chores;
mod frees;
mod orders;

use std::{sync::Arc, time::Duration};

use ident::{Fence, Name, Time};
use lease::{Held, LeaseError, Leases};
use parking_lot::Mutex;
use rand::Rng;
use table::TableError;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::core::Core;

/// Pause between two looks at the state of a lease that is held.
const HOLD_ROUND: Duration = Duration::from_millis(100);
/// Pause of an instance that may not take a lease yet.
const IDLE_ROUND: Duration = Duration::from_millis(500);
/// Pause between two looks of an instance at another's lease.
const WATCH_ROUND: Duration = Duration::from_millis(700);
/// A lease is renewed once this share of its term is over.
const RENEW_SHARE: f64 = 0.4;
/// How long a renewal may take before it is tried anew.
const RENEW_TERM: Duration = Duration::from_millis(350);
/// Pause after a renewal that failed.
const RENEW_PAUSE: Duration = Duration::from_millis(240);
/// Instances that watch the lease closely; the others look seldom.
const WATCHERS: usize = 3;
/// Pause between two looks of the other instances.
const REST_ROUND: Duration = Duration::from_secs(4);
/// No order is sent in the last part of a lease's term: it must arrive within it.
const ORDER_MARGIN: Duration = Duration::from_millis(700);

/// Takes part in the duties for ever.
pub(crate) async fn run(core: Arc<Core>) {
    let name = Name::new("duties").expect("the name is valid");
    let me = Name::new(&core.settings.name).unwrap_or_else(|_| {
        let digest = format!("{:x}", rand::rng().random::<u64>());
        Name::new(&digest).expect("hexadecimal digits are valid")
    });
    // The platform starts a process only once the one before it under that name has ended.
    let leases = Leases::new(core.outside.table.clone(), core.clock.clone(), me).sole();
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
                hold(&core, &leases, held).await;
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

/// Does the duties until the lease ends.
async fn hold(core: &Arc<Core>, leases: &Leases, held: Held) {
    let tenure = Tenure::new(core.clone(), &held);
    let duties = async {
        tokio::join!(orders::run(&tenure), frees::run(&tenure), chores::run(core));
    };
    tokio::select! {
        // First: no order once the lease is over.
        biased;
        left = keep(core, leases, held, &tenure) => {
            if let Some(held) = left {
                let _ = leases.release(held).await;
                info!("duties released");
            }
        }
        () = duties => {}
    }
    core.loading.lock().clear();
}

/// Renews the lease until it ends. Returns it where this instance is to give it up.
async fn keep(core: &Core, leases: &Leases, mut held: Held, tenure: &Tenure) -> Option<Held> {
    let term = core.settings.bounds.lease;
    let mut renew = core.now().after(term.mul_f64(RENEW_SHARE));
    loop {
        let now = core.now();
        if core.is_leaving() {
            return Some(held);
        }
        if !held.valid(now) {
            info!(fence = held.fence().0, until = %held.until(), "duties lapsed");
            return None;
        }
        if renew.passed(now) {
            let renewed = timeout(RENEW_TERM, leases.renew(&mut held, term)).await;
            match renewed.unwrap_or_else(|_| Err(silent())) {
                Ok(()) => renew = now.after(term.mul_f64(RENEW_SHARE)),
                Err(LeaseError::Lost) => {
                    info!(fence = held.fence().0, "duties lost to another instance");
                    return None;
                }
                Err(error) => {
                    warn!(%error, "the lease for duties could not be renewed");
                    renew = core.now().after(RENEW_PAUSE);
                }
            }
            *tenure.until.lock() = held.until();
        }
        tokio::time::sleep(HOLD_ROUND).await;
    }
}

fn silent() -> LeaseError {
    LeaseError::Table(TableError::Unknown("no answer in time".into()))
}

/// The lease as those see it who act under it.
struct Tenure {
    core: Arc<Core>,
    fence: Fence,
    /// When it lapses. Invariant: never later than the held lease says.
    until: Mutex<Time>,
    /// No order is sent earlier: a former holder's may be under way.
    quiet: Mutex<Time>,
}

impl Tenure {
    fn new(core: Arc<Core>, held: &Held) -> Self {
        let (now, bounds) = (core.now(), &core.settings.bounds);
        let taken_over = held.fence().0 > 1 && !bounds.fenced;
        let quiet = if taken_over { now.after(bounds.lease) } else { now };
        let (until, quiet) = (Mutex::new(held.until()), Mutex::new(quiet));
        Self { core, fence: held.fence(), until, quiet }
    }

    /// Whether an order may be sent now.
    fn may_order(&self) -> bool {
        let now = self.core.now();
        self.quiet.lock().passed(now) && !self.until.lock().passed(now.after(ORDER_MARGIN))
    }

    /// No order is sent any more: a newer holder gives them.
    fn resign(&self) {
        *self.quiet.lock() = Time::NEVER;
    }
}
