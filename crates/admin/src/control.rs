//! What an instance offers to its operators.

use std::time::Duration;

use async_trait::async_trait;
use conf::{Change, Doc, DocKey, Kind};
use events::Page;
use fields::Faults;
use ident::{Name, RequestId, Rev};

use crate::{InstanceStatus, RolloutStatus};

/// The instance behind the administration API.
#[async_trait]
pub trait Control: Send + Sync {
    /// Whether `token` is an operator's key.
    fn authorised(&self, token: &str) -> bool;

    /// Accepts a change of the document `key`: `doc` from now on, or its removal. `expect` is the
    /// revision that made the present document, `None` when there must be none. An id that was
    /// accepted before gives back the stored change, whatever the other arguments say. The
    /// document is stored as given.
    async fn accept(
        &self,
        id: RequestId,
        key: DocKey,
        doc: Option<Doc>,
        expect: Option<Rev>,
    ) -> Result<Change, ControlError>;

    /// The document in force on this instance and the revision that made it.
    fn doc(&self, key: &DocKey) -> Option<(Doc, Rev)>;

    /// Names of all documents of `kind` with the revisions that made them, by name.
    fn names(&self, kind: Kind) -> Vec<(Name, Rev)>;

    /// The state of this instance.
    async fn status(&self) -> InstanceStatus;

    /// At most `limit` events of this life of the process after position `after`, in order.
    async fn events(&self, after: u64, limit: usize) -> Page;

    /// Starts a planned stop; returns at once. Calling it again changes nothing.
    async fn drain(&self);

    /// How far the rollout of a model's version has come; `None` for an unknown model.
    async fn rollout(&self, model: &Name) -> Result<Option<RolloutStatus>, ControlError>;
}

/// Why a change was not accepted, or not known to be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The document was changed since the expected revision. Not accepted.
    #[error("the document was changed meanwhile; read it and decide again")]
    Stale {
        /// The revision that made the present document; `None` when there is none.
        current: Option<Rev>,
    },
    /// The id was accepted for another change, which stands.
    #[error("change id {id} was accepted for another change; make a new one")]
    IdReused {
        /// The id.
        id: RequestId,
        /// The revision of that other change.
        current: Rev,
    },
    /// The document is wrong or does not fit the others. Not accepted.
    #[error("the document needs changes:\n{0}")]
    Invalid(Faults),
    /// The platform's table can't be reached. Not accepted.
    #[error("the table service can't be reached; try again in {} s", retry_after.as_secs())]
    Unavailable {
        /// When trying again makes sense, from now.
        retry_after: Duration,
    },
    /// The answer of the platform's table was lost: the change may have been accepted.
    #[error("the change may have been accepted; ask again with the same change id {id}")]
    Unknown {
        /// The change's id.
        id: RequestId,
    },
    /// There is no such document.
    #[error("there is no such document")]
    Missing,
}
