//! Applying many changes at once gives the same view as one by one.

mod common;

use common::{key, model, name, team};
use conf::{ApplyError, Change, Doc, Kind, View};
use ident::{Digest, RequestId, Rev};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// A run of changes on a few documents; keys never move between teams.
fn changes(rng: &mut SmallRng, n: u64) -> Vec<Change> {
    let one = |rev: u64| {
        let i = rng.random_range(0..8);
        let doc = match rng.random_bool(0.5) {
            true => model(&format!("m{i}"), &format!("v{rev}")),
            false => {
                let mut t = team(&format!("t{i}"), "x", "o");
                let keys = (0..rng.random_range(0..3)).map(|k| Digest::of(&[i, k]));
                t.keys = keys.collect();
                t.keys.sort();
                Doc::Team(t)
            }
        };
        let (key, gone) = (doc.key(), rng.random_bool(0.2));
        Change { rev: Rev(rev), id: RequestId(rev.into()), key, doc: (!gone).then_some(doc) }
    };
    (1..=n).map(one).collect()
}

fn same(a: &View, b: &View) {
    assert_eq!(a.rev(), b.rev());
    assert!(a.items().eq(b.items()));
    for i in 0..8 {
        for k in 0..3 {
            let digest = Digest::of(&[i, k]);
            assert_eq!(
                a.team_of(&digest).map(|t| t.name.clone()),
                b.team_of(&digest).map(|t| t.name.clone())
            );
        }
    }
}

#[test]
fn bulk_equals_single() {
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..200 {
        let list = changes(&mut rng, 60);
        let (mut single, mut bulk) = (View::default(), View::default());
        list.iter().for_each(|c| single.apply(c).unwrap());
        let cut = rng.random_range(0..list.len());
        bulk.extend(&list[..cut]).unwrap();
        // A delta that overlaps what is known.
        bulk.extend(&list[cut / 2..]).unwrap();
        same(&single, &bulk);
        same(&single, &View::from_items(single.rev(), single.items().collect()));
    }
}

#[test]
fn gaps_change_nothing() {
    let mut view = View::default();
    let at = key(Kind::Model, "m");
    let change = |rev| Change {
        rev: Rev(rev),
        id: RequestId(0),
        key: at.clone(),
        doc: Some(model("m", "v1")),
    };
    let gap = view.extend(&[change(1), change(3)]);
    assert_eq!(gap, Err(ApplyError::Gap { have: Rev(1), got: Rev(3) }));
    assert_eq!((view.rev(), view.model(&name("m"))), (Rev(0), None));
}
