//! The retry budget, which is divided among the instances.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use ident::Time;

/// Number of slices that a window is divided into for counting.
const SLICES: u64 = 20;

/// Share of the fixed allowance that processes use which have run for a window or longer.
const STEADY_SHARE: f64 = 0.7;
/// Share that is left for younger processes.
const YOUNG_SHARE: f64 = 1.0 - STEADY_SHARE;

/// Shortest time between two reports of retries that were denied.
const DENIAL_INTERVAL: Duration = Duration::from_secs(1);

/// How far a retry budget is used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetUse {
    /// First attempts within the window.
    pub requests: u64,
    /// Retries within the window.
    pub retries: u64,
    /// Retries that are left now.
    pub left: f64,
}

/// Retries that were denied since the last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Denials {
    /// Number of denied retries.
    pub count: u32,
    /// How far the budget is used.
    pub budget: BudgetUse,
}

/// The retry budgets of all targets. Requests to one target do not add to the budget of another.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: f64,
    window: Duration,
    /// Retries that all instances together may send within a window besides the ratio.
    extra: f64,
    /// When the process started.
    start: Time,
    /// Numbers of instances, each with when it was last seen, oldest first. Invariant: the numbers
    /// strictly decrease, since one that a later one reaches is dropped.
    counts: VecDeque<(Time, u32)>,
    /// Whether first attempts allow no retries for now; see [`Self::record_peers`].
    is_withheld: bool,
    /// Sorted by target.
    targets: Vec<(Arc<str>, RetryBudget)>,
}

impl RetryBudgets {
    /// Creates budgets that allow `ratio` retries for each first attempt within `window`, and
    /// `extra` ones that all instances share. `start` is when the process started.
    pub fn new(ratio: f64, window: Duration, extra: f64, start: Time) -> Self {
        let (counts, targets) = (VecDeque::new(), Vec::new());
        Self { ratio, window, extra, start, counts, is_withheld: false, targets }
    }

    /// Records the number of instances. Call this also while there are no requests, since the
    /// allowance depends on the largest number within the window.
    pub fn record_instances(&mut self, instances: u32, now: Time) {
        while self.counts.back().is_some_and(|(_, count)| *count <= instances) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, instances));
        while self.counts.front().is_some_and(|(seen, _)| now.since(*seen) > self.window) {
            self.counts.pop_front();
        }
    }

    /// Records how many of `live` instances have run for a window or longer.
    ///
    /// Processes that ended together may have spent the retries of a whole window just before, for
    /// requests that are out of the window by now. So while most instances are younger than a window,
    /// first attempts allow no retries in the young ones. Where few are young, they retry as others: what
    /// their earlier processes have spent is not known, and small beside the budget of all.
    pub fn record_peers(&mut self, steady: u32, live: u32, now: Time) {
        let is_young = now.since(self.start) < self.window;
        self.is_withheld = is_young && steady * 2 < live;
    }

    /// The fixed allowance of one of `instances` instances.
    ///
    /// Instances that were removed within the window may have used their shares, so the largest
    /// number of instances within it counts.
    ///
    /// What an earlier process of the instance has spent within the window is not known. So the
    /// allowance of a process grows from nothing with its age until that is a window: processes
    /// that follow each other within a window get no more than [`YOUNG_SHARE`] together, whatever
    /// the one before them had.
    pub fn allowance(&mut self, instances: u32, now: Time) -> f64 {
        self.record_instances(instances, now);
        let (_, most) = self.counts.front().expect("a number was recorded");
        let age = now.since(self.start).as_secs_f64() / self.window.as_secs_f64();
        let share = if age < 1.0 { YOUNG_SHARE * age } else { STEADY_SHARE };
        self.extra * share / f64::from(*most)
    }

    /// How far the budget of each target is used. `instances` is as in [`Self::allowance`].
    pub fn used(&mut self, instances: u32, now: Time) -> Vec<(Arc<str>, BudgetUse)> {
        let allowance = self.allowance(instances, now);
        let targets: Vec<Arc<str>> = self.targets.iter().map(|(name, _)| name.clone()).collect();
        let used = |target: Arc<str>| {
            let used = self.for_target(&target).used(allowance, now);
            (target, used)
        };
        targets.into_iter().map(used).collect()
    }

    /// Returns the budget of a target; creates it if there is none yet.
    pub fn for_target(&mut self, target: &Arc<str>) -> &mut RetryBudget {
        let at = match self.targets.binary_search_by(|(name, _)| name.cmp(target)) {
            Ok(at) => at,
            Err(at) => {
                let budget = RetryBudget::new(self.ratio, self.window);
                self.targets.insert(at, (target.clone(), budget));
                at
            }
        };
        let budget = &mut self.targets[at].1;
        budget.ratio = if self.is_withheld { 0.0 } else { self.ratio };
        budget
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Slice {
    /// Position on the time line: time divided by the length of a slice.
    number: u64,
    /// First attempts that were sent in this slice.
    attempts: u32,
    /// Retries that were sent in this slice.
    retries: u32,
}

/// Allows retries up to a ratio of the first attempts within a sliding window, plus this instance's
/// share of a fixed allowance.
///
/// Invariant: the retries within any window that ends with a retry are at most `ratio` times the
/// first attempts of that window, plus the largest allowance passed to [`RetryBudget::try_retry`].
/// For that, the slice that lies only partly inside the window counts for retries alone.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    /// Length of a slice.
    slice_len: Duration,
    /// Oldest first, with strictly increasing numbers.
    slices: VecDeque<Slice>,
    /// Retries denied since `reported_at`.
    denied: u32,
    /// When denials were last reported.
    reported_at: Time,
}

