//! The retry budget, which is divided among the instances.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use ident::Time;

/// Number of slices that a window is divided into for counting.
const SLICES: u64 = 50;
/// Longest time from a caller's request until it is counted, and from a retry that is allowed until
/// it reaches its replica, for which the bound on retries holds.
const MAX_LAG: Duration = Duration::from_millis(400);
/// Share of the fixed allowance that processes use which have run for a window or longer.
const STEADY_SHARE: f64 = 0.7;
/// Share that is left for younger processes.
const YOUNG_SHARE: f64 = 1.0 - STEADY_SHARE;

/// Shortest time between two reports of retries that were denied.
const DENIAL_INTERVAL: Duration = Duration::from_secs(1);

/// How far a retry budget is used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetUse {
    /// Requests within the window.
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
    /// When the process was last known to run.
    ran_at: Time,
    /// Requests that are read before this time may have waited while the process was suspended.
    caught_up_at: Time,
    /// Numbers of instances, each with when it was last seen, oldest first. Invariant: the numbers
    /// strictly decrease, since one that a later one reaches is dropped.
    counts: VecDeque<(Time, u32)>,
    /// Sorted by target.
    targets: Vec<(Arc<str>, RetryBudget)>,
}

impl RetryBudgets {
    /// Creates budgets that allow `ratio` retries for each request within `window`, and
    /// `extra` ones that all instances share. `start` is when the process started.
    pub fn new(ratio: f64, window: Duration, extra: f64, start: Time) -> Self {
        let (counts, targets) = (VecDeque::new(), Vec::new());
        let (ran_at, caught_up_at) = (start, start);
        Self { ratio, window, extra, start, ran_at, caught_up_at, counts, targets }
    }

    /// Records that the process runs. Call this more often than [`MAX_LAG`], so that a suspension is
    /// noticed.
    pub fn record_running(&mut self, now: Time) {
        if now.since(self.ran_at) > MAX_LAG {
            self.caught_up_at = now.after(MAX_LAG);
        }
        self.ran_at = self.ran_at.max(now);
    }

