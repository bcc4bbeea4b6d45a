//! One instance's end of all its conversations with peers.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use ident::{Boot, Name, Secret};
use parking_lot::Mutex;
use tokio::{
    task::JoinHandle,
    time::{Instant, timeout_at},
};

use crate::{
    MAX_FRAME, Message, Stats, WireError, decode, encode,
    link::Link,
    seal::{Identity, Numbers, OpenError},
    server,
    stats::{Counters, count},
};

/// Idle connections kept to one peer.
const IDLE_LINKS: usize = 2;

/// Answers the questions of peers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// The answer to a question; `None` refuses it.
    async fn handle(&self, from: Name, message: Message) -> Option<Message>;
}

/// Bounds of a hub.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// A connection of a peer without a question for this long is closed.
    pub idle: Duration,
    /// Most connections of peers.
    pub connections: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { idle: Duration::from_secs(30), connections: 1024 }
    }
}

/// State that the hub and its connections share.
pub(crate) struct Shared {
    pub(crate) identity: Identity,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) options: Options,
    pub(crate) counters: Arc<Counters>,
    /// The numbers of each sender's pings. Invariant: sorted by name.
    numbers: Mutex<Vec<(Name, Numbers)>>,
}

impl Shared {
    pub(crate) fn take_number(&self, from: &Name, boot: Boot, seq: u64) -> bool {
        let mut numbers = self.numbers.lock();
        let at = match numbers.binary_search_by(|(n, _)| n.cmp(from)) {
            Ok(at) => at,
            Err(at) => {
                numbers.insert(at, (from.clone(), Numbers::default()));
                at
            }
        };
        numbers[at].1.take(boot, seq)
    }
}

/// Asks peers and answers them. Stops when dropped.
pub struct Hub {
    shared: Arc<Shared>,
    addr: SocketAddr,
    seq: AtomicU64,
    /// Idle connections. Invariant: sorted by the peer's name.
    links: Mutex<Vec<(Name, Vec<Link>)>>,
    accept: JoinHandle<()>,
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

impl Hub {
    /// Listens on `addr` as the life `boot` of instance `me`. Needs a tokio runtime.
    pub fn bind(
        addr: SocketAddr,
        me: Name,
        boot: Boot,
        secret: Secret,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, WireError> {
        let identity = Identity { name: me, boot, secret };
        Self::bind_with(addr, identity, handler, Options::default())
    }

    /// As [`Hub::bind`], with other bounds.
    pub fn bind_with(
        addr: SocketAddr,
        identity: Identity,
        handler: Arc<dyn Handler>,
        options: Options,
    ) -> Result<Self, WireError> {
        let fail = |source| WireError::Bind { addr, source };
        let listener = TcpListener::bind(addr).map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(fail)?;
        let addr = listener.local_addr().map_err(fail)?;
        let counters = Arc::default();
        let shared =
            Arc::new(Shared { identity, handler, options, counters, numbers: Mutex::default() });
        let accept = tokio::spawn(server::accept(listener, shared.clone()));
        Ok(Self { shared, addr, seq: AtomicU64::new(0), links: Mutex::default(), accept })
    }

    /// The address it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// The counters.
    pub fn stats(&self) -> Stats {
        self.shared.counters.read()
    }

    /// Drops the connections to a peer and what is remembered of it.
    pub fn forget(&self, peer: &Name) {
        self.links.lock().retain(|(n, _)| n != peer);
        self.shared.numbers.lock().retain(|(n, _)| n != peer);
    }

    /// Asks `to`, which listens on `addr`, and waits at most `limit` for its answer.
    ///
    /// After any failure all connections to the peer are dropped: the next question opens a new
    /// one. An answer that comes late comes over a closed connection and is never seen.
    pub async fn ask(
        &self,
        to: &Name,
        addr: SocketAddr,
        message: Message,
        limit: Duration,
    ) -> Result<Message, WireError> {
        let counters = &self.shared.counters;
        count(&counters.asked);
        let result = self.exchange(to, addr, &message, limit).await;
        match &result {
            Ok(_) => {}
            Err(WireError::Refused(_)) => count(&counters.failed),
            Err(_) => {
                count(&counters.failed);
                self.links.lock().retain(|(n, _)| n != to);
            }
        }
        result
    }

    async fn exchange(
        &self,
        to: &Name,
        addr: SocketAddr,
        message: &Message,
        limit: Duration,
    ) -> Result<Message, WireError> {
        let deadline = Instant::now() + limit;
        let body = encode(message)?;
        let mut link = match self.take(to, addr) {
            Some(link) => link,
            None => timeout_at(deadline, Link::open(addr, &self.shared.counters))
                .await
                .map_err(|_| WireError::Timeout(addr))??,
        };
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let frame = self.shared.identity.ask(to, seq, &body);
        if frame.len() > MAX_FRAME {
            return Err(WireError::TooLarge(frame.len()));
        }
        let bytes = link.exchange(frame, deadline - Instant::now()).await?;
        let opened = self.shared.identity.open_answer(to, seq, &bytes);
        let (boot, body) = opened.map_err(|e| self.count_bad(&e))?;
        let answer = decode(body, boot).inspect_err(|_| count(&self.shared.counters.garbled))?;
        self.give_back(to, link);
        Ok(answer)
    }

    fn count_bad(&self, error: &OpenError) -> WireError {
        count(match error {
            OpenError::Garbled => &self.shared.counters.garbled,
            OpenError::Forged => &self.shared.counters.forged,
        });
        WireError::Forged
    }

    fn take(&self, to: &Name, addr: SocketAddr) -> Option<Link> {
        let mut links = self.links.lock();
        let at = links.binary_search_by(|(n, _)| n.cmp(to)).ok()?;
        links[at].1.retain(|l| l.usable(addr));
        links[at].1.pop()
    }

    fn give_back(&self, to: &Name, link: Link) {
        let mut links = self.links.lock();
        match links.binary_search_by(|(n, _)| n.cmp(to)) {
            Ok(at) if links[at].1.len() < IDLE_LINKS => links[at].1.push(link),
            Ok(_) => {}
            Err(at) => links.insert(at, (to.clone(), vec![link])),
        }
    }
}

impl std::fmt::Debug for Hub {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hub").field("addr", &self.addr).finish_non_exhaustive()
    }
}
