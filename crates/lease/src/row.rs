//! The row of a lease. Rows are never removed, so fencing numbers and versions never restart within
//! an era of the table service. Across eras, the fencing numbers grow because their high bits are
//! the era.

use std::{sync::Arc, time::Duration};

use ident::{Fence, Name, Time};
use serde::{Deserialize, Serialize};
use table::{Expect, Row, TableError, Version, Write};

/// Partition key of all leases.
pub(crate) const PARTITION: &str = "lease";

/// Number of low bits of a fencing number that count within an era. The bits above are the era.
const COUNTER_BITS: u32 = 32;
/// A counter that begins at a version's number takes the number modulo this, which leaves room for
/// all holders of an era above it.
const MAX_START: u64 = 1 << 31;

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
    /// Where the lease was released: when the next holder may act, in ms of a clock that all holders
    /// know; `None` if the holder did not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) act_after: Option<u64>,
}

impl RowWire {
    pub(crate) fn read(row: &Row) -> Result<Self, TableError> {
        let malformed = |text: String| {
            TableError::Malformed(format!("row of lease {} {text}", row.sort).into())
        };
        let wire: Self = serde_json::from_str(&row.body)
            .map_err(|e| malformed(format!("could not be decoded: {e}")))?;
        if wire.fence_era() > row.version.era {
            let (fence, version) = (wire.fence.0, row.version);
            return Err(malformed(format!(
                "has fencing number {fence}, which is of a later era than its version {version}"
            )));
        }
        Ok(wire)
    }

    /// Era in which the fencing number was given out.
    pub(crate) fn fence_era(&self) -> u64 {
        self.fence.0 >> COUNTER_BITS
    }

    /// Whether the row was written in the era in which it was read at `version`. If not, the table
    /// service has restored it, or has carried out a late write of an earlier era, which may have
    /// replaced the row of a holder of this era.
    pub(crate) fn is_of_era(&self, version: Version) -> bool {
        self.fence_era() == version.era
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

/// The first fencing number of a lease without a row in `era`.
pub(crate) fn first_fence(era: u64) -> Result<Fence, TableError> {
    fence(era, 1)
}

/// The fencing number of the next holder after the row `wire`, which was read at `version`.
///
/// In the first era, and after a row of its own era, the counter goes on by one. After a row of an
/// earlier era it starts above the version's number: the row may be a late write of that era over
/// the row of a holder of this one, whose fencing number nobody can read any more. Since each holder
/// writes the row, a counter is never above the number of its row.
pub(crate) fn next_fence(wire: &RowWire, version: Version) -> Result<Fence, TableError> {
    let counter = match wire.is_of_era(version) {
        true => wire.fence.0 - (version.era << COUNTER_BITS),
        false => version.number % MAX_START,
    };
    fence(version.era, counter.saturating_add(1))
}

fn fence(era: u64, counter: u64) -> Result<Fence, TableError> {
    let parts = (u32::try_from(era), u32::try_from(counter));
    let (Ok(era), Ok(counter)) = parts else {
        let text = format!("era {era} or counter {counter} does not fit into a fencing number");
        return Err(TableError::Malformed(text.into()));
    };
    Ok(Fence(u64::from(era) << COUNTER_BITS | u64::from(counter)))
}
