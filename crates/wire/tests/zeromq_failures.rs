//! How the sockets of the zeromq crate behave when peers fail. docs/design/peer-transport.md relies
//! on these findings.

use std::{process::Command, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use zeromq::{DealerSocket, RouterSocket, Socket, SocketRecv, SocketSend, ZmqMessage};

/// Environment variable that is set in the child process.
const CHILD_VAR: &str = "ZEROMQ_GIANT_FRAME";
/// Time after which a call counts as blocked.
const BLOCKED_TIMEOUT: Duration = Duration::from_millis(300);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A ZMTP 3.0 greeting with the NULL mechanism, which does not authenticate.
fn greeting() -> Vec<u8> {
    let mut out = vec![0xff, 0, 0, 0, 0, 0, 0, 0, 1, 0x7f, 3, 0];
    out.extend(b"NULL");
    out.resize(64, 0);
    out
}

/// The READY command of a DEALER socket.
fn ready() -> Vec<u8> {
    let mut body = b"\x05READY\x0bSocket-Type\0\0\0\x06DEALER".to_vec();
    let mut out = vec![4, u8::try_from(body.len()).unwrap()];
    out.append(&mut body);
    out
}

/// Runs in a child process of [`huge_frame_aborts_process`].
#[tokio::test]
async fn huge_frame_child() {
    if std::env::var_os(CHILD_VAR).is_none() {
        return;
    }
    let mut router = RouterSocket::new();
    let at = router.bind("tcp://127.0.0.1:0").await.unwrap().to_string();
    let mut stream = TcpStream::connect(at.trim_start_matches("tcp://")).await.unwrap();
    stream.write_all(&greeting()).await.unwrap();
    stream.write_all(&ready()).await.unwrap();
    stream.write_all(&[2]).await.unwrap();
    stream.write_all(&(1u64 << 50).to_be_bytes()).await.unwrap();
    let received = timeout(BLOCKED_TIMEOUT, router.recv()).await;
    println!("survived: {}", received.is_err());
}

/// A frame that announces 2^50 bytes makes the receiver allocate them, which aborts the process.
#[test]
fn huge_frame_aborts_process() {
    let child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "huge_frame_child", "--nocapture"])
        .env(CHILD_VAR, "1")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&child.stderr).into_owned();
    assert!(!child.status.success(), "{text}");
    assert!(text.contains("memory allocation of"), "{text}");
}

/// Sends to a peer that accepted the connection and then stopped responding succeed.
#[tokio::test]
async fn sends_to_unresponsive_peer_succeed() {
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
    timeout(CALL_TIMEOUT, dealer.connect(&at)).await.unwrap().unwrap();
    for _ in 0..1000 {
        let sent = timeout(CALL_TIMEOUT, dealer.send(ZmqMessage::from(vec![0u8; 1000]))).await;
        assert!(sent.unwrap().is_ok());
    }
    assert!(timeout(BLOCKED_TIMEOUT, dealer.recv()).await.is_err(), "no error is reported");
    server.abort();
}

/// A connect to a listener that never sends its greeting does not time out soon.
#[tokio::test]
async fn missing_greeting_blocks_connect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = format!("tcp://{}", listener.local_addr().unwrap());
    let mut dealer = DealerSocket::new();
    assert!(timeout(BLOCKED_TIMEOUT, dealer.connect(&at)).await.is_err());
}

/// A router keeps the connection of a client that never sends a message. The router's owner
/// can't close it.
#[tokio::test]
async fn router_keeps_idle_clients() {
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
    assert!(timeout(BLOCKED_TIMEOUT, router.recv()).await.is_err());
    for stream in &mut clients {
        let mut rest = [0; 256];
        let closed = async { while stream.read(&mut rest).await.unwrap() > 0 {} };
        assert!(timeout(Duration::from_millis(5), closed).await.is_err(), "still open");
    }
}

/// After a peer restarts at the same address, the old socket does not reconnect. A new socket
/// connects.
#[tokio::test]
async fn socket_does_not_reconnect() {
    let mut router = RouterSocket::new();
    let at = router.bind("tcp://127.0.0.1:0").await.unwrap().to_string();
    let mut dealer = DealerSocket::new();
    dealer.connect(&at).await.unwrap();
    dealer.send("one".into()).await.unwrap();
    timeout(CALL_TIMEOUT, router.recv()).await.unwrap().unwrap();
    router.close().await;
    let mut router = RouterSocket::new();
    timeout(CALL_TIMEOUT, async { while router.bind(&at).await.is_err() {} }).await.unwrap();
    assert!(
        timeout(BLOCKED_TIMEOUT, dealer.recv()).await.is_err(),
        "the closed connection is not reported"
    );
    assert!(timeout(CALL_TIMEOUT, dealer.send("two".into())).await.unwrap().is_err());
    assert!(
        timeout(BLOCKED_TIMEOUT, router.recv()).await.is_err(),
        "the socket does not reconnect"
    );
    let mut second = DealerSocket::new();
    timeout(CALL_TIMEOUT, second.connect(&at)).await.unwrap().unwrap();
    second.send("three".into()).await.unwrap();
    timeout(CALL_TIMEOUT, router.recv()).await.unwrap().unwrap();
}
