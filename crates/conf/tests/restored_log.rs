//! The change log when the table service returns from an older copy of its content.

mod common;

use std::sync::{Arc, Weak};

use async_trait::async_trait;
use common::{World, key, model};
use conf::{AcceptError, Change, Doc, Kind, LoadError, Store};
use ident::{RequestId, Rev};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use table::{Content, Memory, Row, Table, TableError, Write};

const SEEDS: u64 = 100;

/// Sets the version of the model `m` to `v<id>`.
async fn set(store: &Store, id: u128) -> Result<Change, AcceptError> {
    let doc: Doc = model("m", &format!("v{id}"));
    let expect = store.view().doc(&doc.key()).map(|(_, rev)| rev);
    store.accept(RequestId(id), doc.key(), Some(doc), expect).await
}

async fn log(w: &World) -> Vec<Change> {
    w.store().changes(Rev(0), 10_000).await.unwrap()
}

#[tokio::test]
async fn lost_changes_are_written_again_before_the_next_one() {
    let w = World::new();
    let store = w.store();
    set(&store, 1).await.unwrap();
    let copy = w.table.copy();
    set(&store, 2).await.unwrap();
    let third = set(&store, 3).await.unwrap();
    let before = log(&w).await;
    w.table.restore(copy);
    assert_eq!(set(&store, 4).await.unwrap().rev, Rev(4));
    assert_eq!(log(&w).await[..3], before[..]);
    // A repeat with the id of a lost change finds it.
    let doc = third.doc.clone();
    assert_eq!(store.accept(third.id, third.key.clone(), doc, Some(Rev(2))).await.unwrap(), third);
    assert_eq!(w.store().load().await.unwrap().doc(&third.key).unwrap().1, Rev(4));
}

#[tokio::test]
async fn a_follower_writes_lost_changes_again() {
    let w = World::new();
    let store = w.store();
    let copy = w.table.copy();
    set(&store, 1).await.unwrap();
    set(&store, 2).await.unwrap();
    let before = log(&w).await;
    // One that read the changes from the log holds them as well.
    let other = w.store();
    other.refresh().await.unwrap();
    drop(store);
    w.table.restore(copy);
    assert_eq!(other.refresh().await.unwrap().rev(), Rev(2));
    assert_eq!(log(&w).await, before);
}

#[tokio::test]
async fn a_revision_is_not_given_out_again_where_changes_are_lost_for_good() {
    let w = World::new();
    let store = w.store();
    let copy = w.table.copy();
    set(&store, 1).await.unwrap();
    set(&store, 2).await.unwrap();
    store.snapshot(&store.view()).await.unwrap();
    // Its view comes from the snapshot alone.
    let other = w.store();
    other.refresh().await.unwrap();
    w.table.restore(copy);
    let error = other.refresh().await.unwrap_err();
    assert_eq!(error, LoadError::Lost { head: Rev(0), view: Rev(2) });
    assert!(matches!(set(&other, 3).await, Err(AcceptError::Unknown(_))));
    assert!(log(&w).await.is_empty());
    assert_eq!(other.view().rev(), Rev(2));
}

#[tokio::test]
async fn another_history_is_reported() {
    for more in 0..3 {
        let w = World::new();
        let store = w.store();
        set(&store, 1).await.unwrap();
        let copy = w.table.copy();
        set(&store, 2).await.unwrap();
        set(&store, 3).await.unwrap();
        w.table.restore(copy);
        // An instance that starts on the copy knows nothing else.
        let fresh = w.store();
        for id in 10..=10 + more {
            fresh.refresh().await.unwrap();
            set(&fresh, id).await.unwrap();
        }
        let after = log(&w).await;
        let error = store.refresh().await.unwrap_err();
        assert!(matches!(error, LoadError::Diverged(_)), "{more}: {error}");
        assert!(matches!(set(&store, 4).await, Err(AcceptError::Unknown(_))), "{more}");
        assert_eq!((log(&w).await, store.view().rev()), (after, Rev(3)), "{more}");
    }
}

