//! How long the rows of other holders have been observed unchanged.

use std::{sync::Arc, time::Duration};

use ident::Time;
use table::Version;

/// An observer waits the lease duration plus this fraction of it (one sixteenth), because the
/// clocks of two instances may run at different rates.
const CLOCK_MARGIN_DIVISOR: u32 = 16;

/// When a lease of `duration` has certainly expired, if its holder last renewed it before `since`.
pub(crate) fn free_at(since: Time, duration: Duration) -> Time {
    since.after(duration).after(duration / CLOCK_MARGIN_DIVISOR)
}

#[derive(Debug)]
struct Observation {
    sort: Arc<str>,
    version: Version,
    /// From this point on the row may be taken over, if it is still at `version`.
    free_at: Time,
}

/// One observation for each row seen. The list is sorted by sort key.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    list: Vec<Observation>,
}

impl Observations {
    /// Records that the row was seen at `version` and returns when it may be taken over, if it does
    /// not change.
    pub(crate) fn observe(
        &mut self,
        sort: &Arc<str>,
        version: Version,
        duration: Duration,
        now: Time,
    ) -> Time {
        let free_at = free_at(now, duration);
        match self.list.binary_search_by(|w| w.sort.cmp(sort)) {
            Ok(at) if self.list[at].version == version => self.list[at].free_at,
            Ok(at) => {
                self.list[at] = Observation { sort: sort.clone(), version, free_at };
                free_at
            }
            Err(at) => {
                self.list.insert(at, Observation { sort: sort.clone(), version, free_at });
                free_at
            }
        }
    }
}
