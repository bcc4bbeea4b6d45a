//! The deployment's shared secret.

use std::{fmt, io, path::PathBuf};

use base64::{Engine, engine::general_purpose::STANDARD};
use fields::Form;

/// Shortest accepted key material, in bytes.
const MIN_BYTES: usize = 16;

/// What the key file has to be.
pub(super) const WANTED_FILE: &str = "a file with at least 16 bytes in hex or base64";

/// Key material written in the settings.
pub(super) const MATERIAL: Form<Material> = Form {
    wanted: "at least 16 bytes in hex or base64",
    read: |v| Material::parse(v.as_str()?).ok(),
};

/// Secret bytes. Invariant: at least 16. Never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Material(Vec<u8>);

impl Material {
    /// Reads hex or base64. A text of hexadecimal digits alone, of even length, is hex.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let text = text.trim();
        let bytes = decode_hex(text).or_else(|| STANDARD.decode(text).ok());
        let bytes = bytes.ok_or(KeyError::Encoding)?;
        if bytes.len() < MIN_BYTES {
            return Err(KeyError::Short(bytes.len()));
        }
        Ok(Self(bytes))
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Material {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Material(..)")
    }
}

/// Where the deployment's secret comes from.
#[derive(Debug, Clone, PartialEq)]
pub enum DeploymentKey {
    /// It stands in the settings.
    Inline(Material),
    /// It stands in a file of its own, which is preferred.
    File(PathBuf),
}

impl DeploymentKey {
    /// The secret; reads the file where there is one.
    pub fn material(&self) -> Result<Material, KeyError> {
        match self {
            Self::Inline(material) => Ok(material.clone()),
            Self::File(path) => {
                let text = std::fs::read_to_string(path)
                    .map_err(|source| KeyError::File { path: path.clone(), source })?;
                Material::parse(&text)
            }
        }
    }
}

/// Why there is no secret. No variant holds any of it.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The text is neither hex nor base64.
    #[error("a text that is neither hex nor base64")]
    Encoding,
    /// The secret is too short.
    #[error("only {0} bytes; make a new key of at least {MIN_BYTES}")]
    Short(usize),
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok();
    digits.chunks(2).map(pair).collect()
}
