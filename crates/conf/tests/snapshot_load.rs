//! Loading the view from a snapshot and the changes after it.

mod common;

use common::{World, model, service, team, template};
use conf::{Doc, Item, View};
use ident::{RequestId, Rev};

async fn filled(w: &World) -> View {
    let s = w.store();
    let base = vec![model("writer", "v1"), service("desk", "o"), template("t", &["desk"])];
    w.create(&s, 1, base).await;
    let teams = (0..20).map(|i| Doc::Team(team(&format!("team-{i}"), "t", "o"))).collect();
    w.create(&s, 100, teams).await;
    View::clone(&s.view())
}

fn items(view: &View) -> Vec<Item> {
    view.items().collect()
}

#[tokio::test]
async fn snapshot_then_tail() {
    let w = World::new();
    let old = filled(&w).await;
    let s = w.store();
    s.snapshot(&old).await.unwrap();
    let next = model("writer", "v2");
    s.accept(RequestId(500), next.key(), Some(next), Some(Rev(1))).await.unwrap();
    let reads = w.table.reads();
    let view = w.store().load().await.unwrap();
    assert_eq!((view.rev(), w.table.reads() - reads), (Rev(24), 3));
    assert_eq!(items(&view), items(&s.view()));
    assert_eq!(view.team_by_key(&ident::Digest::of(b"team-7")).unwrap().name.as_str(), "team-7");
    s.snapshot(&view).await.unwrap();
    s.snapshot(&old).await.unwrap();
    assert_eq!(w.table.rows("conf/head").len(), 2);
    assert!(w.table.rows("conf/head")[1].body.contains("\"rev\":24"));
}

#[tokio::test]
async fn unreadable_snapshot_is_replaced_by_the_log() {
    let w = World::new();
    let old = filled(&w).await;
    w.store().snapshot(&old).await.unwrap();
    w.blob.corrupt();
    assert_eq!(items(&w.store().load().await.unwrap()), items(&old));
    w.blob.down(true);
    assert_eq!(items(&w.store().load().await.unwrap()), items(&old));
}
