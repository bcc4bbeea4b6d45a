//! The workspace's clients of table service, object store, engine, store and instance list work
//! with the stand-ins.

mod common;

use std::net::SocketAddr;

use blob::{Blob, S3};
use common::{Fake, TIMEOUT, prompt};
use fakes::{Control, TableConfig};
use ident::{Digest, Fence, Name, RequestId, Secret};
use kv::{Scope, check_import, piece_keys, seal, usable_prefix};
use outbound::{
    CallError, Client, Completion, Connection, Engine, EngineClient, Export, Import, InstanceList,
    InstanceListClient, Refusal, ReplicaState, Role, Store, StoreClient, Timeouts, Token,
    TokenSource,
};
use serde_json::json;
use table::{Dynamo, Expect, Table, TableError, Version, Write};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn addr(fake: &Fake) -> SocketAddr {
    fake.url.strip_prefix("http://").unwrap().parse().unwrap()
}

fn client() -> Client {
    Client::new(Timeouts { call: TIMEOUT, transfer: TIMEOUT, stream_idle: TIMEOUT })
}

fn completion(id: u128) -> Completion {
    Completion {
        model: name("writer"),
        weights: name("v1"),
        prompt: prompt().into(),
        max_tokens: 8,
        seed: 1,
        cache_salt: Digest::of(b"salt"),
        priority: 1,
        request_id: RequestId(id),
        kv_handle: None,
        stream: true,
    }
}

async fn all(mut source: Box<dyn TokenSource>) -> Vec<Token> {
    let mut tokens = Vec::new();
    while let Some(token) = source.next().await.unwrap() {
        tokens.push(token);
    }
    tokens
}

fn text(tokens: &[Token]) -> String {
    tokens.iter().map(|t| &*t.text).collect()
}

#[tokio::test]
async fn table_and_objects() {
    let fake = Fake::start(fakes::table(TableConfig::default(), Control::new(Default::default())));
    let fake = fake.await;
    let table = Dynamo::new(&fake.url, "t", TIMEOUT).unwrap();
    let write = |sort: &str, expect, body: Option<&str>| Write {
        part: "p".into(),
        sort: sort.into(),
        expect,
        body: body.map(Into::into),
    };
    let both = vec![write("a", Expect::Absent, Some("1")), write("b", Expect::Absent, Some("2"))];
    table.commit(both.clone()).await.unwrap();
    assert_eq!(table.commit(both).await, Err(TableError::Conflict));
    table.commit(vec![write("a", Expect::Version(Version::first_era(1)), None)]).await.unwrap();
    let rows = table.range("p", " ", 10).await.unwrap();
    assert_eq!((rows.len(), &*rows[0].sort, rows[0].version), (1, "b", Version::first_era(1)));
    assert_eq!(table.get("p", "a").await, Ok(None));
    fake.set_faults(json!({"lose_answers": 1}));
    let lost = table.commit(vec![write("c", Expect::Absent, Some("3"))]).await;
    assert!(matches!(lost, Err(TableError::Unknown(_))), "{lost:?}");
    assert_eq!(&*table.get("p", "c").await.unwrap().unwrap().body, "3");

    let objects = Fake::start(fakes::objects(Control::new(Default::default()))).await;
    let blob = S3::new(&objects.url, "bucket").unwrap();
    let digest = blob.put("answers", "text".into()).await.unwrap();
    assert_eq!(blob.get("answers", digest).await.unwrap(), "text");
    assert!(blob.get("answers", Digest::of(b"other")).await.is_err());
}

#[tokio::test]
async fn engine_and_store() {
    let (first, second, store) =
        (Fake::engine("v1", 0).await, Fake::engine("v1", 0).await, Fake::store().await);
    let (engine, records) = (EngineClient::new(client()), StoreClient::new(client()));
    let source = engine.complete(addr(&first), &completion(1), Connection::Pooled).await.unwrap();
    let tokens = all(source).await;
    let expected = fakes::expected("writer", "v1", &prompt(), 8);
    assert_eq!(text(&tokens), expected);
    assert_eq!(tokens[7].usage.unwrap().cached, 0);
    let rest = all(engine.resume(addr(&first), RequestId(1), 5).await.unwrap()).await;
    assert_eq!(rest, tokens[5..]);

    let secret = Secret::derive("test", b"key");
    let (org, team) = (name("inkline"), name("gala"));
    let scope = Scope { org, team, model: name("writer"), weights: name("v1"), adapter: None };
    let keys = piece_keys(&secret, &scope, prompt().as_bytes());
    let pieces = (0..).zip(&keys).map(|(index, key)| (index, *key, 3)).collect();
    let export = Export { request: RequestId(1), dest: addr(&store), pieces };
    let receipts = engine.export(addr(&first), &export).await.unwrap();
    assert_eq!(receipts.len(), keys.len());
    let mut parent = None;
    for receipt in receipts {
        records.put(addr(&store), &seal(&secret, receipt, parent)).await.unwrap();
        parent = Some(receipt.key);
    }
    let found = records.leading_records(addr(&store), &keys).await.unwrap();
    assert_eq!(usable_prefix(&secret, &keys, &found), keys.len());

    let import = Import {
        request: RequestId(2),
        weights: name("v1"),
        salt: Digest::of(b"salt"),
        source: addr(&store),
        pieces: found.iter().map(|r| (r.receipt.key, r.receipt.generation)).collect(),
    };
    let imported = engine.import(addr(&second), &import).await.unwrap();
    assert_eq!(check_import(&found, &imported.receipts), Ok(()));
    let request = Completion { kv_handle: Some(imported.handle), ..completion(2) };
    let source = engine.complete(addr(&second), &request, Connection::New).await.unwrap();
    let tokens = all(source).await;
    assert_eq!(text(&tokens), expected);
    assert_eq!(tokens[7].usage.unwrap().cached, 4 * 256);
    store.set_faults(json!({"flip_bits": true}));
    let corrupted = engine.import(addr(&second), &import).await.unwrap();
    assert!(check_import(&found, &corrupted.receipts).is_err());
}

#[tokio::test]
async fn orders_and_list() {
    let fake = Fake::engine("v1", 0).await;
    let engine = EngineClient::new(client());
    let wanted = ReplicaState { weights: name("v2"), role: name("mixed") };
    assert_eq!(engine.order_status(addr(&fake)).await.unwrap().wanted, None);
    engine.order(addr(&fake), Fence(2), &wanted).await.unwrap();
    let stale = engine.order(addr(&fake), Fence(1), &wanted).await;
    assert_eq!(stale, Err(CallError::Refused(Refusal::StaleFence)));
    let orders = engine.order_status(addr(&fake)).await.unwrap();
    assert_eq!((orders.fence, orders.actual), (Fence(2), Some(wanted)));
    let refused = engine.complete(addr(&fake), &completion(1), Connection::Pooled).await.err();
    assert_eq!(refused, Some(CallError::Refused(Refusal::WrongWeights)));
    assert_eq!(engine.load(addr(&fake)).await.unwrap().weights, Some(name("v2")));

    let list = Fake::start(fakes::instances(vec![], Control::new(Default::default()))).await;
    let labels = json!({"role": "store", "name": "s1", "zone": "regina", "state": "live",
        "org": "inkline"});
    list.post("/_entries", &json!({"targets": ["127.0.0.1:9"], "labels": labels})).await;
    let (listed, bad) = InstanceListClient::new(client(), addr(&list), "/sd").read().await.unwrap();
    assert_eq!((listed.len(), bad, listed[0].role), (1, 0, Role::Store));
}
