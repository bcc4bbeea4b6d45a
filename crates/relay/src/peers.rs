//! Datagrams between instances: who is alive, who is leaving, what each has under way at the
//! replicas, and news that a peer may miss while the platform is out of its reach.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use fleet::{Naming, Snapshot};
use ident::Time;
use place::{PeerLoad, Work};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::timeout};
use tracing::{info, warn};

use crate::{conns::fetch, core::Core};

/// How long after its last datagram an instance counts as alive.
pub(crate) const PEER_TERM: Duration = Duration::from_millis(1600);
/// Least pause between two rounds of datagrams.
const ROUND: Duration = Duration::from_millis(200);
/// Datagrams an instance sends in a second at most; with more peers, rounds are further apart.
const PER_SECOND: u32 = 60;
/// Longest datagram, in bytes: fits into one packet.
const MAX_BYTES: usize = 1400;
/// Most leaving replicas that fit.
const MAX_LEAVING: usize = 16;
/// Where a peer hands on its configuration.
pub(crate) const SETUP_PATH: &str = "/setup";
/// How long that may take.
const SETUP_TERM: Duration = Duration::from_millis(800);
/// Versions of a model that peers are told of.
const MAX_NAMED: usize = 2;
/// Most replicas whose load fits.
const MAX_LOADS: usize = 40;

/// How long a replica is left alone after a peer said that it loads weights.
pub(crate) const LOADING_TERM: Duration = Duration::from_millis(500);

/// Layout of a datagram; another one is not understood.
const FORMAT: u8 = 2;

/// What an instance tells its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Wire {
    format: u8,
    name: String,
    /// It takes callers' requests.
    ready: bool,
    /// Revision of its configuration, 0 for none.
    rev: u64,
    /// Replica, prompt tokens to read, tokens of memory, requests.
    loads: Vec<(String, u64, u64, u32)>,
    /// Replicas that it knows to be leaving.
    leaving: Vec<String>,
    /// Replicas that load weights by its orders.
    loading: Vec<String>,
    weights: Vec<NamedWire>,
    /// When these were the newest, on the registry's clock.
    confirmed: u64,
}

/// A version of a model's weights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct NamedWire {
    model: String,
    version: u64,
    /// When it was named at the latest, on the registry's clock in ms; 0 where that is unknown.
    clock: u64,
    /// The same, in ms before the datagram was sent.
    age: u64,
}

/// A datagram that is not understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
enum WireError {
    #[error("the datagram is malformed")]
    Malformed,
    #[error("the datagram has layout {0}, not {FORMAT}")]
    Format(u8),
}

impl TryFrom<&[u8]> for Wire {
    type Error = WireError;

    fn try_from(bytes: &[u8]) -> Result<Self, WireError> {
        let wire: Self = postcard::from_bytes(bytes).map_err(|_| WireError::Malformed)?;
        if wire.format == FORMAT { Ok(wire) } else { Err(WireError::Format(wire.format)) }
    }
}

fn wire(core: &Core) -> Wire {
    let snapshot = core.view.get();
    let mut loads = core.pool.lock().loads();
    // Where not all fit, the most loaded matter most.
    loads.sort_by_key(|l| Reverse((l.work.memory, l.work.runs)));
    loads.truncate(MAX_LOADS);
    let load = |l: PeerLoad| (l.replica.to_string(), l.work.reading, l.work.memory, l.work.runs);
    let mut leaving: Vec<String> =
        core.departed.lock().iter().map(|(id, _)| id.to_string()).collect();
    leaving.truncate(MAX_LEAVING);
    Wire {
        format: FORMAT,
        name: core.settings.name.to_string(),
        ready: core.ready(),
        rev: snapshot.setup.as_ref().map_or(0, |s| s.rev),
        loads: loads.into_iter().map(load).collect(),
        leaving,
        loading: core.loading.lock().iter().map(|id| id.to_string()).collect(),
        weights: weights(core, &snapshot),
        confirmed: core.dial.lock().foreign(snapshot.age.weights).unwrap_or(0),
    }
}

/// The newest versions of each model, and how long they have been known.
fn weights(core: &Core, snapshot: &Snapshot) -> Vec<NamedWire> {
    let (now, dial) = (core.now(), *core.dial.lock());
    let newest = snapshot.weights.iter().flat_map(|w| {
        let last = w.named.iter().rev().take(MAX_NAMED);
        last.map(move |(version, at)| {
            let sure = w.sure || *version < w.version;
            NamedWire {
                model: w.model.to_string(),
                version: *version,
                clock: dial.foreign(*at).filter(|_| sure).unwrap_or(0),
                age: now.since(*at).as_millis() as u64,
            }
        })
    });
    newest.collect()
}

/// Tells all peers, again and again.
pub(crate) async fn tell(core: Arc<Core>, socket: Arc<UdpSocket>) {
    loop {
        let peers = addresses(&core);
        let share = Duration::from_secs(1) * peers.len() as u32 / PER_SECOND;
        let _ = timeout(ROUND.max(share), core.tell.notified()).await;
        send(&core, &socket, &peers).await;
    }
}

