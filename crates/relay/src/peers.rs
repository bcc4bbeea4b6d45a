//! Datagrams between instances. They say which instances are alive, which replicas are leaving and
//! what load each instance has at the replicas. They also carry updates that a peer may miss while
//! it can't reach the platform.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use blame::{Report, ReportWire};
use fleet::{Announcement, Replica, Snapshot};
use ident::Time;
use place::{LimitReport, Load, PeerLoad, RefusalReport};
use rand::seq::IndexedRandom;
use tokio::{net::UdpSocket, time::timeout};
use tracing::{info, warn};

use crate::{
    conns::fetch_from_peer,
    core::{Core, Departed},
    datagram::{
        AnnouncedVersion, Datagram, FORMAT, LimitWire, RELEASE, RefusalWire, Trailer, parse,
    },
    dates::RegistryClock,
    ends, links, origins, tracking, zones,
};

/// How long after its last datagram a peer is listed to callers. Where limits are divided among
/// the instances, a peer counts four times as long.
pub(crate) const PEER_TTL: Duration = Duration::from_millis(1600);
/// How long after its last datagram a peer counts as running.
pub(crate) const HEARD_TTL: Duration = PEER_TTL.saturating_mul(4);
/// Shortest interval between two datagrams to the same peer.
const SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Most datagrams that an instance sends per second; with more peers the interval gets longer.
const MAX_DATAGRAMS_PER_SECOND: u32 = 60;
/// Most peers that are told at once of new evidence.
const EVIDENCE_PEERS: usize = 30;
/// Shortest interval between two datagrams with new evidence.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest datagram, in bytes, so that it fits into one packet.
const MAX_DATAGRAM_BYTES: usize = 1400;
/// Most leaving replicas in one datagram.
const MAX_LEAVING: usize = 16;
/// Path at which a peer serves its configuration.
pub(crate) const CONFIG_PATH: &str = "/setup";
/// Timeout for fetching a configuration from a peer.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(800);
/// Most versions of a model in one datagram.
const MAX_VERSIONS: usize = 2;
/// Bytes of a datagram that loads leave to evidence, if there is any.
const RESERVED_BYTES: usize = 300;
/// Most limits of replicas in one datagram.
const MAX_LIMITS: usize = 8;
/// Most replicas that are full, of those that bear few refusals, in one datagram.
const MAX_FULL: usize = 12;
/// Most targets of which no replica is reached in one datagram.
const MAX_CUT_OFF: usize = 8;
/// Most replicas with their load in one datagram.
const MAX_LOADS: usize = 40;

/// How long a replica is excluded after an order to load weights, or after a report that the
/// replica loads them.
pub(crate) const LOADING_TTL: Duration = Duration::from_millis(500);

fn datagram(core: &Core, clock: &RegistryClock) -> (Datagram, Trailer) {
    let snapshot = core.view.snapshot();
    let mut loads = core.pool.lock().own_loads();
    // Keeps the most loaded replicas if not all fit: they matter most for placement.
    loads.sort_by_key(|l| Reverse((l.load.memory_tokens, l.load.requests)));
    loads.truncate(MAX_LOADS);
    let load = |l: PeerLoad| {
        (l.replica.to_string(), l.load.prefill_tokens, l.load.memory_tokens, l.load.requests)
    };
    let departed: Vec<Departed> = core.lately_departed().into_iter().take(MAX_LEAVING).collect();
    let leaving = departed.iter().map(|d| d.id.to_string()).collect();
    let started = departed.iter().map(|d| d.started_ms).collect();
    let said = departed.iter().map(|d| d.said).collect();
    let datagram = Datagram {
        format: FORMAT,
        name: core.settings.name.to_string(),
        ready: core.is_ready(),
        rev: snapshot.config.as_ref().map_or(0, |s| s.rev),
        loads: loads.into_iter().map(load).collect(),
        leaving,
        loading: core.loading.lock().iter().map(|id| id.to_string()).collect(),
        weights: announced_weights(core, clock, &snapshot),
        confirmed: clock.to_registry(snapshot.confirmed.weights).unwrap_or(0),
    };
    let young_ms = core.young_for().as_millis() as u64;
    let (era, release) = (clock.era(), RELEASE);
    (datagram, Trailer { era, started, said, young_ms, release, ..Trailer::default() })
}

