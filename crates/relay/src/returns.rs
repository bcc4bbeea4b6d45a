//! Returns of the registry from an older copy of its content, as this instance sees them.
//!
//! Each return begins an era. What was read before may be gone from the copy, or be there in an
//! earlier state, until its writers have written it again.

use std::time::Duration;

use ident::Time;
use parking_lot::Mutex;
use table::Version;
use tokio::sync::watch;
use tracing::info;

use crate::{metrics::Metrics, services::Topic};

/// How long before a rise of the era a replica may have departed, and how long after the rise this
/// is remembered: longer than a copy may be old and the registry away together, which is seconds.
pub(crate) const RETURN_SPAN: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct State {
    /// Era of the newest answer; `None` before the first answer.
    era: Option<u64>,
    /// When the last rise was seen.
    rose_at: Option<Time>,
    /// The first of the rises that followed each other within [`RETURN_SPAN`], up to the last one.
    series_at: Option<Time>,
    /// Highest position of all topics.
    newest: Version,
    /// Topics that were read completely in this era.
    read: Vec<Topic>,
    /// Whether this instance's row was written in this era.
    own_row: bool,
    /// A rise that is not logged yet, because no position of the new era is known.
    unlogged: Option<Unlogged>,
    /// Whether it was logged that everything of this era was read and written.
    whole: bool,
}

#[derive(Debug, Clone, Copy)]
struct Unlogged {
    old_era: u64,
    newest: Version,
    /// Time since the last confirmed answer, in ms.
    silent_ms: u64,
}

/// The era of the registry, and what was read and written again since its last rise.
#[derive(Debug)]
pub struct Returns {
    state: Mutex<State>,
    era: watch::Sender<u64>,
}

impl Default for Returns {
    fn default() -> Self {
        Self { state: Mutex::default(), era: watch::Sender::new(0) }
    }
}

impl Returns {
    /// Returns a receiver of the era, which is notified of each rise.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// The era of the newest answer; `None` before the first answer.
    pub fn era(&self) -> Option<u64> {
        self.state.lock().era
    }

    /// When the last rise was seen; `None` if there was none since the start.
    pub fn rose_at(&self) -> Option<Time> {
        self.state.lock().rose_at
    }

    /// The first and the last of the rises that followed each other within [`RETURN_SPAN`].
    pub(crate) fn series(&self) -> Option<(Time, Time)> {
        let state = self.state.lock();
        state.series_at.zip(state.rose_at)
    }

    /// Whether a rise was seen within [`RETURN_SPAN`].
    pub(crate) fn is_recent(&self, now: Time) -> bool {
        self.rose_at().is_some_and(|at| now.since(at) < RETURN_SPAN)
    }

    /// Whether all rows of a topic were read in this era.
    pub(crate) fn is_read(&self, topic: Topic) -> bool {
        self.state.lock().read.contains(&topic)
    }

    /// Records the highest era in which the registry has answered. The era of the first answer is
    /// not a rise. `confirmed` is when the registry last answered this instance or a peer.
    pub(crate) fn observe(&self, era: u64, confirmed: Time, now: Time, metrics: &Metrics) {
        let mut state = self.state.lock();
        let old_era = match state.era {
            Some(old) if era > old => old,
            Some(_) => return,
            None => {
                state.era = Some(era);
                metrics.store_era.set(era as i64);
                self.era.send_replace(era);
                return;
            }
        };
        let silent_ms = now.since(confirmed).as_millis() as u64;
        let unlogged = Unlogged { old_era, newest: state.newest, silent_ms };
        let goes_on = state.rose_at.is_some_and(|at| now.since(at) < RETURN_SPAN);
        let series_at = state.series_at.filter(|_| goes_on).unwrap_or(now);
        *state = State {
            era: Some(era),
            rose_at: Some(now),
            series_at: Some(series_at),
            newest: Version { era, number: 0 },
            unlogged: Some(state.unlogged.unwrap_or(unlogged)),
            ..State::default()
        };
        metrics.store_returns.inc();
        metrics.store_era.set(era as i64);
        self.era.send_replace(era);
    }

    /// Records a position that the registry has answered with, and whether all rows of `topic` were
    /// read with it. A position of an earlier era is ignored.
    pub(crate) fn note_position(&self, topic: Topic, next: Version, full: bool, now: Time) {
        let mut state = self.state.lock();
        if state.era != Some(next.era) {
            return;
        }
        state.newest = state.newest.max(next);
        if let Some(Unlogged { old_era, newest, silent_ms }) = state.unlogged.take() {
            info!(
                old_era,
                new_era = next.era,
                newest_before = newest.number,
                newest_after = next.number,
                silent_ms,
                "registry returned from an older copy"
            );
        }
        if full && !state.read.contains(&topic) {
            state.read.push(topic);
        }
        state.log_whole(now);
    }

    /// Records that this instance's row was written in `era`.
    pub(crate) fn note_own_row(&self, era: u64, now: Time) {
        let mut state = self.state.lock();
        state.own_row |= state.era == Some(era);
        state.log_whole(now);
    }
}

impl State {
    /// Logs once in an era that all topics were read and this instance's row was written.
    fn log_whole(&mut self, now: Time) {
        let (Some(rose_at), Some(era)) = (self.rose_at, self.era) else { return };
        if self.whole || !self.own_row || self.read.len() < Topic::ALL.len() {
            return;
        }
        self.whole = true;
        let took_ms = now.since(rose_at).as_millis() as u64;
        info!(era, took_ms, rows_written = 1, "registry read and written again after its return");
    }
}