/// Tells all peers once.
pub(crate) async fn send(core: &Core, socket: &UdpSocket, peers: &[SocketAddr]) {
    let Ok(bytes) = postcard::to_stdvec(&wire(core)) else { return };
    if bytes.len() > MAX_BYTES {
        warn!(bytes = bytes.len(), "the datagram for peers is too long");
        return;
    }
    for peer in peers {
        // Lost datagrams are made up for by the next.
        let _ = socket.send_to(&bytes, peer).await;
    }
}

pub(crate) fn addresses(core: &Core) -> Vec<SocketAddr> {
    let snapshot = core.view.get();
    let others = snapshot.instances.iter().filter(|i| i.name != core.settings.name);
    others.map(|i| i.peer).collect()
}

/// Takes in what peers tell.
pub(crate) async fn hear(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; 2048];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(e) => {
                warn!(error = %e, "no datagram could be read");
                tokio::time::sleep(ROUND).await;
                continue;
            }
        };
        match Wire::try_from(&buffer[..length]) {
            Ok(wire) => take_in(&core, wire),
            Err(e) => warn!(error = %e, "a peer's datagram was dropped"),
        }
    }
}

/// Asks a peer for its configuration where it is newer: this instance may be out of the registry's
/// reach.
fn ask_setup(core: &Arc<Core>, name: &str, rev: u64) {
    let snapshot = core.view.get();
    let own = snapshot.setup.as_ref().map_or(0, |s| s.rev);
    let peer = snapshot.instances.iter().find(|i| &*i.name == name).map(|i| i.peer);
    let (Some(addr), true) = (peer, rev > own) else { return };
    if core.asking.swap(true, Ordering::Relaxed) {
        return;
    }
    let (core, name) = (core.clone(), name.to_owned());
    tokio::spawn(async move {
        match fetch(addr, SETUP_PATH, SETUP_TERM).await {
            Ok(bytes) => match core.outside.registry.setup(&bytes) {
                Ok(setup) => core.take_setup(setup, bytes, &name),
                Err(error) => warn!(peer = %name, %error, "a peer's configuration can't be read"),
            },
            Err(error) => info!(peer = %name, %error, "a peer did not hand on its configuration"),
        }
        core.asking.store(false, Ordering::Relaxed);
    });
}

fn take_in(core: &Arc<Core>, wire: Wire) {
    let now = core.now();
    let name: Arc<str> = wire.name.as_str().into();
    let mut loads: Vec<PeerLoad> = wire
        .loads
        .into_iter()
        .map(|(replica, reading, memory, runs)| PeerLoad {
            replica: replica.into(),
            work: Work { reading, memory, runs },
        })
        .collect();
    loads.sort_by(|a, b| a.replica.cmp(&b.replica));
    core.pool.lock().peer(&name, loads, now);
    for id in &wire.loading {
        core.pool.lock().avoid(id, now.after(LOADING_TERM));
    }
    for id in &wire.leaving {
        if core.view.get().replica(id).is_some_and(|r| !r.leaving) && core.view.mark_leaving(id) {
            core.depart(&id.as_str().into());
            info!(replica = %id, peer = %name, "a peer knows that the replica is leaving");
            core.pool.lock().sync(&core.view.get().replicas);
        }
    }
    // The registry's clock dates it: a datagram may have waited while this instance was suspended.
    for NamedWire { model, version, clock, age } in &wire.weights {
        let own = core.dial.lock().own(*clock).filter(|_| *clock > 0);
        let at = own.unwrap_or(now.before(Duration::from_millis(*age)));
        let naming = Naming { version: *version, at, sure: own.is_some() };
        if core.view.offer_weights(model, naming, now) {
            info!(%model, version, age_ms = age, peer = %name, "a peer knows newer weights");
        }
    }
    let confirmed = core.dial.lock().own(wire.confirmed);
    if let Some(at) = confirmed.filter(|_| wire.confirmed > 0) {
        core.view.confirm_weights(at.min(now));
        core.view.confirm_served(at.min(now));
    }
    ask_setup(core, &name, wire.rev);
    note(core, name, wire.ready, now);
}

/// Notes that a peer is alive, or no longer takes requests.
fn note(core: &Core, name: Arc<str>, ready: bool, now: Time) {
    let mut heard = core.heard.lock();
    match (heard.binary_search_by(|(n, _)| n.cmp(&name)), ready) {
        (Ok(at), true) => heard[at].1 = now,
        (Err(at), true) => heard.insert(at, (name, now)),
        (Ok(at), false) => {
            heard.remove(at);
        }
        (Err(_), false) => {}
    }
    heard.retain(|(_, at)| now.since(*at) < PEER_TERM * 4);
    core.live.store(heard.len() as u32 + 1, Ordering::Relaxed);
}
