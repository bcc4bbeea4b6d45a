//! A store's parts count as whole only on fresh knowledge of its present epoch.

use ident::Time;
use place::{Catalog, Change, Held};

fn held(part: &str) -> Held {
    Held { salt: "m/1".into(), part: part.into(), tokens: 100 }
}

fn known() -> Catalog {
    let mut catalog = Catalog::default();
    catalog.replace(7, vec![held("b"), held("a")]);
    assert!(catalog.apply(7, false, vec![Change::Kept(held("c"))], 500, Time(1000)));
    catalog
}

#[test]
fn tells_what_is_whole() {
    let catalog = known();
    for part in ["a", "b", "c"] {
        assert_eq!(catalog.tokens("m/1", part, Time(1100)), Some(100), "{part}");
    }
    assert_eq!(catalog.tokens("m/2", "a", Time(1100)), None, "another version's part");
    assert_eq!(catalog.total(), 300);
}

#[test]
fn old_answers_are_not_trusted() {
    let catalog = known();
    assert!(catalog.tokens("m/1", "a", Time(2100)).is_some());
    assert!(catalog.tokens("m/1", "a", Time(2300)).is_none());
}

#[test]
fn a_restart_or_gap_forgets_all() {
    for (epoch, gap) in [(8, false), (7, true)] {
        let mut catalog = known();
        assert!(!catalog.apply(epoch, gap, Vec::new(), 600, Time(1100)));
        assert!(catalog.unknown(), "it must be listed");
        assert_eq!(catalog.tokens("m/1", "a", Time(1100)), None);
    }
}

#[test]
fn a_part_that_is_gone_or_freed_is_not_fetched() {
    let mut catalog = known();
    let gone = Change::Gone { salt: "m/1".into(), part: "a".into() };
    assert!(catalog.apply(7, false, vec![gone], 600, Time(1100)));
    catalog.freed(&[("m/1".into(), "b".into())]);
    assert_eq!(catalog.tokens("m/1", "a", Time(1100)), None);
    assert_eq!(catalog.tokens("m/1", "b", Time(1100)), None);
}

#[test]
fn one_request_saves_a_part() {
    let mut catalog = known();
    let (salt, part) = ("m/1".into(), "z".into());
    assert!(catalog.claim_save(&salt, &part, Time(5000), Time(2000)));
    assert!(!catalog.claim_save(&salt, &part, Time(5000), Time(4000)));
    assert!(catalog.claim_save(&salt, &part, Time(9000), Time(5000)), "it may have failed");
}

#[test]
fn fetches_end_in_time() {
    assert_eq!(known().until(), 500 + 1800, "on the engines' clock, from the last answer");
}
