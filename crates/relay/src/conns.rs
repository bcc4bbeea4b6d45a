//! Connections to replicas: one request at a time on each, kept while they are clean.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    client::conn::http1,
    header::{CONNECTION, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use ident::Time;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// How long a connection may take to be made. A replica without power does not answer at all.
const CONNECT_TERM: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged.
const UNACKED_TERM: Duration = Duration::from_millis(900);
/// Silence after which a connection is probed, and the pause between probes.
const PROBE_TERM: Duration = Duration::from_secs(1);
/// How long an unused connection is kept where the replica names no time.
const IDLE_TERM: Duration = Duration::from_millis(2500);
/// A kept connection is given up this long before the replica would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// Why a request could not be sent, or its answer's head not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No connection could be made. Nothing was sent.
    #[error("no connection: {0}")]
    Connect(Arc<str>),
    /// All connections this instance may have there are in use. Nothing was sent.
    #[error("no free connection")]
    Crowded,
    /// The connection broke after bytes may have been sent.
    #[error("the connection broke: {0}")]
    Broken(Arc<str>),
}

/// A connection in use. Dropping it closes it, and the replica stops work on its request.
pub struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    peer: Arc<Peer>,
    /// When the replica will have closed it, if it stays unused.
    expires: Time,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
        self.peer.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The connections to one incarnation of a replica.
struct Peer {
    id: Arc<str>,
    addr: SocketAddr,
    open: AtomicU32,
    idle: Mutex<Vec<Conn>>,
}

/// The connections of an instance.
#[derive(Default)]
pub struct Conns {
    /// Sorted by id.
    peers: Mutex<Vec<Arc<Peer>>>,
}

impl Conns {
    /// Sends a request to the replica `id` at `addr`, over a kept connection where there is one.
    /// At most `most` connections are open there.
    pub async fn send(
        &self,
        id: &Arc<str>,
        addr: SocketAddr,
        most: u32,
        mut request: Request<Full<Bytes>>,
        now: Time,
    ) -> Result<(Response<Incoming>, Conn), SendError> {
        let peer = self.peer(id, addr);
        while let Some(mut conn) = peer.take(now) {
            match conn.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, conn)),
                // The connection closed before anything was written: the request comes back.
                Err(mut e) => match e.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Broken(e.into_error().to_string().into())),
                },
            }
        }
        let mut conn = connect(peer, most).await?;
        match conn.sender.try_send_request(request).await {
            Ok(response) => Ok((response, conn)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::Connect(e.into_error().to_string().into())),
                None => Err(SendError::Broken(e.into_error().to_string().into())),
            },
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(&self, mut conn: Conn, headers: &HeaderMap, now: Time) {
        let Some(term) = idle_term(headers) else { return };
        if conn.sender.is_closed() {
            return;
        }
        conn.expires = now.after(term);
        let peer = conn.peer.clone();
        peer.idle.lock().push(conn);
    }

    /// Closes unused connections that have been kept too long, and those to replicas for which
    /// `known` says no.
    pub fn sweep<F>(&self, known: F, now: Time)
    where
        F: Fn(&str) -> bool,
    {
        let mut peers = self.peers.lock();
        for peer in peers.iter() {
            let keep = known(&peer.id);
            // Dropped outside the lock of the list, which a connection's drop does not need.
            let old: Vec<Conn> = {
                let mut idle = peer.idle.lock();
                let all = std::mem::take(&mut *idle);
                let (fresh, old) = all
                    .into_iter()
                    .partition(|c| keep && !c.expires.passed(now) && !c.sender.is_closed());
                *idle = fresh;
                old
            };
            drop(old);
        }
        peers.retain(|p| known(&p.id) || p.open.load(Ordering::Relaxed) > 0);
    }

    fn peer(&self, id: &Arc<str>, addr: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers.lock();
        match peers.binary_search_by(|p| p.id.cmp(id)) {
            Ok(at) if peers[at].addr == addr => peers[at].clone(),
            found => {
                let (id, open, idle) = (id.clone(), AtomicU32::new(0), Mutex::default());
                let peer = Arc::new(Peer { id, addr, open, idle });
                match found {
                    Ok(at) => peers[at] = peer.clone(),
                    Err(at) => peers.insert(at, peer.clone()),
                }
                peer
            }
        }
    }
}

impl Peer {
    /// The connection that was used last, if it is still good.
    fn take(&self, now: Time) -> Option<Conn> {
        loop {
            let conn = self.idle.lock().pop()?;
            if !conn.expires.passed(now) && conn.sender.is_ready() {
                return Some(conn);
            }
        }
    }
}

async fn connect(peer: Arc<Peer>, most: u32) -> Result<Conn, SendError> {
    if peer.open.fetch_add(1, Ordering::Relaxed) >= most {
        peer.open.fetch_sub(1, Ordering::Relaxed);
        return Err(SendError::Crowded);
    }
    match handshake(peer.addr).await {
        Ok((sender, task)) => Ok(Conn { sender, task, peer, expires: Time(0) }),
        Err(e) => {
            peer.open.fetch_sub(1, Ordering::Relaxed);
            Err(SendError::Connect(e))
        }
    }
}

type Handshake = (http1::SendRequest<Full<Bytes>>, AbortHandle);

async fn handshake(addr: SocketAddr) -> Result<Handshake, Arc<str>> {
    let stream = match timeout(CONNECT_TERM, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(e.to_string().into()),
        Err(_) => return Err("no answer in time".into()),
    };
    tune(&stream).map_err(|e| Arc::<str>::from(e.to_string()))?;
    let (sender, conn) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| Arc::<str>::from(e.to_string()))?;
    let task = tokio::spawn(async move {
        // Its end shows at the sender and at the bodies it carries.
        let _ = conn.await;
    });
    Ok((sender, task.abort_handle()))
}

/// Reads a short body from a peer, over a connection of its own.
pub(crate) async fn fetch(
    addr: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<Bytes, SendError> {
    let broken = |e: hyper::Error| SendError::Broken(e.to_string().into());
    let whole = async {
        let (mut sender, task) = handshake(addr).await.map_err(SendError::Connect)?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = path.parse().expect("paths are constants");
        let value = HeaderValue::from_str(&addr.to_string()).expect("addresses are plain");
        request.headers_mut().insert(HOST, value);
        let response = sender.send_request(request).await.map_err(broken)?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(broken)?.to_bytes();
        task.abort();
        if status.is_success() { Ok(body) } else { Err(SendError::Broken(status.as_str().into())) }
    };
    let silent = || SendError::Connect("no answer in time".into());
    timeout(limit, whole).await.unwrap_or_else(|_| Err(silent()))
}

/// Makes a connection that has gone silent fail within a second or so.
pub(crate) fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TERM))?;
    let probes = TcpKeepalive::new().with_time(PROBE_TERM).with_interval(PROBE_TERM);
    socket.set_tcp_keepalive(&probes.with_retries(1))
}

/// How long the replica's answer allows its connection to be kept; `None` if not at all.
fn idle_term(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    if text(CONNECTION).is_some_and(|v| v.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let Some(named) = text(hyper::header::HeaderName::from_static("keep-alive")) else {
        return Some(IDLE_TERM);
    };
    let seconds = named.split(',').find_map(|w| w.trim().strip_prefix("timeout=")?.parse().ok());
    Duration::from_secs(seconds?).checked_sub(IDLE_MARGIN)
}
