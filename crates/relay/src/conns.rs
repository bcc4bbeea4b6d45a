//! Pool of connections to replicas. A connection carries one request at a time and is kept only if
//! its answer was read to the end.

use std::{
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    client::conn::http1,
    header::{CONNECTION, HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use ident::Time;
use outbound::{InformationalLimit, TooManyInformational};
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time::timeout,
};

/// Timeout for opening a connection. A replica without power does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long bytes sent to a replica or peer may stay unacknowledged (`TCP_USER_TIMEOUT`). It also
/// decides when keepalive probes give up: a silence of 1.5 s may swallow two of them, and begin a
/// second after the last acknowledgement.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(3200);
/// The same for callers. It also limits how long a caller may leave what it received unread, since
/// a closed window counts as unacknowledged.
pub(crate) const CALLER_UNACKED_TIMEOUT: Duration = Duration::from_secs(5);
/// Silence before the first TCP keepalive probe, and pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Keepalive probes without an answer that end a connection where no timeout for unacknowledged bytes
/// decides.
const KEEPALIVE_RETRIES: u32 = 3;
/// How long an unused connection is kept if the replica names no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest head of an answer, in bytes. It also bounds what is read at once.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Longest body that is read from a peer, in bytes.
const MAX_PEER_BYTES: usize = 8 * 1024 * 1024;
/// A kept connection is closed this long before the replica would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// An error while sending a request or reading its answer's head.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The connection could not be opened. Nothing was sent.
    #[error("no connection: {0}")]
    Connect(Arc<str>),
    /// The connection was refused: nothing listens at the address. Nothing was sent.
    #[error("connection refused: {0}")]
    Refused(Arc<str>),
    /// The request may no longer be sent. Nothing was sent.
    #[error("the request may not be sent")]
    Withheld,
    /// All connections that this instance may have to the replica are in use. Nothing was sent.
    #[error("all connections to the replica are in use")]
    NoFreeConn,
    /// The connection broke; the request may have been sent.
    #[error("the connection broke: {0}")]
    Broken(Arc<str>),
}

impl From<TooManyInformational> for SendError {
    fn from(error: TooManyInformational) -> Self {
        Self::Broken(error.to_string().into())
    }
}

/// A connection in use. Dropping it closes the connection, and the replica cancels the request.
pub struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    open: OpenGuard,
    /// When the connection expires if it stays unused.
    expires: Time,
    /// Whether an earlier request was answered on it.
    is_kept: bool,
}

