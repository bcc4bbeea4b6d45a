//! Random change ids and keys.

use ident::RequestId;
use rand::{Rng, TryRngCore, rngs::OsRng};

/// Creates a random change id.
pub fn change_id() -> RequestId {
    RequestId(rand::rng().random())
}

/// Creates a key of 32 random bytes from the operating system, as 64 hexadecimal digits.
pub fn key() -> String {
    let mut bytes = [0_u8; 32];
    OsRng.try_fill_bytes(&mut bytes).expect("the operating system provides random bytes");
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
