//! Duties that may wait while the registry is slow or unreachable: storing when weights were
//! announced, and removing the entries of lost instances.

use std::{sync::Arc, time::Duration};

use fleet::Snapshot;
use ident::Time;
use tracing::{info, warn};

use crate::{core::Core, dates};

/// Interval between two runs.
const RUN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two removals of lost instances. An instance is lost if it is not in
/// [`Core::last_heard`].
const CLEANUP_INTERVAL: Duration = Duration::from_secs(12);

/// Runs the duties until the lease ends.
pub(super) async fn run(core: &Core) {
    let mut housekeeping =
        Housekeeping { core, stored: Vec::new(), next_cleanup: core.now().after(CLEANUP_INTERVAL) };
    loop {
        let snapshot = core.view.snapshot();
        housekeeping.store_announced(&snapshot).await;
        housekeeping.remove_lost_instances(&snapshot).await;
        tokio::time::sleep(RUN_INTERVAL).await;
    }
}

struct Housekeeping<'a> {
    core: &'a Core,
    /// Models and newest versions whose announcement is stored, with whether its time is certain and
    /// the era of the registry's clock.
    stored: Vec<(Arc<str>, u64, bool, u64)>,
    /// When to look for lost instances next.
    next_cleanup: Time,
}

impl Housekeeping<'_> {
    /// Stores when new versions were announced.
    async fn store_announced(&mut self, snapshot: &Snapshot) {
        let era = self.core.registry_clock.lock().era();
        for weights in &snapshot.weights {
            let newest = (weights.model.clone(), weights.version, weights.certain, era);
            if self.stored.contains(&newest) {
                continue;
            }
            match dates::store_announced(self.core, weights).await {
                Ok(()) => {
                    self.stored.retain(|(model, ..)| *model != weights.model);
                    self.stored.push(newest);
                }
                Err(error) => {
                    warn!(
                        model = %weights.model,
                        %error,
                        "announcement times of weights could not be stored"
                    );
                }
            }
        }
    }

    /// Removes the entries of lost instances.
    async fn remove_lost_instances(&mut self, snapshot: &Snapshot) {
        let now = self.core.now();
        if !self.next_cleanup.passed(now) {
            return;
        }
        self.next_cleanup = now.after(CLEANUP_INTERVAL);
        let heard: Vec<Arc<str>> =
            self.core.last_heard.lock().iter().map(|(name, _)| name.clone()).collect();
        let me = &self.core.settings.name;
        let lost = snapshot.instances.iter().filter(|i| i.name != *me && !heard.contains(&i.name));
        for instance in lost {
            let result = self.core.adapters.registry.deregister(&instance.name).await;
            info!(
                instance = %instance.name,
                outcome = ?result,
                "removed registry entry of lost instance"
            );
        }
    }
}
