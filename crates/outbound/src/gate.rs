//! A connection whose first byte waits for a last question.

use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicBool, Ordering},
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::MaySend;

/// Whether a [`Gate`] was closed before anything was written.
#[derive(Debug, Default)]
pub struct Closed(AtomicBool);

impl Closed {
    /// Whether the first write was refused, so that nothing was sent.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Asks whether it may send right before the first write. A process that is stopped between an
/// earlier question and that write asks again when it goes on.
///
/// Invariant: once `open`, something may have been written; until then nothing was.
pub struct Gate<'a, T> {
    io: T,
    may_send: MaySend<'a>,
    open: bool,
    closed: &'a Closed,
}

impl<'a, T> Gate<'a, T> {
    /// A connection on which nothing was written yet.
    pub fn new(io: T, may_send: MaySend<'a>, closed: &'a Closed) -> Self {
        Self { io, may_send, open: false, closed }
    }

    fn pass(&mut self) -> io::Result<()> {
        if !self.open && !(self.may_send)() {
            self.closed.0.store(true, Ordering::Relaxed);
            return Err(io::Error::other("the time to send is over"));
        }
        self.open = true;
        Ok(())
    }
}

impl<T> AsyncRead for Gate<'_, T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<T> AsyncWrite for Gate<'_, T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.pass()?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.pass()?;
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
