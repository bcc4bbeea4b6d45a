//! Handles with which a caller resumes a stream at any instance.
//!
//! A handle is sent as the `id:` of every event. It consists of the authenticated payload, which is
//! the same for the whole stream, the number of tokens delivered up to and including this event,
//! and the hash of their text.

use std::{fmt, net::SocketAddr, str::FromStr};

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use ident::{Digest, Name, RequestId, Secret};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Error for a text that is not a stream handle of this deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a stream handle of this deployment")]
pub struct HandleError;

/// Authenticated part of a handle, shared by all events of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandlePayload {
    /// Identifier of the completion at the engine; not the one of the caller's request.
    pub request: RequestId,
    /// Team that sent the request.
    pub team: Name,
    /// Digest of the request's body. A request that resumes the stream must have the same body.
    pub body: Digest,
    /// Name of the replica that runs the request.
    pub replica: Name,
    /// Address of the replica.
    pub addr: SocketAddr,
    /// Weights version with which the request runs. It does not change when the configuration names
    /// a new version.
    pub weights: Name,
}

impl HandlePayload {
    /// Encodes the payload and appends its authentication code.
    pub fn sign(&self, secret: &Secret) -> String {
        let text =
            serde_json::to_string(self).expect("the payload of a handle has only string keys");
        let mac = secret.mac(&[text.as_bytes()]);
        format!("{}.{mac}", URL_SAFE_NO_PAD.encode(text))
    }

    fn parse(secret: &Secret, text: &str) -> Result<Self, HandleError> {
        let (body, given) = text.split_once('.').ok_or(HandleError)?;
        let body = URL_SAFE_NO_PAD.decode(body).map_err(|_| HandleError)?;
        let mac: Digest = given.parse().map_err(|_| HandleError)?;
        // A digest also parses in upper case. Only the spelling that was issued is accepted.
        if mac.to_string() != given || !secret.verify(&[&body], &mac) {
            return Err(HandleError);
        }
        serde_json::from_slice(&body).map_err(|_| HandleError)
    }
}

/// Position in a stream: the number of tokens that the caller has and the hash of their text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamPosition {
    /// Number of tokens delivered, which is also the offset of the next token.
    pub tokens: u64,
    /// Running hash of the texts of the delivered tokens.
    pub hash: u64,
}

impl StreamPosition {
    /// Returns the position after one more token with the text `text`.
    #[must_use]
    pub fn advance(self, text: &str) -> Self {
        let mut bytes = self.hash.to_le_bytes().to_vec();
        bytes.extend_from_slice(text.as_bytes());
        Self { tokens: self.tokens + 1, hash: xxh3_64(&bytes) }
    }
}

impl fmt::Display for StreamPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:016x}", self.tokens, self.hash)
    }
}

impl FromStr for StreamPosition {
    type Err = HandleError;

    fn from_str(text: &str) -> Result<Self, HandleError> {
        let (tokens, hash) = text.split_once('.').ok_or(HandleError)?;
        let tokens = tokens.parse().map_err(|_| HandleError)?;
        let hash = u64::from_str_radix(hash, 16).map_err(|_| HandleError)?;
        Ok(Self { tokens, hash })
    }
}

/// Stream handle as sent by a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handle {
    /// Identifies the stream and the replica that serves it.
    pub payload: HandlePayload,
    /// Position up to which the caller has the stream.
    pub position: StreamPosition,
}

impl Handle {
    /// Parses the value of a `Last-Event-ID` header and verifies that this deployment issued it.
    pub fn parse(secret: &Secret, text: &str) -> Result<Self, HandleError> {
        let (rest, hash) = text.rsplit_once('.').ok_or(HandleError)?;
        let (payload, tokens) = rest.rsplit_once('.').ok_or(HandleError)?;
        let position = format!("{tokens}.{hash}").parse()?;
        Ok(Self { payload: HandlePayload::parse(secret, payload)?, position })
    }
}
