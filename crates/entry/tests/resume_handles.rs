//! A deployment accepts only complete handles that it issued itself.

use entry::{Handle, HandlePayload, StreamPosition};
use ident::{Digest, Name, RequestId, Secret};

/// Number of random alterations tried.
const ITERATIONS: usize = 2000;

fn payload() -> HandlePayload {
    HandlePayload {
        request: RequestId(1),
        team: Name::new("prairie-events").unwrap(),
        body: Digest::of(b"body"),
        replica: Name::new("writer-1").unwrap(),
        addr: "127.0.0.1:9".parse().unwrap(),
        weights: Name::new("v1").unwrap(),
    }
}

#[test]
fn own_handle_is_accepted() {
    let secret = Secret::derive("test", b"key");
    let position = StreamPosition::default().advance("word").advance(" and");
    let text = format!("{}.{position}", payload().sign(&secret));
    assert_eq!(Handle::parse(&secret, &text).unwrap(), Handle { payload: payload(), position });
    assert!(Handle::parse(&Secret::derive("test", b"other"), &text).is_err());
}

#[test]
fn altered_handle_is_rejected() {
    let secret = Secret::derive("test", b"key");
    let good = payload().sign(&secret);
    bolero::check!().with_iterations(ITERATIONS).with_type::<(usize, u8)>().for_each(
        |&(at, byte)| {
            let mut bytes = good.clone().into_bytes();
            let at = at % bytes.len();
            if bytes[at] == byte || !byte.is_ascii() {
                return;
            }
            bytes[at] = byte;
            let text = format!("{}.1.0000000000000000", String::from_utf8(bytes).unwrap());
            assert!(Handle::parse(&secret, &text).is_err(), "{text}");
        },
    );
}

/// Hexadecimal digits parse in both cases, so an upper-case copy of a valid authentication code
/// must be rejected explicitly: a handle has one spelling.
#[test]
fn upper_case_handle_is_rejected() {
    let secret = Secret::derive("test", b"key");
    let good = payload().sign(&secret);
    let (body, mac) = good.split_once('.').unwrap();
    assert_ne!(mac, mac.to_uppercase(), "the digest must contain a letter");
    let text = format!("{body}.{}.1.0000000000000000", mac.to_uppercase());
    assert!(Handle::parse(&secret, &text).is_err());
}
