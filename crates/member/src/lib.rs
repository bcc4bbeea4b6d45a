//! Which instances there are, which of them callers are told to use, and whether this instance may
//! trust its configuration.
//!
//! [`Members`] takes the platform's list, peers' messages and the time, and returns [`Action`]s.
//! It does no I/O and draws no random numbers.

mod answer;
mod config;
mod drain;
mod fresh;
mod members;
mod message;
mod news;
mod peer;
mod probe;
mod ring;

pub use crate::{
    answer::{Address, Answer, Place},
    config::{
        ADDRESS_TERM, CONFIRM_TERM, Config, DEGREE, HEARD_TERM, MAX_ADDRESSES, MAX_NEWS, MESH_MAX,
        PING_GAP, PROBE_INTERVAL, SPREAD_TERM,
    },
    fresh::Freshness,
    members::{Action, Members},
    message::{News, Ping, Pong, Status},
    peer::{Entry, Me, Peer, PeerState},
};
