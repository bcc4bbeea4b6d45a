//! Rows and snapshots as JSON.
//!
//! Rolling upgrades: instances of two releases read each other's rows. A reader ignores fields it
//! does not know and fills in defaults for fields that an older writer left out, so a release may
//! add fields freely, each with a default that keeps the old behaviour. A document kind or enum
//! value that a reader does not know cannot be ignored: the reader stops following at that row
//! and reports [`table::TableError::Malformed`]. So a release that adds one first ships reading
//! it, and writes it from the release after on. Documents given by operators are checked strictly;
//! there an unknown field is a spelling mistake.

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
    /// The change as JSON, in the form of the log's rows, which other releases can read.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&ChangeWire::from(self.clone()))
            .expect("wire types have string keys and always serialise")
    }

    /// Reads what [`Change::to_json`] wrote.
    pub fn from_json(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice::<ChangeWire>(bytes).map(Into::into)
    }
}

/// The row of the newest revision, and the row of a change id.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RevWire {
    pub(crate) rev: u64,
}

/// The row of one document. A removed one keeps its row, so that its version never restarts.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ItemWire {
    pub(crate) rev: u64,
    pub(crate) doc: Option<DocWire>,
}

/// The row that points at the newest snapshot.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PointerWire {
    pub(crate) rev: u64,
    pub(crate) digest: Digest,
}

/// A snapshot: every document in force at a revision.
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
