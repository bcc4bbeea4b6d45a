//! A caller: finds its instance, streams completions across broken connections, makes bookings.

mod assembly;
mod book;
mod problem;
mod stream;
mod whereabouts;

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use self::whereabouts::Known;
pub use self::{
    book::Booked,
    problem::{Problem, Ran},
    stream::{Answer, Completion},
};
use crate::{Http, HttpError};

/// Pause before the addresses are tried all over again.
const PAUSE: Duration = Duration::from_millis(100);

/// How a caller behaves.
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// `ip:port` of instances to ask for addresses at first.
    pub seeds: Vec<String>,
    /// API key of the caller's team.
    pub key: String,
    /// The caller's availability zone.
    pub zone: Option<String>,
    /// A stream that sends nothing for this long is given up.
    pub silence: Duration,
    /// An answer that has not begun after this time is given up.
    pub patience: Duration,
    /// A request that has no whole answer after this time is given up.
    pub limit: Duration,
}

/// Why a request has no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// A refusal or failure that repeating does not mend, or not before the deadline.
    #[error("{0}")]
    Problem(Box<Problem>),
    /// The deadline passed; the last connection failed like this.
    #[error("no whole answer before the deadline; at last: {0}")]
    Late(Box<HttpError>),
    /// The deadline passed and no instance named an address.
    #[error("no instance named an address before the deadline")]
    Nowhere,
    /// The system broke its promise: an event is missing, twice or out of order.
    #[error("event with offset {got} came in place of {want}")]
    Offset {
        /// The offset that had to come.
        want: u64,
        /// The offset that came.
        got: u64,
    },
    /// The system broke its promise: an event of another request came.
    #[error("event of request {got} in the answer to {want}")]
    Foreign {
        /// The caller's request.
        want: String,
        /// The other one.
        got: String,
    },
    /// The system broke its promise: an event cannot be read.
    #[error("unreadable event: {0}")]
    Event(String),
    /// The system broke its promise: the answer ended before its last token.
    #[error("the answer ended after {0} events without a finish reason")]
    Unfinished(u64),
}

impl CallError {
    /// Whether the system broke a promise, as opposed to refusing or being out of reach.
    pub fn broken_promise(&self) -> bool {
        !matches!(self, Self::Problem(_) | Self::Late(_) | Self::Nowhere)
    }
}

/// A caller of one team; shared by its concurrent requests.
pub struct Caller {
    config: CallerConfig,
    /// Replaced when a connection of it has failed, so that a silent one is never used again.
    http: Mutex<Http>,
    known: Mutex<Known>,
}

/// How one try ended without the whole answer.
enum Failure {
    /// The connection failed or went silent.
    Link(HttpError),
    /// The system refused, or failed and said so.
    Problem(Box<Problem>),
    /// Repeating makes no sense.
    Final(CallError),
}

impl From<HttpError> for Failure {
    fn from(error: HttpError) -> Self {
        Self::Link(error)
    }
}

impl Caller {
    /// A caller that knows its seeds only.
    pub fn new(config: CallerConfig) -> Self {
        let known = Mutex::new(Known::default());
        Self { config, http: Mutex::new(Http::new()), known }
    }

    fn http(&self) -> Http {
        self.http.lock().clone()
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.config.key)
    }

    /// Bounds a wait.
    async fn within<R, T>(&self, span: Duration, call: R, end: Instant) -> Result<T, HttpError>
    where
        R: Future<Output = Result<T, HttpError>>,
    {
        let limit = span.min(end.saturating_duration_since(Instant::now()));
        let answer = tokio::time::timeout(limit, call).await;
        answer.unwrap_or(Err(HttpError::Silent(limit)))
    }

    /// Decides what follows a failed try: returns to repeat at the next address, or the error.
    async fn after(&self, failure: Failure, end: Instant) -> Result<(), CallError> {
        match failure {
            Failure::Final(error) => Err(error),
            Failure::Link(error) => {
                *self.http.lock() = Http::new();
                if Instant::now() + PAUSE >= end {
                    return Err(CallError::Late(Box::new(error)));
                }
                Ok(())
            }
            Failure::Problem(problem) => {
                let wait = advice(&problem).filter(|w| Instant::now() + *w < end);
                let Some(wait) = wait else { return Err(CallError::Problem(problem)) };
                tokio::time::sleep(wait).await;
                Ok(())
            }
        }
    }
}

/// How long to wait before another try; `None` when that is useless.
fn advice(problem: &Problem) -> Option<Duration> {
    let elsewhere = ["stale", "not-ready", "bad-handle"].iter().any(|name| problem.is(name));
    problem.retry.or(elsewhere.then_some(PAUSE))
}
