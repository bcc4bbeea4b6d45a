//! The row of a call in the table service.
//!
//! Readers ignore unknown fields. An unknown state is an error, so the caller is told that it is
//! not known whether the call ran.

use std::sync::Arc;

use base64::{Engine, prelude::BASE64_STANDARD};
use blob::BlobError;
use bytes::Bytes;
use ident::{Digest, Name, RequestId, Time};
use serde::{Deserialize, Serialize};
use table::{Expect, Row, TableError, Version, Write};

use crate::{CallId, Ledger, LedgerError, Outcome, call::Holder};

/// Sort key of the only row in the partition of a call.
const SORT_KEY: &str = "claim";
/// Maximum length in bytes of a body that is stored in the row. Longer ones go to the object store.
const MAX_INLINE_BYTES: usize = 32 * 1024;

/// Where the body of an outcome is stored: in the row, or in the object store under its digest.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum BodyLocation {
    Inline(Bytes),
    ObjectStore(Digest),
}

/// An outcome as the row stores it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StoredOutcome {
    status: u16,
    content_type: Arc<str>,
    location: BodyLocation,
    framed: bool,
}

/// State of a call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum State {
    /// The call is claimed; its caller gives up at `deadline`.
    Running { deadline: Time },
    /// The call ran.
    Done(StoredOutcome),
    /// The holder declared that the call did not run.
    NotRun,
}

/// Decoded row of a call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Entry {
    /// Version of the row when it was read; the default in an entry to be written.
    pub(crate) version: Version,
    pub(crate) holder: Holder,
    /// Digest of the request.
    pub(crate) request_digest: Digest,
    pub(crate) state: State,
}

impl Entry {
    /// Whether the call is marked as not run, so that the key may be claimed again.
    pub(crate) fn is_marked_not_run(&self) -> bool {
        self.state == State::NotRun
    }

    /// Whether the row is a claim of `holder` without an outcome.
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
    Done(OutcomeWire),
    Void,
}

#[derive(Debug, Serialize, Deserialize)]
struct OutcomeWire {
    status: u16,
    content: Arc<str>,
    /// Whether the body may have been cut. Rows of older instances don't tell.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    unframed: bool,
    /// The body in base64, if it has at most [`MAX_INLINE_BYTES`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    inline: Option<String>,
    /// Digest of the body, if it is in the object store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    stored: Option<Digest>,
}

/// Error of decoding a row.
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
            State::Running { deadline } => StateWire::Running { until: *deadline },
            State::Done(stored) => StateWire::Done(stored.into()),
            State::NotRun => StateWire::Void,
        };
        let Holder { token, node, serial } = e.holder.clone();
        Self { token, node, serial, body: e.request_digest, state }
    }
}

impl From<&StoredOutcome> for OutcomeWire {
    fn from(h: &StoredOutcome) -> Self {
        let (inline, stored) = match &h.location {
            BodyLocation::Inline(bytes) => (Some(BASE64_STANDARD.encode(bytes)), None),
            BodyLocation::ObjectStore(digest) => (None, Some(*digest)),
        };
        let unframed = !h.framed;
        Self { status: h.status, content: h.content_type.clone(), unframed, inline, stored }
    }
}

impl TryFrom<OutcomeWire> for StoredOutcome {
    type Error = WireError;

    fn try_from(w: OutcomeWire) -> Result<Self, WireError> {
        let location = match (w.inline, w.stored) {
            (Some(text), _) => BodyLocation::Inline(BASE64_STANDARD.decode(text)?.into()),
            (None, Some(digest)) => BodyLocation::ObjectStore(digest),
            (None, None) => return Err(WireError::NoBody),
        };
        Ok(Self { status: w.status, content_type: w.content, location, framed: !w.unframed })
    }
}

impl TryFrom<&Row> for Entry {
    type Error = WireError;

    fn try_from(row: &Row) -> Result<Self, WireError> {
        let w: EntryWire = serde_json::from_str(&row.body)?;
        let state = match w.state {
            StateWire::Running { until } => State::Running { deadline: until },
            StateWire::Done(stored) => State::Done(stored.try_into()?),
            StateWire::Void => State::NotRun,
        };
        let holder = Holder { token: w.token, node: w.node, serial: w.serial };
        Ok(Self { version: row.version, holder, request_digest: w.body, state })
    }
}

fn partition(call: &CallId) -> String {
    format!("call/{call}")
}

/// Prefix of a team's outcomes in the object store.
fn outcome_prefix(call: &CallId) -> String {
    format!("outcome/{}", call.team())
}

impl Ledger {
    /// Reads the row of a call; `None` if there is none.
    pub(crate) async fn read(&self, call: &CallId) -> Result<Option<Entry>, TableError> {
        let Some(row) = self.table.get(&partition(call), SORT_KEY).await? else { return Ok(None) };
        let entry = Entry::try_from(&row);
        entry.map(Some).map_err(|e| TableError::Malformed(e.to_string().into()))
    }

    /// Writes the row of a call under the condition `expect`.
    pub(crate) async fn write(
        &self,
        call: &CallId,
        expect: Expect,
        entry: &Entry,
    ) -> Result<(), TableError> {
        let body = serde_json::to_string(&EntryWire::from(entry))
            .expect("wire types have string keys and always serialise");
        let body = Some(body.into());
        let write = Write { part: partition(call).into(), sort: SORT_KEY.into(), expect, body };
        self.table.commit(vec![write]).await
    }

    /// Prepares an outcome for the row. A body above [`MAX_INLINE_BYTES`] is put into the object
    /// store.
    pub(crate) async fn store(
        &self,
        call: &CallId,
        outcome: &Outcome,
    ) -> Result<StoredOutcome, BlobError> {
        let location = match outcome.body.len() {
            0..=MAX_INLINE_BYTES => BodyLocation::Inline(outcome.body.clone()),
            _ => BodyLocation::ObjectStore(
                self.blob.put(&outcome_prefix(call), outcome.body.clone()).await?,
            ),
        };
        Ok(StoredOutcome {
            status: outcome.status,
            content_type: outcome.content_type.clone(),
            location,
            framed: outcome.framed,
        })
    }

    /// Loads a stored outcome with its body.
    pub(crate) async fn load_outcome(
        &self,
        call: &CallId,
        stored: &StoredOutcome,
    ) -> Result<Outcome, LedgerError> {
        let body = match &stored.location {
            BodyLocation::Inline(bytes) => bytes.clone(),
            BodyLocation::ObjectStore(digest) => {
                self.blob.get(&outcome_prefix(call), *digest).await.map_err(LedgerError::Outcome)?
            }
        };
        Ok(Outcome {
            status: stored.status,
            content_type: stored.content_type.clone(),
            body,
            framed: stored.framed,
        })
    }
}
