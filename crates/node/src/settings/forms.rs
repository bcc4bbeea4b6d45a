//! How single settings are written.

use std::{net::SocketAddr, path::PathBuf};

use fields::Form;
use hyper::Uri;

use super::{Format, Level};

/// An address by number.
pub const ADDR: Form<SocketAddr> =
    Form { wanted: "ip:port with an IP number", read: |v| v.as_str()?.parse().ok() };

/// An endpoint.
pub const URL: Form<Uri> = Form {
    wanted: "an http:// URL",
    read: |v| {
        let url: Uri = v.as_str()?.parse().ok()?;
        let plain = url.scheme_str() == Some("http");
        (plain && url.host().is_some_and(|h| !h.is_empty())).then_some(url)
    },
};

/// An endpoint named by number.
pub const IP_URL: Form<Uri> = Form {
    wanted: "an http:// URL with an IP number",
    read: |v| {
        let url: Uri = v.as_str()?.parse().ok()?;
        ip_of(&url).map(|_| url)
    },
};

/// The address of an `http://` URL with an IP number.
pub fn ip_of(url: &Uri) -> Option<SocketAddr> {
    let host = url.host().filter(|_| url.scheme_str() == Some("http"))?;
    let host = host.trim_start_matches('[').trim_end_matches(']');
    Some(SocketAddr::new(host.parse().ok()?, url.port_u16().unwrap_or(HTTP_PORT)))
}

/// The port of `http://` URLs that name none.
const HTTP_PORT: u16 = 80;

/// The path of a file.
pub const PATH: Form<PathBuf> = Form {
    wanted: "the path of a file",
    read: |v| v.as_str().filter(|s| !s.is_empty()).map(PathBuf::from),
};

/// A count that is not 0.
pub const COUNT: Form<usize> = Form {
    wanted: "a whole number from 1",
    read: |v| usize::try_from(v.as_u64()?).ok().filter(|&n| n > 0),
};

/// How log lines are written.
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
