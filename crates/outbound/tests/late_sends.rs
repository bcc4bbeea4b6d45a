//! A call must not be sent after its deadline for sending, even if the process was paused after an
//! earlier check.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bytes::Bytes;
use hyper::Method;
use outbound::{CallError, Service, ServiceCall, ServiceClient};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

fn call() -> ServiceCall {
    let (method, path) = (Method::POST, "/book".into());
    ServiceCall {
        method,
        path,
        content_type: None,
        idempotency_key: None,
        body: Bytes::from_static(b"{}"),
    }
}

/// Makes a call for which only the first `allowed` checks allow it to be sent. Returns the result
/// and the bytes that the service received.
async fn call_with(allowed: u32) -> (Result<outbound::Reply, CallError>, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let service = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut got = vec![0; 1024];
        let n = stream.read(&mut got).await.unwrap_or(0);
        got.truncate(n);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
        got
    });
    let checks = AtomicU32::new(0);
    let may_send = || checks.fetch_add(1, Ordering::Relaxed) < allowed;
    let answer = ServiceClient.call(addr, &call(), &may_send, Duration::from_secs(5)).await;
    (answer, service.await.unwrap())
}

#[tokio::test]
async fn call_before_the_deadline_is_answered() {
    let (answer, got) = call_with(u32::MAX).await;
    assert_eq!(answer.unwrap().body, "ok");
    assert!(got.starts_with(b"POST /book "), "{got:?}");
}

#[tokio::test]
async fn no_byte_is_sent_after_the_deadline() {
    for allowed in [0, 1] {
        let (answer, got) = call_with(allowed).await;
        let error = answer.unwrap_err();
        assert!(matches!(error, CallError::Late), "{allowed}: {error:?}");
        assert!(error.not_run());
        assert_eq!(got, b"", "{allowed}");
    }
}
