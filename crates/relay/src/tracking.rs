//! Asks the instances that track engines how much work these have, and tells them of long prompts.
//!
//! A lost datagram costs accuracy only: the choice goes by what else is known of the engine, and a
//! reservation ends with the deadline of its request.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ident::Time;
use place::Load;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::mpsc, time::timeout};
use tracing::{debug, warn};

use crate::core::Core;

/// First byte of the datagrams about tracked work.
pub(crate) const FORMAT: u8 = 4;
/// Release from which instances read these datagrams.
const RELEASE: u32 = 2;
/// Longest wait for trackers' answers: several round trips between availability zones.
const ASK_TIMEOUT: Duration = Duration::from_millis(12);
/// Shortest interval between two inquiries for one request that waits.
pub(crate) const ASK_INTERVAL: Duration = Duration::from_millis(45);
/// Most engines in one inquiry.
const MAX_ASKED: usize = 16;
/// Longest time for which a reservation is kept.
const MAX_RESERVED: Duration = Duration::from_secs(60);

/// A datagram, after its first byte. The order of its variants and fields is part of the format.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Asks how much work engines have. The number comes back with the answer.
    Ask(u64, Vec<String>),
    /// Engines with their work.
    Answer(u64, Vec<(String, WorkWire)>),
    /// A request was sent to an engine; it ends within the time, in ms.
    Reserve(u64, String, WorkWire, u64),
    /// A request has its first token.
    PrefillDone(u64),
    /// A request has ended.
    Release(u64),
}

/// A [`Load`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct WorkWire {
    prefill_tokens: u64,
    memory_tokens: u64,
    requests: u32,
}

impl From<Load> for WorkWire {
    fn from(load: Load) -> Self {
        let Load { prefill_tokens, memory_tokens, requests } = load;
        Self { prefill_tokens, memory_tokens, requests }
    }
}

impl From<WorkWire> for Load {
    fn from(wire: WorkWire) -> Self {
        let WorkWire { prefill_tokens, memory_tokens, requests } = wire;
        Self { prefill_tokens, memory_tokens, requests }
    }
}

/// An inquiry that waits for answers: its number, and where the answers go.
pub(crate) type Waiting = (u64, mpsc::UnboundedSender<Vec<(String, WorkWire)>>);

/// Removes an inquiry when it is over, also if its request is dropped.
struct Inquiry<'c> {
    core: &'c Core,
    number: u64,
}

impl Drop for Inquiry<'_> {
    fn drop(&mut self) {
        self.core.work_inquiries.lock().retain(|(number, _)| *number != self.number);
    }
}

/// Sends a datagram without waiting. One that can't be sent at once counts as lost.
fn send(socket: &UdpSocket, message: &Message, addr: SocketAddr) {
    let bytes = postcard::to_stdvec(&(FORMAT, message)).expect("the message can be encoded");
    if let Err(error) = socket.try_send_to(&bytes, addr) {
        debug!(%error, %addr, "datagram about tracked work could not be sent");
    }
}

/// Whether all instances read these datagrams.
fn is_supported(core: &Core) -> bool {
    let snapshot = core.view.snapshot();
    let lowest = core.releases.lock().lowest(&core.settings.name, &snapshot.instances);
    lowest >= RELEASE
}

/// Address of the instance that tracks an engine. `None` if it is this one or not known.
fn tracker(core: &Core, replica: &str) -> Option<SocketAddr> {
    let snapshot = core.view.snapshot();
    let name = core.tracker_peers.lock().tracker(replica).cloned()?;
    let at = snapshot.instances.binary_search_by(|i| i.name.cmp(&name)).ok()?;
    (name != core.settings.name).then_some(snapshot.instances[at].peer)
}

