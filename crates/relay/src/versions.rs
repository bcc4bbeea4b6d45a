//! Whether all replicas of a target had one version of their software for as long as a stream may
//! have lasted.

use std::{sync::Arc, time::Duration};

use fleet::Replica;
use ident::Time;
use tokio::time::timeout;
use tracing::info;

use crate::{
    core::Core,
    job::Job,
    services::{Topic, Update},
};

/// Timeout for reading the replicas from the registry.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest interval between two such reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait of a take-up at an instance that has just started for what was there before.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which it checks whether that has been read.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long after its route's timeout a stream may be taken up.
const TAKE_UP_SLACK: Duration = Duration::from_secs(2);
/// Time without an answer of the registry to any instance from which it counts as away for all: an
/// instance that it answers has an answer every 2.8 s, and tells peers, which are heard for 1.6 s.
const AWAY_AFTER: Duration = Duration::from_millis(4500);

/// A replica's target and the version of its software.
type Registered = (Arc<str>, Option<Arc<str>>);

/// The replicas that the registry listed at a moment.
#[derive(Debug, Clone)]
pub(crate) struct Listed {
    /// When they were asked for.
    asked: Time,
    /// `None` if the registry did not answer.
    replicas: Option<Arc<[Registered]>>,
}

/// The only version that can have begun a stream of `target` which a request takes up without saying
/// where it began; `None` if there may be several.
///
/// What this instance knows may be old: it may have been suspended, or be cut off while others send
/// streams to replicas that have joined. So the registry is asked.
pub(crate) async fn only_version(core: &Core, job: &Job, target: &str) -> Option<Arc<str>> {
    let since = core.now().before(job.route.timeout).before(TAKE_UP_SLACK);
    let give_up = core.now().after(LOAD_TIMEOUT.min(job.time_left(core.now())));
    while !core.versions.lock().is_complete() && !give_up.passed(core.now()) {
        tokio::time::sleep(LOAD_CHECK_INTERVAL).await;
    }
    let listed = list(core).await;
    if listed.is_none() && !is_away_for_all(core) {
        info!(request = &*job.meta.id, "registry does not answer; versions may have joined");
        return None;
    }
    let snapshot = core.view.snapshot();
    let known = snapshot.replicas.iter().filter(|r| *r.target == *target);
    let known = known.map(|r| r.software.as_ref());
    let listed = listed.as_deref().unwrap_or_default().iter();
    let listed = listed.filter(|(t, _)| **t == *target).map(|(_, software)| software.as_ref());
    core.versions.lock().only(target, known.chain(listed), since)
}

/// The replicas as the registry lists them at some moment from now on; `None` if it does not answer.
/// Requests that wait at the same time share one answer.
async fn list(core: &Core) -> Option<Arc<[Registered]>> {
    let arrived = core.now();
    let mut last = core.listed.lock().await;
    if let Some(last) = last.as_ref().filter(|last| last.asked > arrived) {
        return last.replicas.clone();
    }
    if let Some(last) = last.as_ref() {
        tokio::time::sleep(last.asked.after(READ_INTERVAL).since(core.now())).await;
    }
    let asked = core.now();
    let read = timeout(READ_TIMEOUT, core.adapters.registry.read(Topic::Replicas)).await;
    let replicas = read.ok().and_then(Result::ok).map(|batch| {
        let version = |update| match update {
            Update::Replica(Replica { target, software, .. }) => Some((target, software)),
            _ => None,
        };
        batch.updates.into_iter().filter_map(version).collect()
    });
    *last = Some(Listed { asked, replicas });
    last.as_ref().and_then(|last| last.replicas.clone())
}

/// Whether the registry has answered no instance lately, as far as most of them are heard: then none
/// learns of a replica that has joined.
fn is_away_for_all(core: &Core) -> bool {
    let (now, snapshot) = (core.now(), core.view.snapshot());
    if now.since(snapshot.confirmed.registry) < AWAY_AFTER {
        return false;
    }
    let peers = snapshot.instances.iter().filter(|i| i.name != core.settings.name && !i.leaving);
    let (heard, unheard): (Vec<_>, Vec<_>) = peers.partition(|i| core.is_ready_peer(&i.name));
    heard.len() >= unheard.len()
}

/// Records the version of a replica that is gone, or has started again with another one.
pub(crate) fn note_gone(core: &Core, replica: &Replica) {
    let now = core.now();
    core.versions.lock().note(&replica.target, replica.software.as_ref(), now, now);
}
