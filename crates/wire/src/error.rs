//! Errors.

use std::{io, net::SocketAddr};

use ident::NameError;

use crate::MAX_FRAME_BYTES;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The binary encoding is invalid.
    #[error("the message does not decode; both ends must run compatible versions: {0}")]
    Postcard(#[from] postcard::Error),
    /// The JSON of a change is invalid.
    #[error("a change does not decode; both ends must run compatible versions: {0}")]
    Json(#[from] serde_json::Error),
    /// The name of an instance is invalid.
    #[error("the message holds a bad name: {0}")]
    Name(#[from] NameError),
    /// A numeric field has a value that this release does not know.
    #[error(
        "the message holds the unknown {field} {value}; both ends must run compatible versions"
    )]
    UnknownValue {
        /// The field.
        field: Field,
        /// Its value.
        value: u8,
    },
    /// The message carries more membership updates than [`member::MAX_NEWS`]; holds their number.
    #[error("the message carries {0} updates, more than a peer may send")]
    TooManyUpdates(usize),
}

/// A field of a message that holds a numeric code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Version of the message format.
    Version,
    /// State of a peer, see [`member::PeerState`].
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

/// Why a request to a peer failed, or why no peers can be served.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The listening socket for peers can't be opened.
    #[error("can't listen for peers on {addr}; check the setting of the peer address: {source}")]
    Bind {
        /// The address to listen on.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection to the peer could not be opened.
    #[error("can't connect to the peer at {addr}; it may be down: {source}")]
    Connect {
        /// Address of the peer.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The peer at this address did not answer in time; the connection was closed.
    #[error("the peer at {0} did not answer in time; retry over a new connection")]
    Timeout(SocketAddr),
    /// The connection failed before the response was complete.
    #[error("the connection to the peer failed; retry: {0}")]
    Http(#[from] hyper::Error),
    /// The peer answered with this HTTP status instead of 200: it rejected the request or has no
    /// response to it.
    #[error("the peer rejected the request with HTTP status {0}; check that both share the key")]
    Refused(u16),
    /// The response was not sealed by this peer for this request, or its seal is malformed.
    #[error("the response is not authentic; check that both instances share the deployment's key")]
    NotAuthentic,
    /// The request could not be encoded or the response could not be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The message is larger than [`MAX_FRAME_BYTES`]. Holds the size of a request in bytes, or the
    /// limit if a response is too large.
    #[error(
        "the message has {0} bytes, peers accept at most {MAX_FRAME_BYTES}; send fewer changes"
    )]
    TooLarge(usize),
}
