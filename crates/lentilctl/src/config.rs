//! Resolves the global options.

use std::{path::Path, time::Duration};

use hyper::Uri;

use crate::{cli::Global, error::CommandError};

/// Global options after the addresses were checked and the key was read.
#[derive(Debug)]
pub struct Config {
    /// Base URLs of the administration API, without a path. Invariant: not empty.
    pub admins: Vec<String>,
    /// The operator's key. Invariant: a valid header value.
    pub key: String,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

impl Config {
    /// Checks the addresses and reads the key.
    pub fn new(global: &Global) -> Result<Self, CommandError> {
        if global.admins.is_empty() {
            return Err(CommandError::NoAdmin);
        }
        let admins = global.admins.iter().map(|url| base_url(url)).collect::<Result<_, _>>()?;
        let path = global.key_file.as_deref().ok_or(CommandError::NoKey)?;
        Ok(Self { admins, key: read_key(path)?, timeout: global.timeout })
    }
}

fn base_url(url: &str) -> Result<String, CommandError> {
    let wrong = || CommandError::BadAdmin { url: url.into() };
    let uri: Uri = url.parse().map_err(|_| wrong())?;
    let plain = uri.scheme_str() == Some("http") && matches!(uri.path(), "" | "/");
    let authority = uri.authority().filter(|_| plain).ok_or_else(wrong)?;
    Ok(format!("http://{authority}"))
}

fn read_key(path: &Path) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.into(), source })?;
    let key = text.trim();
    if key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(CommandError::BadKey { path: path.into() });
    }
    Ok(key.into())
}
