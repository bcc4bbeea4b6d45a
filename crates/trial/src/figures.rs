//! Figures of a run.

use comfy_table::Table;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time that the histograms record, in ms. Longer ones count as this.
const MAX_MS: u64 = 100_000;

/// Figures of one class of prompts.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassFigures {
    /// Number of requests.
    pub asked: u64,
    /// Number of requests whose first token came within the latency goal.
    pub in_time: u64,
    /// Number of requests whose first token came before the caller gave up.
    pub answered: u64,
    /// Median time to the first token, in ms.
    pub p50: u64,
    /// 99th percentile of the time to the first token, in ms.
    pub p99: u64,
    /// Number of shared tokens that were prefilled although an engine had prefilled them before.
    pub read_again: u64,
    /// Number of shared tokens of all requests.
    pub shared: u64,
}

/// Figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Name of the deployment.
    pub mix: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Request rate as a multiple of the usual one.
    pub load: f64,
    /// Figures of long prompts.
    pub long: ClassFigures,
    /// Figures of short prompts.
    pub short: ClassFigures,
}

/// Collects the figures of one class.
pub(crate) struct Tally {
    pub(crate) figures: ClassFigures,
    first: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new() -> Self {
        let first = Histogram::new_with_max(MAX_MS, 3).expect("the bounds are valid");
        Self { figures: ClassFigures::default(), first }
    }

    pub(crate) fn answered(&mut self, ms: u64, goal: u64) {
        self.figures.answered += 1;
        self.figures.in_time += u64::from(ms <= goal);
        self.first.saturating_record(ms);
    }

    pub(crate) fn end(mut self) -> ClassFigures {
        self.figures.p50 = self.first.value_at_quantile(0.5);
        self.figures.p99 = self.first.value_at_quantile(0.99);
        self.figures
    }
}

/// Returns a table with a row for each run.
pub fn table(all: &[Figures]) -> Table {
    let mut table = Table::new();
    table.set_header([
        "deployment",
        "policy",
        "seed",
        "load",
        "long in time",
        "p50",
        "p99",
        "read again",
        "short in time",
        "p50",
        "p99",
        "read again",
    ]);
    let share = |part: u64, all: u64| format!("{:.3}", part as f64 / all.max(1) as f64);
    for f in all {
        table.add_row([
            f.mix.clone(),
            f.policy.clone(),
            f.seed.to_string(),
            f.load.to_string(),
            share(f.long.in_time, f.long.asked),
            f.long.p50.to_string(),
            f.long.p99.to_string(),
            share(f.long.read_again, f.long.shared),
            share(f.short.in_time, f.short.asked),
            f.short.p50.to_string(),
            f.short.p99.to_string(),
            share(f.short.read_again, f.short.shared),
        ]);
    }
    table
}
