//! Polls the platform's registry for changes and keeps the view up to date.

use std::{sync::Arc, time::Duration};

use fleet::{Announcement, Instance, Replica};
use ident::Time;
use rand::Rng;
use table::Version;
use tracing::{info, warn};

use crate::{
    core::Core,
    dates,
    services::{CallError, Topic, Update},
};

/// Longest wait of a poll for a change. Each answer also confirms that there is nothing newer.
const MAX_POLL_WAIT: Duration = Duration::from_millis(2400);
/// Longest wait of a poll while entries of replicas are missing and about to be dropped.
const MISSING_POLL_WAIT: Duration = Duration::from_millis(400);
/// Pause after an answer with changes to replicas or instances. Replicas' heartbeats change rows
/// all the time, and all instances share the registry's limit on calls. 500 ms leaves most of the
/// time within which an instance must stop using a leaving replica.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// First pause after a failed poll; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after failed polls.
const MAX_BACKOFF: Duration = Duration::from_millis(700);
/// How long after the end of an outage an entry may be missing before its replica is dropped.
const OUTAGE_GRACE: Duration = Duration::from_millis(2200);

/// Follows one topic until the process ends.
pub(crate) async fn follow(core: Arc<Core>, topic: Topic) {
    let mut follower = Follower::new(core, topic);
    loop {
        follower.poll().await;
    }
}

struct Follower {
    core: Arc<Core>,
    topic: Topic,
    /// Position after the last change received; `None` where everything must be read.
    next: Option<Version>,
    /// Number of failed polls in a row.
    failures: u32,
    /// Replicas whose entries are missing, and when each is dropped. Sorted by that time.
    missing: Vec<(Arc<str>, Time)>,
}

impl Follower {
    fn new(core: Arc<Core>, topic: Topic) -> Self {
        Self { core, topic, next: None, failures: 0, missing: Vec::new() }
    }

    async fn poll(&mut self) {
        let asked_at = self.core.now();
        let registry = &self.core.adapters.registry;
        let full = self.next.is_none();
        let answer = match self.next {
            None => registry.read(self.topic).await,
            Some(next) => {
                // A change ends the polls of all instances at the same time. The random waits make
                // the next answers arrive at different times. Each of them confirms to all peers
                // that there is nothing newer.
                let spread = rand::rng().random_range(0.5..1.0);
                let wait = match (self.failures, self.missing.is_empty()) {
                    (0, true) => MAX_POLL_WAIT.mul_f64(spread),
                    (0, false) => MISSING_POLL_WAIT,
                    // Polls without waiting show whether the registry is back.
                    _ => Duration::ZERO,
                };
                registry.follow(self.topic, next, wait).await
            }
        };
        match answer {
            Ok(batch) => {
                self.core.metrics.platform_calls.with_label_values(&["answered"]).inc();
                if self.failures > 0 {
                    let steady_since = self.core.view.snapshot().confirmed.steady_since;
                    let steady_ms = self.core.now().since(steady_since).as_millis() as u64;
                    let failures = self.failures;
                    info!(topic = ?self.topic, failures, steady_ms, "registry answers again");
                }
                self.failures = 0;
                self.next = Some(batch.next);
                let made_at = {
                    let mut clock = self.core.registry_clock.lock();
                    clock.observe(batch.clock, self.core.now());
                    clock.to_local(batch.clock).unwrap_or(asked_at)
                };
                let changed = !batch.updates.is_empty();
                let weights_confirmed = self.core.view.snapshot().confirmed.weights;
                // Before the updates are applied: this records the end of an outage, after which
                // missing replicas are dropped only later, since their entries may come back.
                self.confirm(made_at.max(asked_at));
                self.apply_batch(batch.updates, full, weights_confirmed);
                self.drop_missing();
                if changed && self.topic != Topic::Operator {
                    tokio::time::sleep(CHANGE_POLL_INTERVAL).await;
                }
            }
            Err(e) => self.back_off(e).await,
        }
    }

    async fn back_off(&mut self, error: CallError) {
        self.core.metrics.platform_calls.with_label_values(&["failed"]).inc();
        if self.failures == 0 {
            let age =
                self.core.now().since(self.core.view.snapshot().confirmed.replicas).as_millis()
                    as u64;
            warn!(topic = ?self.topic, %error, known_ms = age, "registry poll failed");
        }
        if error == CallError::History {
            self.next = None;
        }
        let pause = MIN_BACKOFF * (1 << self.failures.min(5));
        self.failures += 1;
        let jitter = rand::rng().random_range(0.7..1.3);
        tokio::time::sleep(pause.min(MAX_BACKOFF).mul_f64(jitter)).await;
    }

    /// Records that the view is complete up to `made_at`.
    fn confirm(&self, made_at: Time) {
        self.core.view.confirm_registry(made_at);
        match self.topic {
            Topic::Operator => self.core.view.confirm_config(made_at),
            Topic::Replicas => self.core.view.confirm_replicas(made_at),
            Topic::Instances => {}
        }
    }

