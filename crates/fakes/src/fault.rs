//! Fault knobs: the faults that a stand-in can inject.

use serde::{Deserialize, Serialize};

/// Number of upcoming calls that a knob applies to; `u32::MAX` stands for all.
///
/// It is read from a number or from a boolean, where `true` means all and `false` none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(from = "CountWire", into = "u32")]
pub struct Count(pub u32);

impl Count {
    /// Counts down by one call. Returns whether the knob applies to this call.
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

/// Fault knobs of all kinds of stand-ins; a knob that is absent is off.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Refuse every call with 503.
    pub outage: bool,
    /// Wait this many milliseconds before a call takes effect. It takes effect even if the caller
    /// has closed the connection by then.
    pub delay_ms: u64,
    /// Run the next calls, then close their connections without an answer.
    pub lose_answers: Count,
    /// Accept connections and calls, but run no call and send nothing more on any connection.
    pub silent: bool,
    /// Send nothing more on the connections that are open when the knob is set; new ones work.
    pub silent_open: bool,
    /// Close the connection after this many bytes of each answer's body.
    pub cut_after_bytes: Option<u64>,
    /// Table: refuse reads of a range of rows, as above the read rate.
    pub refuse_ranges: bool,
    /// Engine: accept orders without a check of their fencing number.
    pub ignore_fence: bool,
    /// Engine: report load and cache events as of this many milliseconds ago. Instance list: show
    /// the list as of this many milliseconds ago.
    pub lag_ms: u64,
    /// Engine: before every third event of a stream, send an event of another request.
    pub cross_answers: bool,
    /// Engine: send every event twice.
    pub double_chunks: bool,
    /// Engine: delay every fourth event by this many milliseconds; the events after it overtake it.
    pub late_chunks_ms: u64,
    /// Engine: refuse new requests, as while it shuts down.
    pub leaving: bool,
    /// Engine: report this weights version in place of the one that is served.
    pub report_weights: Option<String>,
    /// Engine: run new requests with this weights version in place of the requested one; their
    /// events name this version.
    pub compute_weights: Option<String>,
    /// Store: refuse pieces and records with 507.
    pub full: bool,
    /// Store: flip one bit in each piece that is returned; the stored piece stays intact.
    pub flip_bits: bool,
    /// Engine and store: drop all contents and, while the knob is set, acknowledge writes without
    /// keeping them.
    pub evict_all: bool,
    /// Store: keep only the first half of each written piece, but acknowledge the write.
    pub partial_writes: bool,
    /// Store: answer reads with the previous generation of a piece, if there is one.
    pub stale_generation: bool,
    /// Store and weight store: link rate in bytes per second, in place of the configured one.
    pub link_rate: Option<u64>,
    /// Instance list: names of instances to leave out of the answer.
    pub lost: Vec<String>,
    /// Service: refuse the next calls before running them.
    pub refuse: Count,
    /// Service: run a call at once and answer it this many milliseconds later.
    pub stall_ms: u64,
    /// Service: close the connections of the next calls before running them.
    pub cut_before_run: Count,
    /// Service: answer the next calls without length or chunks.
    pub unframed: Count,
    /// Service: run the next calls and close their connections without an answer.
    pub cut_after_run: Count,
}
