//! Connections to the former address of a replica must not stay open once the replica has another:
//! nobody uses them, and each holds a descriptor here and at whatever listens there.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
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
    time::sleep,
};

struct Open;

impl Gate for Open {
    fn open(&self) -> bool {
        true
    }

    fn unsent(&self) {}
}

/// Starts a server that never closes a connection. Returns its address and the number of those that
/// its clients have not closed.
async fn serve() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let addr = listener.local_addr().expect("it is bound");
    let open = Arc::new(AtomicUsize::new(0));
    let count = open.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            count.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let mut buffer = [0; 1024];
                while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    let _ = stream.write_all(answer).await;
                }
                count.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (addr, open)
}

#[tokio::test]
async fn connections_to_a_former_address_are_closed() {
    let (pool, id) = (ConnPool::default(), Arc::from("r-1"));
    let ((before, open), (after, _)) = (serve().await, serve().await);
    let send = |addr| {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = "/x".parse().expect("it is a path");
        pool.send(&id, addr, 6, request, &Open, Time(1))
    };
    let (kept, used) =
        (send(before).await.expect("it answers"), send(before).await.expect("it answers"));
    pool.keep(kept.1, kept.0.headers(), Time(1));
    let moved = send(after).await.expect("the server answers");
    // The answer to a request that was sent before the move ends after it.
    pool.keep(used.1, used.0.headers(), Time(1));
    drop(moved);
    for _ in 0..100 {
        if open.load(Ordering::SeqCst) == 0 {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("{} connections to the former address are open", open.load(Ordering::SeqCst));
}
