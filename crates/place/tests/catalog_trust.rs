//! A catalog reports a part only if the store's last answer is fresh and of the current epoch.

use ident::Time;
use place::{Catalog, Change, HeldPart};

fn held(part: &str) -> HeldPart {
    HeldPart { salt: "m/1".into(), part: part.into(), tokens: 100 }
}

fn fresh_catalog() -> Catalog {
    let mut catalog = Catalog::default();
    catalog.replace(7, vec![held("b"), held("a")]);
    assert!(catalog.apply(7, false, vec![Change::Added(held("c"))], 500, Time(1000)));
    catalog
}

#[test]
fn reports_parts_that_are_complete() {
    let catalog = fresh_catalog();
    for part in ["a", "b", "c"] {
        assert_eq!(catalog.tokens("m/1", part, Time(1100)), Some(100), "{part}");
    }
    assert_eq!(catalog.tokens("m/2", "a", Time(1100)), None, "the salt is of another version");
    assert_eq!(catalog.total_tokens(), 300);
}

#[test]
fn an_old_answer_is_not_used() {
    let catalog = fresh_catalog();
    assert!(catalog.tokens("m/1", "a", Time(2100)).is_some());
    assert!(catalog.tokens("m/1", "a", Time(2300)).is_none());
}

#[test]
fn a_new_epoch_or_a_gap_clears_the_catalog() {
    for (epoch, gap) in [(8, false), (7, true)] {
        let mut catalog = fresh_catalog();
        assert!(!catalog.apply(epoch, gap, Vec::new(), 600, Time(1100)));
        assert!(catalog.needs_list(), "the list must be requested");
        assert_eq!(catalog.tokens("m/1", "a", Time(1100)), None);
    }
}

#[test]
fn a_removed_or_freed_part_is_not_reported() {
    let mut catalog = fresh_catalog();
    let gone = Change::Removed { salt: "m/1".into(), part: "a".into() };
    assert!(catalog.apply(7, false, vec![gone], 600, Time(1100)));
    catalog.remove(&[("m/1".into(), "b".into())]);
    assert_eq!(catalog.tokens("m/1", "a", Time(1100)), None);
    assert_eq!(catalog.tokens("m/1", "b", Time(1100)), None);
}

#[test]
fn only_one_request_at_a_time_saves_a_part() {
    let mut catalog = fresh_catalog();
    let (salt, part) = ("m/1".into(), "z".into());
    assert!(catalog.claim_save(&salt, &part, Time(5000), Time(2000)));
    assert!(!catalog.claim_save(&salt, &part, Time(5000), Time(4000)));
    assert!(
        catalog.claim_save(&salt, &part, Time(9000), Time(5000)),
        "the first save may have failed"
    );
}

#[test]
fn the_fetch_deadline_counts_from_the_last_answer() {
    assert_eq!(
        fresh_catalog().fetch_deadline(),
        500 + 1800,
        "the deadline is given by the engines' clock"
    );
}