/// Guards against a false alarm after a rolling upgrade: an instance of an older release drops fields
/// that it doesn't know from the changes that it hands on.
#[tokio::test]
async fn a_change_handed_on_without_some_fields_is_no_other_history() {
    let w = World::new();
    let store = w.store();
    let other = w.store();
    set(&store, 1).await.unwrap();
    other.refresh().await.unwrap();
    let mut change = set(&store, 2).await.unwrap();
    change.doc = Some(model("m", "v0"));
    other.apply(&[change]).unwrap();
    assert_eq!(other.refresh().await.unwrap().rev(), Rev(2));
}

/// Loses the first write. Meanwhile another change is accepted and heard of, and the table returns.
struct ReturnsMeanwhile {
    memory: Arc<Memory>,
    copy: Mutex<Option<Content>>,
    other: Store,
    hearer: Mutex<Weak<Store>>,
}

#[async_trait]
impl Table for ReturnsMeanwhile {
    fn era(&self) -> u64 {
        self.memory.era()
    }

    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError> {
        self.memory.get(part, sort).await
    }

    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.memory.range(part, after, limit).await
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError> {
        let Some(copy) = self.copy.lock().take() else { return self.memory.commit(writes).await };
        self.other.refresh().await.unwrap();
        let change = set(&self.other, 20).await.unwrap();
        self.hearer.lock().upgrade().unwrap().apply(&[change]).unwrap();
        self.memory.restore(copy);
        Err(TableError::Unknown("the write was lost, or is late".into()))
    }
}

/// Guards against "not accepted" for a change whose late write may still take effect.
#[tokio::test]
async fn a_change_with_a_lost_write_is_unknown_after_a_return() {
    let w = World::new();
    set(&w.store(), 1).await.unwrap();
    let copy = Mutex::new(Some(w.table.copy()));
    let (memory, other) = (w.table.clone(), w.store());
    let table = Arc::new(ReturnsMeanwhile { memory, copy, other, hearer: Mutex::default() });
    let store = Arc::new(Store::new(table.clone(), w.blob.clone()));
    *table.hearer.lock() = Arc::downgrade(&store);
    store.refresh().await.unwrap();
    let error = set(&store, 2).await.unwrap_err();
    assert!(matches!(error, AcceptError::Unknown(_)), "{error}");
    // Without a lost write the same change is refused for certain.
    let (doc, key) = (Some(model("m", "v9")), key(Kind::Model, "m"));
    let error = store.accept(RequestId(9), key, doc, Some(Rev(1))).await.unwrap_err();
    assert_eq!(error, AcceptError::Stale { current: Some(Rev(2)) });
}

#[tokio::test]
async fn accepted_changes_stay_over_returns_in_series() {
    for seed in 0..SEEDS {
        let (w, mut rng) = (World::new(), SmallRng::seed_from_u64(seed));
        let stores = [w.store(), w.store(), w.store()];
        let (mut copies, mut accepted) = (vec![w.table.copy()], Vec::new());
        for id in 1..60 {
            let store = &stores[rng.random_range(0..stores.len())];
            match rng.random_range(0..10) {
                0..=5 => {
                    let _ = store.refresh().await;
                    accepted.extend(set(store, id).await);
                }
                6 | 7 => drop(store.refresh().await),
                8 => copies.push(w.table.copy()),
                _ => {
                    // All hear of the newest change from their peers.
                    for store in &stores {
                        let _ = store.refresh().await;
                    }
                    w.table.restore(copies[rng.random_range(0..copies.len())].clone());
                    copies.truncate(1);
                    w.table.lose_answers(rng.random_range(0..2));
                }
            }
        }
        w.table.lose_answers(0);
        for store in &stores {
            store.refresh().await.unwrap();
        }
        let log = log(&w).await;
        for change in &accepted {
            let at = usize::try_from(change.rev.0).unwrap() - 1;
            assert_eq!(log.get(at), Some(change), "seed {seed}");
        }
        assert!(accepted.len() > 10, "seed {seed}: {}", accepted.len());
        assert!(stores.iter().all(|s| s.view().doc(&key(Kind::Model, "m")).is_some()));
    }
}
