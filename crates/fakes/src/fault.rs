//! Fault knobs.

use serde::{Deserialize, Serialize};

/// How many of the next calls a knob applies to. Written as a number, or `true` for all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(from = "CountWire", into = "u32")]
pub struct Count(pub u32);

impl Count {
    /// Uses up one call; `false` when none is left.
    pub fn take(&mut self) -> bool {
        match self.0 {
            0 => false,
            u32::MAX => true,
            _ => {
                self.0 -= 1;
                true
            }
        }
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum CountWire {
    All(bool),
    Next(u32),
}

impl From<CountWire> for Count {
    fn from(wire: CountWire) -> Self {
        match wire {
            CountWire::All(true) => Self(u32::MAX),
            CountWire::All(false) => Self(0),
            CountWire::Next(n) => Self(n),
        }
    }
}

impl From<Count> for u32 {
    fn from(count: Count) -> Self {
        count.0
    }
}

/// The knobs of all stand-ins; absent knobs are off.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Refuse every call with 503.
    pub outage: bool,
    /// Wait this many milliseconds before a call takes effect, even if the caller has gone.
    pub delay_ms: u64,
    /// Let the next calls take effect and close their connection without an answer.
    pub lose_answers: Count,
    /// Accept connections and calls, run none and send nothing more on any connection.
    pub silent: bool,
    /// Connections that are open when the knob is set go silent for good; new ones work.
    pub silent_open: bool,
    /// Close the connection after this many bytes of each answer's body.
    pub cut_after_bytes: Option<u64>,
    /// Engine: take orders whatever their fencing number.
    pub ignore_fence: bool,
    /// Engine: report load and cache events this late. Instance list: show the list this late.
    pub lag_ms: u64,
    /// Engine: before every third event of a stream, send an event of another request.
    pub cross_answers: bool,
    /// Engine: send every event twice.
    pub double_chunks: bool,
    /// Engine: hold back every fourth event this long while the ones after it go ahead.
    pub late_chunks_ms: u64,
    /// Engine: refuse new work.
    pub leaving: bool,
    /// Engine: report this weight version in place of the one that is served.
    pub report_weights: Option<String>,
    /// Engine: run new requests with this weight version in place of the one that is served and
    /// asked for; their events name it.
    pub compute_weights: Option<String>,
    /// Store: refuse pieces and records with 507.
    pub full: bool,
    /// Store: flip one bit of every piece that is read.
    pub flip_bits: bool,
    /// Engine and store: drop everything kept, and keep nothing while set, though writes are
    /// acknowledged.
    pub evict_all: bool,
    /// Store: keep the first half of every piece written and acknowledge the whole.
    pub partial_writes: bool,
    /// Store: answer reads with the previous generation of a piece, where there is one.
    pub stale_generation: bool,
    /// Store and weight store: bytes per second in place of the configured rate.
    pub link_rate: Option<u64>,
    /// Instance list: names missing from the answer.
    pub lost: Vec<String>,
    /// Service: refuse the next calls before running them.
    pub refuse: Count,
    /// Service: run a call at once and answer this much later.
    pub stall_ms: u64,
    /// Service: close the connections of the next calls before running them.
    pub cut_before_run: Count,
    /// Service: run the next calls and close their connections without an answer.
    pub cut_after_run: Count,
}
