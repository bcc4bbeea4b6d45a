//! The object store over the S3 protocol.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use ident::Digest;
use object_store::{
    BackoffConfig, ClientOptions, Error, ObjectStore, RetryConfig,
    aws::{AmazonS3, AmazonS3Builder},
    path::Path,
};

use crate::{Blob, BlobError, path};

/// Bound of one call, tries included.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Bound of one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(4);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Tries after the first; objects are immutable, so a repeated put does no harm.
const RETRIES: usize = 2;

/// A client of the object store.
#[derive(Debug)]
pub struct S3 {
    store: AmazonS3,
}

impl S3 {
    /// A client of `bucket` at `url`: path style, plain HTTP allowed, placeholder access keys.
    pub fn new(url: &str, bucket: &str) -> Result<Self, BlobError> {
        let retry = RetryConfig {
            backoff: BackoffConfig::default(),
            max_retries: RETRIES,
            retry_timeout: CALL_TIMEOUT,
        };
        let client = ClientOptions::new()
            .with_allow_http(true)
            .with_timeout(TRY_TIMEOUT)
            .with_pool_idle_timeout(IDLE_TIMEOUT)
            .with_connect_timeout(TRY_TIMEOUT);
        let store = AmazonS3Builder::new()
            .with_endpoint(url)
            .with_bucket_name(bucket)
            .with_region("local")
            .with_access_key_id("lentilpitch")
            .with_secret_access_key("none")
            .with_virtual_hosted_style_request(false)
            .with_retry(retry)
            .with_client_options(client)
            .with_allow_http(true)
            .build()
            .map_err(failed)?;
        Ok(Self { store })
    }
}

#[async_trait]
impl Blob for S3 {
    async fn put(&self, prefix: &str, body: Bytes) -> Result<Digest, BlobError> {
        let digest = Digest::of(&body);
        let path = Path::from(path(prefix, digest));
        let call = self.store.put(&path, body.into());
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(answer) => answer.map(|_| digest).map_err(failed),
            Err(_) => Err(late()),
        }
    }

    async fn get(&self, prefix: &str, digest: Digest) -> Result<Bytes, BlobError> {
        let path = Path::from(path(prefix, digest));
        let call = async { self.store.get(&path).await?.bytes().await };
        let body = match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(answer) => answer.map_err(failed)?,
            Err(_) => return Err(late()),
        };
        if Digest::of(&body) != digest {
            return Err(BlobError::Corrupt);
        }
        Ok(body)
    }
}

fn late() -> BlobError {
    BlobError::Unavailable(Arc::from("no answer in time"))
}

fn failed(error: Error) -> BlobError {
    match error {
        Error::NotFound { .. } => BlobError::Missing,
        other => BlobError::Unavailable(other.to_string().into()),
    }
}