    /// Counts a request to `target` that was read from its caller at `at`, whether it has been sent or
    /// not; one that waits for capacity allows no retries in a window that begins after it was read.
    /// Requests that are read just after a suspension don't count: callers may have sent them long before.
    pub fn record_request(&mut self, target: &Arc<str>, at: Time) {
        self.record_running(at);
        if self.caught_up_at.passed(at) {
            self.for_target(target).record_request(at);
        }
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

    /// The fixed allowance of one of `instances` instances. It is 0 as long as their number was never
    /// known: a process that has just started knows too few, and all may have started with it.
    ///
    /// Instances that were removed within the window may have used their shares, so the largest
    /// number of instances within it counts.
    ///
    /// What an earlier process of the instance has spent within the window is not known. So the
    /// allowance of a process grows from nothing with its age until that is a window: processes
    /// that follow each other within a window get no more than [`YOUNG_SHARE`] together, whatever
    /// the one before them had.
    pub fn allowance(&mut self, instances: Option<u32>, now: Time) -> f64 {
        if let Some(instances) = instances {
            self.record_instances(instances, now);
        }
        let Some((_, most)) = self.counts.front() else { return 0.0 };
        let age = now.since(self.start).as_secs_f64() / self.window.as_secs_f64();
        let share = if age < 1.0 { YOUNG_SHARE * age } else { STEADY_SHARE };
        self.extra * share / f64::from(*most)
    }

    /// How far the budget of each target is used. `instances` is as in [`Self::allowance`].
    pub fn used(&mut self, instances: Option<u32>, now: Time) -> Vec<(Arc<str>, BudgetUse)> {
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
        &mut self.targets[at].1
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Slice {
    /// Position on the time line: time divided by the length of a slice.
    number: u64,
    /// Requests that were read in this slice.
    requests: u32,
    /// Retries that were sent in this slice.
    retries: u32,
}

/// Allows retries up to a ratio of the requests, plus this instance's share of a fixed allowance.
///
/// Invariant: the retries that reach replicas within any window are at most `ratio` times half of the
/// requests that callers sent in that window or in the one before it, plus the largest
/// allowance passed to [`RetryBudget::try_retry`]. Windows start at any time, so the sum over all
/// instances keeps the bound as well, however callers move between them. What a process has spent that
/// has ended is covered by its own requests.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    /// Length of a slice.
    slice_len: Duration,
    /// [`MAX_LAG`] in slices, rounded up.
    lag: u64,
    /// Oldest first, with strictly increasing numbers.
    slices: VecDeque<Slice>,
    /// Retries denied since `reported_at`.
    denied: u32,
    /// When denials were last reported.
    reported_at: Time,
}

impl RetryBudget {
    /// Creates a budget that allows `ratio` retries for each request within `window`.
    pub fn new(ratio: f64, window: Duration) -> Self {
        let slice_len = (window / SLICES as u32).max(Duration::from_millis(1));
        let lag = MAX_LAG.as_millis().div_ceil(slice_len.as_millis()) as u64;
        let (slices, denied, reported_at) = (VecDeque::new(), 0, Time(0));
        Self { ratio, slice_len, lag, slices, denied, reported_at }
    }

    /// Counts a request that was read from its caller at `at`.
    pub fn record_request(&mut self, at: Time) {
        let number = self.number(at);
        let index = self.slices.partition_point(|s| s.number < number);
        if self.slices.get(index).is_none_or(|s| s.number != number) {
            self.slices.insert(index, Slice { number, ..Slice::default() });
        }
        self.slices[index].requests += 1;
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
        let inside = || self.slices.iter().filter(|s| s.number + SLICES > newest);
        let requests = inside().map(|s| u64::from(s.requests)).sum();
        let retries = inside().map(|s| u64::from(s.retries)).sum();
        let left = self.earned(newest) + allowance;
        BudgetUse { requests, retries, left }
    }

    /// Retries that requests allow in slice `newest` besides those that were made: the fewest
    /// over all windows in which such a retry may arrive.
    fn earned(&self, newest: u64) -> f64 {
        // Sums over the slices before the one at each position; the first is `oldest`.
        let oldest = newest.saturating_sub(2 * SLICES);
        let mut sums = vec![(0, 0)];
        let mut slices = self.slices.iter().skip_while(|s| s.number < oldest).peekable();
        for number in oldest..=newest {
            let slice = slices.next_if(|s| s.number == number).copied().unwrap_or_default();
            let (requests, retries) = sums[sums.len() - 1];
            sums.push((requests + slice.requests, retries + slice.retries));
        }
        let sum = |number: u64| sums[(number.clamp(oldest, newest + 1) - oldest) as usize];
        let all = sum(newest + 1);
        // A window starts somewhere within its first slice, `start`.
        let left = (newest.saturating_sub(SLICES)..=newest + self.lag).map(|start| {
            let retries = all.1 - sum(start.saturating_sub(self.lag)).1;
            // The first slices of the window before are left out, whose requests may be older.
            let first = (start + 1 + self.lag).saturating_sub(SLICES);
            let requests = all.0 - sum(first).0;
            self.ratio * f64::from(requests) / 2.0 - f64::from(retries)
        });
        left.fold(f64::INFINITY, f64::min)
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

    fn number(&self, at: Time) -> u64 {
        at.0 / self.slice_len.as_millis() as u64
    }

    fn current_slice(&mut self, now: Time) -> &mut Slice {
        let number = self.number(now);
        // The window before one that ends now counts as well.
        while self.slices.front().is_some_and(|s| s.number + 2 * SLICES < number) {
            self.slices.pop_front();
        }
        let last = self.slices.back().map_or(0, |s| s.number);
        if self.slices.is_empty() || last < number {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        self.slices.back_mut().expect("slices is empty after a slice was pushed")
    }
}
