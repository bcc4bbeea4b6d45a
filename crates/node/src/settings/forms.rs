//! Formats of single settings, with the text that describes each in fault messages.

use std::{net::SocketAddr, path::PathBuf};

use fields::Form;
use hyper::Uri;

use super::{Format, Level};

/// A socket address with an IP number instead of a host name.
pub const ADDR: Form<SocketAddr> =
    Form { wanted: "ip:port with an IP number", read: |v| v.as_str()?.parse().ok() };

/// An `http://` URL with a host.
pub const URL: Form<Uri> = Form {
    wanted: "an http:// URL",
    read: |v| {
        let url: Uri = v.as_str()?.parse().ok()?;
        let plain = url.scheme_str() == Some("http");
        (plain && url.host().is_some_and(|h| !h.is_empty())).then_some(url)
    },
};

/// An `http://` URL with an IP number instead of a host name.
pub const IP_URL: Form<Uri> = Form {
    wanted: "an http:// URL with an IP number",
    read: |v| {
        let url: Uri = v.as_str()?.parse().ok()?;
        ip_of(&url).map(|_| url)
    },
};

/// Socket address of an `http://` URL with an IP number; `None` for other URLs.
pub fn ip_of(url: &Uri) -> Option<SocketAddr> {
    let host = url.host().filter(|_| url.scheme_str() == Some("http"))?;
    let host = host.trim_start_matches('[').trim_end_matches(']');
    Some(SocketAddr::new(host.parse().ok()?, url.port_u16().unwrap_or(DEFAULT_HTTP_PORT)))
}

/// Default port of `http://` URLs.
const DEFAULT_HTTP_PORT: u16 = 80;

/// A file path; must not be empty.
pub const PATH: Form<PathBuf> = Form {
    wanted: "the path of a file",
    read: |v| v.as_str().filter(|s| !s.is_empty()).map(PathBuf::from),
};

/// A positive integer; 0 is rejected.
pub const COUNT: Form<usize> = Form {
    wanted: "a whole number from 1",
    read: |v| usize::try_from(v.as_u64()?).ok().filter(|&n| n > 0),
};

/// Format of log lines.
pub const FORMAT: Form<Format> = Form {
    wanted: "text or json",
    read: |v| match v.as_str()? {
        "text" => Some(Format::Text),
        "json" => Some(Format::Json),
        _ => None,
    },
};

/// A log level.
pub const LEVEL: Form<Level> = Form {
    wanted: "error, warn, info, debug or trace",
    read: |v| {
        let all = [Level::Error, Level::Warn, Level::Info, Level::Debug, Level::Trace];
        let text = v.as_str()?;
        all.into_iter().find(|l| l.as_str() == text)
    },
};
