//! Counters.

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

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Bytes written to peer connections, without those of TCP and IP.
    pub sent: u64,
    /// Bytes read from peer connections.
    pub received: u64,
    /// Questions asked.
    pub asked: u64,
    /// Questions that got no authentic answer in time.
    pub failed: u64,
    /// Questions answered.
    pub answered: u64,
    /// Messages whose digest did not fit, dropped.
    pub forged: u64,
    /// Messages that did not decode, dropped.
    pub garbled: u64,
    /// Pings that were seen before, dropped.
    pub replayed: u64,
    /// Connections opened or accepted.
    pub connections: u64,
    /// Connections refused because too many were open.
    pub refused: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) sent: AtomicU64,
    pub(crate) received: AtomicU64,
    pub(crate) asked: AtomicU64,
    pub(crate) failed: AtomicU64,
    pub(crate) answered: AtomicU64,
    pub(crate) forged: AtomicU64,
    pub(crate) garbled: AtomicU64,
    pub(crate) replayed: AtomicU64,
    pub(crate) connections: AtomicU64,
    pub(crate) refused: AtomicU64,
}

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Counters {
    pub(crate) fn read(&self) -> Stats {
        let get = |c: &AtomicU64| c.load(Ordering::Relaxed);
        Stats {
            sent: get(&self.sent),
            received: get(&self.received),
            asked: get(&self.asked),
            failed: get(&self.failed),
            answered: get(&self.answered),
            forged: get(&self.forged),
            garbled: get(&self.garbled),
            replayed: get(&self.replayed),
            connections: get(&self.connections),
            refused: get(&self.refused),
        }
    }
}

/// A connection whose bytes are counted.
pub(crate) struct Counted<S> {
    pub(crate) stream: S,
    pub(crate) counters: Arc<Counters>,
}

impl<S> AsyncRead for Counted<S>
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
        self.counters.received.fetch_add(read, Ordering::Relaxed);
        poll
    }
}

impl<S> AsyncWrite for Counted<S>
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
            self.counters.sent.fetch_add(len as u64, Ordering::Relaxed);
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
