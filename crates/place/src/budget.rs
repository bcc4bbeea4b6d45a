//! The budget of repeated sends, split over the instances.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use ident::Time;

/// Parts that the window is counted in.
const SLICES: u64 = 20;

/// The budgets of all targets: requests to one target earn no repeats at another.
#[derive(Debug)]
pub struct Budgets {
    ratio: f64,
    window: Duration,
    /// Sorted by target.
    targets: Vec<(Arc<str>, Budget)>,
}

impl Budgets {
    /// Budgets of `ratio` repeats for each first send within `window`.
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self { ratio, window, targets: Vec::new() }
    }

    /// The budget of a target.
    pub fn of(&mut self, target: &Arc<str>) -> &mut Budget {
        let at = match self.targets.binary_search_by(|(name, _)| name.cmp(target)) {
            Ok(at) => at,
            Err(at) => {
                let budget = Budget::new(self.ratio, self.window);
                self.targets.insert(at, (target.clone(), budget));
                at
            }
        };
        &mut self.targets[at].1
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Slice {
    number: u64,
    first: u32,
    repeat: u32,
}

/// Allows repeats up to a ratio of the first sends within a sliding window, plus this instance's
/// share of a fixed allowance.
///
/// Invariant: within any window, the repeats allowed are at most `ratio` times the first sends of
/// that window plus the largest allowance asked with.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    slice: Duration,
    /// Oldest first, numbers strictly rising.
    slices: VecDeque<Slice>,
}

impl Budget {
    /// A budget of `ratio` repeats for each first send within `window`.
    pub fn new(ratio: f64, window: Duration) -> Self {
        let slice = (window / SLICES as u32).max(Duration::from_millis(1));
        Self { ratio, slice, slices: VecDeque::new() }
    }

    /// Counts a request's first send.
    pub fn first(&mut self, now: Time) {
        self.slice(now).first += 1;
    }

    /// Takes one repeat; `allowance` is this instance's share of the fixed part.
    pub fn repeat(&mut self, allowance: f64, now: Time) -> bool {
        self.slice(now);
        let (first, repeat) = self
            .slices
            .iter()
            .fold((0, 0), |(f, r), s| (f + u64::from(s.first), r + u64::from(s.repeat)));
        let allowed = self.ratio * first as f64 + allowance;
        if (repeat + 1) as f64 > allowed {
            return false;
        }
        self.slice(now).repeat += 1;
        true
    }

    fn slice(&mut self, now: Time) -> &mut Slice {
        let number = now.0 / self.slice.as_millis().max(1) as u64;
        // One slice more than the window holds, since its oldest is only partly inside.
        while self.slices.front().is_some_and(|s| s.number + SLICES < number) {
            self.slices.pop_front();
        }
        let last = self.slices.back().map_or(0, |s| s.number);
        if self.slices.is_empty() || last < number {
            self.slices.push_back(Slice { number, ..Slice::default() });
        }
        self.slices.back_mut().expect("a slice was pushed where there was none")
    }
}
