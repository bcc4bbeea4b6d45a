//! Tells peers where streams began, and asks them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fleet::Snapshot;
use origin::{ASKED, HOMES, Inquiry, Origin, RECORD_TTL, Record, StreamKey, order};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::mpsc, time::timeout};
use tracing::{info, warn};

use crate::{core::Core, job::Job, rows};

/// First byte of the datagrams about streams.
pub(crate) const FORMAT: u8 = 3;
/// Pause before a record is sent once more, in case its first datagram was lost.
const REPEAT_DELAY: Duration = Duration::from_millis(150);
/// Times for answers, after each of which those that are missing are asked once more.
const ROUNDS: [Duration; 3] =
    [Duration::from_millis(60), Duration::from_millis(120), Duration::from_millis(170)];

/// Partition of the rows that record where streams began.
const PARTITION: &str = "origins";
/// Number of rows of an instance.
const ROWS: u8 = 4;
/// Most rows that are read.
const MAX_ROWS: usize = 500;
/// Shortest interval between two writes of an instance.
const STORE_INTERVAL: Duration = Duration::from_millis(400);
/// Most writes of all instances per second; with more instances the interval gets longer.
const MAX_WRITES_PER_SECOND: u32 = 60;
/// Age from which a row is no longer read: longer than callers take streams up.
const ROW_TTL: Duration = Duration::from_secs(60);
/// Pause between attempts to read the rows at the start.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// A datagram, after its first byte. The order of its variants and fields is part of the format.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// A stream began.
    Begun(StreamKey, Record),
    /// Asks where a stream began.
    Ask(StreamKey),
    /// The answer of an instance, with its name.
    Answer(StreamKey, String, Option<Record>),
}

/// An inquiry that waits for answers: the name of the instance, and what it knows.
pub(crate) type Waiting = (StreamKey, mpsc::UnboundedSender<(String, Option<Record>)>);

/// The answers of peers to an inquiry, which is waited for until this is dropped.
struct Answers<'c> {
    core: &'c Core,
    answers: mpsc::UnboundedReceiver<(String, Option<Record>)>,
}

impl<'c> Answers<'c> {
    fn new(core: &'c Core, key: StreamKey) -> Self {
        let (sender, answers) = mpsc::unbounded_channel();
        core.inquiries.lock().push((key, sender));
        Self { core, answers }
    }
}

impl Drop for Answers<'_> {
    fn drop(&mut self) {
        self.answers.close();
        self.core.inquiries.lock().retain(|(_, sender)| !sender.is_closed());
    }
}

async fn send(socket: &UdpSocket, message: &Message, addr: SocketAddr) {
    let bytes = postcard::to_stdvec(&(FORMAT, message)).expect("the message can be encoded");
    // A repeated datagram makes up for a lost one.
    let _ = socket.send_to(&bytes, addr).await;
}

/// Addresses of the first `count` other instances in the order for a stream, with their names.
fn peers(core: &Core, key: StreamKey, count: usize) -> Vec<(Arc<str>, SocketAddr)> {
    let snapshot = core.view.snapshot();
    let names: Vec<Arc<str>> = snapshot.instances.iter().map(|i| i.name.clone()).collect();
    let addr =
        |name: &Arc<str>| snapshot.instances.iter().find(|i| i.name == *name).map(|i| i.peer);
    let order = order(key, &core.settings.name, &names).into_iter().take(count);
    order.filter_map(|name| Some((name.clone(), addr(name)?))).collect()
}

fn key(job: &Job, id: &str) -> StreamKey {
    StreamKey::new(job.team.as_ref().map(|t| &*t.name), id)
}

/// Records where the stream of a request began, and tells its homes.
pub(crate) fn begun(core: &Arc<Core>, job: &Job, origin: Origin) {
    let key = key(job, &job.meta.id);
    core.latest_origins.lock().add(key, origin.clone(), core.now());
    let record = Record::Begun(origin);
    core.origins.lock().add(key, record.clone(), core.now());
    let Some(socket) = core.peer_socket.get().cloned() else { return };
    let homes = peers(core, key, HOMES);
    tokio::spawn(async move {
        let message = Message::Begun(key, record);
        for (_, addr) in &homes {
            send(&socket, &message, *addr).await;
        }
        tokio::time::sleep(REPEAT_DELAY).await;
        for (_, addr) in &homes {
            send(&socket, &message, *addr).await;
        }
    });
}

/// Finds out where the stream began that request `id` of a job's team brought the first event of.
pub(crate) async fn find(core: &Arc<Core>, job: &Job, id: &str) -> Option<Record> {
    let key = key(job, id);
    let known = core.origins.lock().find(key, core.now());
    if known.is_some() {
        return known;
    }
    let socket = core.peer_socket.get()?.clone();
    let peers = peers(core, key, ASKED);
    let mut inquiry = Inquiry::new(peers.iter().map(|(name, _)| name.clone()).collect());
    let mut waiting = Answers::new(core, key);
    for round in ROUNDS {
        if inquiry.is_over() {
            break;
        }
        let missing = peers.iter().filter(|(name, _)| inquiry.waiting().contains(name));
        for (_, addr) in missing {
            send(&socket, &Message::Ask(key), *addr).await;
        }
        let end = core.now().after(round);
        while !inquiry.is_over() {
            let left = end.since(core.now());
            let Ok(Some((name, record))) = timeout(left, waiting.answers.recv()).await else {
                break;
            };
            inquiry.answer(&name, record);
        }
    }
    drop(waiting);
    let missing = inquiry.waiting().len();
    let record = inquiry.into_record();
    info!(
        request = &*job.meta.id,
        resumes = id,
        asked = peers.len(),
        missing,
        found = record.is_some(),
        "peers asked where a stream began"
    );
    if let Some(record) = &record {
        core.origins.lock().add(key, record.clone(), core.now());
    }
    record
}

