//! Keyed and plain BLAKE3 digests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseIdError;

/// The first 16 bytes of a BLAKE3 digest, written as 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Returns the unkeyed digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self::truncate(blake3::hash(bytes))
    }

    /// Returns the unkeyed digest of `parts`. Each part is preceded by its length, so that the
    /// digest depends on where the parts begin and end.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        Self::truncate(hash_parts(blake3::Hasher::new(), parts))
    }

    fn truncate(hash: blake3::Hash) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.as_bytes()[..16]);
        Self(bytes)
    }
}

fn hash_parts(mut hasher: blake3::Hasher, parts: &[&[u8]]) -> blake3::Hash {
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        if text.len() != 32 {
            return Err(ParseIdError);
        }
        let n = u128::from_str_radix(text, 16).map_err(|_| ParseIdError)?;
        Ok(Self(n.to_be_bytes()))
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// Secret key that all instances of one deployment share. There is one for each purpose.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derives the secret for `purpose` from the deployment's key material.
    pub fn derive(purpose: &str, material: &[u8]) -> Self {
        Self(blake3::derive_key(purpose, material))
    }

    /// Returns the keyed digest of `parts`. Each part is preceded by its length, so that the digest
    /// depends on where the parts begin and end.
    pub fn mac(&self, parts: &[&[u8]]) -> Digest {
        Digest::truncate(hash_parts(blake3::Hasher::new_keyed(&self.0), parts))
    }

    /// Returns whether `mac` is the keyed digest of `parts`. The comparison takes constant time.
    pub fn verify(&self, parts: &[&[u8]], mac: &Digest) -> bool {
        let expected = self.mac(parts);
        expected.0.iter().zip(mac.0).fold(0, |acc, (a, b)| acc | (a ^ b)) == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
