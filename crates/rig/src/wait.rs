//! Polls until a state is reached.

use std::time::Duration;

use tokio::time::Instant;

/// Pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A state was not reached in time.
#[derive(Debug, Clone, thiserror::Error)]
#[error("timed out after {timeout:?} waiting for {what}")]
pub struct Timeout {
    what: String,
    timeout: Duration,
}

/// Calls `poll` until it returns a value, at most for `timeout`. `what` names the state in
/// the error.
pub async fn wait_for<F, R, T>(what: &str, timeout: Duration, mut poll: F) -> Result<T, Timeout>
where
    F: FnMut() -> R,
    R: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + timeout;
    loop {
        if let Ok(Some(value)) = tokio::time::timeout_at(deadline, poll()).await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(Timeout { what: what.to_owned(), timeout });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
