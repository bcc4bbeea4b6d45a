//! HTTP servers, with or without TLS.

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
pub use limited::LimitedListener;
use limited::LimitedStream;

/// Timeout of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of connections that finished their handshake and wait to be served.
const MAX_READY_CONNECTIONS: usize = 64;

/// A listener could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The address could not be bound.
    #[error("can't listen on {addr}: {source}; free the address or change the settings")]
    Bind {
        /// Address that could not be bound.
        addr: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The certificate could not be read.
    #[error("can't read a certificate from {}: {source}; it must be a PEM file", path.display())]
    Cert {
        /// PEM file that should hold the certificate chain.
        path: PathBuf,
        /// Error from reading or parsing the file.
        source: pem::Error,
    },
    /// The private key could not be read.
    #[error("can't read a private key from {}: {source}; it must be a PEM file", path.display())]
    Key {
        /// PEM file that should hold the private key.
        path: PathBuf,
        /// Error from reading or parsing the file.
        source: pem::Error,
    },
    /// The certificate and the private key do not belong together or are not supported.
    #[error("can't use {} with {}: {source}; give a certificate and its own key", cert.display(), key.display())]
    Tls {
        /// PEM file of the certificate chain.
        cert: PathBuf,
        /// PEM file of the private key.
        key: PathBuf,
        /// Error of the TLS library.
        source: rustls::Error,
    },
}

/// Binds a TCP listener to `addr`.
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
    listener: LimitedListener,
    config: Arc<ServerConfig>,
    router: Router,
    stop: watch::Receiver<bool>,
) {
    let listener = TlsListener::spawn(listener, config);
    let _ = axum::serve(listener, router).with_graceful_shutdown(stopped(stop)).await;
}

/// Waits until `stop` is true.
async fn stopped(mut stop: watch::Receiver<bool>) {
    // `wait_for` fails only if the sender is dropped, which means that the process ends.
    let _ = stop.wait_for(|s| *s).await;
}

/// Reads the certificate and the private key and builds the TLS configuration of the server.
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

/// Reads the certificates of a PEM file. A file without any is an error.
fn certs(path: &Path) -> Result<Vec<CertificateDer<'static>>, pem::Error> {
    let certs = CertificateDer::pem_file_iter(path)?.collect::<Result<Vec<_>, _>>()?;
    if certs.is_empty() { Err(pem::Error::NoItemsFound) } else { Ok(certs) }
}

/// Accepts connections and runs their TLS handshakes concurrently, so that a slow handshake does
/// not delay other connections.
struct TlsListener {
    ready: mpsc::Receiver<(TlsStream<LimitedStream>, SocketAddr)>,
    /// Result of `local_addr`, taken before the listener moves to its task.
    addr: io::Result<SocketAddr>,
}

impl TlsListener {
    fn spawn(listener: LimitedListener, config: Arc<ServerConfig>) -> Self {
        let (sender, ready) = mpsc::channel(MAX_READY_CONNECTIONS);
        let addr = Listener::local_addr(&listener);
        tokio::spawn(accept(listener, TlsAcceptor::from(config), sender));
        Self { ready, addr }
    }
}

async fn accept(
    mut listener: LimitedListener,
    acceptor: TlsAcceptor,
    ready: mpsc::Sender<(TlsStream<LimitedStream>, SocketAddr)>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = ready.closed() => return,
        };
        let (stream, addr) = accepted;
        let (acceptor, ready) = (acceptor.clone(), ready.clone());
        tokio::spawn(async move {
            if let Ok(Ok(stream)) = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
                // The receiver is dropped only when the process ends.
                let _ = ready.send((stream, addr)).await;
            }
        });
    }
}

impl Listener for TlsListener {
    type Io = TlsStream<LimitedStream>;
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
