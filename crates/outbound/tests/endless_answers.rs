//! Answers to calls whose bytes never end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::Method;
use outbound::{CallError, Client, Connection, JsonCall, Refusal, Timeouts};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Time after a call's end in which its connection is closed, far above what that takes.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// A server that sends `start`, then `unit` without an end, on one connection. The flag is set once
/// that is closed.
async fn serve(start: &'static str, unit: &'static str) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let addr = listener.local_addr().expect("it is bound");
    let closed = Arc::new(AtomicBool::new(false));
    let flag = closed.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client connects");
        let mut request = [0; 4096];
        let length = stream.read(&mut request).await.expect("a request comes");
        assert!(length > 0, "the client sends its request");
        let block = unit.repeat(1000);
        let mut sent = stream.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            sent = stream.write_all(block.as_bytes()).await;
        }
        flag.store(true, Ordering::Relaxed);
    });
    (addr, closed)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_end_and_close_their_connections() {
    let cases = [
        ("", "no answer "),
        ("HTTP/1.1 200 OK\r\nX-Long: ", "value "),
        ("HTTP/1.1 200 OK\r\n", "X-Line: value\r\n"),
        ("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "[1, 2, 3], "),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\n1, 2\r\n"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "extension"),
    ];
    for (start, unit) in cases {
        let (addr, closed) = serve(start, unit).await;
        let timeouts = Timeouts::default();
        let client = Client::new(timeouts);
        let call = JsonCall::<()> {
            method: Method::GET,
            addr,
            path: "/v1/report",
            body: None,
            connection: Connection::Pooled,
        };
        let refuse = |status: hyper::StatusCode, _: &[u8]| Refusal::Status(status.as_u16()).into();
        let begin = Instant::now();
        let answer: Result<Value, CallError> = client.json(call, timeouts.call, refuse).await;
        let error = answer.expect_err("it is no answer");
        let ended = matches!(error, CallError::Broken(_) | CallError::Silent);
        assert!(ended, "{start:?} {unit:?}: {error}");
        let took = begin.elapsed();
        assert!(took < timeouts.call * 2, "{start:?} {unit:?}: ended after {took:?}");
        while !closed.load(Ordering::Relaxed) {
            assert!(begin.elapsed() < CLOSE_LIMIT, "{start:?} {unit:?}: the connection stays open");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
