//! Metrics of an instance: counters, gauges and histograms.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the time-to-first-token buckets, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] =
    [0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0];
/// Upper bounds of the between-tokens buckets, in seconds.
const TOKEN_GAP_BUCKETS: [f64; 8] = [0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.5, 2.5];

/// The metrics of one instance, registered in its own registry.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by API and result (`ok` or the problem's label).
    pub requests: IntCounterVec,
    /// Time to first token in seconds, by class.
    pub first_token: HistogramVec,
    /// Time between tokens in seconds.
    pub token_gap: Histogram,
    /// Number of tokens delivered to callers.
    pub tokens: IntCounter,
    /// Prompt tokens by origin: `cached`, or `recomputed` for all others.
    pub prompt_tokens: IntCounterVec,
    /// Placements by plan: `hot`, `import` or `recompute`.
    pub plans: IntCounterVec,
    /// Imports dropped because a record or receipt did not match.
    pub rejected_imports: IntCounter,
    /// Bytes of planned transfers over store links.
    pub link_bytes: IntCounter,
    /// Pieces that were written to store instances together with their records.
    pub saved_pieces: IntCounter,
    /// Failed attempts by cause; a retry follows if the retry budget allows it. Before the stream:
    /// `refused`, `silent`, `connect`, `broken`. During it: `ended early`, `gap`, `silent`,
    /// `malformed`, `broken`, `weights`.
    pub retries: IntCounterVec,
    /// Stream events dropped, by cause: `duplicate`, or `crossed` for events of another request.
    pub dropped_events: IntCounterVec,
    /// Calls to plain services by result: `done`, `not-run`, `unknown`, `replayed`.
    pub calls: IntCounterVec,
    /// Units of work in progress.
    pub running: IntGauge,
    /// Configuration revision in force.
    pub revision: IntGauge,
    /// 1 when this instance accepts new work, otherwise 0.
    pub accepting_work: IntGauge,
    /// Configuration polls by result: `ok` or `failed`.
    pub config_polls: IntCounterVec,
    /// Invalid entries of the platform's instance list.
    pub invalid_list_entries: IntCounter,
    /// Orders sent to replicas, by result: `ok`, `refused` or `unknown`.
    pub orders: IntCounterVec,
    /// Operations of the table service, by operation (`get`, `range`, `commit`) and result (`ok`,
    /// `conflict`, `refused`, `unknown`, `malformed`).
    pub table_operations: IntCounterVec,
    /// Rollouts that made no progress for a long time, by target.
    pub rollout_stalls: IntCounterVec,
}

impl Metrics {
    /// Registers all metrics in a new registry.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let reg = &registry;
        Ok(Self {
            requests: counters(
                reg,
                "requests_total",
                "Requests by API and result.",
                &["api", "result"],
            )?,
            first_token: {
                let opts = HistogramOpts::new(
                    "lentil_first_token_seconds",
                    "Time to first token by class.",
                )
                .buckets(FIRST_TOKEN_BUCKETS.to_vec());
                register(reg, HistogramVec::new(opts, &["class"])?)?
            },
            token_gap: {
                let opts = HistogramOpts::new("lentil_token_gap_seconds", "Time between tokens.")
                    .buckets(TOKEN_GAP_BUCKETS.to_vec());
                register(reg, Histogram::with_opts(opts)?)?
            },
            tokens: counter(reg, "tokens_total", "Tokens delivered to callers.")?,
            prompt_tokens: counters(
                reg,
                "prompt_tokens_total",
                "Prompt tokens by origin.",
                &["origin"],
            )?,
            plans: counters(reg, "plans_total", "Placements by plan.", &["plan"])?,
            rejected_imports: counter(
                reg,
                "rejected_imports_total",
                "Imports dropped because a record or receipt did not match.",
            )?,
            link_bytes: counter(reg, "link_bytes_total", "Bytes planned over store links.")?,
            saved_pieces: counter(reg, "kept_pieces_total", "Pieces written to store instances.")?,
            retries: counters(
                reg,
                "retries_total",
                "Attempts after the first by cause.",
                &["cause"],
            )?,
            dropped_events: counters(
                reg,
                "dropped_events_total",
                "Stream events dropped by cause.",
                &["cause"],
            )?,
            calls: counters(reg, "calls_total", "Calls to plain services by result.", &["result"])?,
            running: gauge(reg, "running", "Work in progress.")?,
            revision: gauge(reg, "config_revision", "Configuration revision in force.")?,
            accepting_work: gauge(reg, "taking_work", "1 when new work is taken.")?,
            config_polls: counters(
                reg,
                "config_polls_total",
                "Configuration polls by result.",
                &["result"],
            )?,
            invalid_list_entries: counter(
                reg,
                "bad_listed_total",
                "Entries of the instance list that could not be understood.",
            )?,
            orders: counters(
                reg,
                "orders_total",
                "Orders sent to replicas by result.",
                &["result"],
            )?,
            table_operations: counters(
                reg,
                "table_operations_total",
                "Operations of the table service by operation and result.",
                &["operation", "result"],
            )?,
            rollout_stalls: counters(
                reg,
                "rollout_stalls_total",
                "Rollouts that took no step for long by target.",
                &["target"],
            )?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out)?;
        Ok(out)
    }
}

fn register<C>(registry: &Registry, collector: C) -> Result<C, prometheus::Error>
where
    C: prometheus::core::Collector + Clone + 'static,
{
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("lentil")
}

fn counter(reg: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    register(reg, IntCounter::with_opts(opts(name, help))?)
}

fn counters(
    reg: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    register(reg, IntCounterVec::new(opts(name, help), labels)?)
}

fn gauge(reg: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    register(reg, IntGauge::with_opts(opts(name, help))?)
}
