//! Counters and latency histograms.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry, TextEncoder,
};

/// Bounds of the latency histograms, in seconds.
const BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.7, 1.0, 2.0, 5.0, 12.0];

/// The metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: IntCounterVec,
    /// Sends to replicas by outcome.
    pub sends: IntCounterVec,
    /// Streams that went on at another replica.
    pub resumed: IntCounter,
    /// Shared prompt tokens by where they were expected to come from.
    pub tokens: IntCounterVec,
    /// Calls to the platform's registry by outcome.
    pub calls: IntCounterVec,
    /// Seconds until the first byte of a replica's answer was passed on.
    pub first: Histogram,
    /// Seconds until the end of an answer.
    pub whole: Histogram,
}

impl Metrics {
    /// Metrics that are all zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let family = |name: &str, help: &str, label: &str| {
            let out = IntCounterVec::new(Opts::new(name, help), &[label]);
            let out = out.expect("names and labels are valid");
            registry.register(Box::new(out.clone())).expect("names are unique");
            out
        };
        let seconds = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let out = Histogram::with_opts(opts).expect("bounds rise");
            registry.register(Box::new(out.clone())).expect("names are unique");
            out
        };
        let resumed = IntCounter::new("lentil_streams_resumed_total", "Streams resumed elsewhere");
        let resumed = resumed.expect("the name is valid");
        registry.register(Box::new(resumed.clone())).expect("names are unique");
        Self {
            requests: family("lentil_requests_total", "Requests by outcome", "outcome"),
            sends: family("lentil_sends_total", "Sends to replicas by outcome", "outcome"),
            tokens: family("lentil_shared_tokens_total", "Shared prompt tokens", "source"),
            calls: family("lentil_platform_calls_total", "Platform calls", "outcome"),
            first: seconds("lentil_first_byte_seconds", "Until the first byte is passed on"),
            whole: seconds("lentil_answer_seconds", "Until the end of an answer"),
            resumed,
            registry,
        }
    }

    /// The metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        // Writing to memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
