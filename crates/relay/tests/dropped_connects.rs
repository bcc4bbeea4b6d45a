//! A request that is dropped while its connection opens or its answer is awaited must not stay
//! counted: with each such count the instance may have one connection fewer to the replica, until it
//! refuses all requests to it.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use ident::Time;
use relay::conns::{ConnPool, Gate};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Limit on connections: one that stays counted makes the next request fail.
const MAX_CONNS: u32 = 1;
/// Delay of an answer, so that the wait for it is an await point of its own.
const ANSWER_DELAY: Duration = Duration::from_millis(5);

struct Open;

impl Gate for Open {
    fn open(&self) -> bool {
        true
    }

    fn unsent(&self) {}
}

/// Drops a future once it has been pending a given number of times.
struct DropAfter<F> {
    future: Pin<Box<F>>,
    polls: usize,
}

impl<F> Future for DropAfter<F>
where
    F: Future,
{
    type Output = Option<F::Output>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match self.future.as_mut().poll(cx) {
            Poll::Ready(out) => Poll::Ready(Some(out)),
            Poll::Pending if self.polls <= 1 => Poll::Ready(None),
            Poll::Pending => {
                self.polls -= 1;
                Poll::Pending
            }
        }
    }
}

/// Starts a server that answers each request after a delay and keeps its connections.
async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let addr = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 1024];
                while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
                    tokio::time::sleep(ANSWER_DELAY).await;
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    if stream.write_all(answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Drops requests after each number of polls, until one is answered. Returns the number of requests
/// that were dropped.
async fn drop_everywhere(pool: &ConnPool, addr: SocketAddr) -> usize {
    let id: Arc<str> = "r-1".into();
    for polls in 1.. {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = "/x".parse().expect("it is a path");
        let send = pool.send(&id, addr, MAX_CONNS, request, &Open, Time(1));
        let sent = DropAfter { future: Box::pin(send), polls }.await;
        match sent {
            None => assert_eq!(pool.open_conns(), 0, "a request dropped after {polls} polls"),
            Some(Ok((response, conn))) => {
                assert_eq!(pool.open_conns(), 1);
                pool.keep(conn, response.headers(), Time(1));
                assert_eq!(pool.open_conns(), 1, "a kept connection is open");
                pool.sweep(|_| false, Time(1));
                assert_eq!(pool.open_conns(), 0, "connections to unknown replicas are closed");
                return polls - 1;
            }
            Some(Err(error)) => panic!("{error} after {} dropped requests", polls - 1),
        }
    }
    unreachable!("some request is answered");
}

#[tokio::test]
async fn a_request_dropped_at_any_await_point_is_not_counted() {
    let addr = serve().await;
    let pools = [ConnPool::default(), ConnPool::from_source(IpAddr::V4(Ipv4Addr::LOCALHOST))];
    for pool in &pools {
        let dropped = drop_everywhere(pool, addr).await;
        assert!(dropped >= 2, "{dropped} await points: the connection and the answer are two");
    }
}

#[tokio::test]
async fn many_dropped_connects_leave_room_for_requests() {
    let (pool, addr, id) = (ConnPool::default(), serve().await, Arc::from("r-1"));
    for _ in 0..50 {
        let request = Request::new(Full::new(Bytes::new()));
        let send = pool.send(&id, addr, 6, request, &Open, Time(1));
        assert!(DropAfter { future: Box::pin(send), polls: 1 }.await.is_none());
    }
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/x".parse().expect("it is a path");
    let sent = pool.send(&id, addr, 6, request, &Open, Time(1)).await;
    assert!(sent.is_ok(), "{:?}", sent.err());
}
