//! The in-memory table: conditions, ranges and injected faults.

use table::{Expect, Memory, Table, TableError, Version, Write};

fn put(sort: &str, expect: Expect, body: &str) -> Write {
    Write { part: "p".into(), sort: sort.into(), expect, body: Some(body.into()) }
}

#[tokio::test]
async fn commit_writes_all_or_nothing() {
    let t = Memory::new();
    t.commit(vec![put("a", Expect::Absent, "1")]).await.unwrap();
    let both = vec![put("b", Expect::Absent, "1"), put("a", Expect::Absent, "2")];
    assert_eq!(t.commit(both).await, Err(TableError::Conflict));
    assert_eq!(t.get("p", "b").await.unwrap(), None);
    t.commit(vec![put("a", Expect::Version(Version::first_era(1)), "2")]).await.unwrap();
    let row = t.get("p", "a").await.unwrap().unwrap();
    assert_eq!((row.version, &*row.body), (Version::first_era(2), "2"));
    let delete = Write { body: None, ..put("a", Expect::Version(Version::first_era(1)), "") };
    assert_eq!(t.commit(vec![delete.clone()]).await, Err(TableError::Conflict));
    t.commit(vec![Write { expect: Expect::Version(Version::first_era(2)), ..delete }])
        .await
        .unwrap();
    assert_eq!(t.get("p", "a").await.unwrap(), None);
}

#[tokio::test]
async fn ranges_are_ordered() {
    let t = Memory::new();
    for sort in ["c", "a", "b", "d"] {
        t.commit(vec![put(sort, Expect::Absent, sort)]).await.unwrap();
    }
    let rows = t.range("p", "a", 2).await.unwrap();
    assert_eq!(rows.iter().map(|r| &*r.sort).collect::<Vec<_>>(), ["b", "c"]);
}

#[tokio::test]
async fn injected_faults_are_reported() {
    let t = Memory::new();
    t.lose_answers(1);
    let lost = t.commit(vec![put("a", Expect::Absent, "1")]).await.unwrap_err();
    assert!(!lost.definite() && t.get("p", "a").await.unwrap().is_some());
    t.conflicts(1);
    let refused = t.commit(vec![put("a", Expect::Version(Version::first_era(1)), "2")]).await;
    assert_eq!(refused, Err(TableError::Conflict));
    t.refuse(true);
    assert!(
        t.commit(vec![put("a", Expect::Version(Version::first_era(1)), "2")])
            .await
            .unwrap_err()
            .definite()
    );
    t.refuse(false);
    t.down(true);
    assert!(
        !t.commit(vec![put("a", Expect::Version(Version::first_era(1)), "2")])
            .await
            .unwrap_err()
            .definite()
    );
    assert!(t.get("p", "a").await.is_err());
    t.down(false);
    assert_eq!(t.get("p", "a").await.unwrap().unwrap().version, Version::first_era(1));
    assert_eq!((t.reads(), t.writes()), (2, 1));
}

#[tokio::test]
async fn a_version_from_before_a_return_never_matches() {
    let t = Memory::new();
    t.commit(vec![put("a", Expect::Absent, "1")]).await.unwrap();
    let old = t.copy();
    let before = Version::first_era(2);
    t.commit(vec![put("a", Expect::Version(Version::first_era(1)), "lost")]).await.unwrap();
    assert_eq!(t.get("p", "a").await.unwrap().unwrap().version, before);
    t.restore(old);
    let row = t.get("p", "a").await.unwrap().unwrap();
    assert_eq!((t.era(), row.version, &*row.body), (1, Version { era: 1, number: 1 }, "1"));
    t.commit(vec![put("a", Expect::Version(row.version), "2")]).await.unwrap();
    let row = t.get("p", "a").await.unwrap().unwrap();
    // The number is the one that was given out before the return.
    assert_eq!((row.version.number, &*row.body), (before.number, "2"));
    assert!(row.version > before);
    let stale = t.commit(vec![put("a", Expect::Version(before), "3")]).await;
    assert_eq!(stale, Err(TableError::Conflict));
}
