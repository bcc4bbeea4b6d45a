//! Starts and stops the processes of a test and talks to them; a small caller.

mod http;
mod instance;
mod platform;
mod proc;
mod wait;

pub use crate::{
    http::{EventReader, Http, HttpError, Reply, SseEvent},
    instance::{Instance, Place},
    platform::Platform,
    proc::{Proc, RigError, Signal, free_port},
    wait::{Timeout, wait_for},
};
