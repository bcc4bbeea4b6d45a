//! The row of a lease. Rows are never removed, so fencing numbers and versions never restart.

use std::{sync::Arc, time::Duration};

use ident::{Fence, Name, Time};
use serde::{Deserialize, Serialize};
use table::{Expect, Row, TableError, Write};

/// Partition key of all leases.
pub(crate) const PARTITION: &str = "lease";

/// The claim that holds a lease: instance, process and number of the claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Holder {
    pub(crate) node: Name,
    /// When the process started.
    #[serde(rename = "boot")]
    pub(crate) started: Time,
    /// Number of the claim within the process.
    pub(crate) claim: u64,
}

/// Content of a lease's row. Readers ignore unknown fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RowWire {
    #[serde(rename = "owner")]
    pub(crate) holder: Holder,
    pub(crate) fence: Fence,
    /// Duration of the lease. Other instances wait until the row was unchanged for this long and a
    /// margin.
    #[serde(rename = "term")]
    pub(crate) duration: Duration,
    pub(crate) released: bool,
}

impl RowWire {
    pub(crate) fn read(row: &Row) -> Result<Self, TableError> {
        serde_json::from_str(&row.body).map_err(|e| {
            TableError::Malformed(
                format!("row of lease {} could not be decoded: {e}", row.sort).into(),
            )
        })
    }

    pub(crate) fn write(&self, sort: &Arc<str>, expect: Expect) -> Write {
        let body =
            serde_json::to_string(self).expect("wire types have string keys and always serialise");
        Write { part: PARTITION.into(), sort: sort.clone(), expect, body: Some(body.into()) }
    }
}

/// Sort key of a lease.
pub(crate) fn lease_key(name: &Name) -> Arc<str> {
    format!("lease/{name}").into()
}

/// Sort key of one of the leases of [`crate::Slots`].
pub(crate) fn slot_key(name: &Name, index: u32) -> Arc<str> {
    format!("slot/{name}/{index}").into()
}