/// Encodes the datagram for peers, with as much of the evidence as fits. The loads of the least loaded
/// replicas are left out if it gets too long, and then entries of other lists. `None` if it is too
/// long without any.
fn encode(core: &Core) -> Option<Vec<u8>> {
    let clock = *core.registry_clock.lock();
    let (mut datagram, mut trailer) = datagram(core, &clock);
    let limits = core.limits.lock().report(core.now());
    let cut_off = links::cut_off(core);
    trailer.cut_off = cut_off.iter().take(MAX_CUT_OFF).map(|t| t.to_string()).collect();
    trailer.limits = limits.into_iter().take(MAX_LIMITS).map(LimitWire::from).collect();
    let full = core.refusals.lock().report(core.now());
    trailer.full = full.into_iter().take(MAX_FULL).map(RefusalWire::from).collect();
    trailer.lost = zones::report(core);
    let reserved = if core.blame.lock().has_suspects() { RESERVED_BYTES } else { 0 };
    let mut bare = postcard::to_stdvec(&(&datagram, &trailer)).ok()?.len();
    while bare + reserved > MAX_DATAGRAM_BYTES && datagram.loads.pop().is_some() {
        bare = postcard::to_stdvec(&(&datagram, &trailer)).ok()?.len();
    }
    while bare > MAX_DATAGRAM_BYTES && shorten(&mut datagram, &mut trailer) {
        bare = postcard::to_stdvec(&(&datagram, &trailer)).ok()?.len();
    }
    note_told(core, &datagram.leaving);
    let Some(space) = MAX_DATAGRAM_BYTES.checked_sub(bare) else {
        warn!(bytes = bare, "datagram for peers is too long and was not sent");
        return None;
    };
    let wire = ReportWire::from(&core.blame.lock().report(space, core.now()));
    (trailer.parts, trailer.requests, trailer.ended) = (wire.parts, wire.requests, wire.ended);
    postcard::to_stdvec(&(&datagram, &trailer)).ok()
}

/// Lets the next datagram begin with departed replicas that were not in this one, so that peers hear
/// of all of them where they don't fit into one.
fn note_told(core: &Core, told: &[String]) {
    // The sort is stable.
    core.departed.lock().sort_by_key(|d| told.iter().any(|id| **id == *d.id));
}

/// Removes the last entry of the list that takes most bytes, of those whose entries have the names of
/// replicas or targets. Returns false if all are empty.
fn shorten(datagram: &mut Datagram, trailer: &mut Trailer) -> bool {
    let texts = |list: &[String]| list.iter().map(String::len).sum::<usize>();
    let sizes = [
        texts(&datagram.leaving),
        texts(&datagram.loading),
        texts(&trailer.cut_off),
        trailer.limits.iter().map(|l| l.replica.len()).sum(),
        trailer.full.iter().map(|f| f.replica.len()).sum(),
    ];
    let largest = (0..sizes.len()).max_by_key(|at| sizes[*at]).filter(|at| sizes[*at] > 0);
    match largest {
        Some(0) => {
            // Entries of the three lists belong together.
            datagram.leaving.pop();
            trailer.started.truncate(datagram.leaving.len());
            trailer.said.truncate(datagram.leaving.len());
        }
        Some(1) => drop(datagram.loading.pop()),
        Some(2) => drop(trailer.cut_off.pop()),
        Some(3) => drop(trailer.limits.pop()),
        Some(_) => drop(trailer.full.pop()),
        None => return false,
    }
    true
}

/// The newest versions of each model and when they were announced.
fn announced_weights(
    core: &Core,
    clock: &RegistryClock,
    snapshot: &Snapshot,
) -> Vec<AnnouncedVersion> {
    let now = core.now();
    let announced = snapshot.weights.iter().flat_map(|w| {
        let last = w.announced.iter().rev().take(MAX_VERSIONS);
        last.map(move |(version, at)| {
            let certain = w.certain || *version < w.version;
            AnnouncedVersion {
                model: w.model.to_string(),
                version: *version,
                clock: clock.to_registry(*at).filter(|_| certain).unwrap_or(0),
                age: now.since(*at).as_millis() as u64,
            }
        })
    });
    announced.collect()
}

/// Sends datagrams to all peers at intervals, and at once when [`Core::notify_peers`] is notified.
pub(crate) async fn send_loop(core: Arc<Core>, socket: Arc<UdpSocket>) {
    loop {
        let peers = peer_addresses(&core);
        let interval = Duration::from_secs(1) * peers.len() as u32 / MAX_DATAGRAMS_PER_SECOND;
        let _ = timeout(SEND_INTERVAL.max(interval), core.notify_peers.notified()).await;
        send(&core, &socket, &peers, "regular").await;
    }
}

