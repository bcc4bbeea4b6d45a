//! Tests of names, keyed digests and rendezvous hashing.

use ident::{Digest, Name, NameError, Secret, rendezvous_first, rendezvous_order};

#[test]
fn invalid_names_are_rejected() {
    assert_eq!(Name::new("inkline-writer").unwrap().as_str(), "inkline-writer");
    assert_eq!(Name::new(""), Err(NameError::Empty));
    assert_eq!(Name::new("Team"), Err(NameError::BadChar('T')));
    assert_eq!(Name::new("-x"), Err(NameError::BadChar('-')));
    assert_eq!(Name::new(&"x".repeat(65)), Err(NameError::TooLong(65)));
}

#[test]
fn mac_depends_on_part_boundaries() {
    let secret = Secret::derive("test", b"material");
    let mac = secret.mac(&[b"ab", b"c"]);
    assert_ne!(mac, secret.mac(&[b"a", b"bc"]));
    assert!(secret.verify(&[b"ab", b"c"], &mac));
    assert!(!Secret::derive("other", b"material").verify(&[b"ab", b"c"], &mac));
    assert_eq!(mac.to_string().parse::<Digest>().unwrap(), mac);
}

#[test]
fn removing_a_node_moves_only_its_keys() {
    let all: Vec<String> = (0..8).map(|i| format!("node-{i}")).collect();
    let rest: Vec<String> = all.iter().filter(|n| *n != "node-3").cloned().collect();
    for key in 0..500_u32 {
        let key = key.to_le_bytes();
        let before = rendezvous_first(&key, &all, |n| n).unwrap();
        let after = rendezvous_first(&key, &rest, |n| n).unwrap();
        assert!(before == "node-3" || before == after);
        assert_eq!(rendezvous_order(&key, &all, |n| n).len(), 8);
    }
}
