//! Questions and answers over loopback, with failing peers and connections.

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
use wire::{Handler, Hub, MAX_FRAME, Message, Options, WireError, seal::Identity};

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(200);

/// Answers a question for changes after `r` with one for those after `r + 1`, the first question
/// only after a pause.
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
            sleep(SHORT * 4).await;
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

async fn ask(hub: &Hub, at: SocketAddr, n: u64, limit: Duration) -> Result<Message, WireError> {
    hub.ask(&name("b"), at, Message::ChangesAsk { after: Rev(n) }, limit).await
}

fn answer(n: u64) -> Message {
    Message::ChangesAsk { after: Rev(n + 1) }
}

async fn post(at: SocketAddr, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: p\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut buf = [0; 12];
    timeout(LONG, stream.read_exact(&mut buf)).await.unwrap().unwrap();
    String::from_utf8_lossy(&buf[9..]).into_owned()
}

#[tokio::test]
async fn one_connection_serves() {
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", Arc::default()));
    for n in 0..50 {
        assert_eq!(ask(&a, b.local_addr(), n, LONG).await.unwrap(), answer(n));
    }
    let (a, b) = (a.stats(), b.stats());
    assert_eq!((a.connections, a.asked, a.failed, b.answered), (1, 50, 0, 50));
    assert_eq!((a.sent, a.received), (b.received, b.sent));
}

#[tokio::test]
async fn answers_match_questions() {
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", Arc::default()));
    let (a, at) = (Arc::new(a), b.local_addr());
    let tasks: Vec<_> = (0..100)
        .map(|n| {
            let a = a.clone();
            tokio::spawn(async move { assert_eq!(ask(&a, at, n, LONG).await.unwrap(), answer(n)) })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
}

#[tokio::test]
async fn late_answer_is_dropped() {
    let slow = Arc::new(Echo { slow: AtomicBool::new(true), ..Echo::default() });
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", slow));
    let at = b.local_addr();
    assert!(matches!(ask(&a, at, 1, SHORT).await, Err(WireError::Timeout(_))));
    for n in 10..20 {
        assert_eq!(ask(&a, at, n, LONG).await.unwrap(), answer(n));
        sleep(SHORT / 2).await;
    }
    assert_eq!(a.stats().connections, 2);
}

#[tokio::test]
async fn silent_connection_is_replaced() {
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", Arc::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (relay, behind) = (listener.local_addr().unwrap(), b.local_addr());
    let (mute, mut muted) = tokio::sync::watch::channel(());
    let task = tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let mut far = TcpStream::connect(behind).await.unwrap();
            let mut muted = muted.clone();
            muted.mark_unchanged();
            tokio::spawn(async move {
                tokio::select! {
                    _ = copy_bidirectional(&mut near, &mut far) => {}
                    _ = muted.changed() => std::future::pending().await,
                }
            });
        }
        muted.mark_unchanged();
    });
    assert_eq!(ask(&a, relay, 1, LONG).await.unwrap(), answer(1));
    mute.send(()).unwrap();
    assert!(matches!(ask(&a, relay, 2, SHORT).await, Err(WireError::Timeout(_))));
    assert_eq!(ask(&a, relay, 3, LONG).await.unwrap(), answer(3));
    task.abort();
}

