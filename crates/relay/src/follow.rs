//! Follows the platform's registry and keeps the view up to date.

use std::{sync::Arc, time::Duration};

use fleet::{Instance, Naming, Replica};
use ident::Time;
use rand::Rng;
use tracing::{info, warn};

use crate::{
    core::Core,
    dates,
    outside::{CallError, News, Topic},
};

/// Longest wait for a change. Each answer also confirms that nothing newer is there.
const WAIT: Duration = Duration::from_millis(2400);
/// Longest wait while replicas are missing whose time is running out.
const SHORT_WAIT: Duration = Duration::from_millis(400);
/// Pause after an answer about replicas: their heartbeats change rows all the time, and each
/// question is a call that all instances share. Half a second leaves most of the time in which a
/// leaving replica must be left alone.
const REPLICA_PAUSE: Duration = Duration::from_millis(500);
/// First pause after a failed question, doubled up to the longest.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed questions.
const MAX_RETRY: Duration = Duration::from_millis(700);
/// How long after the registry's return an entry may be missing before its replica is given up.
const RETURN_TERM: Duration = Duration::from_millis(2200);

/// Follows one topic for ever.
pub(crate) async fn follow(core: Arc<Core>, topic: Topic) {
    let mut follower = Follower::new(core, topic);
    loop {
        follower.step().await;
    }
}

struct Follower {
    core: Arc<Core>,
    topic: Topic,
    /// Where to go on; `None` where everything must be read.
    next: Option<u64>,
    /// Failures in a row.
    failures: u32,
    /// Replicas whose entries are missing, and when they are given up. In order of time.
    missing: Vec<(Arc<str>, Time)>,
}

impl Follower {
    fn new(core: Arc<Core>, topic: Topic) -> Self {
        Self { core, topic, next: None, failures: 0, missing: Vec::new() }
    }

    async fn step(&mut self) {
        let asked = self.core.now();
        let registry = &self.core.outside.registry;
        let whole = self.next.is_none();
        let answer = match self.next {
            None => registry.read(self.topic).await,
            Some(next) => {
                // A change wakes all instances at once; apart again, each one's answer tells its
                // peers that nothing newer is there.
                let spread = rand::rng().random_range(0.5..1.0);
                let wait = match (self.failures, self.missing.is_empty()) {
                    (0, true) => WAIT.mul_f64(spread),
                    (0, false) => SHORT_WAIT,
                    // An answer at once tells that the registry is back.
                    _ => Duration::ZERO,
                };
                registry.follow(self.topic, next, wait).await
            }
        };
        match answer {
            Ok(batch) => {
                self.core.metrics.calls.with_label_values(&["answered"]).inc();
                if self.failures > 0 {
                    let steady = self.core.view.get().age.steady;
                    let steady_ms = self.core.now().since(steady).as_millis() as u64;
                    let failures = self.failures;
                    info!(topic = ?self.topic, failures, steady_ms, "the registry is back");
                }
                self.failures = 0;
                self.next = Some(batch.next);
                let made = {
                    let mut dial = self.core.dial.lock();
                    dial.set(batch.clock, self.core.now());
                    dial.own(batch.clock).unwrap_or(asked)
                };
                let changed = !batch.news.is_empty();
                let known = self.core.view.get().age.weights;
                // First: entries that vanish just after a gap may come back.
                self.confirm(made.max(asked));
                self.take_in(batch.news, whole, known);
                self.give_up();
                if changed && self.topic != Topic::Operator {
                    tokio::time::sleep(REPLICA_PAUSE).await;
                }
            }
            Err(e) => self.failed(e).await,
        }
    }

    async fn failed(&mut self, error: CallError) {
        self.core.metrics.calls.with_label_values(&["failed"]).inc();
        if self.failures == 0 {
            let age = self.core.now().since(self.core.view.get().age.replicas).as_millis() as u64;
            warn!(topic = ?self.topic, %error, known_ms = age, "the registry is lost");
        }
        if error == CallError::History {
            self.next = None;
        }
        let pause = RETRY_PAUSE * (1 << self.failures.min(5));
        self.failures += 1;
        let jitter = rand::rng().random_range(0.7..1.3);
        tokio::time::sleep(pause.min(MAX_RETRY).mul_f64(jitter)).await;
    }

    /// Notes that all that was known at `made` is known.
    fn confirm(&self, made: Time) {
        self.core.view.confirm_served(made);
        match self.topic {
            Topic::Operator => self.core.view.confirm_setup(made),
            Topic::Replicas => self.core.view.confirm_replicas(made),
            Topic::Instances => {}
        }
    }

