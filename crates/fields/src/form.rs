//! Formats of single values.

use std::time::Duration;

use ident::{Digest, Name};
use serde_json::Value;

/// Format of a value: a parser and a description of what it accepts.
pub struct Form<T> {
    /// Description of the accepted values, for [`Fault::wanted`](crate::Fault::wanted).
    pub wanted: &'static str,
    /// Parses the value. Returns `None` if the value does not have this format.
    pub read: fn(&Value) -> Option<T>,
}

/// A name, see [`Name`].
pub const NAME: Form<Name> = Form {
    wanted: "a name of a-z, 0-9, '.', '_' and '-' (1 to 64 bytes, letter or digit first)",
    read: |v| Name::new(v.as_str()?).ok(),
};

/// A string that is not empty.
pub const TEXT: Form<String> = Form {
    wanted: "a text that is not empty",
    read: |v| v.as_str().filter(|s| !s.is_empty()).map(str::to_owned),
};

/// A digest of 32 hexadecimal digits.
pub const DIGEST: Form<Digest> =
    Form { wanted: "a digest of 32 hexadecimal digits", read: |v| v.as_str()?.parse().ok() };

/// A boolean.
pub const BOOL: Form<bool> = Form { wanted: "true or false", read: Value::as_bool };

/// A duration other than 0, see [`parse_span`].
pub const SPAN: Form<Duration> =
    Form { wanted: "a time such as 10s or 250ms", read: |v| parse_span(v.as_str()?) };

/// Parses a duration such as `250ms`, `10s` or `5m`. Returns `None` for 0, other units and values
/// that overflow.
pub fn parse_span(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_lowercase());
    let number: u64 = digits.parse().ok().filter(|&n| n > 0)?;
    match &text[digits.len()..] {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => number.checked_mul(60).map(Duration::from_secs),
        _ => None,
    }
}
