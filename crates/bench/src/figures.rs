//! What a run measured.

use comfy_table::Table;
use hdrhistogram::Histogram;
use ident::Class;
use serde::{Deserialize, Serialize};

/// Longest time to first token that is told apart, in milliseconds.
const MAX_MS: u64 = 600_000;

/// Figures of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Requests sent.
    pub offered: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests whose first token came within their deadline.
    pub in_time: u64,
    /// Median time to first token of the answered ones, in milliseconds.
    pub p50: u64,
    /// 95th percentile, in milliseconds.
    pub p95: u64,
    /// 99th percentile, in milliseconds.
    pub p99: u64,
}

/// Figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// The workload.
    pub workload: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Load as a multiple of the workload's rate.
    pub load: f64,
    /// Lag of load reports, in seconds.
    pub lag: u64,
    /// Interactive requests.
    pub interactive: ClassFigures,
    /// Batch requests.
    pub batch: ClassFigures,
    /// 95th percentile of interactive requests of the teams that do not flood, in milliseconds.
    pub others_p95: u64,
    /// Share of the others' interactive requests answered within their deadline.
    pub others_in_time: f64,
    /// Share of reusable context that was recomputed, over answered requests.
    pub recomputed: f64,
    /// Lower bound of that share, with the future known.
    pub bound: f64,
    /// That share for one memory evicting the least recently used context and unshared links.
    pub lru_bound: f64,
    /// Share of reusable context found in a replica's memory.
    pub hot: f64,
    /// Share of reusable context imported.
    pub imported: f64,
    /// Bytes moved over the links.
    pub link_bytes: u64,
    /// Bytes moved, as a share of what the limits allow.
    pub link_use: f64,
    /// Bytes started in the worst ten seconds of a link, as a share of what its limit allows.
    pub link_peak: f64,
    /// Requests within their deadline per second.
    pub goodput: f64,
    /// Share of requests refused with advice on when to come back.
    pub refused: f64,
    /// Tries at engines per admitted request, over the whole run.
    pub tries: f64,
}

/// Collects figures during a run.
#[derive(Debug)]
pub(crate) struct Collector {
    classes: [Tally; 2],
    others: Tally,
    pub(crate) reusable: u64,
    pub(crate) recomputed: u64,
    pub(crate) imported: u64,
    pub(crate) refused: u64,
    pub(crate) admitted: u64,
    pub(crate) tries: u64,
}

#[derive(Debug)]
struct Tally {
    offered: u64,
    in_time: u64,
    times: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        let times = Histogram::new_with_bounds(1, MAX_MS, 3).expect("the bounds are valid");
        Self { offered: 0, in_time: 0, times }
    }

    fn first(&mut self, ms: u64, patience: u64) {
        self.times.saturating_record(ms.max(1));
        self.in_time += u64::from(ms <= patience);
    }

    fn figures(&self) -> ClassFigures {
        ClassFigures {
            offered: self.offered,
            answered: self.times.len(),
            in_time: self.in_time,
            p50: self.times.value_at_quantile(0.5),
            p95: self.times.value_at_quantile(0.95),
            p99: self.times.value_at_quantile(0.99),
        }
    }
}

impl Collector {
    pub(crate) fn new() -> Self {
        Self {
            classes: [Tally::new(), Tally::new()],
            others: Tally::new(),
            reusable: 0,
            recomputed: 0,
            imported: 0,
            refused: 0,
            admitted: 0,
            tries: 0,
        }
    }

    pub(crate) fn offered(&mut self, class: Class, is_other: bool) {
        self.classes[place(class)].offered += 1;
        if is_other && class == Class::Interactive {
            self.others.offered += 1;
        }
    }

    pub(crate) fn first(&mut self, class: Class, is_other: bool, ms: u64, patience: u64) {
        self.classes[place(class)].first(ms, patience);
        if is_other && class == Class::Interactive {
            self.others.first(ms, patience);
        }
    }

    /// Fills in what was collected over `secs` seconds.
    pub(crate) fn fill(&self, figures: &mut Figures, secs: f64) {
        let [interactive, batch] = &self.classes;
        let offered = interactive.offered + batch.offered;
        figures.goodput = (interactive.in_time + batch.in_time) as f64 / secs;
        figures.interactive = interactive.figures();
        figures.batch = batch.figures();
        figures.others_p95 = self.others.figures().p95;
        figures.others_in_time = ratio(self.others.in_time, self.others.offered);
        figures.recomputed = ratio(self.recomputed, self.reusable);
        figures.imported = ratio(self.imported, self.reusable);
        figures.hot = 1.0 - figures.recomputed - figures.imported;
        figures.refused = ratio(self.refused, offered);
        figures.tries = ratio(self.tries, self.admitted);
    }
}

fn place(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Batch => 1,
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Heads of the columns of [`table`].
const HEADS: [&str; 19] = [
    "policy",
    "seed",
    "int p50",
    "p95",
    "p99 ms",
    "batch p50",
    "p95",
    "p99 ms",
    "recomputed",
    "hot",
    "lru bound",
    "bound",
    "link GB",
    "use",
    "peak",
    "goodput/s",
    "in time",
    "refused",
    "tries",
];

/// The figures side by side, as text.
pub fn table(all: &[Figures]) -> String {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(HEADS);
    for figures in all {
        table.add_row(row(figures));
    }
    table.to_string()
}

fn row(f: &Figures) -> [String; HEADS.len()] {
    let (i, b) = (&f.interactive, &f.batch);
    let in_time = ratio(i.in_time + b.in_time, i.offered + b.offered);
    let whole = |n: u64| n.to_string();
    let share = |x: f64| format!("{x:.3}");
    [
        f.policy.clone(),
        whole(f.seed),
        whole(i.p50),
        whole(i.p95),
        whole(i.p99),
        whole(b.p50),
        whole(b.p95),
        whole(b.p99),
        share(f.recomputed),
        share(f.hot),
        share(f.lru_bound),
        share(f.bound),
        format!("{:.0}", f.link_bytes as f64 / 1e9),
        format!("{:.2}", f.link_use),
        format!("{:.2}", f.link_peak),
        format!("{:.2}", f.goodput),
        share(in_time),
        share(f.refused),
        share(f.tries),
    ]
}
