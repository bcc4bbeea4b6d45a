//! Documents and stores for the tests.
#![allow(dead_code)]

use std::sync::Arc;

use blob::MemoryBlob;
use conf::{
    Doc, DocKey, Kind, Limits, Model, Params, Patch, State, Store, Target, TargetKind, Team,
    Template, Weights,
};
use ident::{Digest, Name, RequestId};
use table::Memory;

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn names(list: &[&str]) -> Vec<Name> {
    list.iter().map(|n| name(n)).collect()
}

pub fn key(kind: Kind, text: &str) -> DocKey {
    DocKey { kind, name: name(text) }
}

pub fn model(text: &str, version: &str) -> Doc {
    Doc::Model(Model { name: name(text), version: name(version), previous: None })
}

pub fn service(text: &str, org: &str) -> Doc {
    Doc::Target(Target {
        name: name(text),
        org: name(org),
        kind: TargetKind::Service { idempotent: Vec::new() },
        state: State::Active,
        withdrawn: Vec::new(),
    })
}

pub fn template(text: &str, targets: &[&str]) -> Doc {
    let params = Params {
        models: names(&["writer"]),
        targets: names(targets),
        limits: Limits { rate: 5, inflight: 5, prompt: 100, tokens: 10 },
        weights: Weights { latency: 1, recompute: 1 },
        spread: 1,
    };
    Doc::Template(Template { name: name(text), params })
}

pub fn team(text: &str, template: &str, org: &str) -> Team {
    Team {
        name: name(text),
        template: name(template),
        org: name(org),
        keys: vec![Digest::of(text.as_bytes())],
        patch: Patch::default(),
    }
}

pub struct World {
    pub table: Arc<Memory>,
    pub blob: Arc<MemoryBlob>,
}

impl World {
    pub fn new() -> Self {
        Self { table: Arc::new(Memory::new()), blob: Arc::new(MemoryBlob::new()) }
    }

    pub fn store(&self) -> Store {
        Store::new(self.table.clone(), self.blob.clone())
    }

    /// Creates documents in order, with change ids counted from `id`.
    pub async fn create(&self, store: &Store, id: u128, docs: Vec<Doc>) {
        for (i, doc) in docs.into_iter().enumerate() {
            let id = RequestId(id + i as u128);
            store.accept(id, doc.key(), Some(doc), None).await.unwrap();
        }
    }
}
