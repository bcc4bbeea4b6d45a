//! The listener for callers: TLS, stuck handshakes, invalid certificates and the limit of open
//! connections.

use std::{net::SocketAddr, path::Path, process::Command, sync::Arc, time::Duration};

use rig::{Instance, Place, Platform, STATE_LIMIT, free_addr};
use rustls::{ClientConfig, RootCertStore, pki_types::ServerName};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use tokio_rustls::TlsConnector;

/// A plain HTTP request without an API key; it is answered with 401.
const WHERE_REQUEST: &str = "GET /v1/where HTTP/1.1\r\nhost: localhost\r\n\r\n";
/// Timeout of a request while other handshakes are stuck; shorter than the handshake timeout.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Settings of an instance, with `more` lines appended, and its peer address.
fn settings(platform: &Platform, more: &str) -> (String, String) {
    let [callers, admin, peers] = [(); 3].map(|()| free_addr().unwrap().to_string());
    let operator = ident::Digest::of(b"operator");
    let Platform { table, objects, list, .. } = platform;
    let text = format!(
        "name: entry-1\nzone: regina\n\
         listen: {{ callers: '{callers}', admin: '{admin}', peers: '{peers}' }}\n\
         platform:\n  table: {{ url: '{}', name: lentilpitch }}\n  \
         objects: {{ url: '{}', bucket: lentilpitch }}\n  list: '{}/sd'\n\
         keys:\n  deployment: 000102030405060708090a0b0c0d0e0f\n  operators: ['{operator}']\n{more}",
        table.url(),
        objects.url(),
        list.url(),
    );
    (text, peers)
}

async fn start(platform: &Platform, more: &str) -> Instance {
    let (text, peer) = settings(platform, more);
    let place = Place { name: "entry-1", zone: "regina", peer: &peer };
    Instance::start(platform, place, &text).await.unwrap()
}

/// Writes a certificate for `localhost` and its key. Returns the settings that name the files and a
/// client that trusts the certificate.
fn write_certificate(dir: &Path) -> (String, TlsConnector) {
    let made = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    std::fs::write(dir.join("cert.pem"), made.cert.pem()).unwrap();
    std::fs::write(dir.join("key.pem"), made.signing_key.serialize_pem()).unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(made.cert.der().clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    (tls_lines(dir), TlsConnector::from(Arc::new(config)))
}

fn tls_lines(dir: &Path) -> String {
    let file = |name: &str| dir.join(name).display().to_string();
    format!("tls: {{ cert_file: '{}', key_file: '{}' }}\n", file("cert.pem"), file("key.pem"))
}

/// Sends a request and returns the beginning of the answer.
async fn request<S>(stream: &mut S) -> String
where
    S: AsyncReadExt + AsyncWriteExt + Unpin,
{
    stream.write_all(WHERE_REQUEST.as_bytes()).await.unwrap();
    let mut bytes = [0; 1024];
    let count = timeout(STATE_LIMIT, stream.read(&mut bytes)).await.unwrap().unwrap();
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

async fn request_tls(addr: SocketAddr, connector: &TlsConnector) -> String {
    let stream = TcpStream::connect(addr).await.unwrap();
    let name = ServerName::try_from("localhost").unwrap();
    request(&mut connector.connect(name, stream).await.unwrap()).await
}

#[tokio::test(flavor = "multi_thread")]
async fn stuck_handshakes_delay_no_other_caller() {
    let dir = tempfile::tempdir().unwrap();
    let (lines, connector) = write_certificate(dir.path());
    let platform = Platform::start().await.unwrap();
    let instance = start(&platform, &lines).await;
    let addr = instance.addr();
    let answer = request_tls(addr, &connector).await;
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    // Half of them send nothing, the others send the beginning of a handshake.
    let mut stuck = Vec::new();
    for i in 0..100 {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        if i % 2 == 0 {
            stream.write_all(&[22, 3, 1]).await.unwrap();
        }
        stuck.push(stream);
    }
    let answer = timeout(ANSWER_TIMEOUT, request_tls(addr, &connector)).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    // A plain HTTP request gets no HTTP answer.
    let mut plain = TcpStream::connect(addr).await.unwrap();
    assert!(!request(&mut plain).await.starts_with("HTTP"));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_certificates_are_reported_with_their_path() {
    let dir = tempfile::tempdir().unwrap();
    let platform = Platform::start().await.unwrap();
    let (lines, _) = write_certificate(dir.path());
    let file = dir.path().join("settings.yaml");
    std::fs::write(&file, settings(&platform, &lines).0).unwrap();
    let lentild = rig::program("lentild").unwrap();
    let key = std::fs::read(dir.path().join("key.pem")).unwrap();
    let other = rcgen::KeyPair::generate().unwrap().serialize_pem().into_bytes();
    for (name, content) in
        [("cert.pem", &b"no certificate"[..]), ("cert.pem", &key), ("key.pem", &other)]
    {
        write_certificate(dir.path());
        let path = dir.path().join(name);
        std::fs::write(&path, content).unwrap();
        for command in ["check", "run"] {
            let mut started = Command::new(&lentild);
            let started = match command {
                "run" => started.args(["run", "--settings"]).arg(&file),
                _ => started.arg("check").arg(&file),
            };
            let output = started.output().unwrap();
            let text = String::from_utf8_lossy(&output.stderr);
            assert_eq!(output.status.code(), Some(1), "{command}: {text}");
            assert!(text.contains(&path.display().to_string()), "{command}: {text}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_above_the_limit_wait() {
    let platform = Platform::start().await.unwrap();
    let instance = start(&platform, "limits: { connections: 2 }\n").await;
    let mut streams = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(instance.addr()).await.unwrap();
        assert!(request(&mut stream).await.starts_with("HTTP/1.1 401"));
        streams.push(stream);
    }
    let mut third = TcpStream::connect(instance.addr()).await.unwrap();
    third.write_all(WHERE_REQUEST.as_bytes()).await.unwrap();
    // The first two connections are served meanwhile, the third is not.
    for stream in &mut streams {
        assert!(request(stream).await.starts_with("HTTP/1.1 401"));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(third.try_read(&mut [0; 1]).is_err(), "a connection above the limit was served");
    streams.pop();
    let count = timeout(STATE_LIMIT, third.read(&mut [0; 1])).await.unwrap().unwrap();
    assert_eq!(count, 1, "the third connection is served after another one closed");
}
