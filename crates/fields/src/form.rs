//! Forms of single values.

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
