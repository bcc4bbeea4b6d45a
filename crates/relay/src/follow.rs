//! Polls the platform's registry for changes and keeps the view up to date.

use std::{sync::Arc, time::Duration};

use fleet::{Announcement, Instance, Replica};
use ident::Time;
use rand::Rng;
use table::Version;
use tracing::{debug, info, warn};

use crate::{
    core::Core,
    dates, ends,
    feed::{self, Answer},
    feed_wire,
    services::{Batch, CallError, Topic, Update},
    versions, zones,
};

/// Longest wait of a poll for a change. Each answer also confirms that there is nothing newer. A silent
/// connection is found at the end of the wait, which must be well within 3 s.
const MAX_POLL_WAIT: Duration = Duration::from_millis(2200);
/// Shortest wait of a poll, as a share of the longest one.
const MIN_POLL_SHARE: f64 = 0.65;
/// The same while other instances follow this one.
const READER_POLL_WAIT: Duration = Duration::from_millis(700);
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
/// How long after the end of an outage, or after the registry's return from an older copy, an entry
/// may be missing before its replica is dropped.
const OUTAGE_GRACE: Duration = Duration::from_millis(2200);

/// After a rise of the era, everything is read anew at a random moment within this time: all
/// instances see the rise at the same moment.
const RETURN_SPREAD: Duration = Duration::from_secs(1);

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
    /// Whether the next poll of the registry must not wait: the first follower has asked.
    is_urgent: bool,
    /// Whether the last poll was followed by a pause.
    has_paused: bool,
    /// When the first of the polls that failed in a row was sent.
    failing_since: Option<Time>,
    /// The reader that answered last; `None` where the registry was asked or the reader did not
    /// answer.
    followed: Option<Arc<str>>,
    /// Replicas whose entries are missing, and when each is dropped. Sorted by that time.
    missing: Vec<(Arc<str>, Time)>,
    /// Instances whose entries are missing since a return of the registry, and which are kept while
    /// they are heard.
    heard: Vec<Arc<str>>,
}

impl Follower {
    fn new(core: Arc<Core>, topic: Topic) -> Self {
        let (missing, heard) = (Vec::new(), Vec::new());
        let (next, failures, is_urgent, followed) = (None, 0, false, None);
        let (has_paused, failing_since) = (false, None);
        Self {
            core,
            topic,
            next,
            failures,
            is_urgent,
            has_paused,
            failing_since,
            followed,
            missing,
            heard,
        }
    }

    async fn poll(&mut self) {
        match self.core.feeds.reader(self.core.now()) {
            Some(reader) => self.poll_reader(reader, false).await,
            None => self.poll_registry().await,
        }
    }

    /// Asks a reader for changes; `single` if this instance does not follow it.
    async fn poll_reader(&mut self, reader: Arc<str>, single: bool) {
        let (asked_at, full) = (self.core.now(), self.next.is_none());
        // The first answer of a reader shows whether it answers at all.
        let known = self.followed.take().is_some_and(|followed| followed == reader);
        let wait = match (known, self.missing.is_empty()) {
            _ if single => Duration::ZERO,
            (false, _) => Duration::ZERO,
            (true, false) => MISSING_POLL_WAIT,
            (true, true) => MAX_POLL_WAIT,
        };
        let answer = feed::poll(&self.core, &reader, self.topic, self.next, wait, single).await;
        let Some(answer) = answer else { return };
        let core = self.core.clone();
        let Answer { batch, rows, full: is_full, age, is_old } = answer;
        core.adapters.registry.observe_era(batch.next.era);
        if core.returns.era().is_some() {
            core.observe_era();
        }
        let era = core.adapters.registry.era();
        if batch.next.era < era {
            core.feeds.stale(&reader, core.now());
            return self.restart().await;
        }
        if self.next.is_some_and(|next| next.era < era) {
            // The reader knows the registry since its return. Its rows are taken as a complete reading.
            self.missing.clear();
            if !is_full {
                self.next = None;
                return;
            }
        }
        // All rows as of an earlier position than the known ones.
        let served = core.feeds.position(self.topic);
        if is_full && served.is_some_and(|at| at.era == batch.next.era && at > batch.next) {
            core.feeds.stale(&reader, core.now());
            return;
        }
        if is_old && !single {
            let age_ms = age.as_millis() as u64;
            info!(reader = &*reader, topic = ?self.topic, age_ms, "reader left, its word is old");
            core.metrics.feed_polls.with_label_values(&["stale"]).inc();
            core.feeds.stale(&reader, core.now());
        }
        let made_at = {
            let mut clock = core.registry_clock.lock();
            // The reader's estimate of the registry's clock when it answered.
            let at_answer = batch.clock.saturating_add(age.as_millis() as u64);
            clock.observe(batch.next.era, at_answer, core.now());
            clock.to_local(batch.clock).unwrap_or(asked_at.before(age))
        };
        self.followed = Some(reader);
        core.feeds.record(self.topic, rows, is_full, batch.next, batch.clock);
        self.take(batch, full || is_full, made_at.min(core.now()));
    }

