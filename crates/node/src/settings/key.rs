//! The secret shared by all instances of a deployment.

use std::{fmt, io, path::PathBuf};

use base64::{Engine, engine::general_purpose::STANDARD};
use fields::Form;

/// Minimum length of the key material, in bytes.
const MIN_BYTES: usize = 16;

/// Description of a valid key file for fault messages.
pub(super) const KEY_FILE_WANTED: &str = "a file with at least 16 bytes in hex or base64";

/// Key material given in the settings file itself.
pub(super) const KEY_MATERIAL: Form<Material> = Form {
    wanted: "at least 16 bytes in hex or base64",
    read: |v| Material::parse(v.as_str()?).ok(),
};

/// Secret key material. Invariant: at least 16 bytes. Debug output does not show the bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct Material(Vec<u8>);

impl Material {
    /// Decodes hex or base64. A text that consists of an even number of hexadecimal digits is hex.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let text = text.trim();
        let bytes = decode_hex(text).or_else(|| STANDARD.decode(text).ok());
        let bytes = bytes.ok_or(KeyError::Encoding)?;
        if bytes.len() < MIN_BYTES {
            return Err(KeyError::Short(bytes.len()));
        }
        Ok(Self(bytes))
    }

    /// The secret bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Material {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Material(..)")
    }
}

/// Source of the secret of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub enum DeploymentKey {
    /// The secret is given in the settings file.
    Inline(Material),
    /// The secret is in a separate file with this path (preferred).
    File(PathBuf),
}

impl DeploymentKey {
    /// Returns the secret. Reads the file if the secret is in one.
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

/// The secret could not be read. No variant holds any part of the secret.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the key file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is neither hex nor base64.
    #[error("a text that is neither hex nor base64")]
    Encoding,
    /// The secret is too short; holds its length in bytes.
    #[error("only {0} bytes; make a new key of at least {MIN_BYTES}")]
    Short(usize),
}

/// Decodes hex; `None` if `text` has an odd length or other characters.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let pair = |p: &[u8]| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok();
    digits.chunks(2).map(pair).collect()
}
