//! Messages between instances: encoding, authentication and transport.
//!
//! A [`Hub`] sends requests to peers and answers theirs through a [`Handler`]. Each message is
//! sealed with a key that all instances share; see [`seal`] for what that protects against.

mod codec;
mod connection;
mod error;
mod hub;
mod message;
pub mod seal;
mod server;
mod stats;

pub use crate::{
    codec::{decode, encode},
    error::{CodecError, WireError},
    hub::{Handler, Hub, Options},
    message::{MAX_CHANGES_BYTES, MAX_FRAME_BYTES, Message, fit},
    stats::Stats,
};
