//! Requests and responses between hubs over loopback, with failing peers and connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use ident::{Boot, Name, Rev, Secret};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use wire::{Handler, Hub, MAX_FRAME_BYTES, Message, Options, WireError, seal::Identity};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Answers a request for the changes after revision `r` with a request for those after `r + 1`, and
/// a ping with the same ping. If `slow` is set, the first response is delayed.
#[derive(Default)]
struct Echo {
    slow: AtomicBool,
    seen: AtomicU64,
}

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, _: Name, message: Message) -> Option<Message> {
        self.seen.fetch_add(1, Ordering::SeqCst);
        if self.slow.swap(false, Ordering::SeqCst) {
            sleep(SHORT_TIMEOUT * 4).await;
        }
        match message {
            Message::ChangesAsk { after } => Some(Message::ChangesAsk { after: after.next() }),
            Message::Ping(p) => Some(Message::Ping(p)),
            _ => None,
        }
    }
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn identity(who: &str, key: &[u8]) -> Identity {
    Identity { name: name(who), boot: Boot(7), secret: Secret::derive("peers", key) }
}

fn hub(who: &str, addr: &str, handler: Arc<Echo>) -> Hub {
    let Identity { name, boot, secret } = identity(who, b"k");
    Hub::bind(addr.parse().unwrap(), name, boot, secret, handler).unwrap()
}

/// Requests the changes after revision `n` from peer b at `at`.
async fn request(
    hub: &Hub,
    at: SocketAddr,
    n: u64,
    timeout: Duration,
) -> Result<Message, WireError> {
    hub.ask(&name("b"), at, Message::ChangesAsk { after: Rev(n) }, timeout).await
}

fn response(n: u64) -> Message {
    Message::ChangesAsk { after: Rev(n + 1) }
}

/// Posts `body` as a peer would and returns the HTTP status.
async fn post(at: SocketAddr, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: p\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut buf = [0; 12];
    timeout(ANSWER_TIMEOUT, stream.read_exact(&mut buf)).await.unwrap().unwrap();
    String::from_utf8_lossy(&buf[9..]).into_owned()
}

#[tokio::test]
async fn one_connection_serves_many_requests() {
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", Arc::default()));
    for n in 0..50 {
        assert_eq!(request(&a, b.local_addr(), n, ANSWER_TIMEOUT).await.unwrap(), response(n));
    }
    let (a, b) = (a.stats(), b.stats());
    assert_eq!(
        (a.connections, a.requests_sent, a.requests_failed, b.requests_answered),
        (1, 50, 0, 50)
    );
    assert_eq!((a.bytes_sent, a.bytes_received), (b.bytes_received, b.bytes_sent));
}

