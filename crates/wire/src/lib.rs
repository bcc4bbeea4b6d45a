//! Messages between instances: encoding, authentication, and their way over the network.
//!
//! A [`Hub`] answers the questions of peers through a [`Handler`] and asks peers questions. Each
//! message is sealed with a key that all instances share; see [`seal`] for what that covers.

mod codec;
mod error;
mod hub;
mod link;
mod message;
pub mod seal;
mod server;
mod stats;

pub use crate::{
    codec::{decode, encode},
    error::{CodecError, WireError},
    hub::{Handler, Hub, Options},
    message::{MAX_FRAME, MAX_PAGE, Message, fit},
    stats::Stats,
};