/// Asks the trackers of the engines among which a request is placed for their work, and records it.
pub(crate) async fn refresh(core: &Core, candidates: &[Arc<str>]) {
    if candidates.is_empty() || !is_supported(core) {
        return;
    }
    let Some(socket) = core.peer_socket.get() else { return };
    let mut asked: Vec<(SocketAddr, Vec<String>)> = Vec::new();
    for replica in candidates.iter().take(MAX_ASKED) {
        let Some(addr) = tracker(core, replica) else {
            let now = core.now();
            let work = core.tracker.lock().work(replica, now);
            core.pool.lock().record_tracked(replica, work, now);
            continue;
        };
        match asked.iter_mut().find(|(known, _)| *known == addr) {
            Some((_, engines)) => engines.push(replica.to_string()),
            None => asked.push((addr, vec![replica.to_string()])),
        }
    }
    let number = rand::random();
    let (sender, mut answers) = mpsc::unbounded_channel();
    core.work_inquiries.lock().push((number, sender));
    let _inquiry = Inquiry { core, number };
    let count = asked.len();
    for (addr, engines) in asked {
        send(socket, &Message::Ask(number, engines), addr);
    }
    let mut missing = count;
    let end = core.now().after(ASK_TIMEOUT);
    while missing > 0 {
        let left = end.since(core.now());
        let Ok(Some(works)) = timeout(left, answers.recv()).await else { break };
        missing -= 1;
        let now = core.now();
        let mut pool = core.pool.lock();
        for (replica, work) in works {
            pool.record_tracked(&replica, work.into(), now);
        }
    }
    core.metrics.tracker_answers.with_label_values(&["missing"]).inc_by(missing as u64);
    core.metrics.tracker_answers.with_label_values(&["answered"]).inc_by((count - missing) as u64);
}

/// Keeps a long prompt reserved at the tracker of its engine until the guard is dropped.
pub(crate) struct Reservation {
    core: Arc<Core>,
    key: u64,
    /// Address of the tracker; `None` if it is this instance.
    tracker: Option<SocketAddr>,
}

impl Reservation {
    /// Reserves the work of a request that is sent to an engine until `until`. `None` if the work of
    /// the target's long prompts is not tracked.
    pub(crate) fn new(
        core: &Arc<Core>,
        target: &str,
        replica: &Arc<str>,
        load: Load,
        until: Time,
    ) -> Option<Self> {
        if !core.pool.lock().is_tracked(target) || !is_supported(core) {
            return None;
        }
        let out = Self { core: core.clone(), key: rand::random(), tracker: tracker(core, replica) };
        match out.tracker {
            None => core.tracker.lock().reserve(out.key, replica, load, until),
            Some(_) => {
                let left = until.since(core.now()).as_millis() as u64;
                out.tell(&Message::Reserve(out.key, replica.to_string(), load.into(), left));
            }
        }
        Some(out)
    }

    /// Removes the prefill from the reservation, once the engine has begun to answer.
    pub(crate) fn prefill_done(&self) {
        match self.tracker {
            None => self.core.tracker.lock().prefill_done(self.key),
            Some(_) => self.tell(&Message::PrefillDone(self.key)),
        }
    }

    fn tell(&self, message: &Message) {
        if let (Some(socket), Some(addr)) = (self.core.peer_socket.get(), self.tracker) {
            send(socket, message, addr);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        match self.tracker {
            None => self.core.tracker.lock().release(self.key),
            Some(_) => self.tell(&Message::Release(self.key)),
        }
    }
}

/// Applies a datagram, whose first byte was [`FORMAT`].
pub(crate) fn receive(core: &Core, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    let now = core.now();
    match postcard::from_bytes(bytes) {
        Ok(Message::Ask(number, engines)) => {
            let tracker = core.tracker.lock();
            let engines = engines.into_iter().take(MAX_ASKED);
            let works = engines.map(|id| (tracker.work(&id, now).into(), id));
            let works = works.map(|(work, id)| (id, work)).collect();
            drop(tracker);
            send(socket, &Message::Answer(number, works), from);
        }
        Ok(Message::Answer(number, works)) => {
            let inquiries = core.work_inquiries.lock();
            if let Some((_, sender)) = inquiries.iter().find(|(asked, _)| *asked == number) {
                // The inquiry may be over.
                let _ = sender.send(works);
            }
        }
        Ok(Message::Reserve(key, replica, work, left_ms)) => {
            let until = now.after(Duration::from_millis(left_ms).min(MAX_RESERVED));
            core.tracker.lock().reserve(key, &replica.into(), work.into(), until);
        }
        Ok(Message::PrefillDone(key)) => core.tracker.lock().prefill_done(key),
        Ok(Message::Release(key)) => core.tracker.lock().release(key),
        Err(error) => warn!(%error, %from, "datagram about tracked work dropped"),
    }
}
