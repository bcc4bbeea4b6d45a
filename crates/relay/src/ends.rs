//! Ends of replicas: how they are found, and which requests were there.

use std::{sync::Arc, time::Duration};

use blame::{EndId, Flight, Report, SuspectKey, Suspects};
use fleet::Replica;
use hyper::StatusCode;
use outbound::Framing;
use tokio::time::timeout;
use tracing::info;

use crate::{
    conns::{SendError, try_connect},
    core::Core,
    links, permits,
    services::CallError,
    verdicts, zones,
};

/// Timeout for a connection to a replica that is being checked.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the report of a replica that is being checked.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before a replica that responded is checked again: it may have been ending.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Most suspects that a log line names.
const MAX_LOGGED_SUSPECTS: usize = 8;

/// The digest of an incarnation of a replica.
fn end_id(replica: &Replica) -> EndId {
    EndId::new(&replica.id, replica.started_ms)
}

/// A request at a replica. It tells nothing about its suspects if the guard is dropped.
pub(crate) struct FlightGuard {
    core: Arc<Core>,
    replica: Arc<Replica>,
    suspects: Suspects,
    /// `None` once its end is recorded.
    flight: Option<Flight>,
}

impl FlightGuard {
    pub(crate) fn new(core: &Arc<Core>, replica: &Arc<Replica>, suspects: Suspects) -> Self {
        let flight = core.blame.lock().begin(end_id(replica), suspects.clone(), core.now());
        Self { core: core.clone(), replica: replica.clone(), suspects, flight: Some(flight) }
    }

    /// Records that the replica has begun to answer: it has outlived what was lost before this
    /// request was sent.
    pub(crate) fn begun(&self) {
        if let Some(flight) = self.flight {
            self.core.blame.lock().begun(flight, self.core.now());
        }
    }

    /// Records that the connection broke before the answer was whole.
    pub(crate) fn lost(mut self) {
        self.record_lost(false);
        check_replica(&self.core, &self.replica);
    }

    /// Records that the answer ended as its framing tells.
    pub(crate) fn ended(mut self, status: StatusCode, framing: Framing) {
        if framing == Framing::Connection {
            self.record_lost(true);
            // The end of the connection is that of the answer if the replica has outlived it. Parts
            // that were answered before need no check.
            let known = self.core.blame.lock().parts_answered(&self.suspects);
            if !known {
                check_replica(&self.core, &self.replica);
            }
        } else if let Some(flight) = self.flight.take() {
            let (mut blame, now) = (self.core.blame.lock(), self.core.now());
            let changed = match status {
                _ if status.is_success() => blame.answered(flight, now),
                _ if status.is_client_error() => blame.rejected(flight, now),
                _ => {
                    blame.forget(flight);
                    false
                }
            };
            drop(blame);
            if changed {
                publish_evidence(&self.core);
            }
        }
    }

    fn record_lost(&mut self, unframed: bool) {
        let Some(flight) = self.flight.take() else { return };
        let news = self.core.blame.lock().lost(flight, unframed, self.core.now());
        if news {
            publish_evidence(&self.core);
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        if let Some(flight) = self.flight.take() {
            self.core.blame.lock().forget(flight);
        }
    }
}

/// Whether an incarnation of a replica is known to have ended.
pub(crate) fn has_ended(core: &Core, replica: &Replica) -> bool {
    core.blame.lock().has_ended(end_id(replica))
}

/// Records that an incarnation of a replica has ended.
pub(crate) fn replica_ended(core: &Arc<Core>, replica: &Replica) {
    let end = end_id(replica);
    let planned = core.has_left(replica);
    let (known, news) = {
        let mut blame = core.blame.lock();
        (blame.has_ended(end), blame.replica_ended(end, planned, core.now()))
    };
    if !planned {
        zones::note_ended(core, replica);
    }
    if !known {
        core.metrics.replica_ends.inc();
        info!(replica = &*replica.id, planned, evidence = news, "replica ended");
    }
    if news {
        publish_evidence(core);
    }
}

/// Records that a replica refused a connection: it has ended, unless this instance reaches no other
/// one either.
pub(crate) fn note_refused(core: &Arc<Core>, replica: &Arc<Replica>) {
    if has_ended(core, replica) {
        return;
    }
    spawn_check(core, replica, |core, replica| async move {
        if links::reaches_others(&core, &replica).await {
            replica_ended(&core, &replica);
        }
    });
}

/// Marks an incarnation of a replica as being checked until the guard is dropped.
struct CheckGuard {
    core: Arc<Core>,
    end: EndId,
}

impl CheckGuard {
    /// `None` if it is being checked.
    fn new(core: &Arc<Core>, end: EndId) -> Option<Self> {
        let mut checked = core.checked.lock();
        if checked.contains(&end) {
            return None;
        }
        checked.push(end);
        Some(Self { core: core.clone(), end })
    }
}

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.core.checked.lock().retain(|e| *e != self.end);
    }
}

