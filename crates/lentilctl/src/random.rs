//! Random ids and keys.

use ident::RequestId;
use rand::{Rng, TryRngCore, rngs::OsRng};

/// An id for a change.
pub fn change_id() -> RequestId {
    RequestId(rand::rng().random())
}

/// A key of 32 random bytes from the operating system, in hexadecimal digits.
pub fn key() -> String {
    let mut bytes = [0_u8; 32];
    OsRng.try_fill_bytes(&mut bytes).expect("the operating system gives random bytes");
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
