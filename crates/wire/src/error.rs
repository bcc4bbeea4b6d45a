//! Failures.

use std::{io, net::SocketAddr};

use ident::NameError;

use crate::MAX_FRAME;

/// Why bytes are not a message.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The bytes do not decode.
    #[error("the message does not decode; both ends must run compatible versions: {0}")]
    Postcard(#[from] postcard::Error),
    /// A change does not decode.
    #[error("a change does not decode; both ends must run compatible versions: {0}")]
    Json(#[from] serde_json::Error),
    /// A name is not valid.
    #[error("the message holds a bad name: {0}")]
    Name(#[from] NameError),
    /// A number stands for no known value.
    #[error("the message holds the unknown {what} {got}; both ends must run compatible versions")]
    Unknown {
        /// What the number should be.
        what: Field,
        /// The number.
        got: u8,
    },
    /// More news than a message may carry.
    #[error("the message carries {0} news, more than a peer may send")]
    News(usize),
}

/// A numbered field of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Version of the format.
    Version,
    /// State of a peer.
    State,
}

impl std::fmt::Display for Field {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Version => "version",
            Self::State => "state",
        })
    }
}

/// Why a question was not answered.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The peer socket can't be opened.
    #[error("can't listen for peers on {addr}; check the setting of the peer address: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// No connection to the peer.
    #[error("can't connect to the peer at {addr}; it may be down: {source}")]
    Connect {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The peer did not answer in time; the connection was dropped.
    #[error("the peer at {0} did not answer in time; ask again over a new connection")]
    Timeout(SocketAddr),
    /// The connection failed.
    #[error("the connection to the peer failed; ask again: {0}")]
    Http(#[from] hyper::Error),
    /// The peer refused the question or has no answer.
    #[error("the peer refused the question with HTTP status {0}; check that both share the key")]
    Refused(u16),
    /// The answer is not sealed by the peer, for this question.
    #[error("the answer is not authentic; check that both instances share the deployment's key")]
    Forged,
    /// The answer does not decode.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The message is larger than peers take.
    #[error("the message has {0} bytes, peers take at most {MAX_FRAME}; send fewer changes")]
    TooLarge(usize),
}
