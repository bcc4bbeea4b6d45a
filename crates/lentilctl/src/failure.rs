//! Why a command failed and what to do about it.

use std::{io, path::PathBuf};

use admin::Problem;
use conf::Kind;
use ident::{Name, RequestId, Rev};

use crate::{exit::Exit, patch::PatchError};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No address was given.
    #[error("no instance to ask; name one with --admin URL or LENTIL_ADMIN")]
    NoAdmin,
    /// An address is wrong.
    #[error("--admin {url}: wanted http://ip:port without a path")]
    BadAdmin {
        /// The address.
        url: String,
    },
    /// A command for one instance was given several.
    #[error("name exactly one instance with --admin to drain it; {0} are named")]
    OneAdmin(usize),
    /// No key was given.
    #[error("no operator's key; name its file with --key-file FILE or LENTIL_KEY_FILE")]
    NoKey,
    /// The key's file holds no key.
    #[error("{}: wanted one line with the operator's key", path.display())]
    BadKey {
        /// The file.
        path: PathBuf,
    },
    /// A file could not be read or written.
    #[error("{}: {source}; check the path and its permissions", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Standard output was closed.
    #[error("can't write the output: {0}")]
    Output(#[from] io::Error),
    /// A file is not YAML.
    #[error("{}: document {position}: {detail}", path.display())]
    Yaml {
        /// The file.
        path: PathBuf,
        /// Which document, from 1.
        position: usize,
        /// What is wrong.
        detail: String,
    },
    /// A file holds no documents.
    #[error("{}: no documents in it", path.display())]
    Empty {
        /// The file.
        path: PathBuf,
    },
    /// A document has no valid name.
    #[error("{}: document {position}: wanted a mapping with a valid `name`", path.display())]
    NoName {
        /// The file.
        path: PathBuf,
        /// Which document, from 1.
        position: usize,
    },
    /// A document does not say its kind.
    #[error(
        "{}: document {position}: wanted one of template, team, target and model over the \
         document's fields", path.display()
    )]
    NoKind {
        /// The file.
        path: PathBuf,
        /// Which document, from 1.
        position: usize,
    },
    /// Options for one document were used on several.
    #[error("--expect and --change-id need a file of one document, this one has {0}")]
    OneDocument(usize),
    /// A field could not be set.
    #[error("{0}")]
    Patch(#[from] PatchError),
    /// No instance answered.
    #[error("{}", unanswered(reasons))]
    Unreachable {
        /// What each one did.
        reasons: Vec<String>,
    },
    /// An instance refused.
    #[error("{}", describe(.0))]
    Refused(Problem),
    /// There is no such document.
    #[error("there is no {} {name}; `lentilctl {} list` shows all", kind.as_str(), kind.as_str())]
    Missing {
        /// Kind of the document.
        kind: Kind,
        /// Its name.
        name: Name,
    },
    /// Another change came first.
    #[error(
        "{} {name} was {} meanwhile; nothing of this change was accepted.{now}\n{}",
        kind.as_str(),
        current.map_or("removed".into(), |r| format!("changed by {r}")),
        advice(*kind, name, *current, *retry)
    )]
    Conflict {
        /// Kind of the document.
        kind: Kind,
        /// Its name.
        name: Name,
        /// The revision that won; `None` when the document was removed.
        current: Option<Rev>,
        /// Whether the command has an option to try again.
        retry: bool,
        /// What the fields hold now, a line each.
        now: String,
    },
    /// Another change came first and the instance asked does not know it yet.
    #[error(
        "{} {name} was changed meanwhile, and the instance that was asked has not caught up; \
         nothing of this change was accepted. Run the command again, first against another --admin",
        kind.as_str()
    )]
    Behind {
        /// Kind of the document.
        kind: Kind,
        /// Its name.
        name: Name,
    },
    /// A change may have been accepted.
    #[error(
        "{} {name} may have been changed: {reason}.\nRun the same command again with \
         --change-id {id} where it takes one: the change is accepted at most once",
        kind.as_str()
    )]
    Unknown {
        /// Kind of the document.
        kind: Kind,
        /// Its name.
        name: Name,
        /// Id of the change.
        id: RequestId,
        /// What happened last.
        reason: String,
    },
    /// An answer was not understood.
    #[error("{admin} answered {status} with a body this version does not know: {detail}")]
    Answer {
        /// Who answered.
        admin: String,
        /// HTTP status.
        status: u16,
        /// What is wrong.
        detail: String,
    },
    /// No instance knows a replica.
    #[error("none of the instances watches replica {0}; name its target with --target")]
    NoReplica(Name),
    /// The wait was too short.
    #[error("not within the deadline: {0}; wait longer with --within")]
    Deadline(String),
}

impl Failure {
    /// The exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::NoAdmin
            | Self::BadAdmin { .. }
            | Self::OneAdmin(_)
            | Self::NoKey
            | Self::OneDocument(_) => Exit::Usage,
            Self::Conflict { .. } | Self::Behind { .. } => Exit::Conflict,
            Self::Refused(Problem::Stale { .. } | Problem::Exists { .. }) => Exit::Conflict,
            Self::Refused(Problem::IdReused { .. }) => Exit::Conflict,
            Self::Unknown { .. } => Exit::Unknown,
            _ => Exit::Failed,
        }
    }
}

fn unanswered(reasons: &[String]) -> String {
    match reasons {
        [reason] => reason.clone(),
        _ => format!("no instance answered:\n{}", reasons.join("\n")),
    }
}

fn advice(kind: Kind, name: &Name, current: Option<Rev>, retry: bool) -> String {
    let kind = kind.as_str();
    if current.is_none() {
        return format!("Create it anew with `lentilctl {kind} apply` if it is still wanted");
    }
    let hint = if retry { " or add --retry" } else { "" };
    format!("Look at `lentilctl {kind} get {name}`, then run the command again{hint}")
}

fn describe(problem: &Problem) -> String {
    match problem {
        Problem::Unauthorised => {
            "the instance does not know this operator's key; check --key-file against \
             `keys.operators` of its settings"
                .into()
        }
        Problem::Unavailable { retry_after } => {
            format!("{problem}; try again in {} s", retry_after.as_secs().max(1))
        }
        _ => problem.to_string(),
    }
}