    /// Takes changes, or all rows if `full`, that the registry confirmed at `made_at`.
    fn take(&mut self, batch: Batch, full: bool, made_at: Time) {
        self.next = Some(batch.next);
        self.core.returns.note_position(self.topic, batch.next, full, self.core.now());
        let weights_confirmed = self.core.view.snapshot().confirmed.weights;
        // Before the updates are applied: this records the end of an outage, after which missing
        // replicas are dropped only later, since their entries may come back.
        self.confirm(made_at);
        self.apply_batch(batch.updates, full, weights_confirmed);
        self.drop_missing();
        self.drop_unheard();
    }

    /// Asks the registry for changes.
    async fn poll_registry(&mut self) {
        self.followed = None;
        let asked_at = self.core.now();
        let registry = &self.core.adapters.registry;
        let full = self.next.is_none();
        let answer = match self.next {
            None => registry.read(self.topic).await,
            Some(next) => {
                // A change ends the polls of all instances at the same time. The random waits make
                // the next answers arrive at different times. Each of them confirms to all peers
                // that there is nothing newer.
                let spread = rand::rng().random_range(MIN_POLL_SHARE..1.0);
                let has_followers = self.core.feeds.has_followers();
                let longest = match self.topic {
                    Topic::Operator | Topic::Replicas if has_followers => READER_POLL_WAIT,
                    // The pause delays the next sign that the connection works.
                    _ if self.has_paused => MAX_POLL_WAIT - CHANGE_POLL_INTERVAL,
                    _ => MAX_POLL_WAIT,
                };
                let is_urgent = std::mem::take(&mut self.is_urgent);
                let wait = match (self.failures, self.missing.is_empty()) {
                    _ if is_urgent => Duration::ZERO,
                    (0, true) => longest.mul_f64(spread),
                    (0, false) => MISSING_POLL_WAIT,
                    // Polls without waiting show whether the registry is back.
                    _ => Duration::ZERO,
                };
                let mut rises = self.core.returns.subscribe();
                let rise = async { rises.wait_for(|era| *era > next.era).await.is_ok() };
                let is_long = !has_followers && self.topic != Topic::Instances;
                tokio::select! {
                    answer = registry.follow(self.topic, next, wait) => answer,
                    // A poll that waits for long would let this reader's word get too old.
                    () = self.core.feeds.first_follower(), if is_long => {
                        self.is_urgent = true;
                        return;
                    }
                    // Another call was answered in a later era: this position is void.
                    true = rise => return self.restart().await,
                }
            }
        };
        let outcome = if answer.is_ok() { "answered" } else { "failed" };
        self.core.metrics.platform_calls.with_label_values(&[outcome]).inc();
        let is_failing = answer.as_ref().is_err_and(|e| *e != CallError::History);
        self.core.feeds.set_failing(self.topic, is_failing);
        if answer.is_ok() || self.core.returns.era().is_some() {
            self.core.observe_era();
        }
        let era = self.core.returns.era().unwrap_or(0);
        let answered_in = answer.as_ref().map_or(era, |batch| batch.next.era);
        // The answer to a complete reading may itself be the first of a new era.
        if answered_in < era || self.next.is_some_and(|next| next.era < era) {
            return self.restart().await;
        }
        match answer {
            Ok(mut batch) => {
                batch.updates = zones::join(&self.core, self.topic, batch.updates, full);
                if self.failures > 0 {
                    let steady_since = self.core.view.snapshot().confirmed.steady_since;
                    let steady_ms = self.core.now().since(steady_since).as_millis() as u64;
                    let failures = self.failures;
                    info!(topic = ?self.topic, failures, steady_ms, "registry answers again");
                }
                (self.failures, self.failing_since) = (0, None);
                let made_at = {
                    let mut clock = self.core.registry_clock.lock();
                    clock.observe(batch.next.era, batch.clock, self.core.now());
                    clock.to_local(batch.clock).unwrap_or(asked_at)
                };
                let changed = !batch.updates.is_empty();
                self.has_paused = changed && self.topic != Topic::Operator;
                let rows = batch.updates.iter().map(feed_wire::encode).collect();
                self.core.feeds.record(self.topic, rows, full, batch.next, batch.clock);
                self.take(batch, full, made_at.max(asked_at));
                if self.has_paused {
                    tokio::time::sleep(CHANGE_POLL_INTERVAL).await;
                }
            }
            Err(e) => {
                if is_failing {
                    self.core.feeds.registry_failed(self.core.now());
                }
                // What operators order must reach an instance that is a reader itself too.
                let since = *self.failing_since.get_or_insert(asked_at);
                let peer = zones::choose_peer(&self.core, since).filter(|_| is_failing);
                if let (Topic::Operator, Some(peer)) = (self.topic, peer) {
                    self.poll_reader(peer, true).await;
                }
                self.back_off(e).await;
            }
        }
    }

