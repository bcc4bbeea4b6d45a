//! Handles by which a caller resumes a stream at any instance.
//!
//! A handle is the `id:` of every event: a sealed part, the same for the whole stream, then the
//! number of tokens delivered up to and including this event, and the hash of their text.

use std::{fmt, net::SocketAddr, str::FromStr};

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use ident::{Digest, Name, RequestId, Secret};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Why a text is not a handle of this deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a stream handle of this deployment")]
pub struct HandleError;

/// What every event of a stream shares.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// The request's id at the engine.
    pub request: RequestId,
    /// The team whose request it is.
    pub team: Name,
    /// Digest of the request's body; a resumed request carries the same body.
    pub body: Digest,
    /// Name of the replica that runs it.
    pub replica: Name,
    /// Address of that replica.
    pub addr: SocketAddr,
    /// The weight version that runs it; kept over a version swap.
    pub weights: Name,
}

impl Sealed {
    /// Encodes and authenticates the sealed part.
    pub fn seal(&self, secret: &Secret) -> String {
        let text = serde_json::to_string(self).expect("a sealed handle has only string keys");
        let mac = secret.mac(&[text.as_bytes()]);
        format!("{}.{mac}", URL_SAFE_NO_PAD.encode(text))
    }

    fn open(secret: &Secret, text: &str) -> Result<Self, HandleError> {
        let (body, given) = text.split_once('.').ok_or(HandleError)?;
        let body = URL_SAFE_NO_PAD.decode(body).map_err(|_| HandleError)?;
        let mac: Digest = given.parse().map_err(|_| HandleError)?;
        // A digest can be spelt in capitals too; a handle is good only as it was given out.
        if mac.to_string() != given || !secret.verify(&[&body], &mac) {
            return Err(HandleError);
        }
        serde_json::from_slice(&body).map_err(|_| HandleError)
    }
}

/// How far a caller has come: the number of tokens it holds and the hash of their text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Mark {
    /// Tokens delivered; also the offset of the next one.
    pub tokens: u64,
    /// Running hash of the delivered texts.
    pub hash: u64,
}

impl Mark {
    /// The mark after one more token.
    #[must_use]
    pub fn advance(self, text: &str) -> Self {
        let mut bytes = self.hash.to_le_bytes().to_vec();
        bytes.extend_from_slice(text.as_bytes());
        Self { tokens: self.tokens + 1, hash: xxh3_64(&bytes) }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:016x}", self.tokens, self.hash)
    }
}

impl FromStr for Mark {
    type Err = HandleError;

    fn from_str(text: &str) -> Result<Self, HandleError> {
        let (tokens, hash) = text.split_once('.').ok_or(HandleError)?;
        let tokens = tokens.parse().map_err(|_| HandleError)?;
        let hash = u64::from_str_radix(hash, 16).map_err(|_| HandleError)?;
        Ok(Self { tokens, hash })
    }
}

/// A handle as a caller presents it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handle {
    /// The stream.
    pub sealed: Sealed,
    /// What the caller holds of it.
    pub mark: Mark,
}

impl Handle {
    /// Opens a `Last-Event-ID`.
    pub fn open(secret: &Secret, text: &str) -> Result<Self, HandleError> {
        let (rest, hash) = text.rsplit_once('.').ok_or(HandleError)?;
        let (sealed, tokens) = rest.rsplit_once('.').ok_or(HandleError)?;
        let mark = format!("{tokens}.{hash}").parse()?;
        Ok(Self { sealed: Sealed::open(secret, sealed)?, mark })
    }
}
