//! Limit on informational answers (1xx) before an answer.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use hyper::{Request, ext::on_informational};
use tokio::sync::Notify;

/// Most informational answers to one request. hyper reads them without an end.
const MAX_INFORMATIONAL: u32 = 64;

/// Counts the informational answers to a request.
#[derive(Debug, Clone)]
pub struct InformationalLimit(Arc<Notify>);

/// The error of an answer that does not come, only informational ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("more than {MAX_INFORMATIONAL} informational answers came in place of an answer")]
pub struct TooManyInformational;

impl InformationalLimit {
    /// Limits the informational answers to `request`.
    pub fn new<B>(request: &mut Request<B>) -> Self {
        let exceeded = Arc::new(Notify::new());
        let (count, notify) = (AtomicU32::new(0), exceeded.clone());
        on_informational(request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
                notify.notify_one();
            }
        });
        Self(exceeded)
    }

    /// Awaits an answer unless more informational ones come first. The connection must be closed
    /// after the error.
    pub async fn within<F>(&self, answer: F) -> Result<F::Output, TooManyInformational>
    where
        F: Future,
    {
        tokio::select! {
            answer = answer => Ok(answer),
            () = self.0.notified() => Err(TooManyInformational),
        }
    }
}
