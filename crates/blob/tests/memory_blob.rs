//! The in-memory store checks digests and injects faults.

use blob::{Blob, BlobError, MemoryBlob};
use bytes::Bytes;
use ident::Digest;

#[tokio::test]
async fn reads_check_digest() {
    let b = MemoryBlob::new();
    let digest = b.put("p", Bytes::from_static(b"abc")).await.unwrap();
    assert_eq!(b.get("p", digest).await.unwrap(), "abc");
    assert_eq!(b.get("q", digest).await, Err(BlobError::Missing));
    assert_eq!(b.get("p", Digest::of(b"x")).await, Err(BlobError::Missing));
    b.corrupt();
    assert_eq!(b.get("p", digest).await, Err(BlobError::Corrupt));
    b.down(true);
    assert!(matches!(b.get("p", digest).await, Err(BlobError::Unavailable(_))));
}
