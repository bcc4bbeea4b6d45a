//! Reads request bodies within the memory for them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use ident::{Clock, Time};
use parking_lot::Mutex;
use prometheus::{IntCounterVec, IntGauge};
use tokio::{sync::Notify, time::timeout};
use tracing::info;

use crate::{
    answer::Refusal,
    body_budget::{BodyBudget, Grow, WAIT_TIMEOUT},
    metrics::Metrics,
    unread::Unread,
};

/// Memory reserved for a body's first bytes.
const FIRST_BYTES: usize = 4 * 1024;
/// Memory reserved at a time after that.
const STEP_BYTES: usize = 32 * 1024;
/// Bodies up to this length are in the heap.
const HEAP_BYTES: usize = FIRST_BYTES + STEP_BYTES;
/// Address space for a longer body. glibc never takes more than 32 MiB from the heap but maps it: pages
/// without data take no memory, and all are returned at once, which a fragmented heap does not do.
const MAPPED_BYTES: usize = 33 * 1024 * 1024;
/// Answers that clients don't read may take one part in this many of the memory for bodies.
const UNREAD_DIVISOR: usize = 4;
/// Shortest time between two log lines about bodies that are given up.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The memory for request bodies.
pub struct Bodies {
    budget: Mutex<BodyBudget>,
    /// Wakes bodies that wait for memory when some was released.
    freed: Notify,
    /// Wakes all bodies when some are given up.
    given_up: Notify,
    clock: Arc<dyn Clock>,
    /// Answers in memory.
    pub(crate) unread: Arc<Unread>,
    held: IntGauge,
    rejected: IntCounterVec,
    /// When bodies that were given up were last logged, and how many since.
    logged: Mutex<(Time, u64)>,
}

impl Bodies {
    /// Memory of `bytes`, of which nothing is held.
    pub(crate) fn new(bytes: usize, clock: Arc<dyn Clock>, metrics: &Metrics) -> Arc<Self> {
        let rejected = metrics.rejected_clients.clone();
        let unread = Unread::new(bytes / UNREAD_DIVISOR, clock.clone(), rejected.clone());
        Arc::new(Self {
            unread,
            budget: Mutex::new(BodyBudget::new(bytes)),
            freed: Notify::new(),
            given_up: Notify::new(),
            clock,
            held: metrics.body_bytes.clone(),
            rejected,
            logged: Mutex::new((Time(0), 0)),
        })
    }

    /// Bytes held for bodies.
    pub fn held(&self) -> usize {
        self.budget.lock().held()
    }

    /// Number of bodies that hold memory or are being read.
    pub fn count(&self) -> usize {
        self.budget.lock().bodies()
    }

    fn count_rejected(&self, cause: &str, bodies: usize) {
        if bodies == 0 {
            return;
        }
        self.rejected.with_label_values(&[cause]).inc_by(bodies as u64);
        let now = self.clock.now();
        let mut logged = self.logged.lock();
        logged.1 += bodies as u64;
        if now.since(logged.0) >= LOG_INTERVAL {
            let given_up = std::mem::take(&mut logged.1);
            logged.0 = now;
            info!(cause, given_up, held = self.held(), open = self.count(), "bodies given up");
        }
    }
}

/// Memory that is held for one body until it is dropped.
pub struct Hold {
    bodies: Arc<Bodies>,
    id: u64,
}

impl Hold {
    fn now(&self) -> Time {
        self.bodies.clock.now()
    }

    /// Reserves `bytes` more. Waits while other bodies hold the memory.
    async fn grow(&self, bytes: usize, deadline: Time) -> Result<(), Refusal> {
        let mut wait_end = self.now().after(WAIT_TIMEOUT);
        loop {
            let freed = self.bodies.freed.notified();
            tokio::pin!(freed);
            // Memory that is released from here on wakes it.
            freed.as_mut().enable();
            let now = self.now();
            let grow = self.bodies.budget.lock().grow(self.id, bytes, now);
            match grow {
                Grow::Granted => {
                    self.bodies.held.set(self.bodies.held() as i64);
                    return Ok(());
                }
                Grow::Wait { victims } if !victims.is_empty() => {
                    self.bodies.count_rejected("body_stalled", victims.len());
                    self.bodies.given_up.notify_waiters();
                }
                Grow::Wait { .. } => {}
            }
            let wait = wait_end.min(deadline).since(now);
            if timeout(wait, freed).await.is_ok() {
                continue;
            }
            if deadline.passed(self.now()) {
                return Err(Refusal::BodyTimeout);
            }
            let victims = self.bodies.budget.lock().wait_over(self.id, bytes, self.now());
            self.bodies.count_rejected("body_memory", victims.len());
            if victims.contains(&self.id) {
                self.bodies.given_up.notify_waiters();
                return Err(self.refusal(bytes));
            }
            self.bodies.given_up.notify_waiters();
            wait_end = self.now().after(WAIT_TIMEOUT);
        }
    }

