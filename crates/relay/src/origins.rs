//! Tells peers where streams began, and asks them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use origin::{ASKED, HOMES, Inquiry, Origin, Record, StreamKey, order};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::mpsc, time::timeout};
use tracing::{info, warn};

use crate::{core::Core, job::Job};

/// First byte of the datagrams about streams.
pub(crate) const FORMAT: u8 = 3;
/// Pause before a record is sent once more, in case its first datagram was lost.
const REPEAT_DELAY: Duration = Duration::from_millis(150);
/// Times for answers, after each of which those that are missing are asked once more.
const ROUNDS: [Duration; 3] =
    [Duration::from_millis(60), Duration::from_millis(120), Duration::from_millis(170)];

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
    let (sender, mut answers) = mpsc::unbounded_channel();
    core.inquiries.lock().push((key, sender));
    for round in ROUNDS {
        if inquiry.is_over() {
            break;
        }
        let waiting = peers.iter().filter(|(name, _)| inquiry.waiting().contains(name));
        for (_, addr) in waiting {
            send(&socket, &Message::Ask(key), *addr).await;
        }
        let end = core.now().after(round);
        while !inquiry.is_over() {
            let left = end.since(core.now());
            let Ok(Some((name, record))) = timeout(left, answers.recv()).await else { break };
            inquiry.answer(&name, record);
        }
    }
    drop(answers);
    core.inquiries.lock().retain(|(_, sender)| !sender.is_closed());
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

/// Applies a datagram, whose first byte was [`FORMAT`].
pub(crate) async fn receive(core: &Core, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes(bytes) {
        Ok(Message::Begun(key, record)) => core.origins.lock().add(key, record, core.now()),
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