    fn apply_batch(&mut self, updates: Vec<Update>, full: bool, weights_confirmed: Time) {
        if full {
            self.drop_absent(&updates);
        }
        let mut replicas = false;
        for item in updates {
            replicas |= matches!(item, Update::Replica(_) | Update::ReplicaRemoved(_));
            self.apply(item, weights_confirmed);
        }
        if full && self.topic == Topic::Operator {
            for weights in &self.core.view.snapshot().weights {
                tokio::spawn(dates::load_announced(self.core.clone(), weights.model.clone()));
            }
        }
        if replicas || full {
            self.core.pool.lock().sync(&self.core.view.snapshot().replicas);
        }
    }

    /// Applies one update. `weights_confirmed` is when the announced weights were last confirmed as
    /// the newest.
    fn apply(&mut self, item: Update, weights_confirmed: Time) {
        let core = self.core.clone();
        match item {
            Update::Config(config, bytes) => core.apply_config(*config, bytes, "registry"),
            Update::Weights { model, version } => {
                // The version was announced at some time after `weights_confirmed`. Assuming that
                // time is safe: older weights are retired rather too early than too late.
                let (certain, now) = (weights_confirmed > Time(0), core.now());
                let at = if certain { weights_confirmed } else { now };
                if core.view.offer_weights(&model, Announcement { version, at, certain }, now) {
                    info!(%model, version, named = %at, "new weights version announced");
                }
            }
            Update::Replica(replica) => {
                self.missing.retain(|(id, _)| *id != replica.id);
                self.put_replica(replica);
            }
            Update::ReplicaRemoved(id) => self.replica_missing(id),
            Update::Instance(instance) => self.put_instance(instance),
            Update::InstanceRemoved(name) => {
                if core.view.remove_instance(&name) {
                    info!(instance = %name, "instance removed from registry");
                }
            }
        }
    }

    fn put_replica(&self, replica: Replica) {
        let core = &self.core;
        let (id, leaving, addr) = (replica.id.clone(), replica.leaving, replica.addr);
        let previous = core.view.snapshot().replica(&id).cloned();
        // A peer or an answer showed that the replica is leaving. An entry read before does not
        // make it available again.
        let known_leaving =
            previous.as_ref().is_some_and(|k| k.leaving && k.started_ms == replica.started_ms);
        if known_leaving && !leaving && core.recently_departed(&id) {
            return;
        }
        let new = previous.is_none_or(|k| k.leaving != leaving || k.addr != addr);
        if core.view.put_replica(replica) && new {
            info!(replica = %id, leaving, %addr, "replica registered");
            if leaving {
                core.record_departure(&id);
            }
        }
    }

    fn put_instance(&self, instance: Instance) {
        let (name, leaving) = (instance.name.clone(), instance.leaving);
        if self.core.view.put_instance(instance) {
            info!(instance = %name, leaving, "instance registered");
        }
    }

    /// Handles a replica whose entry vanished. Without a recent outage the replica is dropped at
    /// once. Just after an outage it is dropped after a grace period, since entries may have
    /// expired meanwhile.
    fn replica_missing(&mut self, id: Arc<str>) {
        let deadline = self.core.view.snapshot().confirmed.steady_since.after(OUTAGE_GRACE);
        if !deadline.passed(self.core.now()) {
            info!(replica = %id, "replica entry missing after registry outage");
            self.missing.push((id, deadline));
            return;
        }
        if self.core.view.remove_replica(&id) {
            self.core.record_departure(&id);
            info!(replica = %id, "replica removed");
        }
    }

    fn drop_missing(&mut self) {
        let now = self.core.now();
        let (expired, rest) = self.missing.drain(..).partition(|(_, until)| until.passed(now));
        self.missing = rest;
        let expired: Vec<(Arc<str>, Time)> = expired;
        for (id, _) in &expired {
            if self.core.view.remove_replica(id) {
                self.core.record_departure(id);
                info!(replica = %id, "replica removed, entry still missing after registry outage");
            }
        }
        if !expired.is_empty() {
            self.core.pool.lock().sync(&self.core.view.snapshot().replicas);
        }
    }

    /// Drops what is missing from the answer to a read of all rows.
    fn drop_absent(&mut self, updates: &[Update]) {
        let snapshot = self.core.view.snapshot();
        match self.topic {
            Topic::Operator => {}
            Topic::Replicas => {
                let listed = |id: &str| {
                    updates.iter().any(|n| matches!(n, Update::Replica(r) if *r.id == *id))
                };
                let absent = snapshot.replicas.iter().filter(|r| !listed(&r.id));
                absent.for_each(|r| self.replica_missing(r.id.clone()));
            }
            Topic::Instances => {
                let listed = |name: &str| {
                    updates.iter().any(|n| matches!(n, Update::Instance(i) if *i.name == *name))
                };
                for absent in snapshot.instances.iter().filter(|i| !listed(&i.name)) {
                    self.core.view.remove_instance(&absent.name);
                }
            }
        }
    }
}
