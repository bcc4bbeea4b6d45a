//! Times at which weight versions were announced, stored at the platform for instances that start
//! later.
//!
//! Without these times, an instance that starts would take every version for one announced just
//! now, and would use older weights for too long.

use std::{sync::Arc, time::Duration};

use fleet::{Announcement, Weights};
use ident::Time;
use serde::{Deserialize, Serialize};
use table::{Expect, Row, TableError, Write};
use tracing::{info, warn};

use crate::core::Core;

/// Partition of these rows; the sort key is the model's name.
const PARTITION: &str = "weights";

/// Most versions in a row.
const MAX_ANNOUNCED: usize = 8;

/// Versions and the time from which each counts as announced, in ms on the registry's clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct AnnouncedWire {
    /// Era of the registry's clock; 0 in rows of earlier releases.
    #[serde(default)]
    era: u64,
    /// Whether the newest version may have been announced before its time here.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    uncertain: bool,
    /// Sorted by version.
    named: Vec<(u64, u64)>,
}

impl AnnouncedWire {
    fn newest(&self) -> Option<u64> {
        self.named.last().map(|(version, _)| *version)
    }

    /// Adds what another row of the same era knows: the earlier time of each version counts.
    fn merge(mut self, other: &Self) -> Self {
        let certain = [&self, other].map(|w| w.newest().filter(|_| !w.uncertain));
        for (version, clock) in &other.named {
            match self.named.binary_search_by_key(version, |(v, _)| *v) {
                Ok(at) => self.named[at].1 = self.named[at].1.min(*clock),
                Err(at) => self.named.insert(at, (*version, *clock)),
            }
        }
        let excess = self.named.len().saturating_sub(MAX_ANNOUNCED);
        self.named.drain(..excess);
        self.uncertain = !certain.contains(&self.newest());
        self
    }
}

impl TryFrom<&Row> for AnnouncedWire {
    type Error = TableError;

    fn try_from(row: &Row) -> Result<Self, TableError> {
        serde_json::from_str(&row.body).map_err(|e| TableError::Malformed(e.to_string().into()))
    }
}

/// Maps the registry's clock to the local clock, by the reading that arrived fastest.
///
/// Invariant: the local time of a reading is never earlier than its true time, and later by no more
/// than the shortest delay of an answer so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct RegistryClock {
    /// Era of the reading. The clock may go back with the registry's content.
    era: u64,
    reading: Option<(u64, Time)>,
}

/// A reading that arrived later than the fastest one by more than this, in ms, is of another clock:
/// no answer is delayed that long.
const MAX_EXTRA_DELAY_MS: i128 = 30_000;

impl RegistryClock {
    /// Records a reading of the registry's clock that arrived at the local time `now`. A reading of
    /// a later era replaces all earlier ones; a reading of an earlier era is ignored.
    pub fn observe(&mut self, era: u64, clock: u64, now: Time) {
        if era < self.era {
            return;
        }
        if era > self.era {
            *self = Self { era, reading: None };
        }
        let offset = |clock: u64, now: Time| i128::from(now.0) - i128::from(clock);
        let better = self.reading.is_none_or(|(c, t)| {
            let (old, new) = (offset(c, t), offset(clock, now));
            new < old || new - old > MAX_EXTRA_DELAY_MS
        });
        if better {
            self.reading = Some((clock, now));
        }
    }

    /// Era of the readings; 0 before the first one.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// The registry's time in ms at the local time `at`; `None` before the first reading.
    pub fn to_registry(&self, at: Time) -> Option<u64> {
        let (clock, now) = self.reading?;
        let ahead = at.since(now).as_millis() as u64;
        Some(clock.saturating_add(ahead).saturating_sub(now.since(at).as_millis() as u64))
    }

    /// The local time at `clock` on the registry's clock; `None` before the first reading.
    pub fn to_local(&self, clock: u64) -> Option<Time> {
        let (reading, now) = self.reading?;
        let ahead = Duration::from_millis(clock.saturating_sub(reading));
        Some(now.after(ahead).before(Duration::from_millis(reading.saturating_sub(clock))))
    }
}

/// Reads when the versions of `model` were announced.
pub(crate) async fn load_announced(core: Arc<Core>, model: Arc<str>) {
    let row = match core.adapters.table.get(PARTITION, &model).await {
        Ok(Some(row)) => row,
        Ok(None) => return,
        Err(error) => {
            warn!(%model, %error, "announcement times of weights could not be read");
            return;
        }
    };
    match AnnouncedWire::try_from(&row) {
        Ok(dates) => {
            let uncertain = dates.newest().filter(|_| dates.uncertain);
            for (version, clock) in dates.named {
                let registry_clock = *core.registry_clock.lock();
                // Times on the clock of an earlier era may be later here than they were.
                let certain = registry_clock.era() == dates.era && uncertain != Some(version);
                if let Some(at) = registry_clock.to_local(clock) {
                    let at = at.min(core.now());
                    let announcement = Announcement { version, at, certain };
                    core.view.offer_weights(&model, announcement, core.now());
                    let age = core.now().since(at).as_millis() as u64;
                    info!(%model, version, age_ms = age, "announcement time of weights loaded");
                }
            }
        }
        Err(error) => warn!(%model, %error, "announcement times of weights could not be decoded"),
    }
}

/// Stores when the versions of a model were announced.
pub(crate) async fn store_announced(core: &Core, weights: &Weights) -> Result<(), TableError> {
    let row = core.adapters.table.get(PARTITION, &weights.model).await?;
    let clock = *core.registry_clock.lock();
    let named = weights.announced.iter().filter_map(|(v, at)| Some((*v, clock.to_registry(*at)?)));
    let uncertain = !weights.certain;
    let own = AnnouncedWire { era: clock.era(), uncertain, named: named.collect() };
    let expect = row.as_ref().map_or(Expect::Absent, |r| Expect::Version(r.version));
    let stored = row.as_ref().and_then(|r| AnnouncedWire::try_from(r).ok()).unwrap_or_default();
    let wire = if stored.era == own.era { own.merge(&stored) } else { own };
    if wire == stored {
        return Ok(());
    }
    let body =
        serde_json::to_string(&wire).map_err(|e| TableError::Malformed(e.to_string().into()))?;
    let (part, sort) = (PARTITION.into(), weights.model.clone());
    core.adapters.table.commit(vec![Write { part, sort, expect, body: Some(body.into()) }]).await
}