/// Sends datagrams to some peers when there is new evidence. Those that
/// learn from it do the same.
pub(crate) async fn evidence_loop(core: Arc<Core>, socket: Arc<UdpSocket>) {
    loop {
        core.notify_evidence.notified().await;
        let peers = peer_addresses(&core);
        let some = peers.choose_multiple(&mut rand::rng(), EVIDENCE_PEERS);
        let some: Vec<SocketAddr> = some.copied().collect();
        send(&core, &socket, &some, "news").await;
        tokio::time::sleep(EVIDENCE_INTERVAL).await;
    }
}

/// Sends one datagram to each peer. `kind` names it in the metrics.
pub(crate) async fn send(core: &Core, socket: &UdpSocket, peers: &[SocketAddr], kind: &str) {
    let Some(bytes) = encode(core) else { return };
    core.metrics.datagrams.with_label_values(&[kind]).inc_by(peers.len() as u64);
    for peer in peers {
        // The next datagram makes up for a lost one.
        let _ = socket.send_to(&bytes, peer).await;
    }
}

pub(crate) fn peer_addresses(core: &Core) -> Vec<SocketAddr> {
    let snapshot = core.view.snapshot();
    let others = snapshot.instances.iter().filter(|i| i.name != core.settings.name);
    others.map(|i| i.peer).collect()
}

/// Receives and applies peers' datagrams.
pub(crate) async fn receive_loop(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; 2048];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(e) => {
                warn!(error = %e, "receiving a datagram failed");
                tokio::time::sleep(SEND_INTERVAL).await;
                continue;
            }
        };
        if let Some((&origins::FORMAT, rest)) = buffer[..length].split_first() {
            origins::receive(&core, &socket, rest, from).await;
            continue;
        }
        if let Some((&tracking::FORMAT, rest)) = buffer[..length].split_first() {
            tracking::receive(&core, &socket, rest, from);
            continue;
        }
        core.metrics.datagrams.with_label_values(&["received"]).inc();
        match parse(&buffer[..length]) {
            Ok((datagram, trailer)) => apply(&core, datagram, &trailer),
            Err(e) => warn!(error = %e, "datagram from a peer dropped"),
        }
    }
}

/// Marks the configuration as being fetched from a peer until the guard is dropped.
struct FetchGuard(Arc<Core>);

impl FetchGuard {
    /// `None` if it is being fetched.
    fn new(core: &Arc<Core>) -> Option<Self> {
        let is_fetching = core.fetching_config.swap(true, Ordering::Relaxed);
        (!is_fetching).then(|| Self(core.clone()))
    }
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.0.fetching_config.store(false, Ordering::Relaxed);
    }
}

/// Fetches a peer's configuration if its revision is newer: this instance may be unable to reach
/// the registry.
fn fetch_config(core: &Arc<Core>, name: &str, rev: u64) {
    let snapshot = core.view.snapshot();
    let own_rev = snapshot.config.as_ref().map_or(0, |s| s.rev);
    let peer = snapshot.instances.iter().find(|i| &*i.name == name).map(|i| i.peer);
    let (Some(addr), true) = (peer, rev > own_rev) else { return };
    let Some(guard) = FetchGuard::new(core) else { return };
    let (core, name) = (core.clone(), name.to_owned());
    tokio::spawn(async move {
        match fetch_from_peer(addr, CONFIG_PATH, CONFIG_TIMEOUT).await {
            Ok(bytes) => match core.adapters.registry.config(&bytes) {
                Ok(config) => core.apply_config(config, bytes, &name),
                Err(error) => {
                    warn!(peer = %name, %error, "configuration from peer could not be decoded");
                }
            },
            Err(error) => {
                info!(peer = %name, %error, "configuration could not be fetched from peer");
            }
        }
        drop(guard);
    });
}