#[tokio::test]
async fn responses_match_requests() {
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", Arc::default()));
    let (a, at) = (Arc::new(a), b.local_addr());
    let tasks: Vec<_> = (0..100)
        .map(|n| {
            let a = a.clone();
            tokio::spawn(async move {
                assert_eq!(request(&a, at, n, ANSWER_TIMEOUT).await.unwrap(), response(n))
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
}

#[tokio::test]
async fn late_response_is_dropped() {
    let slow = Arc::new(Echo { slow: AtomicBool::new(true), ..Echo::default() });
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", slow));
    let at = b.local_addr();
    assert!(matches!(request(&a, at, 1, SHORT_TIMEOUT).await, Err(WireError::Timeout(_))));
    for n in 10..20 {
        assert_eq!(request(&a, at, n, ANSWER_TIMEOUT).await.unwrap(), response(n));
        sleep(SHORT_TIMEOUT / 2).await;
    }
    assert_eq!(a.stats().connections, 2);
}

#[tokio::test]
async fn unresponsive_connection_is_replaced() {
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", Arc::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (proxy, upstream) = (listener.local_addr().unwrap(), b.local_addr());
    let (stop_tx, mut stop_rx) = tokio::sync::watch::channel(());
    let task = tokio::spawn(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            let mut server = TcpStream::connect(upstream).await.unwrap();
            let mut stop_rx = stop_rx.clone();
            stop_rx.mark_unchanged();
            tokio::spawn(async move {
                tokio::select! {
                    _ = copy_bidirectional(&mut client, &mut server) => {}
                    _ = stop_rx.changed() => std::future::pending().await,
                }
            });
        }
        stop_rx.mark_unchanged();
    });
    assert_eq!(request(&a, proxy, 1, ANSWER_TIMEOUT).await.unwrap(), response(1));
    stop_tx.send(()).unwrap();
    assert!(matches!(request(&a, proxy, 2, SHORT_TIMEOUT).await, Err(WireError::Timeout(_))));
    assert_eq!(request(&a, proxy, 3, ANSWER_TIMEOUT).await.unwrap(), response(3));
    task.abort();
}

#[tokio::test]
async fn restarted_peer_is_reached() {
    let a = hub("a", "127.0.0.1:0", Arc::default());
    let b = hub("b", "127.0.0.1:0", Arc::default());
    let at = b.local_addr();
    request(&a, at, 1, ANSWER_TIMEOUT).await.unwrap();
    drop(b);
    let restarted = timeout(ANSWER_TIMEOUT, async {
        loop {
            let Identity { name, boot, secret } = identity("b", b"k");
            match Hub::bind(at, name, boot, secret, Arc::<Echo>::default()) {
                Ok(hub) => return hub,
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        }
    });
    let b = restarted.await.unwrap();
    let first = request(&a, at, 2, ANSWER_TIMEOUT).await;
    let second = request(&a, at, 3, ANSWER_TIMEOUT).await.unwrap();
    assert!(first.is_err() || first.unwrap() == response(2));
    assert_eq!((second, b.local_addr()), (response(3), at));
}

#[tokio::test]
async fn oversized_request_is_rejected() {
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", Arc::default()));
    assert_eq!(post(b.local_addr(), &vec![0; MAX_FRAME_BYTES + 1]).await, "413");
    assert_eq!(request(&a, b.local_addr(), 1, ANSWER_TIMEOUT).await.unwrap(), response(1));
}

#[tokio::test]
async fn unauthentic_requests_are_rejected() {
    let seen = Arc::<Echo>::default();
    let b = hub("b", "127.0.0.1:0", seen.clone());
    let at = b.local_addr();
    let other = identity("a", b"other");
    let Identity { name: me, boot, secret } = other.clone();
    let a = Hub::bind("127.0.0.1:0".parse().unwrap(), me, boot, secret, Arc::<Echo>::default());
    assert!(matches!(
        request(&a.unwrap(), at, 1, ANSWER_TIMEOUT).await,
        Err(WireError::Refused(403))
    ));
    let good = wire::encode(&Message::ChangesAsk { after: Rev(1) }).unwrap();
    assert_eq!(post(at, &other.seal_request(&name("b"), 1, &good)).await, "403");
    let own = identity("a", b"k");
    assert_eq!(
        post(at, &own.seal_request(&name("c"), 1, &good)).await,
        "403",
        "sealed for another receiver"
    );
    assert_eq!(post(at, &own.seal_request(&name("b"), 1, &[9, 9])).await, "400");
    assert_eq!(post(at, b"short").await, "400");
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(&[0xff; 4096]).await.unwrap();
    let stats = b.stats();
    assert_eq!((stats.not_authentic, stats.malformed, seen.seen.load(Ordering::SeqCst)), (3, 2, 0));
    assert_eq!(post(at, &own.seal_request(&name("b"), 1, &good)).await, "200");
}

#[tokio::test]
async fn replayed_ping_is_rejected() {
    let b = hub("b", "127.0.0.1:0", Arc::default());
    let own = identity("a", b"k");
    let status = member::Status {
        boot: own.boot,
        incarnation: 1,
        acknowledged: 0,
        leaving: false,
        takes_work: true,
        table_reachable: true,
        rev: Rev(1),
        age_ms: None,
        load: 0,
    };
    let body = wire::encode(&Message::Ping(member::Ping { status, updates: vec![] })).unwrap();
    let sealed = |seq| own.seal_request(&name("b"), seq, &body);
    let mut got = Vec::new();
    for seq in [5, 5, 4, 6, 6] {
        got.push(post(b.local_addr(), &sealed(seq)).await);
    }
    assert_eq!(got, ["200", "409", "409", "200", "409"]);
    assert_eq!(b.stats().replayed, 3);
}

#[tokio::test]
async fn replayed_response_is_rejected() {
    let a = hub("a", "127.0.0.1:0", Arc::default());
    let c = hub("c", "127.0.0.1:0", Arc::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 2048];
        let _ = stream.read(&mut buf).await.unwrap();
        let body = wire::encode(&response(1)).unwrap();
        let old = identity("b", b"k").seal_response(&name("a"), Boot(7), 99, &body);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", old.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&old).await.unwrap();
        sleep(ANSWER_TIMEOUT).await;
    });
    assert!(matches!(request(&a, at, 1, ANSWER_TIMEOUT).await, Err(WireError::NotAuthentic)));
    assert_eq!(a.stats().not_authentic, 1);
    assert!(
        request(&a, c.local_addr(), 1, ANSWER_TIMEOUT).await.is_err(),
        "c does not answer for b"
    );
}

#[tokio::test]
async fn idle_connections_are_closed() {
    let options = Options { idle_timeout: Duration::from_millis(200), max_connections: 4 };
    let at = "127.0.0.1:0".parse().unwrap();
    let b = Hub::bind_with(at, identity("b", b"k"), Arc::<Echo>::default(), options).unwrap();
    let mut idle = Vec::new();
    for _ in 0..4 {
        idle.push(TcpStream::connect(b.local_addr()).await.unwrap());
    }
    let mut extra = TcpStream::connect(b.local_addr()).await.unwrap();
    let end = timeout(ANSWER_TIMEOUT, extra.read(&mut [0])).await.unwrap();
    assert!(end.is_err() || end.unwrap() == 0);
    for mut stream in idle {
        let closed = timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
        assert!(closed.is_ok(), "an idle connection is closed");
    }
    let a = hub("a", "127.0.0.1:0", Arc::default());
    assert_eq!(request(&a, b.local_addr(), 1, ANSWER_TIMEOUT).await.unwrap(), response(1));
    sleep(options.idle_timeout * 3).await;
    let again = request(&a, b.local_addr(), 2, ANSWER_TIMEOUT).await;
    let last = request(&a, b.local_addr(), 3, ANSWER_TIMEOUT).await;
    assert!(again.is_err() || again.unwrap() == response(2));
    assert_eq!(last.unwrap(), response(3));
}
