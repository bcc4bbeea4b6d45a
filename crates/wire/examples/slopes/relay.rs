//! A relay that counts bytes.

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

/// Passes connections on to another address and counts their bytes, both ways together.
pub struct Relay {
    /// Where it listens.
    pub addr: SocketAddr,
}

impl Relay {
    /// Starts a relay in front of `far` as a task of the current runtime.
    pub async fn start(far: SocketAddr, bytes: Arc<AtomicU64>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("bound");
        tokio::spawn(async move {
            loop {
                let (near, _) = listener.accept().await.expect("accepts");
                let far = TcpStream::connect(far).await.expect("the stand-in listens");
                near.set_nodelay(true).expect("a TCP option");
                far.set_nodelay(true).expect("a TCP option");
                let ((near_in, near_out), (far_in, far_out)) =
                    (near.into_split(), far.into_split());
                tokio::spawn(pass(near_in, far_out, bytes.clone()));
                tokio::spawn(pass(far_in, near_out, bytes.clone()));
            }
        });
        Self { addr }
    }
}

async fn pass(mut from: tcp::OwnedReadHalf, mut to: tcp::OwnedWriteHalf, count: Arc<AtomicU64>) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 || to.write_all(&buf[..len]).await.is_err() {
            return;
        }
        count.fetch_add(len as u64, Ordering::Relaxed);
    }
}
