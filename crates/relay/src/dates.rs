//! When versions of weights were named, kept at the platform for instances that start later.
//!
//! Without it, an instance that starts takes a version that it reads for one that was just named,
//! and would use older weights for too long.

use std::{sync::Arc, time::Duration};

use fleet::{Naming, Weights};
use ident::Time;
use serde::{Deserialize, Serialize};
use table::{Expect, Row, TableError, Write};
use tracing::{info, warn};

use crate::core::Core;

/// Partition of these rows; the sort key is the model.
const PART: &str = "weights";

/// Versions and when each was named at the latest, in ms on the registry's clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct DatesWire {
    named: Vec<(u64, u64)>,
}

impl TryFrom<&Row> for DatesWire {
    type Error = TableError;

    fn try_from(row: &Row) -> Result<Self, TableError> {
        serde_json::from_str(&row.body).map_err(|e| TableError::Malformed(e.to_string().into()))
    }
}

/// The registry's clock, by the reading that arrived fastest.
///
/// Invariant: the own time of a reading is never earlier than its true time, and later by no more
/// than the shortest delay of an answer so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Dial {
    told: Option<(u64, Time)>,
}

/// A reading that is further off than any delay means that the clock is another one.
const MAX_DRIFT_MS: i128 = 30_000;

impl Dial {
    /// Takes in a reading of the registry's clock that arrived at `now`.
    pub fn set(&mut self, clock: u64, now: Time) {
        let offset = |clock: u64, now: Time| i128::from(now.0) - i128::from(clock);
        let better = self.told.is_none_or(|(c, t)| {
            let (old, new) = (offset(c, t), offset(clock, now));
            new < old || new - old > MAX_DRIFT_MS
        });
        if better {
            self.told = Some((clock, now));
        }
    }

    /// The registry's time at `at`.
    pub fn foreign(&self, at: Time) -> Option<u64> {
        let (clock, now) = self.told?;
        let ahead = at.since(now).as_millis() as u64;
        Some((clock + ahead).saturating_sub(now.since(at).as_millis() as u64))
    }

    /// The own time at `clock` on the registry's clock.
    pub fn own(&self, clock: u64) -> Option<Time> {
        let (told, now) = self.told?;
        let ahead = Duration::from_millis(clock.saturating_sub(told));
        Some(now.after(ahead).before(Duration::from_millis(told.saturating_sub(clock))))
    }
}

/// Reads when the versions of `model` were named.
pub(crate) async fn learn(core: Arc<Core>, model: Arc<str>) {
    let row = match core.outside.table.get(PART, &model).await {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(error) => {
            warn!(%model, %error, "it is not known when weights were named");
            return;
        }
    };
    match DatesWire::try_from(&row) {
        Ok(dates) => {
            for (version, clock) in dates.named {
                let at = core.dial.lock().own(clock);
                if let Some(at) = at {
                    let naming = Naming { version, at, sure: true };
                    core.view.offer_weights(&model, naming, core.now());
                    let age = core.now().since(at).as_millis() as u64;
                    info!(%model, version, age_ms = age, "weights were named earlier");
                }
            }
        }
        Err(error) => warn!(%model, %error, "it is not known when weights were named"),
    }
}

/// Writes down when the versions of a model were named.
pub(crate) async fn note(core: &Core, weights: &Weights) -> Result<(), TableError> {
    let row = core.outside.table.get(PART, &weights.model).await?;
    let dial = *core.dial.lock();
    let named = weights.named.iter().filter_map(|(v, at)| Some((*v, dial.foreign(*at)?)));
    let wire = DatesWire { named: named.collect() };
    let expect = row.as_ref().map_or(Expect::Absent, |r| Expect::Version(r.version));
    let known = row.as_ref().and_then(|r| DatesWire::try_from(r).ok()).unwrap_or_default();
    let newest = |w: &DatesWire| w.named.iter().map(|(v, _)| *v).max();
    if newest(&known) >= newest(&wire) {
        return Ok(());
    }
    let body =
        serde_json::to_string(&wire).map_err(|e| TableError::Malformed(e.to_string().into()))?;
    let (part, sort) = (PART.into(), weights.model.clone());
    core.outside.table.commit(vec![Write { part, sort, expect, body: Some(body.into()) }]).await
}
