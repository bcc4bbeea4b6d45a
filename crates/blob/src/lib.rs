//! A trait for the platform's object store. Objects are written and read as a whole, and are
//! addressed by the digest of their content.

mod memory;
mod s3;

use async_trait::async_trait;
use bytes::Bytes;
use ident::Digest;

pub use crate::{memory::MemoryBlob, s3::S3};

/// Why an object could not be stored or read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BlobError {
    /// The object does not exist.
    #[error("no such object")]
    Missing,
    /// The object's content does not match the digest in its name.
    #[error("the object's content does not match its hash")]
    Corrupt,
    /// The call timed out, or the service failed.
    #[error("the object store did not answer: {0}")]
    Unavailable(std::sync::Arc<str>),
}

/// An object store. Objects are immutable and named by the digest of their content, so `put` is
/// idempotent.
#[async_trait]
pub trait Blob: Send + Sync {
    /// Stores `body` below `prefix` and returns its digest.
    async fn put(&self, prefix: &str, body: Bytes) -> Result<Digest, BlobError>;

    /// Reads an object and checks that its content matches `digest`.
    async fn get(&self, prefix: &str, digest: Digest) -> Result<Bytes, BlobError>;
}

/// Path of the object with this digest.
fn object_path(prefix: &str, digest: Digest) -> String {
    format!("{prefix}/{digest}")
}
