//! Rows and snapshots as JSON.
//!
//! During a rolling upgrade, instances of two releases read each other's rows. A reader ignores
//! unknown fields and uses defaults for fields that an older writer does not write. So a release
//! may add fields, each with a default that keeps the old behaviour. An unknown document kind or
//! enum value can't be ignored: the reader stops at that row and reports
//! [`table::TableError::Malformed`]. So one release must first read a new value, and only the next
//! release may write it. Documents from operators are checked strictly: an unknown field in them is
//! an error.

mod docs;

use ident::{Digest, Name, RequestId, Rev};
use serde::{Deserialize, Serialize};

pub(crate) use self::docs::DocWire;
use crate::{Change, DocKey, Item, Kind, View};

/// A row of the change log.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ChangeWire {
    rev: u64,
    id: RequestId,
    kind: Kind,
    name: Name,
    doc: Option<DocWire>,
}

impl From<Change> for ChangeWire {
    fn from(c: Change) -> Self {
        let doc = c.doc.map(DocWire::from);
        Self { rev: c.rev.0, id: c.id, kind: c.key.kind, name: c.key.name, doc }
    }
}

impl From<ChangeWire> for Change {
    fn from(w: ChangeWire) -> Self {
        let key = DocKey { kind: w.kind, name: w.name };
        Self { rev: Rev(w.rev), id: w.id, key, doc: w.doc.map(Into::into) }
    }
}

impl Change {
    /// Encodes the change as JSON in the format of the log's rows, which other releases can read.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&ChangeWire::from(self.clone()))
            .expect("wire types have string keys and always serialise")
    }

    /// Decodes the output of [`Change::to_json`].
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice::<ChangeWire>(bytes).map(Into::into)
    }
}

/// Content of the head row and of the row of a change id.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RevWire {
    pub(crate) rev: u64,
}

/// Content of the row of a document. The row of a removed document stays, so its version never
/// restarts.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ItemWire {
    pub(crate) rev: u64,
    pub(crate) doc: Option<DocWire>,
}

/// Content of the row that points to the newest snapshot.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PointerWire {
    pub(crate) rev: u64,
    pub(crate) digest: Digest,
}

/// A snapshot: all documents in force at a revision.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ViewWire {
    rev: u64,
    items: Vec<ItemWire>,
}

impl From<&View> for ViewWire {
    fn from(view: &View) -> Self {
        let wire = |i: Item| ItemWire { rev: i.rev.0, doc: Some(i.doc.into()) };
        Self { rev: view.rev().0, items: view.items().map(wire).collect() }
    }
}

impl From<ViewWire> for View {
    fn from(wire: ViewWire) -> Self {
        let item = |w: ItemWire| Some(Item { rev: Rev(w.rev), doc: w.doc?.into() });
        Self::from_items(Rev(wire.rev), wire.items.into_iter().filter_map(item).collect())
    }
}
