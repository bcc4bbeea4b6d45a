//! An in-memory object store that can inject faults, for tests.

use async_trait::async_trait;
use bytes::Bytes;
use ident::Digest;
use parking_lot::Mutex;

use crate::{Blob, BlobError, object_path};

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by path.
    objects: Vec<(String, Bytes)>,
    down: bool,
}

/// An object store held in memory.
#[derive(Debug, Default)]
pub struct MemoryBlob {
    inner: Mutex<Inner>,
}

impl MemoryBlob {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// While `on`, every call fails with [`BlobError::Unavailable`] and has no effect.
    pub fn down(&self, on: bool) {
        self.inner.lock().down = on;
    }

    /// Flips a bit in the first byte of each object.
    pub fn corrupt(&self) {
        for (_, body) in &mut self.inner.lock().objects {
            let mut bytes = body.to_vec();
            bytes.iter_mut().take(1).for_each(|b| *b ^= 1);
            *body = bytes.into();
        }
    }

    /// Number of objects in the store.
    pub fn len(&self) -> usize {
        self.inner.lock().objects.len()
    }

    /// Whether the store has no objects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Inner {
    /// Fails if the store is switched to down.
    fn check_up(&self) -> Result<(), BlobError> {
        match self.down {
            true => Err(BlobError::Unavailable("the object store is down".into())),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl Blob for MemoryBlob {
    async fn put(&self, prefix: &str, body: Bytes) -> Result<Digest, BlobError> {
        let mut inner = self.inner.lock();
        inner.check_up()?;
        let digest = Digest::of(&body);
        let path = object_path(prefix, digest);
        match inner.objects.binary_search_by(|(p, _)| p.cmp(&path)) {
            Ok(at) => inner.objects[at].1 = body,
            Err(at) => inner.objects.insert(at, (path, body)),
        }
        Ok(digest)
    }

    async fn get(&self, prefix: &str, digest: Digest) -> Result<Bytes, BlobError> {
        let inner = self.inner.lock();
        inner.check_up()?;
        let path = object_path(prefix, digest);
        let at = inner.objects.binary_search_by(|(p, _)| p.cmp(&path));
        let body = inner.objects[at.map_err(|_| BlobError::Missing)?].1.clone();
        if Digest::of(&body) != digest {
            return Err(BlobError::Corrupt);
        }
        Ok(body)
    }
}
