//! The row of a lease. It is never removed, so that fencing numbers and versions never restart.

use std::{sync::Arc, time::Duration};

use ident::{Fence, Name, Time};
use serde::{Deserialize, Serialize};
use table::{Expect, Row, TableError, Write};

/// Partition of all leases.
pub(crate) const PART: &str = "lease";

/// Which claim of which process holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    pub(crate) node: Name,
    /// Start of the process.
    pub(crate) boot: Time,
    /// Number of the claim within the process.
    pub(crate) claim: u64,
}

/// A lease's row. Readers ignore fields they do not know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RowWire {
    pub(crate) owner: Owner,
    pub(crate) fence: Fence,
    /// How long the row must stay unchanged until the lease has lapsed.
    pub(crate) term: Duration,
    pub(crate) released: bool,
}

impl RowWire {
    pub(crate) fn read(row: &Row) -> Result<Self, TableError> {
        serde_json::from_str(&row.body).map_err(|e| {
            TableError::Malformed(format!("lease {} is not understood: {e}", row.sort).into())
        })
    }

    pub(crate) fn write(&self, sort: &Arc<str>, expect: Expect) -> Write {
        let body =
            serde_json::to_string(self).expect("wire types have string keys and always serialise");
        Write { part: PART.into(), sort: sort.clone(), expect, body: Some(body.into()) }
    }
}

/// Sort key of a lease.
pub(crate) fn lease(name: &Name) -> Arc<str> {
    format!("lease/{name}").into()
}

/// Sort key of a slot.
pub(crate) fn slot(name: &Name, index: u32) -> Arc<str> {
    format!("slot/{name}/{index}").into()
}
