//! Encoding and sealing of messages: nothing is lost, and altered bytes are rejected.

use conf::{Change, Doc, DocKey, Kind, Model};
use ident::{Boot, Name, RequestId, Rev, Secret};
use member::{MAX_UPDATES, PeerState, PeerUpdate, Ping, Pong, Status};
use wire::{MAX_CHANGES_BYTES, MAX_FRAME_BYTES, Message, decode, encode, fit, seal::Identity};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn identity(who: &str) -> Identity {
    Identity { name: name(who), boot: Boot(3), secret: Secret::derive("peers", b"k") }
}

fn status(n: u64) -> Status {
    Status {
        boot: Boot(3),
        incarnation: n,
        acknowledged: n / 3,
        leaving: n & 1 == 0,
        takes_work: n & 2 == 0,
        table_reachable: n & 4 == 0,
        rev: Rev(n),
        age_ms: (n & 8 == 0).then_some(n as u32),
        load: n as u16,
    }
}

fn change(rev: u64, doc: bool) -> Change {
    let model = name(&format!("model-{}", rev % 7));
    let key = DocKey { kind: Kind::Model, name: model.clone() };
    let (version, previous) = (name("v1"), None);
    let doc = doc.then_some(Doc::Model(Model { name: model, version, previous }));
    Change { rev: Rev(rev), id: RequestId(u128::from(rev)), key, doc }
}

#[test]
fn messages_round_trip() {
    for n in [0, 1, 2, 4, 9, 14, 1_700_000_000_123] {
        let states = [PeerState::Live, PeerState::Suspect, PeerState::Leaving, PeerState::Down];
        let news: Vec<_> = states
            .into_iter()
            .map(|state| PeerUpdate { name: name("x"), incarnation: n, state })
            .collect();
        for message in [
            Message::Ping(Ping { status: status(n), updates: news.clone() }),
            Message::Pong(Pong { status: status(n), updates: news }),
            Message::ChangesAsk { after: Rev(n) },
            Message::Changes { list: vec![change(1, true), change(2, false)] },
        ] {
            assert_eq!(decode(&encode(&message).unwrap(), Boot(3)).unwrap(), message);
        }
    }
}

#[test]
fn arbitrary_bytes_are_rejected() {
    bolero::check!().with_iterations(5000).with_type().for_each(|bytes: &Vec<u8>| {
        let _ = decode(bytes, Boot(1));
        assert!(identity("b").open_request(bytes).is_err());
        assert!(identity("b").open_response(&name("a"), 1, bytes).is_err());
    });
}

#[test]
fn altered_bits_are_rejected() {
    let (a, b) = (identity("a"), identity("b"));
    let request = a.seal_request(&b.name, 5, b"body");
    let opened = b.open_request(&request).unwrap();
    let got = (opened.from, opened.boot, opened.seq, opened.body);
    assert_eq!(got, (name("a"), Boot(3), 5, b"body".as_slice()));
    let response = b.seal_response(&a.name, a.boot, 5, b"reply");
    assert_eq!(a.open_response(&b.name, 5, &response).unwrap(), (Boot(3), b"reply".as_slice()));
    for bit in 0..request.len() * 8 {
        let mut bytes = request.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(b.open_request(&bytes).is_err());
    }
    for bit in 0..response.len() * 8 {
        let mut bytes = response.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(a.open_response(&b.name, 5, &bytes).is_err());
    }
    assert!(a.open_response(&b.name, 6, &response).is_err(), "another request");
    assert!(a.open_response(&name("c"), 5, &response).is_err(), "another instance");
    let restarted = Identity { boot: Boot(4), ..a.clone() };
    assert!(restarted.open_response(&b.name, 5, &response).is_err(), "another boot");
    assert!(identity("c").open_request(&request).is_err(), "another receiver");
    assert!(a.open_request(&response).is_err() && b.open_response(&a.name, 5, &request).is_err());
}

#[test]
fn change_lists_are_bounded() {
    let all: Vec<_> = (1..5000).map(|r| change(r, r % 3 != 0)).collect();
    let page = fit(all.clone());
    assert!(page.len() < all.len() && page == all[..page.len()]);
    let bytes = encode(&Message::Changes { list: page }).unwrap().len();
    assert!(
        bytes <= MAX_CHANGES_BYTES
            && bytes > MAX_CHANGES_BYTES / 2
            && MAX_CHANGES_BYTES < MAX_FRAME_BYTES,
        "{bytes}"
    );
}

#[test]
fn too_many_updates_are_rejected() {
    let news = vec![
        PeerUpdate { name: name("x"), incarnation: 1, state: PeerState::Live };
        MAX_UPDATES + 1
    ];
    let bytes = encode(&Message::Ping(Ping { status: status(1), updates: news })).unwrap();
    assert!(decode(&bytes, Boot(3)).is_err());
}
