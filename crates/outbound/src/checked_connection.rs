//! Connection that checks before its first write whether the call may still be sent.

use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicBool, Ordering},
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::MaySend;

/// Flag that a [`CheckedConnection`] sets when it refuses its first write.
#[derive(Debug, Default)]
pub struct WriteRefused(AtomicBool);

impl WriteRefused {
    /// Returns whether the first write was refused, so that nothing was sent.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Connection that checks right before its first write whether it may send. If the process is
/// paused after an earlier check, this check is made after it continues.
///
/// Invariant: nothing was written while `allowed` is false; something may have been written once it
/// is true.
pub struct CheckedConnection<'a, T> {
    io: T,
    may_send: MaySend<'a>,
    allowed: bool,
    refused: &'a WriteRefused,
}

impl<'a, T> CheckedConnection<'a, T> {
    /// Wraps a connection on which nothing has been written yet.
    pub fn new(io: T, may_send: MaySend<'a>, refused: &'a WriteRefused) -> Self {
        Self { io, may_send, allowed: false, refused }
    }

    fn check_first_write(&mut self) -> io::Result<()> {
        if !self.allowed && !(self.may_send)() {
            self.refused.0.store(true, Ordering::Relaxed);
            return Err(io::Error::other("the deadline for sending has passed"));
        }
        self.allowed = true;
        Ok(())
    }
}

impl<T> AsyncRead for CheckedConnection<'_, T>
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

impl<T> AsyncWrite for CheckedConnection<'_, T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_first_write()?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_first_write()?;
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