    /// Prepares a complete reading after a rise of the era.
    async fn restart(&mut self) {
        self.next = None;
        // Entries that are still missing are waited for from this rise.
        self.missing.clear();
        // Readers first, so that they have read when their followers ask.
        let share = if self.core.feeds.follows() { 0.4..1.0 } else { 0.0..0.4 };
        let spread = rand::rng().random_range(share);
        tokio::time::sleep(RETURN_SPREAD.mul_f64(spread)).await;
        self.core.feeds.registry_returned();
    }

    async fn back_off(&mut self, error: CallError) {
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
        if full && self.topic == Topic::Replicas {
            self.core.cold.lock().set_read();
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
            Update::Config(config, bytes) => {
                core.apply_config(*config, bytes, self.followed.as_deref().unwrap_or("registry"));
            }
            Update::Weights { model, version } => {
                // The version was announced at some time after `weights_confirmed`. Assuming that
                // time is safe: older weights are retired rather too early than too late. After the
                // registry returned from an older copy it may have been announced before that time,
                // and again now.
                let now = core.now();
                let certain = weights_confirmed > Time(0) && !core.returns.is_recent(now);
                let at = if certain { weights_confirmed } else { now };
                if core.view.offer_weights(&model, Announcement { version, at, certain }, now) {
                    info!(%model, version, named = %at, "new weights version announced");
                }
            }
            // Joined into the next one before the updates are applied.
            Update::Evacuation { .. } => {}
            Update::Evacuated(zones) => {
                let from = self.followed.as_deref().unwrap_or("registry");
                zones::evacuate(&core, zones, from);
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

    fn put_replica(&self, mut replica: Replica) {
        let core = &self.core;
        replica.leaving |= core.has_said_leaving(&replica);
        let (id, leaving, addr) = (replica.id.clone(), replica.leaving, replica.addr);
        let previous = core.view.snapshot().replica(&id).cloned();
        // A peer or an answer showed that the replica is leaving. An entry read before does not
        // make it available again.
        let known_leaving =
            previous.as_ref().is_some_and(|k| k.leaving && k.started_ms == replica.started_ms);
        if known_leaving && !leaving && core.recently_departed(&id) {
            return;
        }
        if !leaving && core.departed_before_return(&replica) {
            debug!(replica = %id, "entry from before the replica departed ignored");
            return;
        }
        if !leaving {
            core.forget_departure(&id);
        }
        self.note_ended(&replica);
        zones::note_replica(core, &replica);
        if let Some(previous) = previous.as_ref().filter(|k| k.software != replica.software) {
            versions::note_gone(core, previous);
        }
        let same = previous.as_ref().filter(|k| k.started_ms == replica.started_ms);
        if same.is_some_and(|k| k.software != replica.software) {
            // One incarnation has one version; which of the two is not known.
            replica.software = None;
        }
        let new = previous.is_none_or(|k| k.leaving != leaving || k.addr != addr);
        if core.view.put_replica(replica) && new {
            info!(replica = %id, leaving, %addr, "replica registered");
            if leaving {
                core.record_departure(&id);
            }
        }
    }

    /// Records the end of each incarnation that `replica` has replaced, by its id or its address.
    /// The entry of the one before may still be there, and be read after it.
    fn note_ended(&self, replica: &Replica) {
        let replaced = |r: &Replica| {
            let same_place = r.id == replica.id || r.addr == replica.addr;
            same_place && r.started_ms != 0 && r.started_ms < replica.started_ms
        };
        let snapshot = self.core.view.snapshot();
        snapshot
            .replicas
            .iter()
            .filter(|r| replaced(r))
            .for_each(|r| ends::replica_ended(&self.core, r));
    }

    fn put_instance(&mut self, instance: Instance) {
        let (name, leaving) = (instance.name.clone(), instance.leaving);
        self.heard.retain(|known| *known != name);
        if self.core.view.put_instance(instance) {
            info!(instance = %name, leaving, "instance registered");
        }
    }

    /// Handles a replica whose entry vanished. Without a recent outage the replica is dropped at
    /// once. Just after an outage it is dropped after a grace period, since entries may have
    /// expired meanwhile.
    fn replica_missing(&mut self, id: Arc<str>) {
        let snapshot = self.core.view.snapshot();
        let steady_since =
            snapshot.confirmed.steady_since.max(self.core.returns.rose_at().unwrap_or(Time(0)));
        let deadline = steady_since.after(OUTAGE_GRACE);
        if !deadline.passed(self.core.now()) {
            info!(replica = %id, "replica entry missing after registry outage");
            self.missing.retain(|(known, _)| *known != id);
            self.missing.push((id, deadline));
            return;
        }
        let Some(replica) = snapshot.replica(&id) else { return };
        if self.core.view.remove_replica(&id) {
            self.core.record_removal(&id, replica.started_ms);
            versions::note_gone(&self.core, replica);
            info!(replica = %id, "replica removed");
            // It may have ended without a word on its connections.
            ends::check_replica(&self.core, replica);
        }
    }

    /// Whether an instance is this one, or is heard.
    fn is_running(&self, name: &str) -> bool {
        *self.core.settings.name == *name || self.core.is_heard(name)
    }

    /// Drops instances whose entries are missing and which are no longer heard.
    fn drop_unheard(&mut self) {
        let heard = std::mem::take(&mut self.heard);
        let (kept, lost): (Vec<_>, Vec<_>) = heard.into_iter().partition(|n| self.is_running(n));
        self.heard = kept;
        for name in lost {
            if self.core.view.remove_instance(&name) {
                info!(instance = %name, "instance removed, entry missing and not heard");
            }
        }
    }

    fn drop_missing(&mut self) {
        let now = self.core.now();
        let (expired, rest) = self.missing.drain(..).partition(|(_, until)| until.passed(now));
        self.missing = rest;
        let expired: Vec<(Arc<str>, Time)> = expired;
        for (id, _) in &expired {
            if let Some(replica) = self.core.view.snapshot().replica(id) {
                versions::note_gone(&self.core, replica);
            }
            if self.core.view.remove_replica(id) {
                // The replica may live and register again.
                self.core.record_removal(id, 0);
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
                self.heard.clear();
                let returned = self.core.returns.is_recent(self.core.now());
                for absent in snapshot.instances.iter().filter(|i| !listed(&i.name)) {
                    if returned && self.is_running(&absent.name) {
                        self.heard.push(absent.name.clone());
                    } else {
                        self.core.view.remove_instance(&absent.name);
                    }
                }
            }
        }
    }
}
