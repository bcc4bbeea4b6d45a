//! Test harness: starts and stops the processes of a deployment, and has a client for them.

mod caller;
mod deployment;
mod http;
mod instance;
mod platform;
mod proc;
mod wait;

pub use crate::{
    caller::{Answer, Booked, CallError, Caller, CallerConfig, Completion, Problem, Ran},
    deployment::{Deployment, Entry, OPERATOR_KEY, STATE_LIMIT, Spec},
    http::{EventReader, Http, HttpError, Reply, SseEvent},
    instance::{Instance, Place},
    platform::Platform,
    proc::{Proc, RigError, Signal, free_addr, host, program},
    wait::{Timeout, wait_for},
};