/// The latest streams of an instance, in a row of the instances' table.
#[derive(Debug, Serialize, Deserialize)]
struct LatestWire {
    /// When it was written, in ms on the registry's clock.
    written: u64,
    /// Where streams began.
    origins: Vec<Origin>,
    /// Streams, each with its place in `origins`.
    streams: Vec<(StreamKey, usize)>,
}

impl LatestWire {
    fn new(streams: Vec<(StreamKey, Origin)>, written: u64) -> Self {
        let mut origins: Vec<Origin> = Vec::new();
        let mut place = |origin: Origin| {
            origins.iter().position(|o| *o == origin).unwrap_or_else(|| {
                origins.push(origin);
                origins.len() - 1
            })
        };
        let streams = streams.into_iter().map(|(key, origin)| (key, place(origin))).collect();
        Self { written, origins, streams }
    }
}

/// Reads where streams began before this instance started, then stores where its latest streams
/// began, while replicas of several versions are in service: nobody would know it once all instances
/// were killed.
pub(crate) async fn keep(core: Arc<Core>) {
    let sort = load(&core).await;
    loop {
        let snapshot = core.view.snapshot();
        let instances = snapshot.instances.len() as u32;
        let interval = Duration::from_secs(1) * instances / MAX_WRITES_PER_SECOND;
        tokio::time::sleep(STORE_INTERVAL.max(interval)).await;
        let now = core.now();
        if is_mixed(&snapshot) {
            core.latest_origins.lock().note_mixed(now);
        }
        let Some(clock) = core.registry_clock.lock().to_registry(now) else { continue };
        let Some(streams) = core.latest_origins.lock().take(now) else { continue };
        let wire = LatestWire::new(streams, clock);
        if let Err(error) = rows::replace(&core, PARTITION, sort.clone(), &wire).await {
            core.latest_origins.lock().not_stored();
            warn!(%error, "where streams began could not be stored");
        }
    }
}

/// Whether a target has replicas of several versions.
fn is_mixed(snapshot: &Snapshot) -> bool {
    let mut seen: Vec<(&str, &str)> = snapshot
        .replicas
        .iter()
        .filter_map(|r| Some((&*r.target, r.software.as_deref()?)))
        .collect();
    seen.sort_unstable();
    seen.dedup();
    seen.windows(2).any(|pair| pair[0].0 == pair[1].0)
}

/// Reads where streams began, once that can be read. Returns the row of this instance that was
/// written longest ago, so that what its last process wrote stays.
async fn load(core: &Core) -> Arc<str> {
    let mut own: Vec<(u64, Arc<str>)> =
        (0..ROWS).map(|row| (0, format!("{}/{row}", core.settings.name).into())).collect();
    loop {
        let clock = core.registry_clock.lock().to_registry(core.now());
        let rows = match clock {
            Some(_) => core.adapters.table.range(PARTITION, "", MAX_ROWS).await.ok(),
            None => None,
        };
        let (Some(clock), Some(rows)) = (clock, rows) else {
            tokio::time::sleep(LOAD_INTERVAL).await;
            continue;
        };
        let mut streams = 0;
        for row in &rows {
            let Some(wire) = rows::parse::<LatestWire>(row) else { continue };
            if let Some(found) = own.iter_mut().find(|(_, sort)| *sort == row.sort) {
                found.0 = wire.written;
            }
            let now = core.now();
            let age = Duration::from_millis(clock.saturating_sub(wire.written));
            if age >= ROW_TTL {
                continue;
            }
            for Origin { target, software } in &wire.origins {
                core.versions.lock().note(target, Some(software), now.before(age), now);
            }
            for (key, place) in wire.streams {
                let Some(origin) = wire.origins.get(place) else { continue };
                let record = Record::Begun(origin.clone());
                core.origins.lock().add(key, record, core.now());
                streams += 1;
            }
        }
        if streams > 0 {
            info!(streams, rows = rows.len(), "read where streams began");
        }
        // Rows are written while replicas of several versions serve, and for that long after.
        core.versions.lock().set_complete(core.now().before(RECORD_TTL));
        own.sort();
        return own.swap_remove(0).1;
    }
}

/// Applies a datagram, whose first byte was [`FORMAT`].
pub(crate) async fn receive(core: &Core, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes(bytes) {
        Ok(Message::Begun(key, record)) => {
            let now = core.now();
            if let Record::Begun(Origin { target, software }) = &record {
                core.versions.lock().note(target, Some(software), now, now);
            }
            core.origins.lock().add(key, record, now);
        }
        Ok(Message::Ask(key)) => {
            let record = core.origins.lock().find(key, core.now());
            let name = core.settings.name.to_string();
            send(socket, &Message::Answer(key, name, record), from).await;
        }
        Ok(Message::Answer(key, name, record)) => {
            let inquiries = core.inquiries.lock();
            for (_, sender) in inquiries.iter().filter(|(asked, _)| *asked == key) {
                // The inquiry may be over.
                let _ = sender.send((name.clone(), record.clone()));
            }
        }
        Err(error) => warn!(%error, %from, "datagram about a stream dropped"),
    }
}
