//! Client of an object store with the S3 protocol.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use ident::Digest;
use object_store::{
    BackoffConfig, ClientOptions, Error, ObjectStore, RetryConfig,
    aws::{AmazonS3, AmazonS3Builder},
    path::Path,
};

use crate::{Blob, BlobError, object_path};

/// Timeout of a call, all attempts included.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Attempts after the first. Objects are immutable, so a put can safely be repeated.
const MAX_RETRIES: usize = 2;

/// A client of one bucket of an object store.
#[derive(Debug)]
pub struct S3 {
    store: AmazonS3,
}

impl S3 {
    /// Creates a client of `bucket` at `url`, with path-style requests and placeholder access keys.
    /// Plain HTTP is allowed.
    pub fn new(url: &str, bucket: &str) -> Result<Self, BlobError> {
        let retry = RetryConfig {
            backoff: BackoffConfig::default(),
            max_retries: MAX_RETRIES,
            retry_timeout: CALL_TIMEOUT,
        };
        let client = ClientOptions::new()
            .with_allow_http(true)
            .with_timeout(ATTEMPT_TIMEOUT)
            .with_pool_idle_timeout(IDLE_TIMEOUT)
            .with_connect_timeout(ATTEMPT_TIMEOUT);
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
            .map_err(convert_error)?;
        Ok(Self { store })
    }
}

#[async_trait]
impl Blob for S3 {
    async fn put(&self, prefix: &str, body: Bytes) -> Result<Digest, BlobError> {
        let digest = Digest::of(&body);
        let path = Path::from(object_path(prefix, digest));
        let call = self.store.put(&path, body.into());
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(answer) => answer.map(|_| digest).map_err(convert_error),
            Err(_) => Err(timed_out()),
        }
    }

    async fn get(&self, prefix: &str, digest: Digest) -> Result<Bytes, BlobError> {
        let path = Path::from(object_path(prefix, digest));
        let call = async { self.store.get(&path).await?.bytes().await };
        let body = match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(answer) => answer.map_err(convert_error)?,
            Err(_) => return Err(timed_out()),
        };
        if Digest::of(&body) != digest {
            return Err(BlobError::Corrupt);
        }
        Ok(body)
    }
}

fn timed_out() -> BlobError {
    BlobError::Unavailable(Arc::from("no answer in time"))
}

fn convert_error(error: Error) -> BlobError {
    match error {
        Error::NotFound { .. } => BlobError::Missing,
        other => BlobError::Unavailable(other.to_string().into()),
    }
}
