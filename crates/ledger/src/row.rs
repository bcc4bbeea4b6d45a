//! The row of a call.
//!
//! Readers ignore fields they do not know. A state they do not know reads as an error, hence as
//! "not known whether it ran".

use std::sync::Arc;

use base64::{Engine, prelude::BASE64_STANDARD};
use blob::BlobError;
use bytes::Bytes;
use ident::{Digest, Name, RequestId, Time};
use serde::{Deserialize, Serialize};
use table::{Expect, Row, TableError, Write};

use crate::{CallId, Ledger, LedgerError, Outcome, call::Holder};

/// The only sort key of a call's partition.
const SORT: &str = "claim";
/// Longest body kept in the row itself, in bytes; longer ones go to the object store.
const INLINE: usize = 32 * 1024;

/// Where an outcome's body is.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Place {
    Inline(Bytes),
    Stored(Digest),
}

/// An outcome as the row holds it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Held {
    status: u16,
    content: Arc<str>,
    place: Place,
}

/// What has become of a call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum State {
    /// Claimed; its caller gives up at `until`.
    Running { until: Time },
    /// It ran.
    Done(Held),
    /// The holder declared that it never sent.
    Void,
}

/// The row, decoded.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Entry {
    /// The row's version when read.
    pub(crate) version: u64,
    pub(crate) holder: Holder,
    /// Digest of the request.
    pub(crate) body: Digest,
    pub(crate) state: State,
}

impl Entry {
    pub(crate) fn void(&self) -> bool {
        self.state == State::Void
    }

    /// Whether the row is a live claim of `holder`.
    pub(crate) fn held_by(&self, holder: &Holder) -> bool {
        self.holder == *holder && matches!(self.state, State::Running { .. })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct EntryWire {
    token: RequestId,
    node: Name,
    serial: u64,
    body: Digest,
    #[serde(flatten)]
    state: StateWire,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
enum StateWire {
    Running { until: Time },
    Done(HeldWire),
    Void,
}

#[derive(Debug, Serialize, Deserialize)]
struct HeldWire {
    status: u16,
    content: Arc<str>,
    /// The body in base64, when it is short.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    inline: Option<String>,
    /// The body's digest, when it is in the object store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    stored: Option<Digest>,
}

/// Why a row is not understood.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("the outcome's body is not base64")]
    Base64(#[from] base64::DecodeError),
    #[error("the outcome has no body")]
    NoBody,
}

impl From<&Entry> for EntryWire {
    fn from(e: &Entry) -> Self {
        let state = match &e.state {
            State::Running { until } => StateWire::Running { until: *until },
            State::Done(held) => StateWire::Done(held.into()),
            State::Void => StateWire::Void,
        };
        let Holder { token, node, serial } = e.holder.clone();
        Self { token, node, serial, body: e.body, state }
    }
}

impl From<&Held> for HeldWire {
    fn from(h: &Held) -> Self {
        let (inline, stored) = match &h.place {
            Place::Inline(bytes) => (Some(BASE64_STANDARD.encode(bytes)), None),
            Place::Stored(digest) => (None, Some(*digest)),
        };
        Self { status: h.status, content: h.content.clone(), inline, stored }
    }
}

impl TryFrom<HeldWire> for Held {
    type Error = WireError;

    fn try_from(w: HeldWire) -> Result<Self, WireError> {
        let place = match (w.inline, w.stored) {
            (Some(text), _) => Place::Inline(BASE64_STANDARD.decode(text)?.into()),
            (None, Some(digest)) => Place::Stored(digest),
            (None, None) => return Err(WireError::NoBody),
        };
        Ok(Self { status: w.status, content: w.content, place })
    }
}

impl TryFrom<&Row> for Entry {
    type Error = WireError;

    fn try_from(row: &Row) -> Result<Self, WireError> {
        let w: EntryWire = serde_json::from_str(&row.body)?;
        let state = match w.state {
            StateWire::Running { until } => State::Running { until },
            StateWire::Done(held) => State::Done(held.try_into()?),
            StateWire::Void => State::Void,
        };
        let holder = Holder { token: w.token, node: w.node, serial: w.serial };
        Ok(Self { version: row.version, holder, body: w.body, state })
    }
}

fn part(call: &CallId) -> String {
    format!("call/{call}")
}

/// Where a team's outcomes are in the object store.
fn prefix(call: &CallId) -> String {
    format!("outcome/{}", call.team())
}

impl Ledger {
    /// Reads a call's row.
    pub(crate) async fn read(&self, call: &CallId) -> Result<Option<Entry>, TableError> {
        let Some(row) = self.table.get(&part(call), SORT).await? else { return Ok(None) };
        let entry = Entry::try_from(&row);
        entry.map(Some).map_err(|e| TableError::Malformed(e.to_string().into()))
    }

    /// Writes a call's row.
    pub(crate) async fn write(
        &self,
        call: &CallId,
        expect: Expect,
        entry: &Entry,
    ) -> Result<(), TableError> {
        let body = serde_json::to_string(&EntryWire::from(entry))
            .expect("wire types have string keys and always serialise");
        let body = Some(body.into());
        let write = Write { part: part(call).into(), sort: SORT.into(), expect, body };
        self.table.commit(vec![write]).await
    }

    /// Puts a long body into the object store.
    pub(crate) async fn keep(&self, call: &CallId, outcome: &Outcome) -> Result<Held, BlobError> {
        let place = match outcome.body.len() {
            0..=INLINE => Place::Inline(outcome.body.clone()),
            _ => Place::Stored(self.blob.put(&prefix(call), outcome.body.clone()).await?),
        };
        Ok(Held { status: outcome.status, content: outcome.content.clone(), place })
    }

    /// The outcome with its body.
    pub(crate) async fn fetch(&self, call: &CallId, held: &Held) -> Result<Outcome, LedgerError> {
        let body = match &held.place {
            Place::Inline(bytes) => bytes.clone(),
            Place::Stored(digest) => {
                self.blob.get(&prefix(call), *digest).await.map_err(LedgerError::Outcome)?
            }
        };
        Ok(Outcome { status: held.status, content: held.content.clone(), body })
    }
}
