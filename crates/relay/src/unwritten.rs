//! Answers that are not yet written to their connections.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use parking_lot::Mutex;

use crate::{
    answer::{AbortedBody, Body},
    job::ActiveGuard,
};

/// Requests whose answers a connection has taken but not written to its socket. Clones share the
/// list.
#[derive(Clone, Default)]
pub(crate) struct Unwritten(Arc<Mutex<Vec<ActiveGuard>>>);

impl Unwritten {
    /// Ends the requests: the connection has written all that it has taken.
    pub(crate) fn written(&self) {
        let guards = std::mem::take(&mut *self.0.lock());
        drop(guards);
    }
}

/// The body of an answer. Its request is in progress until the connection has written it.
pub(crate) struct CountedBody {
    body: Body,
    unwritten: Unwritten,
    /// `None` where nobody waits for the end of the request.
    request: Option<ActiveGuard>,
}

impl CountedBody {
    /// A body of the request that `request` counts, on the connection of `unwritten`.
    pub(crate) fn new(body: Body, request: Option<ActiveGuard>, unwritten: Unwritten) -> Self {
        Self { body, unwritten, request }
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        // The connection drops a body when it has taken its last bytes, before it writes them.
        self.unwritten.0.lock().extend(self.request.take());
    }
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