#[tokio::test]
async fn peer_back_at_address() {
    let a = hub("a", "127.0.0.1:0", Arc::default());
    let b = hub("b", "127.0.0.1:0", Arc::default());
    let at = b.local_addr();
    ask(&a, at, 1, LONG).await.unwrap();
    drop(b);
    let bound = timeout(LONG, async {
        loop {
            let Identity { name, boot, secret } = identity("b", b"k");
            match Hub::bind(at, name, boot, secret, Arc::<Echo>::default()) {
                Ok(hub) => return hub,
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        }
    });
    let b = bound.await.unwrap();
    let first = ask(&a, at, 2, LONG).await;
    let second = ask(&a, at, 3, LONG).await.unwrap();
    assert!(first.is_err() || first.unwrap() == answer(2));
    assert_eq!((second, b.local_addr()), (answer(3), at));
}

#[tokio::test]
async fn full_pages_pass() {
    let (a, b) = (hub("a", "127.0.0.1:0", Arc::default()), hub("b", "127.0.0.1:0", Arc::default()));
    assert_eq!(post(b.local_addr(), &vec![0; MAX_FRAME + 1]).await, "413");
    assert_eq!(ask(&a, b.local_addr(), 1, LONG).await.unwrap(), answer(1));
}

#[tokio::test]
async fn strangers_are_refused() {
    let seen = Arc::<Echo>::default();
    let b = hub("b", "127.0.0.1:0", seen.clone());
    let at = b.local_addr();
    let other = identity("a", b"other");
    let Identity { name: me, boot, secret } = other.clone();
    let a = Hub::bind("127.0.0.1:0".parse().unwrap(), me, boot, secret, Arc::<Echo>::default());
    assert!(matches!(ask(&a.unwrap(), at, 1, LONG).await, Err(WireError::Refused(403))));
    let good = wire::encode(&Message::ChangesAsk { after: Rev(1) }).unwrap();
    assert_eq!(post(at, &other.ask(&name("b"), 1, &good)).await, "403");
    let own = identity("a", b"k");
    assert_eq!(post(at, &own.ask(&name("c"), 1, &good)).await, "403", "sealed for another");
    assert_eq!(post(at, &own.ask(&name("b"), 1, &[9, 9])).await, "400");
    assert_eq!(post(at, b"short").await, "400");
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(&[0xff; 4096]).await.unwrap();
    let stats = b.stats();
    assert_eq!((stats.forged, stats.garbled, seen.seen.load(Ordering::SeqCst)), (3, 2, 0));
    assert_eq!(post(at, &own.ask(&name("b"), 1, &good)).await, "200");
}

#[tokio::test]
async fn replayed_ping_is_refused() {
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
    let sealed = |seq| own.ask(&name("b"), seq, &body);
    let mut got = Vec::new();
    for seq in [5, 5, 4, 6, 6] {
        got.push(post(b.local_addr(), &sealed(seq)).await);
    }
    assert_eq!(got, ["200", "409", "409", "200", "409"]);
    assert_eq!(b.stats().replayed, 3);
}

#[tokio::test]
async fn impostor_answer_is_refused() {
    let a = hub("a", "127.0.0.1:0", Arc::default());
    let c = hub("c", "127.0.0.1:0", Arc::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 2048];
        let _ = stream.read(&mut buf).await.unwrap();
        let body = wire::encode(&answer(1)).unwrap();
        let old = identity("b", b"k").answer(&name("a"), Boot(7), 99, &body);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", old.len());
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&old).await.unwrap();
        sleep(LONG).await;
    });
    assert!(matches!(ask(&a, at, 1, LONG).await, Err(WireError::Forged)));
    assert_eq!(a.stats().forged, 1);
    assert!(ask(&a, c.local_addr(), 1, LONG).await.is_err(), "c does not answer for b");
}

#[tokio::test]
async fn idle_connections_end() {
    let options = Options { idle: Duration::from_millis(200), connections: 4 };
    let at = "127.0.0.1:0".parse().unwrap();
    let b = Hub::bind_with(at, identity("b", b"k"), Arc::<Echo>::default(), options).unwrap();
    let mut silent = Vec::new();
    for _ in 0..4 {
        silent.push(TcpStream::connect(b.local_addr()).await.unwrap());
    }
    let mut extra = TcpStream::connect(b.local_addr()).await.unwrap();
    let end = timeout(LONG, extra.read(&mut [0])).await.unwrap();
    assert!(end.is_err() || end.unwrap() == 0);
    for mut stream in silent {
        let closed = timeout(LONG, stream.read_to_end(&mut Vec::new())).await;
        assert!(closed.is_ok(), "an idle connection is closed");
    }
    let a = hub("a", "127.0.0.1:0", Arc::default());
    assert_eq!(ask(&a, b.local_addr(), 1, LONG).await.unwrap(), answer(1));
    sleep(options.idle * 3).await;
    let again = ask(&a, b.local_addr(), 2, LONG).await;
    let last = ask(&a, b.local_addr(), 3, LONG).await;
    assert!(again.is_err() || again.unwrap() == answer(2));
    assert_eq!(last.unwrap(), answer(3));
}
