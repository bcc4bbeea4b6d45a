//! Applying many changes at once gives the same view as applying them one by one.

mod common;

use common::{key, model, name, team};
use conf::{ApplyError, Change, Doc, Kind, View};
use ident::{Digest, RequestId, Rev};

/// One generated change: name, number of keys, whether it is a model, whether it is a removal.
type Step = (u8, u8, bool, bool);

/// The change for a step. Keys never move between teams.
fn change(rev: u64, (name, keys, is_model, gone): Step) -> Change {
    let i = name % 8;
    let doc = match is_model {
        true => model(&format!("m{i}"), &format!("v{rev}")),
        false => {
            let mut t = team(&format!("t{i}"), "x", "o");
            t.keys = (0..keys % 3).map(|k| Digest::of(&[i, k])).collect();
            t.keys.sort();
            Doc::Team(t)
        }
    };
    Change { rev: Rev(rev), id: RequestId(rev.into()), key: doc.key(), doc: (!gone).then_some(doc) }
}

fn assert_same(a: &View, b: &View) {
    assert_eq!(a.rev(), b.rev());
    assert!(a.items().eq(b.items()));
    for i in 0..8 {
        for k in 0..3 {
            let digest = Digest::of(&[i, k]);
            assert_eq!(
                a.team_by_key(&digest).map(|t| t.name.clone()),
                b.team_by_key(&digest).map(|t| t.name.clone())
            );
        }
    }
}

#[test]
fn bulk_equals_single() {
    let input = bolero::check!().with_type::<(u8, Vec<Step>)>().with_iterations(2_000);
    input.for_each(|(cut, steps)| {
        let list: Vec<Change> = (1..).zip(steps).map(|(rev, step)| change(rev, *step)).collect();
        let (mut single, mut bulk) = (View::default(), View::default());
        list.iter().for_each(|c| single.apply(c).unwrap());
        let cut = usize::from(*cut).min(list.len());
        bulk.extend(&list[..cut]).unwrap();
        // The second part overlaps the first.
        bulk.extend(&list[cut / 2..]).unwrap();
        assert_same(&single, &bulk);
        assert_same(&single, &View::from_items(single.rev(), single.items().collect()));
    });
}

/// Lists of changes that are long enough to be merged rather than applied one by one.
#[test]
fn long_lists_are_merged() {
    let step = |i: u64| ((i * 7 % 8) as u8, (i * 5 % 3) as u8, i.is_multiple_of(3), i % 5 == 1);
    let list: Vec<Change> = (1..=400).map(|rev| change(rev, step(rev))).collect();
    for cut in [0, 1, 16, 17, 200, 399] {
        let (mut single, mut bulk) = (View::default(), View::default());
        list.iter().for_each(|c| single.apply(c).unwrap());
        bulk.extend(&list[..cut]).unwrap();
        bulk.extend(&list[cut / 2..]).unwrap();
        assert_same(&single, &bulk);
    }
}

#[test]
fn gap_leaves_the_view_unchanged() {
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
