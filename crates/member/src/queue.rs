//! Updates that wait to be sent to peers.

use ident::Name;

use crate::{MAX_UPDATES, PeerUpdate};

/// An update with the number of messages that carried it so far.
#[derive(Debug)]
struct QueuedUpdate {
    sent: u32,
    update: PeerUpdate,
}

/// The latest update about each instance. Each update is sent a limited number of times.
///
/// Invariant: sorted by name, at most one item for each instance.
#[derive(Debug, Default)]
pub(crate) struct Queue(Vec<QueuedUpdate>);

impl Queue {
    /// Adds an update, which replaces an earlier one about the same instance.
    pub(crate) fn push(&mut self, update: PeerUpdate) {
        let item = QueuedUpdate { sent: 0, update };
        match self.0.binary_search_by(|i| i.update.name.cmp(&item.update.name)) {
            Ok(at) => self.0[at] = item,
            Err(at) => self.0.insert(at, item),
        }
    }

    /// Adds an update unless one about the same instance is queued.
    pub(crate) fn push_if_absent(&mut self, update: PeerUpdate) {
        if self.0.binary_search_by(|i| i.update.name.cmp(&update.name)).is_err() {
            self.push(update);
        }
    }

    /// Takes up to [`MAX_UPDATES`] updates for one message to `to`: `first`, then those that were
    /// sent least often. An update is dropped after `limit` messages.
    pub(crate) fn take(
        &mut self,
        to: &Name,
        limit: u32,
        first: Option<PeerUpdate>,
    ) -> Vec<PeerUpdate> {
        let mut updates: Vec<_> = first.into_iter().collect();
        let mut order: Vec<_> = (0..self.0.len()).collect();
        order.sort_by_key(|&i| self.0[i].sent);
        for i in order {
            if updates.len() == MAX_UPDATES {
                break;
            }
            let item = &mut self.0[i];
            if item.update.name != *to {
                item.sent += 1;
                updates.push(item.update.clone());
            }
        }
        self.0.retain(|i| i.sent < limit);
        assert!(updates.len() <= MAX_UPDATES, "a message has too many updates");
        updates
    }

    /// Drops the update about `name`.
    pub(crate) fn remove(&mut self, name: &Name) {
        self.0.retain(|i| i.update.name != *name);
    }
}
