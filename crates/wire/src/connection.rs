//! A client connection to a peer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::{
    MAX_FRAME_BYTES, WireError,
    stats::{Counters, CountingStream, count},
};

/// An HTTP connection to a peer. It is closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects to the peer at `addr`.
    pub(crate) async fn open(
        addr: SocketAddr,
        counters: &Arc<Counters>,
    ) -> Result<Self, WireError> {
        let stream =
            TcpStream::connect(addr).await.map_err(|source| WireError::Connect { addr, source })?;
        stream.set_nodelay(true).map_err(|source| WireError::Connect { addr, source })?;
        count(&counters.connections);
        let io = TokioIo::new(CountingStream { stream, counters: counters.clone() });
        let (sender, connection) = http1::handshake(io).await?;
        let driver = tokio::spawn(async move {
            // The request that is in flight reports the error.
            let _ = connection.await;
        });
        Ok(Self { addr, sender, driver })
    }

    /// Whether the connection leads to `addr` and is not closed.
    pub(crate) fn usable(&self, addr: SocketAddr) -> bool {
        self.addr == addr && !self.sender.is_closed()
    }

    /// Sends a sealed request and returns the sealed response. Waits at most `max_wait`.
    pub(crate) async fn exchange(
        &mut self,
        frame: Vec<u8>,
        max_wait: Duration,
    ) -> Result<Bytes, WireError> {
        timeout(max_wait, self.send(frame)).await.map_err(|_| WireError::Timeout(self.addr))?
    }

    async fn send(&mut self, frame: Vec<u8>) -> Result<Bytes, WireError> {
        let mut request = Request::post("/")
            .body(Full::new(Bytes::from(frame)))
            .map_err(|_| WireError::NotAuthentic)?;
        request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("peer"));
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(WireError::Refused(response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), MAX_FRAME_BYTES).collect().await;
        Ok(body.map_err(|_| WireError::TooLarge(MAX_FRAME_BYTES))?.to_bytes())
    }
}
