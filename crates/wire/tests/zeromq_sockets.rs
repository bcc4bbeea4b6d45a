//! What zeromq's sockets do where peers fail; docs/design/peer-transport.md rests on this.

use std::{process::Command, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use zeromq::{DealerSocket, RouterSocket, Socket, SocketRecv, SocketSend, ZmqMessage};

const CHILD: &str = "ZEROMQ_GIANT_FRAME";
const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(20);

/// A greeting of ZMTP 3.0 with the NULL mechanism, which checks nothing.
fn greeting() -> Vec<u8> {
    let mut out = vec![0xff, 0, 0, 0, 0, 0, 0, 0, 1, 0x7f, 3, 0];
    out.extend(b"NULL");
    out.resize(64, 0);
    out
}

fn ready() -> Vec<u8> {
    let mut body = b"\x05READY\x0bSocket-Type\0\0\0\x06DEALER".to_vec();
    let mut out = vec![4, u8::try_from(body.len()).unwrap()];
    out.append(&mut body);
    out
}

/// Runs in a child process of [`giant_frame_ends_process`].
#[tokio::test]
async fn giant_frame_child() {
    if std::env::var_os(CHILD).is_none() {
        return;
    }
    let mut router = RouterSocket::new();
    let at = router.bind("tcp://127.0.0.1:0").await.unwrap().to_string();
    let mut stream = TcpStream::connect(at.trim_start_matches("tcp://")).await.unwrap();
    stream.write_all(&greeting()).await.unwrap();
    stream.write_all(&ready()).await.unwrap();
    stream.write_all(&[2]).await.unwrap();
    stream.write_all(&(1u64 << 50).to_be_bytes()).await.unwrap();
    let received = timeout(SHORT, router.recv()).await;
    println!("survived: {}", received.is_err());
}

#[test]
fn giant_frame_ends_process() {
    let child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "giant_frame_child", "--nocapture"])
        .env(CHILD, "1")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&child.stderr).into_owned();
    assert!(!child.status.success(), "{text}");
    assert!(text.contains("memory allocation of"), "{text}");
}

/// A send to a peer that accepted the connection and then fell silent reports success.
#[tokio::test]
async fn silent_peer_takes_sends() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = format!("tcp://{}", listener.local_addr().unwrap());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(&greeting()).await.unwrap();
        let mut ready = ready();
        let text = ready.windows(6).position(|w| w == b"DEALER").unwrap();
        ready[text..].copy_from_slice(b"ROUTER");
        stream.write_all(&ready).await.unwrap();
        std::future::pending::<()>().await;
        drop(stream);
    });
    let mut dealer = DealerSocket::new();
    timeout(LONG, dealer.connect(&at)).await.unwrap().unwrap();
    for _ in 0..1000 {
        let sent = timeout(LONG, dealer.send(ZmqMessage::from(vec![0u8; 1000]))).await;
        assert!(sent.unwrap().is_ok());
    }
    assert!(timeout(SHORT, dealer.recv()).await.is_err(), "no error, ever");
    server.abort();
}

/// A connection attempt to a listener that never greets does not end by itself for a long time.
#[tokio::test]
async fn silent_greeting_blocks_connect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = format!("tcp://{}", listener.local_addr().unwrap());
    let mut dealer = DealerSocket::new();
    assert!(timeout(SHORT, dealer.connect(&at)).await.is_err());
}

/// A connected peer that never says anything is kept for good: there is no way to close it.
#[tokio::test]
async fn router_keeps_silent_clients() {
    let mut router = RouterSocket::new();
    let at = router.bind("tcp://127.0.0.1:0").await.unwrap().to_string();
    let mut clients = Vec::new();
    for _ in 0..32 {
        let mut stream = TcpStream::connect(at.trim_start_matches("tcp://")).await.unwrap();
        stream.write_all(&greeting()).await.unwrap();
        stream.write_all(&ready()).await.unwrap();
        let mut hello = [0; 64];
        stream.read_exact(&mut hello).await.unwrap();
        clients.push(stream);
    }
    assert!(timeout(SHORT, router.recv()).await.is_err());
    for stream in &mut clients {
        let mut rest = [0; 256];
        let closed = async { while stream.read(&mut rest).await.unwrap() > 0 {} };
        assert!(timeout(Duration::from_millis(5), closed).await.is_err(), "still open");
    }
}

/// A peer back at the same address: the old socket does not find it; a new one does.
#[tokio::test]
async fn same_address() {
    let mut router = RouterSocket::new();
    let at = router.bind("tcp://127.0.0.1:0").await.unwrap().to_string();
    let mut dealer = DealerSocket::new();
    dealer.connect(&at).await.unwrap();
    dealer.send("one".into()).await.unwrap();
    timeout(LONG, router.recv()).await.unwrap().unwrap();
    router.close().await;
    let mut router = RouterSocket::new();
    timeout(LONG, async { while router.bind(&at).await.is_err() {} }).await.unwrap();
    assert!(timeout(SHORT, dealer.recv()).await.is_err(), "no word of the closed connection");
    assert!(timeout(LONG, dealer.send("two".into())).await.unwrap().is_err());
    assert!(timeout(SHORT, router.recv()).await.is_err(), "the socket does not connect again");
    let mut renewed = DealerSocket::new();
    timeout(LONG, renewed.connect(&at)).await.unwrap().unwrap();
    renewed.send("three".into()).await.unwrap();
    timeout(LONG, router.recv()).await.unwrap().unwrap();
}
