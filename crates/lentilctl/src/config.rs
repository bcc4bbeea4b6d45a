//! What the global options amount to.

use std::{path::Path, time::Duration};

use hyper::Uri;

use crate::{cli::Global, failure::Failure};

/// Resolved global options.
#[derive(Debug)]
pub struct Config {
    /// Administration addresses, without a path. Invariant: not empty.
    pub admins: Vec<String>,
    /// The operator's key. Invariant: it can stand in a header.
    pub key: String,
    /// Longest wait for one answer.
    pub timeout: Duration,
}

impl Config {
    /// Checks the addresses and reads the key.
    pub fn new(global: &Global) -> Result<Self, Failure> {
        if global.admins.is_empty() {
            return Err(Failure::NoAdmin);
        }
        let admins = global.admins.iter().map(|url| base(url)).collect::<Result<_, _>>()?;
        let path = global.key_file.as_deref().ok_or(Failure::NoKey)?;
        Ok(Self { admins, key: read_key(path)?, timeout: global.timeout })
    }
}

fn base(url: &str) -> Result<String, Failure> {
    let wrong = || Failure::BadAdmin { url: url.into() };
    let uri: Uri = url.parse().map_err(|_| wrong())?;
    let plain = uri.scheme_str() == Some("http") && matches!(uri.path(), "" | "/");
    let authority = uri.authority().filter(|_| plain).ok_or_else(wrong)?;
    Ok(format!("http://{authority}"))
}

fn read_key(path: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Failure::File { path: path.into(), source })?;
    let key = text.trim();
    if key.is_empty() || !key.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(Failure::BadKey { path: path.into() });
    }
    Ok(key.into())
}