/// Runs the check of a replica, unless one of this incarnation is running.
fn spawn_check<C, F>(core: &Arc<Core>, replica: &Arc<Replica>, check: C)
where
    C: FnOnce(Arc<Core>, Arc<Replica>) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let Some(guard) = CheckGuard::new(core, end_id(replica)) else { return };
    let check = check(core.clone(), replica.clone());
    tokio::spawn(async move {
        check.await;
        drop(guard);
    });
}

/// Merges a peer's report of what was at replicas which ended.
pub(crate) fn merge(core: &Arc<Core>, report: &Report) {
    let news = core.blame.lock().merge(report, core.now());
    if news {
        publish_evidence(core);
    }
}

/// Passes new evidence on to peers, and stores a changed verdict.
fn publish_evidence(core: &Arc<Core>) {
    let fatal = core.blame.lock().fatal(core.now());
    let mut suspects: Vec<SuspectKey> = fatal.iter().flat_map(|f| f.suspects.clone()).collect();
    suspects.sort_unstable();
    let before = std::mem::replace(&mut *core.fatal.lock(), suspects.clone());
    if suspects != before {
        let is_request = |f: &&blame::Fatal| matches!(f.suspects[0], SuspectKey::Request(_));
        let requests = fatal.iter().filter(is_request).count();
        let parts = fatal.len() - requests;
        core.metrics.fatal_parts.set(parts as i64);
        core.metrics.fatal_requests.set(requests as i64);
        core.metrics.verdict_changes.inc();
        let ends: Vec<usize> = fatal.iter().map(|f| f.ends).collect();
        let is_changed = |key: &&SuspectKey| suspects.contains(key) != before.contains(key);
        let changed = before.iter().chain(&suspects).filter(is_changed);
        let changed: Vec<String> =
            changed.take(MAX_LOGGED_SUSPECTS).map(|key| format!("{:016x}", key.short())).collect();
        info!(parts, requests, ?ends, ?changed, "fatal parts or requests changed");
        for key in before.iter().chain(&suspects).filter(is_changed) {
            tokio::spawn(verdicts::store(core.clone(), *key));
        }
    }
    core.notify_evidence.notify_one();
}

/// Finds out whether a replica has ended or only a connection to it, if that matters for a request.
pub(crate) fn check_replica(core: &Arc<Core>, replica: &Arc<Replica>) {
    let end = end_id(replica);
    let is_needed = {
        let blame = core.blame.lock();
        blame.has_flights(end, core.now()) && !blame.has_ended(end)
    };
    if !is_needed {
        return;
    }
    spawn_check(core, replica, move |core, replica| async move {
        loop {
            let mut found = check(&core, &replica).await;
            let mut asked_at = core.now();
            if found != Finding::Ended {
                tokio::time::sleep(RECHECK_INTERVAL).await;
                asked_at = core.now();
                found = check(&core, &replica).await;
            }
            match found {
                Finding::Ended | Finding::Closed => replica_ended(&core, &replica),
                // Connections that were lost since then need another check.
                Finding::Alive if core.blame.lock().alive(end, asked_at, core.now()) => continue,
                Finding::Alive | Finding::Unknown => {}
            }
            break;
        }
    });
}

/// What a check of a replica showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// This incarnation has ended.
    Ended,
    /// It closes connections without an answer.
    Closed,
    /// This incarnation responds.
    Alive,
    /// It does not respond, which may have other reasons, or it is not known which one responds.
    Unknown,
}

async fn check(core: &Core, replica: &Replica) -> Finding {
    match try_connect(replica.addr, CONNECT_TIMEOUT).await {
        Ok(()) => {}
        // The fault may be this instance's own link.
        Err(_) if !links::reaches_others(core, replica).await => return Finding::Unknown,
        Err(SendError::Refused(_)) => return Finding::Ended,
        Err(_) if core.is_in_contact() => return Finding::Ended,
        Err(_) => return Finding::Unknown,
    }
    let report = permits::report(core, replica);
    match timeout(REPORT_TIMEOUT, report).await {
        // Without a start time it may be another incarnation at the same address.
        Ok(Ok(report)) if report.started_ms == 0 || replica.started_ms == 0 => Finding::Unknown,
        Ok(Ok(report)) if report.started_ms == replica.started_ms => Finding::Alive,
        Ok(Ok(_)) => Finding::Ended,
        // It accepts connections and closes them.
        Ok(Err(CallError::Silent(_))) if links::reaches_others(core, replica).await => {
            Finding::Closed
        }
        Ok(Err(_)) | Err(_) => Finding::Unknown,
    }
}
