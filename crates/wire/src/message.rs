//! The messages.

use conf::Change;
use ident::Rev;
use member::{Ping, Pong};

use crate::codec::change_bytes;

/// Most bytes of the changes in one message.
pub const MAX_PAGE: usize = 64 * 1024;

/// Most bytes of a sealed message.
pub const MAX_FRAME: usize = MAX_PAGE + 1024;

/// A message between two instances.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Asks for a [`Message::Pong`].
    Ping(Ping),
    /// Answers a [`Message::Ping`].
    Pong(Pong),
    /// Asks for [`Message::Changes`].
    ChangesAsk {
        /// The asker's revision.
        after: Rev,
    },
    /// Consecutive changes that follow the asked revision; empty when there are none or when they
    /// are no longer held. Made with [`fit`].
    Changes {
        /// The changes.
        list: Vec<Change>,
    },
}

/// The longest prefix of `list` that one message takes.
pub fn fit(mut list: Vec<Change>) -> Vec<Change> {
    let mut size = 0;
    let mut fits = |change: &Change| {
        size += change_bytes(change);
        size <= MAX_PAGE
    };
    let len = list.iter().take_while(|&c| fits(c)).count();
    list.truncate(len);
    list
}