fn apply(core: &Arc<Core>, datagram: Datagram, trailer: &Trailer) {
    let now = core.now();
    let name: Arc<str> = datagram.name.as_str().into();
    let mut loads: Vec<PeerLoad> = datagram
        .loads
        .into_iter()
        .map(|(replica, prefill_tokens, memory_tokens, requests)| PeerLoad {
            replica: replica.into(),
            load: Load { prefill_tokens, memory_tokens, requests },
        })
        .collect();
    loads.sort_by(|a, b| a.replica.cmp(&b.replica));
    core.pool.lock().set_peer_loads(&name, loads, now);
    for id in &datagram.loading {
        core.pool.lock().exclude_loading(id, now.after(LOADING_TTL));
    }
    for (at, id) in datagram.leaving.iter().enumerate() {
        // A replica that started again may keep its id.
        let started = trailer.started.get(at).copied().unwrap_or(0);
        let said = trailer.said.get(at).copied().unwrap_or(false);
        let known = core.view.snapshot().replica(id).cloned();
        if let Some(replica) = known.filter(|r| said && r.started_ms == started) {
            if core.apply_leaving(&replica) {
                info!(replica = %id, peer = %name, "peer reported that the replica said that it is leaving");
            }
            continue;
        }
        let same = |r: &Replica| started == 0 || r.started_ms == 0 || r.started_ms == started;
        if core.view.snapshot().replica(id).is_some_and(|r| !r.leaving && same(r))
            && core.view.mark_leaving(id)
        {
            core.record_departure(&id.as_str().into());
            info!(replica = %id, peer = %name, "peer reported that the replica is leaving");
            core.pool.lock().sync(&core.view.snapshot().replicas);
        }
    }
    // Dated by the registry's clock: a datagram may have waited while this instance was suspended.
    // The registry's clock may have gone back with its content.
    let registry_clock = *core.registry_clock.lock();
    let clock_known = registry_clock.era() == trailer.era;
    for AnnouncedVersion { model, version, clock, age } in &datagram.weights {
        let local = registry_clock.to_local(*clock);
        let local = local.filter(|_| clock_known && *clock > 0);
        let at = local.unwrap_or(now.before(Duration::from_millis(*age)));
        let announcement = Announcement { version: *version, at, certain: local.is_some() };
        if core.view.offer_weights(model, announcement, now) {
            info!(%model, version, age_ms = age, peer = %name, "peer reported newer weights");
        }
    }
    let confirmed = registry_clock.to_local(datagram.confirmed);
    if let Some(at) = confirmed.filter(|_| clock_known && datagram.confirmed > 0) {
        core.view.confirm_weights(at.min(now));
        core.view.confirm_registry(at.min(now));
    }
    if !(trailer.parts.is_empty() && trailer.requests.is_empty() && trailer.ended.is_empty()) {
        let (parts, requests) = (trailer.parts.clone(), trailer.requests.clone());
        let ended = trailer.ended.clone();
        ends::merge(core, &Report::from(ReportWire { parts, requests, ended }));
    }
    let cut_off = trailer.cut_off.iter().map(|target| target.as_str().into()).collect();
    core.reach.lock().set_peer(&name, cut_off, now);
    for limit in &trailer.limits {
        match LimitReport::try_from(limit) {
            Ok(report) => merge_limit(core, &report, &name, now),
            Err(error) => warn!(%error, peer = %name, "peer reported a malformed limit"),
        }
    }
    for full in &trailer.full {
        match RefusalReport::try_from(full) {
            Ok(report) => {
                let requests = core.pool.lock().own_requests(&report.replica);
                core.refusals.lock().merge(&report, requests, now);
            }
            Err(error) => warn!(%error, peer = %name, "peer reported a malformed refusal"),
        }
    }
    zones::merge(core, &trailer.lost);
    core.releases.lock().note(&name, trailer.release, &core.view.snapshot().instances);
    fetch_config(core, &name, datagram.rev);
    note_peer(core, name, datagram.ready, now);
}

/// Applies a limit that a peer saw in an answer.
fn merge_limit(core: &Core, report: &LimitReport, peer: &str, now: Time) {
    let mut limits = core.limits.lock();
    if limits.merge(report, now) {
        core.metrics.limited_replicas.set(limits.count() as i64);
        info!(replica = %report.replica, rate = report.rate, peer, "peer reported a replica's limit");
    }
}

/// Records that a peer is ready, or removes one that is not.
fn note_peer(core: &Core, name: Arc<str>, ready: bool, now: Time) {
    let mut datagrams = core.last_datagrams.lock();
    match datagrams.binary_search_by(|(n, _)| n.cmp(&name)) {
        Ok(at) => datagrams[at].1 = now,
        Err(at) => datagrams.insert(at, (name.clone(), now)),
    }
    datagrams.retain(|(_, at)| now.since(*at) < HEARD_TTL);
    drop(datagrams);
    let mut last_heard = core.last_heard.lock();
    match (last_heard.binary_search_by(|(n, _)| n.cmp(&name)), ready) {
        (Ok(at), true) => last_heard[at].1 = now,
        (Err(at), true) => last_heard.insert(at, (name, now)),
        (Ok(at), false) => {
            last_heard.remove(at);
        }
        (Err(_), false) => {}
    }
    last_heard.retain(|(_, at)| now.since(*at) < HEARD_TTL);
    core.live_instances.store(last_heard.len() as u32 + 1, Ordering::Relaxed);
}
