//! A TCP proxy that counts bytes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
};

/// Forwards connections to another address and counts their bytes, the sum of both directions.
pub struct CountingProxy {
    /// The address that the proxy listens on.
    pub addr: SocketAddr,
}

impl CountingProxy {
    /// Starts a proxy to `upstream` as a task of the current runtime. It adds to `bytes`.
    pub async fn start(upstream: SocketAddr, bytes: Arc<AtomicU64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("bound");
        tokio::spawn(async move {
            loop {
                let (client, _) = listener.accept().await.expect("accepts");
                let server = TcpStream::connect(upstream).await.expect("the upstream listens");
                client.set_nodelay(true).expect("a TCP option");
                server.set_nodelay(true).expect("a TCP option");
                let ((client_in, client_out), (server_in, server_out)) =
                    (client.into_split(), server.into_split());
                tokio::spawn(copy(client_in, server_out, bytes.clone()));
                tokio::spawn(copy(server_in, client_out, bytes.clone()));
            }
        });
        Self { addr }
    }
}

async fn copy(mut from: tcp::OwnedReadHalf, mut to: tcp::OwnedWriteHalf, count: Arc<AtomicU64>) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 || to.write_all(&buf[..len]).await.is_err() {
            return;
        }
        count.fetch_add(len as u64, Ordering::Relaxed);
    }
}