    fn is_given_up(&self) -> bool {
        self.bodies.budget.lock().is_given_up(self.id)
    }

    /// Completes once the body is given up for others.
    async fn given_up(&self) {
        loop {
            let given_up = self.bodies.given_up.notified();
            tokio::pin!(given_up);
            given_up.as_mut().enable();
            if self.is_given_up() {
                return;
            }
            given_up.await;
        }
    }

    fn refusal(&self, bytes: usize) -> Refusal {
        let retry_delay = self.bodies.budget.lock().retry_delay(bytes);
        Refusal::NotRun { why: "no memory is free for its body", retry_delay }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let held = {
            let mut budget = self.bodies.budget.lock();
            budget.close(self.id, self.bodies.clock.now());
            budget.held()
        };
        self.bodies.held.set(held as i64);
        self.bodies.freed.notify_waiters();
    }
}

/// The bytes of a body that have arrived, copied out of the connection's buffers: a small chunk would
/// keep a whole buffer.
#[derive(Default)]
struct Arrived {
    bytes: Vec<u8>,
    /// Memory that is reserved for them.
    reserved: usize,
}

impl Arrived {
    /// Bytes for which memory is reserved and that have not arrived.
    fn room(&self) -> usize {
        self.reserved - self.bytes.len()
    }

    /// Memory to reserve next for a body of at most `max_len` bytes.
    fn step(&self, max_len: usize) -> usize {
        let bytes = if self.reserved == 0 { FIRST_BYTES } else { STEP_BYTES };
        bytes.min(max_len - self.reserved)
    }

    /// Adds memory that was reserved.
    fn add(&mut self, step: usize, max_len: usize) {
        self.reserved += step;
        if self.reserved <= self.bytes.capacity() {
            return;
        }
        let more = self.reserved - self.bytes.len();
        if self.reserved <= HEAP_BYTES {
            self.bytes.reserve_exact(more);
            return;
        }
        // A new allocation, as the heap might grow the old one in place.
        let mut bytes = Vec::new();
        // Address space may be limited.
        if bytes.try_reserve_exact(max_len.max(MAPPED_BYTES)).is_err() {
            bytes.reserve_exact(self.reserved);
        }
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
    }
}

/// Reads a body of at most `max_bytes`. The memory that it takes is held until the returned guard is
/// dropped; there is none for an empty body.
pub(crate) async fn read(
    bodies: &Arc<Bodies>,
    body: Incoming,
    max_bytes: usize,
    deadline: Time,
) -> Result<(Bytes, Option<Hold>), Refusal> {
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return Err(Refusal::TooLong(max_bytes));
    }
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let len = size.exact().map(|n| n as usize);
    let max_len = len.unwrap_or(max_bytes);
    let id = bodies.budget.lock().open(len, max_bytes, bodies.clock.now());
    let hold = Hold { bodies: bodies.clone(), id };
    let read = tokio::select! {
        biased;
        () = hold.given_up() => Err(hold.refusal(max_len)),
        read = read_all(&hold, body, max_bytes, max_len, deadline) => read,
    }?;
    if !hold.bodies.budget.lock().complete(hold.id, read.len()) {
        return Err(hold.refusal(max_len));
    }
    Ok((read.into(), Some(hold)))
}

async fn read_all(
    hold: &Hold,
    mut body: Incoming,
    max_bytes: usize,
    max_len: usize,
    deadline: Time,
) -> Result<Vec<u8>, Refusal> {
    let mut read = Arrived::default();
    loop {
        let time_left = deadline.since(hold.now());
        let data = match timeout(time_left, body.frame()).await {
            Ok(None) => return Ok(read.bytes),
            // Trailers are not passed on.
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(_))) => return Err(Refusal::Disconnected),
            Err(_) => return Err(Refusal::BodyTimeout),
        };
        if read.bytes.len() + data.len() > max_bytes {
            return Err(Refusal::TooLong(max_bytes));
        }
        let mut rest = &data[..];
        while !rest.is_empty() {
            if read.room() == 0 {
                let step = read.step(max_len);
                hold.grow(step, deadline).await?;
                read.add(step, max_len);
            }
            let (now, later) = rest.split_at(rest.len().min(read.room()));
            read.bytes.extend_from_slice(now);
            rest = later;
        }
        hold.bodies.budget.lock().record_arrival(hold.id, hold.now());
    }
}
