//! The registered instances, as far as an instance can rely on its knowledge of them.

use std::{sync::Arc, time::Duration};

use ident::{Time, rendezvous_order};

/// How long an earlier list of instances still restricts what this instance sends. It is longer than
/// the 5 s within which all instances that reach the registry or a peer learn of a change.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Time after which the first list counts. Instances that start together may lack each other; those
/// that start again find their own earlier entries.
const FIRST_SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Position of an instance that is not listed.
const UNLISTED: usize = usize::MAX;

/// The registered instances, among which a rate is divided.
///
/// Unlike [`crate::Peers`] it does not depend on who is heard: the share of an instance that is
/// silent is lost, since two groups of instances that don't hear each other would both use it.
/// Shares that grow with a change of the list grow only [`SETTLE_TIME`] later, when the instances
/// from which they are taken know of the change. Shares that shrink do so at once.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// Name of this instance.
    own: Arc<str>,
    /// Names of the registered instances. Sorted.
    names: Vec<Arc<str>>,
    /// Earlier lists, and until when each counts.
    past: Vec<(Vec<Arc<str>>, Time)>,
    /// Number of changes of `names` and `past`.
    pub(crate) rev: u64,
}

/// Where an instance stands among those that divide a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// The last of its positions in the rendezvous orders of all lists that count.
    pub(crate) rank: usize,
    /// The largest number of instances in these lists.
    pub(crate) count: usize,
}

impl Roster {
    /// Sets the registered instances, whose names must be sorted. The first list counts only after
    /// [`FIRST_SETTLE_TIME`].
    pub(crate) fn set(&mut self, own: &Arc<str>, names: Vec<Arc<str>>, now: Time) {
        let expired = self.past.iter().any(|(_, until)| until.passed(now));
        self.past.retain(|(_, until)| !until.passed(now));
        let changed = names != self.names || *own != self.own;
        if changed {
            let old = std::mem::replace(&mut self.names, names);
            let settle = if self.rev == 0 { FIRST_SETTLE_TIME } else { SETTLE_TIME };
            self.past.push((old, now.after(settle)));
            self.own = own.clone();
        }
        self.rev += u64::from(changed || expired);
    }

    /// The place of this instance for `key`.
    pub(crate) fn place(&self, key: &str) -> Place {
        let lists = || self.past.iter().map(|(names, _)| names).chain([&self.names]);
        let rank = |names: &Vec<Arc<str>>| {
            let order = rendezvous_order(key.as_bytes(), names, |name| name);
            order.into_iter().position(|name| *name == self.own).unwrap_or(UNLISTED)
        };
        Place {
            rank: lists().map(rank).max().unwrap_or(UNLISTED),
            count: lists().map(Vec::len).max().unwrap_or(0),
        }
    }
}
