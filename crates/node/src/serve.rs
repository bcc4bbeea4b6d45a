//! HTTP listeners, plain or TLS.

mod limited;

use std::{
    fmt::Debug,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use axum::{Router, serve::Listener};
use rustls::ServerConfig;
use rustls_pki_types::{
    CertificateDer, PrivateKeyDer,
    pem::{self, PemObject},
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::timeout,
};
use tokio_rustls::{TlsAcceptor, server::TlsStream};

use crate::settings::Tls;
use limited::Held;
pub use limited::Limited;

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
    /// The certificate could not be read.
    #[error("can't read a certificate from {}: {source}; it must be a PEM file", path.display())]
    Cert {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: pem::Error,
    },
    /// The key could not be read.
    #[error("can't read a private key from {}: {source}; it must be a PEM file", path.display())]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: pem::Error,
    },
    /// Certificate and key do not fit.
    #[error("can't use {} with {}: {source}; give a certificate and its own key", cert.display(), key.display())]
    Tls {
        /// The certificate's file.
        cert: PathBuf,
        /// The key's file.
        key: PathBuf,
        /// What is wrong.
        source: rustls::Error,
    },
}

/// Binds an address.
pub async fn bind(addr: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(addr).await.map_err(|source| ServeError::Bind { addr, source })
}

/// Serves plain HTTP until `stop` is true and the requests in progress have ended.
pub async fn plain<L>(listener: L, router: Router, stop: watch::Receiver<bool>)
where
    L: Listener,
    L::Addr: Debug,
{
    // `axum::serve` handles accept errors itself and never fails.
    let _ = axum::serve(listener, router).with_graceful_shutdown(stopped(stop)).await;
}

/// Serves HTTP over TLS until `stop` is true and the requests in progress have ended.
pub async fn tls(
    listener: Limited,
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
    let Tls { cert_file, key_file } = tls;
    let certs =
        certs(cert_file).map_err(|source| ServeError::Cert { path: cert_file.clone(), source })?;
    let key = PrivateKeyDer::from_pem_file(key_file)
        .map_err(|source| ServeError::Key { path: key_file.clone(), source })?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .and_then(|builder| builder.with_no_client_auth().with_single_cert(certs, key));
    let (cert, key) = (cert_file.clone(), key_file.clone());
    config.map(Arc::new).map_err(|source| ServeError::Tls { cert, key, source })
}

/// The certificates of a PEM file, at least one.
fn certs(path: &Path) -> Result<Vec<CertificateDer<'static>>, pem::Error> {
    let certs = CertificateDer::pem_file_iter(path)?.collect::<Result<Vec<_>, _>>()?;
    if certs.is_empty() { Err(pem::Error::NoItemsFound) } else { Ok(certs) }
}

/// Accepts connections and finishes their handshakes side by side, so that a slow one delays no
/// other.
struct TlsListener {
    ready: mpsc::Receiver<(TlsStream<Held>, SocketAddr)>,
    addr: io::Result<SocketAddr>,
}

impl TlsListener {
    fn spawn(listener: Limited, config: Arc<ServerConfig>) -> Self {
        let (send, ready) = mpsc::channel(READY_CONNECTIONS);
        let addr = Listener::local_addr(&listener);
        tokio::spawn(accept(listener, TlsAcceptor::from(config), send));
        Self { ready, addr }
    }
}

async fn accept(
    mut listener: Limited,
    acceptor: TlsAcceptor,
    ready: mpsc::Sender<(TlsStream<Held>, SocketAddr)>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
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
    type Io = TlsStream<Held>;
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