impl RetryBudget {
    /// Creates a budget that allows `ratio` retries for each first attempt within `window`.
    pub fn new(ratio: f64, window: Duration) -> Self {
        let slice_len = (window / SLICES as u32).max(Duration::from_millis(1));
        let (slices, denied, reported_at) = (VecDeque::new(), 0, Time(0));
        Self { ratio, slice_len, slices, denied, reported_at }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Time) {
        self.current_slice(now).attempts += 1;
    }

    /// Takes one retry from the budget; returns false if none is left. `allowance` is this
    /// instance's share of the fixed allowance.
    pub fn try_retry(&mut self, allowance: f64, now: Time) -> bool {
        if self.used(allowance, now).left < 1.0 {
            self.denied += 1;
            return false;
        }
        self.current_slice(now).retries += 1;
        true
    }

    /// How far the budget is used; `allowance` is as in [`Self::try_retry`].
    pub fn used(&mut self, allowance: f64, now: Time) -> BudgetUse {
        let newest = self.current_slice(now).number;
        let inside = self.slices.iter().filter(|s| s.number + SLICES > newest);
        let requests: u64 = inside.map(|s| u64::from(s.attempts)).sum();
        let retries: u64 = self.slices.iter().map(|s| u64::from(s.retries)).sum();
        let left = self.ratio * requests as f64 + allowance - retries as f64;
        BudgetUse { requests, retries, left }
    }

    /// Retries that were denied since the last report, at most once in [`DENIAL_INTERVAL`].
    pub fn take_denials(&mut self, allowance: f64, now: Time) -> Option<Denials> {
        if self.denied == 0 || now.since(self.reported_at) < DENIAL_INTERVAL {
            return None;
        }
        self.reported_at = now;
        let (count, budget) = (std::mem::take(&mut self.denied), self.used(allowance, now));
        Some(Denials { count, budget })
    }

    fn current_slice(&mut self, now: Time) -> &mut Slice {
        let number = now.0 / self.slice_len.as_millis().max(1) as u64;
        // Keeps one slice more than the window has, since the oldest lies only partly inside.
        while self.slices.front().is_some_and(|s| s.number + SLICES < number) {
            self.slices.pop_front();
        }
        let last = self.slices.back().map_or(0, |s| s.number);
        if self.slices.is_empty() || last < number {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        self.slices.back_mut().expect("slices is empty after a slice was pushed")
    }
}
