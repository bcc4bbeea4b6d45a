//! A listener with a limit of open connections.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use axum::serve::Listener;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

/// Accepts while fewer connections than the limit are open; more wait at the system's own queue.
pub struct Limited {
    listener: TcpListener,
    places: Arc<Semaphore>,
}

impl Limited {
    /// Accepts at most `most` connections at a time.
    pub fn new(listener: TcpListener, most: usize) -> Self {
        let places = Arc::new(Semaphore::new(most.min(Semaphore::MAX_PERMITS)));
        Self { listener, places }
    }
}

impl Listener for Limited {
    type Io = Held;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Held, SocketAddr) {
        let place = self.places.clone().acquire_owned().await;
        let place = place.expect("the semaphore is never closed");
        let (stream, addr) = Listener::accept(&mut self.listener).await;
        (Held { stream, _place: place }, addr)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// An accepted connection; gives its place back when dropped.
#[derive(Debug)]
pub struct Held {
    stream: TcpStream,
    _place: OwnedSemaphorePermit,
}

impl AsyncRead for Held {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buf)
    }
}

impl AsyncWrite for Held {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