impl Conn {
    /// Whether an earlier request was answered on the connection, so that bytes on it may belong to
    /// that one.
    pub(crate) fn is_kept(&self) -> bool {
        self.is_kept
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a connection as open until the guard is dropped. It exists before the connection does, so
/// that a request that is dropped while its connection opens is not counted any more.
struct OpenGuard(Arc<ReplicaConns>);

impl OpenGuard {
    /// Counts one more connection. `None` if `max_conns` are open.
    fn new(replica: Arc<ReplicaConns>, max_conns: u32) -> Option<Self> {
        let before = replica.open.fetch_add(1, Ordering::Relaxed);
        let guard = Self(replica);
        (before < max_conns).then_some(guard)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connections to one incarnation of a replica.
struct ReplicaConns {
    id: Arc<str>,
    addr: SocketAddr,
    /// Number of [`OpenGuard`]s.
    open: AtomicU32,
    /// `None` once the pool has dropped this entry. A connection in the list owns the entry, so one
    /// that is added later would keep itself open.
    idle: Mutex<Option<Vec<Conn>>>,
    /// Whether a kept connection was closed before it expired, since the last request.
    closed_early: AtomicBool,
}

/// Connections of an instance to all replicas.
#[derive(Default)]
pub struct ConnPool {
    /// Sorted by the replicas' ids.
    replicas: Mutex<Vec<Arc<ReplicaConns>>>,
    /// Address from which connections are made; `None` for any.
    source: Option<IpAddr>,
}

/// What is told of the writing of a request.
pub trait Gate: Sync {
    /// Called each time before the request is written. Returns whether it may be.
    fn open(&self) -> bool;

    /// Nothing was written since [`Gate::open`].
    fn unsent(&self);

    /// The replica closed a connection that was kept, sooner than its keep-alive timeout says.
    fn closed_early(&self) {}
}

impl ConnPool {
    /// A pool whose connections are made from `source`.
    pub fn from_source(source: IpAddr) -> Self {
        Self { source: Some(source), ..Self::default() }
    }

    /// Sends a request to the replica `id` at `addr`, over a kept connection if there is one. At
    /// most `max_conns` connections to the replica are open at a time.
    pub async fn send(
        &self,
        id: &Arc<str>,
        addr: SocketAddr,
        max_conns: u32,
        mut request: Request<Full<Bytes>>,
        gate: &dyn Gate,
        now: Time,
    ) -> Result<(Response<Incoming>, Conn), SendError> {
        let informational = InformationalLimit::new(&mut request);
        let replica = self.conns_of(id, addr);
        while let Some(mut conn) = replica.take_idle(now) {
            if replica.closed_early.swap(false, Ordering::Relaxed) {
                gate.closed_early();
            }
            if !gate.open() {
                return Err(SendError::Withheld);
            }
            match informational.within(conn.sender.try_send_request(request)).await? {
                Ok(response) => return Ok((response, conn)),
                // The connection closed before anything was written, so the request can be sent
                // again.
                Err(mut e) => match e.take_message() {
                    Some(unsent) => {
                        gate.unsent();
                        replica.closed_early.store(true, Ordering::Relaxed);
                        request = unsent;
                    }
                    None => return Err(SendError::Broken(e.into_error().to_string().into())),
                },
            }
        }
        if replica.closed_early.swap(false, Ordering::Relaxed) {
            gate.closed_early();
        }
        let mut conn = connect(replica, max_conns, self.source).await?;
        if !gate.open() {
            return Err(SendError::Withheld);
        }
        match informational.within(conn.sender.try_send_request(request)).await? {
            Ok(response) => Ok((response, conn)),
            Err(mut e) => match e.take_message() {
                Some(_) => {
                    gate.unsent();
                    Err(SendError::Connect(e.into_error().to_string().into()))
                }
                None => Err(SendError::Broken(e.into_error().to_string().into())),
            },
        }
    }

    /// Keeps a connection whose answer was read to its end, unless `headers` forbid it.
    pub fn keep(&self, mut conn: Conn, headers: &HeaderMap, now: Time) {
        let Some(idle_timeout) = idle_timeout(headers) else { return };
        if conn.sender.is_closed() {
            return;
        }
        conn.expires = now.after(idle_timeout);
        conn.is_kept = true;
        let replica = conn.open.0.clone();
        if let Some(idle) = replica.idle.lock().as_mut() {
            idle.push(conn);
        }
    }

    /// Closes all connections that are not in use.
    pub fn close_kept(&self) {
        for replica in self.replicas.lock().iter() {
            let kept = replica.idle.lock().as_mut().map(std::mem::take);
            drop(kept);
        }
    }

    /// Number of connections that are open or being opened, kept ones included.
    pub fn open_conns(&self) -> u32 {
        self.replicas.lock().iter().map(|r| r.open.load(Ordering::Relaxed)).sum()
    }

    /// Closes expired connections, and those to replicas for which `known` returns false.
    pub fn sweep<F>(&self, known: F, now: Time)
    where
        F: Fn(&str) -> bool,
    {
        let mut replicas = self.replicas.lock();
        for replica in replicas.iter() {
            let keep = known(&replica.id);
            // Dropped without the lock of the idle list. Dropping a connection does not need the
            // lock of `replicas`.
            let unusable: Vec<Conn> = {
                let mut idle = replica.idle.lock();
                let all = idle.take().unwrap_or_default();
                all.iter().for_each(|c| replica.note_closed(c, now));
                let (usable, unusable) = all
                    .into_iter()
                    .partition(|c| keep && !c.expires.passed(now) && !c.sender.is_closed());
                *idle = Some(usable);
                unusable
            };
            drop(unusable);
        }
        replicas.retain(|p| {
            let keep = known(&p.id) || p.open.load(Ordering::Relaxed) > 0;
            if !keep {
                p.close_idle();
            }
            keep
        });
    }

    fn conns_of(&self, id: &Arc<str>, addr: SocketAddr) -> Arc<ReplicaConns> {
        let mut replicas = self.replicas.lock();
        match replicas.binary_search_by(|p| p.id.cmp(id)) {
            Ok(at) if replicas[at].addr == addr => replicas[at].clone(),
            found => {
                let (id, open) = (id.clone(), AtomicU32::new(0));
                let (idle, closed_early) = (Mutex::new(Some(Vec::new())), AtomicBool::new(false));
                let replica = Arc::new(ReplicaConns { id, addr, open, idle, closed_early });
                match found {
                    Ok(at) => std::mem::replace(&mut replicas[at], replica.clone()).close_idle(),
                    Err(at) => replicas.insert(at, replica.clone()),
                }
                replica
            }
        }
    }
}

impl ReplicaConns {
    /// Notes an idle connection that the replica closed before it expired.
    fn note_closed(&self, conn: &Conn, now: Time) {
        if conn.sender.is_closed() && !conn.expires.passed(now) {
            self.closed_early.store(true, Ordering::Relaxed);
        }
    }

    /// Takes the connection that was used last, if it is still usable.
    fn take_idle(&self, now: Time) -> Option<Conn> {
        loop {
            let conn = self.idle.lock().as_mut()?.pop()?;
            self.note_closed(&conn, now);
            if !conn.expires.passed(now) && conn.sender.is_ready() {
                return Some(conn);
            }
        }
    }

    /// Closes the kept connections, and keeps none from now on.
    fn close_idle(&self) {
        let idle = self.idle.lock().take();
        drop(idle);
    }
}

async fn connect(
    replica: Arc<ReplicaConns>,
    max_conns: u32,
    source: Option<IpAddr>,
) -> Result<Conn, SendError> {
    let open = OpenGuard::new(replica, max_conns).ok_or(SendError::NoFreeConn)?;
    let (sender, task) = handshake(open.0.addr, source).await?;
    // The expiry is set when the connection becomes idle.
    Ok(Conn { sender, task, open, expires: Time(0), is_kept: false })
}

type Handshake = (http1::SendRequest<Full<Bytes>>, AbortHandle);

/// Opens a connection to `addr`, from the address `source` if one is given.
pub(crate) async fn open(
    addr: SocketAddr,
    limit: Duration,
    source: Option<IpAddr>,
) -> Result<TcpStream, SendError> {
    let connect = async {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(source) = source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        socket.connect(addr).await
    };
    match timeout(limit, connect).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
            Err(SendError::Refused(e.to_string().into()))
        }
        Ok(Err(e)) => Err(SendError::Connect(e.to_string().into())),
        Err(_) => Err(SendError::Connect("no answer in time".into())),
    }
}

/// Opens a connection to `addr` and closes it.
pub(crate) async fn try_connect(addr: SocketAddr, limit: Duration) -> Result<(), SendError> {
    open(addr, limit, None).await.map(drop)
}

async fn handshake(addr: SocketAddr, source: Option<IpAddr>) -> Result<Handshake, SendError> {
    let stream = open(addr, CONNECT_TIMEOUT, source).await?;
    let failed = |e: &dyn std::error::Error| SendError::Connect(e.to_string().into());
    set_socket_options(&stream, UNACKED_TIMEOUT).map_err(|e| failed(&e))?;
    let mut builder = http1::Builder::new();
    let handshake = builder.max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
    let (sender, conn) = handshake.await.map_err(|e| failed(&e))?;
    let task = tokio::spawn(async move {
        // The end of the connection shows as an error of its sender and bodies.
        let _ = conn.await;
    });
    Ok((sender, task.abort_handle()))
}

/// Ends a connection's task, also if the future that uses the connection is dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Reads a short body from a peer over a new connection. A status other than success gives
/// [`SendError::Broken`], a timeout [`SendError::Connect`], also where the request was sent.
pub(crate) async fn fetch_from_peer(
    addr: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<Bytes, SendError> {
    let broken = |e: hyper::Error| SendError::Broken(e.to_string().into());
    let exchange = async {
        let (mut sender, task) = handshake(addr, None).await?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = path.parse().expect("the path constant is valid");
        let value = HeaderValue::from_str(&addr.to_string()).expect("the address is a valid value");
        request.headers_mut().insert(HOST, value);
        let informational = InformationalLimit::new(&mut request);
        let conn = AbortOnDrop(task);
        let response = informational.within(sender.send_request(request)).await?.map_err(broken)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_PEER_BYTES).collect().await;
        let body = body.map_err(|e| SendError::Broken(e.to_string().into()))?.to_bytes();
        drop(conn);
        if status.is_success() { Ok(body) } else { Err(SendError::Broken(status.as_str().into())) }
    };
    let timed_out = || SendError::Connect("no answer in time".into());
    timeout(limit, exchange).await.unwrap_or_else(|_| Err(timed_out()))
}

/// Sets socket options so that a connection whose other end no longer acknowledges anything fails
/// after about `unacked`.
pub(crate) fn set_socket_options(stream: &TcpStream, unacked: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacked))?;
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(KEEPALIVE_RETRIES))
}

/// How long the replica's answer allows to keep its connection; `None` if not at all.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
    if text(CONNECTION).is_some_and(|v| v.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let Some(named) = text(hyper::header::HeaderName::from_static("keep-alive")) else {
        return Some(DEFAULT_IDLE_TIMEOUT);
    };
    let seconds = named.split(',').find_map(|w| w.trim().strip_prefix("timeout=")?.parse().ok());
    Duration::from_secs(seconds?).checked_sub(IDLE_MARGIN)
}
