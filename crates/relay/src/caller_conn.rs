//! Connections to callers. One is reset where its ordinary end would look like that of an answer
//! which is not complete.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Method, Response, Version,
    body::{Body as _, Frame},
};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{answer::Body, connections::Slot, unwritten::Unwritten};

/// Whether the caller would take the end of the connection for the end of an answer that is not
/// complete. Clones share the state.
#[derive(Debug, Clone, Default)]
pub(crate) struct Incomplete(Arc<AtomicBool>);

impl Incomplete {
    /// Follows the answer to a request of the given version and method if only the end of the
    /// connection ends it. Returns other answers as they are.
    pub(crate) fn follow(
        &self,
        version: Version,
        method: &Method,
        response: Response<Body>,
    ) -> Response<Body> {
        let chunked = ![version, response.version()].contains(&Version::HTTP_10);
        let framed = chunked || response.body().size_hint().exact().is_some();
        if framed || *method == Method::HEAD {
            return response;
        }
        self.0.store(true, Ordering::Relaxed);
        let state = self.0.clone();
        response.map(|body| {
            let frames = body.into_data_stream().map(|data| data.map(Frame::data));
            let end = stream::poll_fn(move |_| {
                state.store(false, Ordering::Relaxed);
                Poll::Ready(None)
            });
            StreamBody::new(frames.chain(end)).boxed_unsync()
        })
    }
}

/// A connection to a caller. It is reset if it ends while an answer is [`Incomplete`], also by the
/// end of the process.
pub(crate) struct CallerConn {
    stream: TcpStream,
    incomplete: Incomplete,
    unwritten: Unwritten,
    /// Whether closing the socket resets the connection.
    resets: bool,
    slot: Arc<Slot>,
}

impl CallerConn {
    pub(crate) fn new(
        stream: TcpStream,
        incomplete: Incomplete,
        unwritten: Unwritten,
        slot: Arc<Slot>,
    ) -> Self {
        Self { stream, incomplete, unwritten, resets: false, slot }
    }

    fn update(&mut self) -> io::Result<()> {
        let resets = self.incomplete.0.load(Ordering::Relaxed);
        if resets != self.resets {
            SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO))?;
            self.resets = resets;
        }
        Ok(())
    }
}

impl AsyncRead for CallerConn {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.slot.record_read();
        }
        read
    }
}

impl AsyncWrite for CallerConn {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once it has written all that it has buffered.
        self.unwritten.written();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update()?;
        if self.resets {
            // A shutdown would send the ordinary end that the reset replaces.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
