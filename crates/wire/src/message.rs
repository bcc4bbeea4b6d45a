//! The messages that instances exchange.

use conf::Change;
use ident::Rev;
use member::{Ping, Pong};

use crate::codec::change_bytes;

/// Largest encoded size of the changes in one message, in bytes.
pub const MAX_CHANGES_BYTES: usize = 64 * 1024;

/// Largest size of a sealed message, in bytes.
pub const MAX_FRAME_BYTES: usize = MAX_CHANGES_BYTES + 1024;

/// A message between two instances.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Heartbeat request; the response is a [`Message::Pong`].
    Ping(Ping),
    /// Response to a [`Message::Ping`].
    Pong(Pong),
    /// Requests configuration changes; the response is [`Message::Changes`].
    ChangesAsk {
        /// Latest revision that the requesting instance has.
        after: Rev,
    },
    /// Consecutive changes that follow the requested revision. Empty when there are none or when
    /// the peer no longer holds them. Use [`fit`] to limit the list to one message.
    Changes {
        /// The changes, in order of their revisions.
        list: Vec<Change>,
    },
}

/// Returns the longest prefix of `list` whose encoded size is at most [`MAX_CHANGES_BYTES`].
pub fn fit(mut list: Vec<Change>) -> Vec<Change> {
    let mut size = 0;
    let mut fits = |change: &Change| {
        size += change_bytes(change);
        size <= MAX_CHANGES_BYTES
    };
    let len = list.iter().take_while(|&c| fits(c)).count();
    list.truncate(len);
    list
}
