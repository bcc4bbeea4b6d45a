//! The object store client against a small fake server.

use std::sync::Arc;

use blob::{Blob, BlobError, S3};
use bytes::Bytes;
use ident::Digest;
use parking_lot::Mutex;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

/// Objects by path.
type Objects = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

/// Reads one request. Returns its method, path and body, or `None` if the connection was closed.
async fn request(stream: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let (mut first, mut len) = (String::new(), 0);
    stream.read_line(&mut first).await.ok()?;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(n) = line.strip_prefix("content-length: ") {
            len = n.parse().unwrap();
        }
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.ok()?;
    let mut words = first.split(' ');
    Some((words.next()?.to_owned(), words.next()?.to_owned(), body))
}

async fn serve(stream: TcpStream, objects: Objects) {
    let mut stream = BufReader::new(stream);
    while let Some((method, path, body)) = request(&mut stream).await {
        let found = objects.lock().iter().find(|(p, _)| *p == path).map(|(_, b)| b.clone());
        let (status, body) = match (&*method, found) {
            ("PUT", _) => {
                objects.lock().push((path, body));
                (200, Vec::new())
            }
            (_, Some(body)) => (200, body),
            (_, None) => (404, Vec::new()),
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\netag: \"1\"\r\nlast-modified: Thu, 03 Dec 2026 00:00:00 GMT\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&body).await.unwrap();
    }
}

async fn start() -> (S3, Objects) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let objects = Objects::default();
    let log = objects.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, log.clone()));
        }
    });
    (S3::new(&url, "keep").unwrap(), objects)
}

#[tokio::test]
async fn objects_round_trip_with_digest_check() {
    let (s3, objects) = start().await;
    let body = Bytes::from(vec![7; 50_000]);
    let digest = s3.put("conf/snapshot", body.clone()).await.unwrap();
    assert_eq!(digest, Digest::of(&body));
    assert_eq!(objects.lock()[0].0, format!("/keep/conf/snapshot/{digest}"));
    assert!(s3.get("conf/snapshot", digest).await.unwrap() == body);
    assert_eq!(s3.get("conf/other", digest).await, Err(BlobError::Missing));
    objects.lock()[0].1[100] ^= 1;
    assert!(s3.get("conf/snapshot", digest).await == Err(BlobError::Corrupt));
}

#[tokio::test]
async fn refused_connection_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let s3 = S3::new(&url, "keep").unwrap();
    let result = s3.get("p", Digest::of(b"x")).await;
    assert!(matches!(result, Err(BlobError::Unavailable(_))), "{result:?}");
}
