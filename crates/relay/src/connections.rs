//! The connections of a listener, and which one is closed when there are too many.
//!
//! The load it handles: clients that open many connections and send nothing, or a head that never
//! ends, beside clients that keep a connection between requests. One that never brought a request is
//! closed before one that did, then the one that has been idle longest. A connection with a request in
//! progress is never closed for another.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};
use ident::{Clock, Time};
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use tokio::{sync::Notify, time::sleep};

use crate::{
    answer::{AbortedBody, Body},
    unread::{Unread, Unsent},
};

/// Parts in which an answer in memory is given to its connection, which buffers about as much. Shorter
/// answers are given whole.
const PART_BYTES: usize = 16 * 1024;

struct Entry {
    id: u64,
    /// When it began to wait for a request; `None` while one is in progress.
    idle_since: Option<Time>,
    /// Whether it brought a request.
    has_served: bool,
    /// Whether it is being closed for another.
    is_closing: bool,
    close: Arc<Notify>,
}

/// The connections of a listener.
pub(crate) struct Connections {
    max: usize,
    /// Sorted by id, since ids rise.
    open: Mutex<(u64, Vec<Entry>)>,
    /// Wakes the listener when a connection ended or became idle.
    changed: Notify,
    clock: Arc<dyn Clock>,
    rejected: IntCounterVec,
}

impl Connections {
    pub(crate) fn new(max: usize, clock: Arc<dyn Clock>, rejected: IntCounterVec) -> Arc<Self> {
        let (open, changed) = (Mutex::default(), Notify::new());
        Arc::new(Self { max, open, changed, clock, rejected })
    }

    /// Waits until there is a place for one more connection. An idle one is closed for it.
    pub(crate) async fn enter(self: &Arc<Self>) -> Arc<Slot> {
        loop {
            if let Some(slot) = self.try_enter() {
                return slot;
            }
            self.changed.notified().await;
        }
    }

    fn try_enter(self: &Arc<Self>) -> Option<Arc<Slot>> {
        let mut open = self.open.lock();
        let (next, entries) = &mut *open;
        if entries.len() < self.max {
            let (id, close) = (*next, Arc::new(Notify::new()));
            *next += 1;
            entries.push(Entry {
                id,
                idle_since: Some(self.clock.now()),
                has_served: false,
                is_closing: false,
                close: close.clone(),
            });
            let abort = Arc::default();
            let (head, head_begun) = (Mutex::new(Head::Awaited), Notify::new());
            return Some(Arc::new(Slot { list: self.clone(), id, close, abort, head, head_begun }));
        }
        if !entries.iter().any(|e| e.is_closing) {
            let idle = entries.iter_mut().filter(|e| e.idle_since.is_some());
            if let Some(victim) = idle.min_by_key(|e| (e.has_served, e.idle_since)) {
                victim.is_closing = true;
                victim.close.notify_one();
                self.rejected.with_label_values(&["connection_idle"]).inc();
            }
        }
        None
    }

    fn update<F>(&self, id: u64, change: F)
    where
        F: FnOnce(&mut Entry),
    {
        let entries = &mut self.open.lock().1;
        if let Ok(at) = entries.binary_search_by_key(&id, |e| e.id) {
            change(&mut entries[at]);
        }
    }
}

/// The place of one connection, until it is dropped.
pub(crate) struct Slot {
    list: Arc<Connections>,
    id: u64,
    close: Arc<Notify>,
    abort: Arc<Notify>,
    head: Mutex<Head>,
    /// Wakes the connection when the first byte of a head was read.
    head_begun: Notify,
}

/// What was read of the head of a connection's next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Head {
    /// Nothing.
    Awaited,
    /// A part. The first byte was read at this time.
    Begun(Time),
    /// All of it; the request is in progress.
    Complete,
}

impl Slot {
    /// Records that bytes were read from the connection.
    pub(crate) fn record_read(&self) {
        let mut head = self.head.lock();
        if *head == Head::Awaited {
            *head = Head::Begun(self.list.clock.now());
            self.head_begun.notify_one();
        }
    }

    /// Completes when a head is not complete `limit` after its first byte.
    pub(crate) async fn head_overdue(&self, limit: Duration) {
        loop {
            let begun = *self.head.lock();
            let Head::Begun(at) = begun else {
                self.head_begun.notified().await;
                continue;
            };
            let left = at.after(limit).since(self.list.clock.now());
            if left.is_zero() {
                self.list.rejected.with_label_values(&["slow_head"]).inc();
                return;
            }
            sleep(left).await;
        }
    }

    /// Completes when the connection must end although its answer is not written.
    pub(crate) async fn must_abort(&self) {
        self.abort.notified().await;
    }

    /// Completes when the connection must end for another.
    pub(crate) async fn must_close(&self) {
        self.close.notified().await;
    }

    /// Whether a request is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        let mut is_busy = false;
        self.list.update(self.id, |e| is_busy = e.idle_since.is_none());
        is_busy
    }

    /// Whether the connection brought a request.
    pub(crate) fn has_served(&self) -> bool {
        let mut has_served = false;
        self.list.update(self.id, |e| has_served = e.has_served);
        has_served
    }

    /// Records that a request is in progress until the guard is dropped.
    pub(crate) fn busy(self: &Arc<Self>) -> Busy {
        self.list.update(self.id, |e| (e.idle_since, e.has_served) = (None, true));
        *self.head.lock() = Head::Complete;
        Busy(self.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let entries = &mut self.list.open.lock().1;
        if let Ok(at) = entries.binary_search_by_key(&self.id, |e| e.id) {
            entries.remove(at);
        }
        self.list.changed.notify_one();
    }
}

/// A request in progress on a connection.
pub(crate) struct Busy(Arc<Slot>);

impl Busy {
    /// Keeps the guard until the body is written or dropped. A long body that is in memory is counted
    /// in `unread`.
    pub(crate) fn until_end(self, body: Body, unread: &Arc<Unread>) -> Body {
        let bytes = body.size_hint().exact().unwrap_or(0) as usize;
        let abort = self.0.abort.clone();
        let unsent = (bytes > PART_BYTES).then(|| unread.hold(bytes, abort));
        Guarded { body, rest: Bytes::new(), unsent, _busy: self }.boxed_unsync()
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let list = &self.0.list;
        let now = list.clock.now();
        *self.0.head.lock() = Head::Awaited;
        list.update(self.0.id, |e| e.idle_since = Some(now));
        list.changed.notify_one();
    }
}

struct Guarded {
    body: Body,
    /// What was taken of `body` and not given to the connection.
    rest: Bytes,
    /// Set where the whole body is in memory.
    unsent: Option<Unsent>,
    _busy: Busy,
}

impl hyper::body::Body for Guarded {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        let Some(unsent) = &self.unsent else { return Pin::new(&mut self.body).poll_frame(cx) };
        unsent.record_taken();
        if self.rest.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => self.rest = frame.into_data().unwrap_or_default(),
                other => return Poll::Ready(other),
            }
        }
        // A part that shared the answer's memory would keep all of it.
        let len = self.rest.len().min(PART_BYTES);
        let part = Bytes::copy_from_slice(&self.rest.split_to(len));
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = self.body.size_hint();
        if let (Some(left), Some(_)) = (hint.exact(), &self.unsent) {
            hint.set_exact(left + self.rest.len() as u64);
        }
        hint
    }
}
