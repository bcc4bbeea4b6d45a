//! Rows that a newer release wrote.

mod common;

use common::{World, model, name};
use conf::LoadError;
use ident::{RequestId, Rev};
use table::{Expect, Table, TableError, Version, Write};

async fn replace(w: &World, body: &str) {
    let write = Write {
        part: "conf/log".into(),
        sort: format!("{:020}", 1).into(),
        expect: Expect::Version(Version::first_era(1)),
        body: Some(body.into()),
    };
    w.table.commit(vec![write]).await.unwrap();
}

#[tokio::test]
async fn unknown_fields_are_ignored() {
    let w = World::new();
    let s = w.store();
    w.create(&s, 1, vec![model("m", "v1")]).await;
    let id = RequestId(1);
    replace(
        &w,
        &format!(
            r#"{{"rev":1,"id":"{id}","kind":"model","name":"m","by":"x",
            "doc":{{"model":{{"name":"m","version":"v1","shard":4}}}}}}"#
        ),
    )
    .await;
    assert_eq!(w.store().load().await.unwrap().model(&name("m")).unwrap().version, name("v1"));
}

#[tokio::test]
async fn unknown_kinds_stop_the_reader() {
    let w = World::new();
    let s = w.store();
    w.create(&s, 1, vec![model("m", "v1")]).await;
    let id = RequestId(1);
    replace(&w, &format!(r#"{{"rev":1,"id":"{id}","kind":"pool","name":"m","doc":null}}"#)).await;
    let other = w.store();
    let stopped = other.refresh().await.unwrap_err();
    assert!(matches!(stopped, LoadError::Table(TableError::Malformed(_))), "{stopped}");
    assert_eq!(other.view().rev(), Rev(0));
}
