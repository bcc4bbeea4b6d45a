//! A client of lentilpitch: finds its instance, resumes completions after broken connections, and
//! calls services.

mod addresses;
mod assembly;
mod problem;
mod service;
mod stream;

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use self::addresses::AddressCache;
pub use self::{
    problem::{Problem, Ran},
    service::Booked,
    stream::{Answer, Completion},
};
use crate::{Http, HttpError};

/// Pause before the addresses are tried again from the first one.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// `ip:port` of the instances that are asked for addresses first.
    pub seeds: Vec<String>,
    /// API key of the caller's team.
    pub key: String,
    /// Availability zone of the caller; `None` names none to the instances.
    pub zone: Option<String>,
    /// Longest wait for the next bytes of a stream, and for the answer to a query.
    pub silence: Duration,
    /// Longest wait for the start of a stream, or for the complete answer of a service.
    pub patience: Duration,
    /// Longest time for a request, all attempts included.
    pub limit: Duration,
}

/// A request that got no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The system refused or failed, and a retry is useless or not possible before the deadline.
    #[error("{0}")]
    Problem(Box<Problem>),
    /// The deadline passed; holds the error of the last connection.
    #[error("no whole answer before the deadline; at last: {0}")]
    TimedOut(Box<HttpError>),
    /// The deadline passed and no instance returned an address.
    #[error("no instance named an address before the deadline")]
    NoAddress,
    /// Protocol violation: an event is missing, repeated or out of order.
    #[error("event with offset {got} came in place of {want}")]
    UnexpectedOffset {
        /// Expected offset.
        want: u64,
        /// Received offset.
        got: u64,
    },
    /// Protocol violation: an event belongs to another request.
    #[error("event of request {got} in the answer to {want}")]
    WrongRequest {
        /// Identifier of the request in the events before.
        want: String,
        /// Identifier of the request in this event.
        got: String,
    },
    /// Protocol violation: an event can't be parsed.
    #[error("unreadable event: {0}")]
    MalformedEvent(String),
    /// Protocol violation: the answer ended before its last token; holds the number of events.
    #[error("the answer ended after {0} events without a finish reason")]
    Unfinished(u64),
}

impl CallError {
    /// Whether the system violated its protocol, rather than refused or could not be reached.
    pub fn broken_promise(&self) -> bool {
        !matches!(self, Self::Problem(_) | Self::TimedOut(_) | Self::NoAddress)
    }
}

/// Client with the key of one team; shared by concurrent requests.
pub struct Caller {
    config: CallerConfig,
    /// Replaced after a connection failed, so that a connection that hangs is never used again.
    http: Mutex<Http>,
    addresses: Mutex<AddressCache>,
}

/// An attempt that got no complete answer.
enum Failure {
    /// The connection failed or timed out.
    Link(HttpError),
    /// The system refused or reported a failure.
    Problem(Box<Problem>),
    /// A retry is useless.
    Final(CallError),
}

impl From<HttpError> for Failure {
    fn from(error: HttpError) -> Self {
        Self::Link(error)
    }
}

impl Caller {
    /// Creates a caller without known addresses.
    pub fn new(config: CallerConfig) -> Self {
        let addresses = Mutex::new(AddressCache::default());
        Self { config, http: Mutex::new(Http::new()), addresses }
    }

    fn http(&self) -> Http {
        self.http.lock().clone()
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.config.key)
    }

    /// Waits for `call`, at most for `timeout` and until `deadline`.
    async fn within<R, T>(
        &self,
        timeout: Duration,
        call: R,
        deadline: Instant,
    ) -> Result<T, HttpError>
    where
        R: Future<Output = Result<T, HttpError>>,
    {
        let limit = timeout.min(deadline.saturating_duration_since(Instant::now()));
        let answer = tokio::time::timeout(limit, call).await;
        answer.unwrap_or(Err(HttpError::Silent(limit)))
    }

    /// Decides whether to retry after a failed attempt. Returns after the pause before the
    /// retry, or with the error of the request.
    async fn prepare_retry(&self, failure: Failure, deadline: Instant) -> Result<(), CallError> {
        match failure {
            Failure::Final(error) => Err(error),
            Failure::Link(error) => {
                *self.http.lock() = Http::new();
                if Instant::now() + RETRY_DELAY >= deadline {
                    return Err(CallError::TimedOut(Box::new(error)));
                }
                Ok(())
            }
            Failure::Problem(problem) => {
                let wait = retry_delay(&problem).filter(|w| Instant::now() + *w < deadline);
                let Some(wait) = wait else { return Err(CallError::Problem(problem)) };
                tokio::time::sleep(wait).await;
                Ok(())
            }
        }
    }
}

/// Pause before a retry; `None` if a retry is useless.
fn retry_delay(problem: &Problem) -> Option<Duration> {
    let other_instance = ["stale", "not-ready", "bad-handle"].iter().any(|name| problem.is(name));
    problem.retry.or(other_instance.then_some(RETRY_DELAY))
}
