//! Slots of the running batch, assigned by priority.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

#[derive(Debug)]
struct Waiter {
    priority: i64,
    seq: u64,
    sender: oneshot::Sender<Permit>,
}

/// Invariants: `waiting` is sorted by priority, then by arrival; `free` is 0 while a request waits.
#[derive(Debug)]
struct Inner {
    free: usize,
    seq: u64,
    waiting: Vec<Waiter>,
}

/// A fixed number of slots and the queue of requests that wait for one.
#[derive(Debug)]
pub struct Slots {
    inner: Mutex<Inner>,
    total: usize,
}

/// Right to use one slot; dropping it releases the slot. `None` means that it holds no slot.
#[derive(Debug)]
pub struct Permit(Option<Arc<Slots>>);

impl Slots {
    /// Creates `total` free slots.
    pub fn new(total: usize) -> Self {
        Self { inner: Mutex::new(Inner { free: total, seq: 0, waiting: Vec::new() }), total }
    }

    /// Number of slots in use.
    pub fn running(&self) -> usize {
        self.total - self.inner.lock().free
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        let mut inner = self.inner.lock();
        inner.waiting.retain(|w| !w.sender.is_closed());
        inner.waiting.len()
    }

    /// Takes a free slot or joins the queue. A lower priority value is served first. The receiver
    /// gets the permit.
    pub fn acquire(self: &Arc<Self>, priority: i64) -> oneshot::Receiver<Permit> {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.inner.lock();
        if inner.free > 0 {
            inner.free -= 1;
            drop(inner);
            // This cannot fail, because the receiver has not been dropped yet.
            let _ = sender.send(Permit(Some(self.clone())));
            return receiver;
        }
        inner.seq += 1;
        let seq = inner.seq;
        let at = inner.waiting.partition_point(|w| (w.priority, w.seq) <= (priority, seq));
        inner.waiting.insert(at, Waiter { priority, seq, sender });
        receiver
    }

    fn release(self: &Arc<Self>) {
        loop {
            let mut inner = self.inner.lock();
            if inner.waiting.is_empty() {
                inner.free += 1;
                return;
            }
            let next = inner.waiting.remove(0);
            drop(inner);
            match next.sender.send(Permit(Some(self.clone()))) {
                Ok(()) => return,
                // The waiting request was cancelled. Disarm the permit and try the next request.
                Err(mut permit) => permit.0 = None,
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(slots) = self.0.take() {
            slots.release();
        }
    }
}
