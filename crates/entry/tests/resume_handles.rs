//! Only a handle sealed by this deployment opens, and only whole.

use entry::{Handle, Mark, Sealed};
use ident::{Digest, Name, RequestId, Secret};

/// Random alterations tried.
const ITERATIONS: usize = 2000;

fn sealed() -> Sealed {
    Sealed {
        request: RequestId(1),
        team: Name::new("prairie-events").unwrap(),
        body: Digest::of(b"body"),
        replica: Name::new("writer-1").unwrap(),
        addr: "127.0.0.1:9".parse().unwrap(),
        weights: Name::new("v1").unwrap(),
    }
}

#[test]
fn a_handle_opens_again() {
    let secret = Secret::derive("test", b"key");
    let mark = Mark::default().advance("word").advance(" and");
    let text = format!("{}.{mark}", sealed().seal(&secret));
    assert_eq!(Handle::open(&secret, &text).unwrap(), Handle { sealed: sealed(), mark });
    assert!(Handle::open(&Secret::derive("test", b"other"), &text).is_err());
}

#[test]
fn an_altered_handle_does_not_open() {
    let secret = Secret::derive("test", b"key");
    let good = sealed().seal(&secret);
    bolero::check!().with_iterations(ITERATIONS).with_type::<(usize, u8)>().for_each(
        |&(at, byte)| {
            let mut bytes = good.clone().into_bytes();
            let at = at % bytes.len();
            if bytes[at] == byte || !byte.is_ascii() {
                return;
            }
            bytes[at] = byte;
            let text = format!("{}.1.0000000000000000", String::from_utf8(bytes).unwrap());
            assert!(Handle::open(&secret, &text).is_err(), "{text}");
        },
    );
}

/// One in some ten handles failed `handles_of_others_and_forged_ones_are_refused`: a digest in it had
/// an `a` where the test writes `A`, which reads as the same digest.
#[test]
fn a_handle_in_capitals_does_not_open() {
    let secret = Secret::derive("test", b"key");
    let good = sealed().seal(&secret);
    let (body, mac) = good.split_once('.').unwrap();
    assert_ne!(mac, mac.to_uppercase(), "the digest has a letter");
    let text = format!("{body}.{}.1.0000000000000000", mac.to_uppercase());
    assert!(Handle::open(&secret, &text).is_err());
}
