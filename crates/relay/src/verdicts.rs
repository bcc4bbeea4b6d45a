//! Rows in the instances' table about parts of prompts and requests under which replicas end: the
//! verdict, for instances that start while no other knows it, and the trials that were taken.

use std::{sync::Arc, time::Duration};

use blame::{Report, SuspectKey, SuspectReport};
use ident::rendezvous_order;
use place::Peers;
use rand::Rng;
use serde::{Deserialize, Serialize};
use table::TableError;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::{core::Core, ends, rows};

/// Partition of the rows that record trials.
const TRIALS: &str = "trials";
/// Partition of the rows that record evidence against fatal parts and requests.
const VERDICTS: &str = "verdicts";
/// Number of rows in each partition; suspects share them by digest.
const ROWS: u64 = 64;
/// Age from which a row may be taken over, in ms on the registry's clock: as long as something is
/// fatal.
const ROW_TTL_MS: u64 = 3_600_000;
/// Shortest interval between two attempts of an instance to take a trial.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of instances that store a verdict, the first in the rendezvous order for the suspect.
const WRITERS: usize = 2;
/// Timeout for taking a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// A verdict is stored at a random moment within this time, since all instances reach it at once.
const STORE_SPREAD: Duration = Duration::from_secs(1);
/// Pause between attempts to read the verdicts at the start.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// The trial that was taken last of the suspects that share a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TrialWire {
    #[serde(flatten)]
    key: SuspectKey,
    number: u8,
    /// When it was taken, in ms on the registry's clock.
    taken: u64,
}

/// Takes a trial of a suspect, which only one instance can. Returns whether this one has it.
pub(crate) async fn take_trial(core: &Core, key: SuspectKey, number: u8) -> bool {
    if !core.next_trial.lock().passed(core.now()) {
        return false;
    }
    *core.next_trial.lock() = core.now().after(TRIAL_INTERVAL);
    match timeout(TRIAL_TIMEOUT, write_trial(core, key, number)).await {
        Ok(Ok(())) => {
            core.blame.lock().trial_taken(key, number);
            core.notify_evidence.notify_one();
            true
        }
        Ok(Err(TableError::Conflict)) => {
            core.blame.lock().trial_taken(key, number);
            false
        }
        Ok(Err(error)) => {
            warn!(%error, "trial could not be taken");
            false
        }
        Err(_) => {
            warn!("trial could not be taken in time");
            false
        }
    }
}

/// Records a trial of a suspect. Fails with [`TableError::Conflict`] if it was taken before.
async fn write_trial(core: &Core, key: SuspectKey, number: u8) -> Result<(), TableError> {
    let table = &core.adapters.table;
    let sort = sort_key(key);
    let clock = core.registry_clock.lock().to_registry(core.now()).unwrap_or(0);
    let row = table.get(TRIALS, &sort).await?;
    let last: Option<TrialWire> = row.as_ref().and_then(rows::parse);
    let is_taken = |last: &TrialWire| {
        last.key == key && last.number >= number && clock < last.taken + ROW_TTL_MS
    };
    if last.is_some_and(|last| is_taken(&last)) {
        return Err(TableError::Conflict);
    }
    rows::write(core, TRIALS, sort, row, Some(&TrialWire { key, number, taken: clock })).await
}

/// Evidence against a fatal suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct VerdictWire {
    suspect: SuspectReport,
    /// When it was written, in ms on the registry's clock.
    written: u64,
}

/// Stores the verdict on a suspect: the evidence if it is fatal, else nothing.
pub(crate) async fn store(core: Arc<Core>, key: SuspectKey) {
    let Peers { own, alive, .. } = core.limit_peers();
    let order = rendezvous_order(&key.short().to_be_bytes(), &alive, |name| name);
    if !order.into_iter().take(WRITERS).any(|name| *name == own) {
        return;
    }
    let spread = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(STORE_SPREAD.mul_f64(spread)).await;
    match write_verdict(&core, key).await {
        // Another instance was faster.
        Ok(()) | Err(TableError::Conflict) => {}
        Err(error) => warn!(%error, "verdict could not be stored"),
    }
}

async fn write_verdict(core: &Core, key: SuspectKey) -> Result<(), TableError> {
    let sort = sort_key(key);
    let row = core.adapters.table.get(VERDICTS, &sort).await?;
    let stored: Option<VerdictWire> = row.as_ref().and_then(rows::parse);
    let is_stored = stored.is_some_and(|stored| stored.suspect.key == key);
    let is_fatal = core.fatal.lock().contains(&key);
    if is_stored == is_fatal {
        return Ok(());
    }
    let now = core.now();
    let clock = core.registry_clock.lock().to_registry(now);
    let suspect = core.blame.lock().report_on(key, now).filter(|_| is_fatal);
    let wire = suspect.zip(clock).map(|(suspect, written)| VerdictWire { suspect, written });
    if is_fatal && wire.is_none() {
        return Ok(());
    }
    rows::write(core, VERDICTS, sort, row, wire.as_ref()).await
}

/// Reads the stored verdicts, once they can be read.
pub(crate) async fn load(core: Arc<Core>) {
    loop {
        tokio::time::sleep(LOAD_INTERVAL).await;
        // Unknown until the registry has answered, which shares the service with the table.
        let clock = core.registry_clock.lock().to_registry(core.now());
        let Some(clock) = clock else { continue };
        let Ok(rows) = core.adapters.table.range(VERDICTS, "", ROWS as usize).await else {
            continue;
        };
        let suspects = rows.iter().filter_map(rows::parse).map(|wire| aged(wire, clock)).collect();
        let report = Report { suspects, ended: Vec::new() };
        if !report.suspects.is_empty() {
            info!(suspects = report.suspects.len(), "verdicts read");
            ends::merge(&core, &report);
        }
        return;
    }
}

/// The evidence of a row, with its age at `clock`.
fn aged(wire: VerdictWire, clock: u64) -> SuspectReport {
    let VerdictWire { mut suspect, written } = wire;
    let age = Duration::from_millis(clock.saturating_sub(written));
    suspect.ends.iter_mut().for_each(|(_, since)| *since += age);
    suspect.answer = suspect.answer.map(|since| since + age);
    suspect
}

fn sort_key(key: SuspectKey) -> Arc<str> {
    format!("{:02}", key.short() % ROWS).into()
}
