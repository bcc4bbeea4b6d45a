//! Waits for a state.

use std::time::Duration;

use tokio::time::Instant;

/// Pause between two looks at a state.
const PAUSE: Duration = Duration::from_millis(20);

/// A state was not reached.
#[derive(Debug, Clone, thiserror::Error)]
#[error("waited {limit:?} in vain for: {what}")]
pub struct Timeout {
    what: String,
    limit: Duration,
}

/// Calls `look` until it returns a value, at most `limit` long.
pub async fn wait_for<F, R, T>(what: &str, limit: Duration, mut look: F) -> Result<T, Timeout>
where
    F: FnMut() -> R,
    R: Future<Output = Option<T>>,
{
    let end = Instant::now() + limit;
    loop {
        if let Ok(Some(value)) = tokio::time::timeout_at(end, look()).await {
            return Ok(value);
        }
        if Instant::now() >= end {
            return Err(Timeout { what: what.to_owned(), limit });
        }
        tokio::time::sleep(PAUSE).await;
    }
}
