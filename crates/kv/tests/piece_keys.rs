//! The keys of pieces: golden values, common prefixes, and no collision between scopes.

use ident::{Name, Secret};
use kv::{PIECE_BYTES, Scope, cache_salt, piece_keys};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn scope(org: &str, team: &str, adapter: Option<&str>) -> Scope {
    Scope {
        org: name(org),
        team: name(team),
        model: name("m"),
        weights: name("v1"),
        adapter: adapter.map(name),
    }
}

fn secret() -> Secret {
    Secret::derive("kv test", b"material")
}

#[test]
fn only_full_pieces_have_keys() {
    let s = scope("o", "t", None);
    assert!(piece_keys(&secret(), &s, &[7; PIECE_BYTES - 1]).is_empty());
    assert_eq!(piece_keys(&secret(), &s, &[7; 3 * PIECE_BYTES + 5]).len(), 3);
}

#[test]
fn equal_prefixes_share_keys() {
    let s = scope("o", "t", None);
    let mut other = vec![7; 4 * PIECE_BYTES];
    let first = piece_keys(&secret(), &s, &other);
    other[2 * PIECE_BYTES] = 8;
    let second = piece_keys(&secret(), &s, &other);
    assert_eq!(first[..2], second[..2]);
    assert!(first[2..].iter().zip(&second[2..]).all(|(a, b)| a != b));
    assert_ne!(first[0], first[1]);
}

#[test]
fn keys_are_stable() {
    let keys = piece_keys(&secret(), &scope("inkline", "regina", None), &[b'x'; 2 * PIECE_BYTES]);
    let golden = ["c9b49f1c57e2b790470fa63e6a0d0c0e", "3dd5dde2b43cb52fa9a810f13c7f8475"];
    assert_eq!(keys.iter().map(ToString::to_string).collect::<Vec<_>>(), golden);
}

#[test]
fn keys_of_different_scopes_differ() {
    bolero::check!().with_iterations(2_000).with_type::<([u8; 5], [u8; 5])>().for_each(
        |(one, two)| {
            let pick = |b: &[u8; 5]| {
                let part = |i: usize| name(["a", "ab", "b", "ba"][b[i] as usize % 4]);
                Scope {
                    org: part(0),
                    team: part(1),
                    model: part(2),
                    weights: part(3),
                    adapter: (b[4] & 4 != 0).then(|| part(4)),
                }
            };
            let (a, b) = (pick(one), pick(two));
            let text = [1; PIECE_BYTES];
            let same = piece_keys(&secret(), &a, &text) == piece_keys(&secret(), &b, &text);
            assert_eq!(same, a == b);
            let same_team = (&a.org, &a.team) == (&b.org, &b.team);
            assert_eq!(cache_salt(&secret(), &a) == cache_salt(&secret(), &b), same_team);
        },
    );
}
