//! Slots of a running batch, given out by priority.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

#[derive(Debug)]
struct Waiter {
    priority: i64,
    seq: u64,
    sender: oneshot::Sender<Permit>,
}

/// Invariants: `waiting` is sorted by priority, then arrival; while a caller waits, `free` is 0.
#[derive(Debug)]
struct Inner {
    free: usize,
    seq: u64,
    waiting: Vec<Waiter>,
}

/// A fixed number of slots and the callers that wait for one.
#[derive(Debug)]
pub struct Slots {
    inner: Mutex<Inner>,
    total: usize,
}

/// A slot held until dropped.
#[derive(Debug)]
pub struct Permit(Option<Arc<Slots>>);

impl Slots {
    /// `total` free slots.
    pub fn new(total: usize) -> Self {
        Self { inner: Mutex::new(Inner { free: total, seq: 0, waiting: Vec::new() }), total }
    }

    /// Number of slots in use.
    pub fn running(&self) -> usize {
        self.total - self.inner.lock().free
    }

    /// Number of callers that wait.
    pub fn waiting(&self) -> usize {
        let mut inner = self.inner.lock();
        inner.waiting.retain(|w| !w.sender.is_closed());
        inner.waiting.len()
    }

    /// Takes a free slot or joins the queue; lower priorities go first.
    pub fn enter(self: &Arc<Self>, priority: i64) -> oneshot::Receiver<Permit> {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.inner.lock();
        if inner.free > 0 {
            inner.free -= 1;
            drop(inner);
            // The receiver is still here, so this cannot fail.
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
                // The waiter has gone: disarm the permit and ask the next one.
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
