//! Counters of messages, bytes and connections.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counts since the [`Hub`](crate::Hub) was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Bytes written to connections with peers, without TCP and IP headers.
    pub bytes_sent: u64,
    /// Bytes read from connections with peers, without TCP and IP headers.
    pub bytes_received: u64,
    /// Requests to peers, failed ones included.
    pub requests_sent: u64,
    /// Requests to peers that got no authentic response in time.
    pub requests_failed: u64,
    /// Requests of peers that were answered.
    pub requests_answered: u64,
    /// Messages dropped because their digest did not match.
    pub not_authentic: u64,
    /// Messages dropped because they were malformed or too large.
    pub malformed: u64,
    /// Pings dropped because their sequence number was not higher than the last one.
    pub replayed: u64,
    /// Connections opened or accepted.
    pub connections: u64,
    /// Connections refused because [`Options::max_connections`](crate::Options::max_connections)
    /// were open.
    pub connections_refused: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) bytes_sent: AtomicU64,
    pub(crate) bytes_received: AtomicU64,
    pub(crate) requests_sent: AtomicU64,
    pub(crate) requests_failed: AtomicU64,
    pub(crate) requests_answered: AtomicU64,
    pub(crate) not_authentic: AtomicU64,
    pub(crate) malformed: AtomicU64,
    pub(crate) replayed: AtomicU64,
    pub(crate) connections: AtomicU64,
    pub(crate) connections_refused: AtomicU64,
}

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Counters {
    pub(crate) fn read(&self) -> Stats {
        let get = |c: &AtomicU64| c.load(Ordering::Relaxed);
        Stats {
            bytes_sent: get(&self.bytes_sent),
            bytes_received: get(&self.bytes_received),
            requests_sent: get(&self.requests_sent),
            requests_failed: get(&self.requests_failed),
            requests_answered: get(&self.requests_answered),
            not_authentic: get(&self.not_authentic),
            malformed: get(&self.malformed),
            replayed: get(&self.replayed),
            connections: get(&self.connections),
            connections_refused: get(&self.connections_refused),
        }
    }
}

/// A stream that counts the bytes read and written.
pub(crate) struct CountingStream<S> {
    pub(crate) stream: S,
    pub(crate) counters: Arc<Counters>,
}

impl<S> AsyncRead for CountingStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = (buf.filled().len() - before) as u64;
        self.counters.bytes_received.fetch_add(read, Ordering::Relaxed);
        poll
    }
}

impl<S> AsyncWrite for CountingStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(len)) = poll {
            self.counters.bytes_sent.fetch_add(len as u64, Ordering::Relaxed);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
