//! The end of a connection is not taken for the end of an answer.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use outbound::{
    CallError, Client, Engine, EngineClient, InstanceList, InstanceListClient, Reply, Service,
    ServiceCall, ServiceClient, Timeouts,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const BODY: &str = r#"{"seq":1}"#;

/// Writes `answer` to one connection after a request came, and closes or resets it.
async fn server(answer: String, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        stream.write_all(answer.as_bytes()).await.unwrap();
        if reset {
            // Time for the bytes to arrive before the reset overtakes them.
            tokio::time::sleep(Duration::from_millis(20)).await;
            stream.set_zero_linger().unwrap();
        }
    });
    addr
}

fn answer(headers: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}")
}

async fn call(headers: &str, body: &str, reset: bool) -> Result<Reply, CallError> {
    let addr = server(answer(headers, body), reset).await;
    let (method, path) = (Method::POST, "/book".into());
    let body = BODY.into();
    let call = ServiceCall { method, path, content_type: None, idempotency_key: None, body };
    ServiceClient.call(addr, &call, &|| true, Duration::from_secs(5)).await
}

#[tokio::test]
async fn a_service_answer_is_framed_by_length_or_chunks_only() {
    for (headers, body, framed) in [
        ("Content-Length: 9\r\n", BODY.to_owned(), true),
        ("Transfer-Encoding: chunked\r\n", format!("9\r\n{BODY}\r\n0\r\n\r\n"), true),
        ("", BODY.to_owned(), false),
        ("Connection: close\r\n", BODY[..4].to_owned(), false),
    ] {
        let reply = call(headers, &body, false).await.unwrap();
        assert_eq!(
            (reply.framed, BODY.as_bytes().starts_with(&reply.body)),
            (framed, true),
            "{headers}"
        );
    }
}

#[tokio::test]
async fn a_service_answer_that_breaks_off_is_none() {
    for (headers, body, reset) in [
        ("Content-Length: 9\r\n", &BODY[..4], false),
        ("Transfer-Encoding: chunked\r\n", "4\r\n{\"se\r\n", false),
        ("", BODY, true),
        ("Content-Length: 9\r\n", &BODY[..4], true),
    ] {
        let error = call(headers, body, reset).await.unwrap_err();
        assert!(matches!(error, CallError::Broken(_)), "{headers:?}: {error:?}");
    }
}

#[tokio::test]
async fn a_document_cut_at_any_byte_is_none() {
    let list = r#"[{"targets":["127.0.0.1:1"],"labels":{"role":"engine","name":"e","zone":"a","state":"live"}}]"#;
    let load =
        r#"{"named_metrics":{"running":1,"waiting":0,"prefill_tokens_per_s":9},"weights":"v1"}"#;
    let client = Client::new(Timeouts::default());
    for cut in 0..=list.len() {
        let addr = server(answer("", &list[..cut]), false).await;
        let read = InstanceListClient::new(client.clone(), addr, "/sd").read().await;
        assert_eq!(read.is_ok(), cut == list.len(), "list cut at {cut}: {read:?}");
    }
    for cut in 0..=load.len() {
        let addr = server(answer("", &load[..cut]), false).await;
        let read = EngineClient::new(client.clone()).load(addr).await;
        assert_eq!(read.is_ok(), cut == load.len(), "load cut at {cut}: {read:?}");
    }
}

#[tokio::test]
async fn tokens_end_with_their_last_event_only() {
    let token = "id: 0\ndata: {\"id\":\"00000000000000000000000000000001\",\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n";
    let stream = format!("{token}data: [DONE]\n\n");
    let client = EngineClient::new(Client::new(Timeouts::default()));
    let request = "00000000000000000000000000000001".parse().unwrap();
    for cut in 0..=stream.len() {
        let addr =
            server(answer("Content-Type: text/event-stream\r\n", &stream[..cut]), false).await;
        let mut tokens = client.resume(addr, request, 0).await.unwrap();
        let end = loop {
            match tokens.next().await {
                Ok(Some(_)) => {}
                end => break end,
            }
        };
        assert_eq!(end.is_ok(), cut == stream.len(), "cut at {cut}: {end:?}");
    }
}
