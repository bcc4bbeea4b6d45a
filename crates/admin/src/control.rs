//! The operations that an instance offers to operators.

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
    /// Returns whether `token` is an operator's key.
    fn authorised(&self, token: &str) -> bool;

    /// Accepts a change of the document `key`: its new content, or its removal if `doc` is `None`.
    /// `expect` is the revision of the present document; `None` if it must not exist. For an id
    /// that was accepted before, returns the stored change and ignores the other arguments.
    async fn accept(
        &self,
        id: RequestId,
        key: DocKey,
        doc: Option<Doc>,
        expect: Option<Rev>,
    ) -> Result<Change, ControlError>;

    /// Returns the document in force on this instance and its revision; `None` if there is none.
    fn doc(&self, key: &DocKey) -> Option<(Doc, Rev)>;

    /// Returns the names of all documents of `kind` with their revisions, sorted by name.
    fn names(&self, kind: Kind) -> Vec<(Name, Rev)>;

    /// Returns the state of this instance.
    async fn status(&self) -> InstanceStatus;

    /// Returns at most `limit` events of this process after sequence number `after`, in order.
    async fn events(&self, after: u64, limit: usize) -> Page;

    /// Starts a planned stop and returns at once. Further calls have no effect.
    async fn drain(&self);

    /// Returns the progress of the rollout of a model's version; `None` if the model is unknown.
    async fn rollout(&self, model: &Name) -> Result<Option<RolloutStatus>, ControlError>;
}

/// Error of a change that was not accepted, or may not have been.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The document is not at the expected revision. The change was not accepted.
    #[error("the document was changed meanwhile; read it and decide again")]
    Stale {
        /// Revision of the present document; `None` if it does not exist.
        current: Option<Rev>,
    },
    /// Another change was accepted with this id.
    #[error("change id {id} was accepted for another change; make a new one")]
    IdReused {
        /// Id of both changes.
        id: RequestId,
        /// Revision of the accepted change.
        current: Rev,
    },
    /// The document is invalid or conflicts with others. The change was not accepted.
    #[error("the document needs changes:\n{0}")]
    Invalid(Faults),
    /// The table service can't be reached. The change was not accepted.
    #[error("the table service can't be reached; try again in {} s", retry_after.as_secs())]
    Unavailable {
        /// Delay after which a retry makes sense.
        retry_after: Duration,
    },
    /// The answer of the table service was lost, so the change may have been accepted.
    #[error("the change may have been accepted; ask again with the same change id {id}")]
    Unknown {
        /// Id of the change.
        id: RequestId,
    },
    /// The document does not exist.
    #[error("there is no such document")]
    Missing,
}
