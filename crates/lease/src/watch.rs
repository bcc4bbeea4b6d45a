//! How long foreign leases have been seen unchanged.

use std::{sync::Arc, time::Duration};

use ident::Time;

/// A watcher waits a term and one part in this many more, for clocks that run at different rates.
const RATE_MARGIN: u32 = 16;

#[derive(Debug)]
struct Watch {
    sort: Arc<str>,
    version: u64,
    /// The row is free to be taken from this point on, if it stays at `version`.
    free: Time,
}

/// One watch for each row seen. Sorted by sort key.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    list: Vec<Watch>,
}

impl Watches {
    /// Notes that the row was seen at `version` and returns when it will have been unchanged for
    /// long enough.
    pub(crate) fn free_at(
        &mut self,
        sort: &Arc<str>,
        version: u64,
        term: Duration,
        now: Time,
    ) -> Time {
        let free = now.after(term).after(term / RATE_MARGIN);
        match self.list.binary_search_by(|w| w.sort.cmp(sort)) {
            Ok(at) if self.list[at].version == version => self.list[at].free,
            Ok(at) => {
                self.list[at] = Watch { sort: sort.clone(), version, free };
                free
            }
            Err(at) => {
                self.list.insert(at, Watch { sort: sort.clone(), version, free });
                free
            }
        }
    }
}
