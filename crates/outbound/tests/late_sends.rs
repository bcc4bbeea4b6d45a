//! A call is not sent once its time is over, whenever the process was paused.

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
    ServiceCall { method, path, content: None, key: None, body: Bytes::from_static(b"{}") }
}

/// Makes a call that may be sent for the first `asks` questions only. The result, and the bytes
/// that the service got.
async fn play(asks: u32) -> (Result<outbound::Reply, CallError>, Vec<u8>) {
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
    let asked = AtomicU32::new(0);
    let may_send = || asked.fetch_add(1, Ordering::Relaxed) < asks;
    let answer = ServiceClient.call(addr, &call(), &may_send, Duration::from_secs(5)).await;
    (answer, service.await.unwrap())
}

#[tokio::test]
async fn a_call_in_time_is_answered() {
    let (answer, got) = play(u32::MAX).await;
    assert_eq!(answer.unwrap().body, "ok");
    assert!(got.starts_with(b"POST /book "), "{got:?}");
}

#[tokio::test]
async fn no_byte_goes_out_once_the_time_is_over() {
    for asks in [0, 1] {
        let (answer, got) = play(asks).await;
        let error = answer.unwrap_err();
        assert!(matches!(error, CallError::Late), "{asks}: {error:?}");
        assert!(error.not_run());
        assert_eq!(got, b"", "{asks}");
    }
}
