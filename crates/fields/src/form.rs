//! Forms of single values.

use std::time::Duration;

use ident::{Digest, Name};
use serde_json::Value;

/// How a value is written and read.
pub struct Form<T> {
    /// What is wanted, as it stands in a fault.
    pub wanted: &'static str,
    /// Reads the value; `None` when it does not fit.
    pub read: fn(&Value) -> Option<T>,
}

/// A name.
pub const NAME: Form<Name> = Form {
    wanted: "a name of a-z, 0-9, '.', '_' and '-' (1 to 64 bytes, letter or digit first)",
    read: |v| Name::new(v.as_str()?).ok(),
};

/// A text that is not empty.
pub const TEXT: Form<String> = Form {
    wanted: "a text that is not empty",
    read: |v| v.as_str().filter(|s| !s.is_empty()).map(str::to_owned),
};

/// A digest of 32 hexadecimal digits.
pub const DIGEST: Form<Digest> =
    Form { wanted: "a digest of 32 hexadecimal digits", read: |v| v.as_str()?.parse().ok() };

/// True or false.
pub const BOOL: Form<bool> = Form { wanted: "true or false", read: Value::as_bool };

/// A span of time that is not 0.
pub const SPAN: Form<Duration> =
    Form { wanted: "a time such as 10s or 250ms", read: |v| parse_span(v.as_str()?) };

/// Reads a span of time in `ms`, `s` or `m` that is not 0.
pub fn parse_span(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_lowercase());
    let n: u64 = digits.parse().ok().filter(|&n| n > 0)?;
    match &text[digits.len()..] {
        "ms" => Some(Duration::from_millis(n)),
        "s" => Some(Duration::from_secs(n)),
        "m" => n.checked_mul(60).map(Duration::from_secs),
        _ => None,
    }
}
