//! HTTP listeners, plain or TLS.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::{Router, serve::Listener};
use rustls::ServerConfig;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time::timeout,
};
use tokio_rustls::{TlsAcceptor, server::TlsStream};

use crate::settings::Tls;

/// Longest TLS handshake.
const HANDSHAKE_TERM: Duration = Duration::from_secs(5);
/// Connections that finished their handshake and wait to be served.
const READY_CONNECTIONS: usize = 64;

/// Why an address could not be served.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address could not be bound.
    #[error("can't listen on {addr}: {source}; free the address or change the settings")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The certificate or key could not be read.
    #[error("can't read the TLS certificate or key: {0}; both must be PEM files")]
    Pem(#[from] rustls_pki_types::pem::Error),
    /// Certificate and key do not fit.
    #[error("the TLS certificate and key can't be used: {0}")]
    Tls(#[from] rustls::Error),
}

/// Binds an address.
pub async fn bind(addr: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(addr).await.map_err(|source| ServeError::Bind { addr, source })
}

/// Serves plain HTTP until `stop` is true and the requests in progress have ended.
pub async fn plain(listener: TcpListener, router: Router, stop: watch::Receiver<bool>) {
    // `axum::serve` handles accept errors itself and never fails.
    let _ = axum::serve(listener, router).with_graceful_shutdown(stopped(stop)).await;
}

/// Serves HTTP over TLS until `stop` is true and the requests in progress have ended.
pub async fn tls(
    listener: TcpListener,
    config: Arc<ServerConfig>,
    router: Router,
    stop: watch::Receiver<bool>,
) {
    let listener = TlsListener::spawn(listener, config);
    let _ = axum::serve(listener, router).with_graceful_shutdown(stopped(stop)).await;
}

async fn stopped(mut stop: watch::Receiver<bool>) {
    // A sender that is gone means that the process ends.
    let _ = stop.wait_for(|s| *s).await;
}

/// Reads certificate and key.
pub fn tls_config(tls: &Tls) -> Result<Arc<ServerConfig>, ServeError> {
    let certs = CertificateDer::pem_file_iter(&tls.cert_file)?.collect::<Result<Vec<_>, _>>()?;
    let key = PrivateKeyDer::from_pem_file(&tls.key_file)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(certs, key)?;
    Ok(Arc::new(config))
}

/// Accepts connections and finishes their handshakes side by side, so that a slow one delays no
/// other.
struct TlsListener {
    ready: mpsc::Receiver<(TlsStream<TcpStream>, SocketAddr)>,
    addr: io::Result<SocketAddr>,
}

impl TlsListener {
    fn spawn(listener: TcpListener, config: Arc<ServerConfig>) -> Self {
        let (send, ready) = mpsc::channel(READY_CONNECTIONS);
        let addr = listener.local_addr();
        tokio::spawn(accept(listener, TlsAcceptor::from(config), send));
        Self { ready, addr }
    }
}

async fn accept(
    mut listener: TcpListener,
    acceptor: TlsAcceptor,
    ready: mpsc::Sender<(TlsStream<TcpStream>, SocketAddr)>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = Listener::accept(&mut listener) => accepted,
            () = ready.closed() => return,
        };
        let (stream, addr) = accepted;
        let (acceptor, ready) = (acceptor.clone(), ready.clone());
        tokio::spawn(async move {
            if let Ok(Ok(stream)) = timeout(HANDSHAKE_TERM, acceptor.accept(stream)).await {
                // The listener is gone only when the process ends.
                let _ = ready.send((stream, addr)).await;
            }
        });
    }
}

impl Listener for TlsListener {
    type Io = TlsStream<TcpStream>;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, SocketAddr) {
        match self.ready.recv().await {
            Some(connection) => connection,
            None => std::future::pending().await,
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        match &self.addr {
            Ok(addr) => Ok(*addr),
            Err(e) => Err(io::Error::new(e.kind(), e.to_string())),
        }
    }
}