    fn take_in(&mut self, news: Vec<News>, whole: bool, known: Time) {
        if whole {
            self.drop_absent(&news);
        }
        let mut replicas = false;
        for item in news {
            replicas |= matches!(item, News::Replica(_) | News::ReplicaGone(_));
            self.apply(item, known);
        }
        if whole && self.topic == Topic::Operator {
            for weights in &self.core.view.get().weights {
                tokio::spawn(dates::learn(self.core.clone(), weights.model.clone()));
            }
        }
        if replicas || whole {
            self.core.pool.lock().sync(&self.core.view.get().replicas);
        }
    }

    /// Takes in one item; `known` is when the wanted weights were last known to be the newest.
    fn apply(&mut self, item: News, known: Time) {
        let core = self.core.clone();
        match item {
            News::Setup(setup, bytes) => core.take_setup(*setup, bytes, "registry"),
            News::Weights { model, version } => {
                // Named at some time since then; the earliest is the safe assumption.
                let (sure, now) = (known > Time(0), core.now());
                let at = if sure { known } else { now };
                if core.view.offer_weights(&model, Naming { version, at, sure }, now) {
                    info!(%model, version, named = %at, "weights named");
                }
            }
            News::Replica(replica) => {
                self.missing.retain(|(id, _)| *id != replica.id);
                self.replica(replica);
            }
            News::ReplicaGone(id) => self.gone(id),
            News::Instance(instance) => self.instance(instance),
            News::InstanceGone(name) => {
                if core.view.drop_instance(&name) {
                    info!(instance = %name, "instance gone");
                }
            }
        }
    }

    fn replica(&self, replica: Replica) {
        let core = &self.core;
        let (id, leaving, addr) = (replica.id.clone(), replica.leaving, replica.addr);
        let known = core.view.get().replica(&id).cloned();
        // A replica that a peer or an answer showed to be leaving does not come back by an entry
        // that was read before.
        let marked = known.as_ref().is_some_and(|k| k.leaving && k.born == replica.born);
        if marked && !leaving && core.departed(&id) {
            return;
        }
        let new = known.is_none_or(|k| k.leaving != leaving || k.addr != addr);
        if core.view.put_replica(replica) && new {
            info!(replica = %id, leaving, %addr, "replica registered");
            if leaving {
                core.depart(&id);
            }
        }
    }

    fn instance(&self, instance: Instance) {
        let (name, leaving) = (instance.name.clone(), instance.leaving);
        if self.core.view.put_instance(instance) {
            info!(instance = %name, leaving, "instance registered");
        }
    }

    /// An entry vanished: at once where the registry is steady, after a while where it has just
    /// come back and entries may have lapsed meanwhile.
    fn gone(&mut self, id: Arc<str>) {
        let back = self.core.view.get().age.steady.after(RETURN_TERM);
        if !back.passed(self.core.now()) {
            info!(replica = %id, "replica missing after the registry's return");
            self.missing.push((id, back));
            return;
        }
        if self.core.view.drop_replica(&id) {
            self.core.depart(&id);
            info!(replica = %id, "replica gone");
        }
    }

    fn give_up(&mut self) {
        let now = self.core.now();
        let (over, rest) = self.missing.drain(..).partition(|(_, until)| until.passed(now));
        self.missing = rest;
        let over: Vec<(Arc<str>, Time)> = over;
        for (id, _) in &over {
            if self.core.view.drop_replica(id) {
                self.core.depart(id);
                info!(replica = %id, "replica gone, it did not come back");
            }
        }
        if !over.is_empty() {
            self.core.pool.lock().sync(&self.core.view.get().replicas);
        }
    }

    /// Drops what a whole reading no longer holds.
    fn drop_absent(&mut self, news: &[News]) {
        let snapshot = self.core.view.get();
        match self.topic {
            Topic::Operator => {}
            Topic::Replicas => {
                let listed =
                    |id: &str| news.iter().any(|n| matches!(n, News::Replica(r) if *r.id == *id));
                let absent = snapshot.replicas.iter().filter(|r| !listed(&r.id));
                absent.for_each(|r| self.gone(r.id.clone()));
            }
            Topic::Instances => {
                let listed = |name: &str| {
                    news.iter().any(|n| matches!(n, News::Instance(i) if *i.name == *name))
                };
                for absent in snapshot.instances.iter().filter(|i| !listed(&i.name)) {
                    self.core.view.drop_instance(&absent.name);
                }
            }
        }
    }
}
