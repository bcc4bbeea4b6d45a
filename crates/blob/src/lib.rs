//! The platform's object store behind a narrow trait: whole objects, read back by content hash.

mod memory;
mod s3;

use async_trait::async_trait;
use bytes::Bytes;
use ident::Digest;

pub use crate::{memory::MemoryBlob, s3::S3};

/// Why an object could not be stored or read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BlobError {
    /// No such object.
    #[error("no such object")]
    Missing,
    /// The object's content does not match the hash in its name.
    #[error("the object's content does not match its hash")]
    Corrupt,
    /// No answer in time, or the service failed.
    #[error("the object store did not answer: {0}")]
    Unavailable(std::sync::Arc<str>),
}

/// The object store. Objects are immutable and named by the digest of their content, so a repeated
/// put is idempotent.
#[async_trait]
pub trait Blob: Send + Sync {
    /// Stores `body` below `prefix` and returns its digest.
    async fn put(&self, prefix: &str, body: Bytes) -> Result<Digest, BlobError>;

    /// Reads the object back and checks its digest.
    async fn get(&self, prefix: &str, digest: Digest) -> Result<Bytes, BlobError>;
}

/// Where the object of this digest is stored.
fn path(prefix: &str, digest: Digest) -> String {
    format!("{prefix}/{digest}")
}
