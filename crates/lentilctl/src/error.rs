//! Errors of the commands, with advice to the operator.

use std::{io, path::PathBuf};

use admin::Problem;
use conf::Kind;
use ident::{Name, RequestId, Rev};

use crate::{exit::Exit, patch::PatchError};

/// Error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// No instance was named.
    #[error("no instance to ask; name one with --admin URL or LENTIL_ADMIN")]
    NoAdmin,
    /// The address of an instance is not of the form `http://ip:port`.
    #[error("--admin {url}: wanted http://ip:port without a path")]
    BadAdmin {
        /// Address as given.
        url: String,
    },
    /// Several instances were named for a command that needs exactly one; holds their number.
    #[error("name exactly one instance with --admin to drain it; {0} are named")]
    SeveralAdmins(usize),
    /// No file with the operator's key was named.
    #[error("no operator's key; name its file with --key-file FILE or LENTIL_KEY_FILE")]
    NoKey,
    /// The key file does not hold one line of visible ASCII characters.
    #[error("{}: wanted one line with the operator's key", path.display())]
    BadKey {
        /// Path of the file.
        path: PathBuf,
    },
    /// A file could not be read or written.
    #[error("{}: {source}; check the path and its permissions", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Standard output could not be written.
    #[error("can't write the output: {0}")]
    Output(#[from] io::Error),
    /// A document in a file is not YAML, or can't be represented as JSON.
    #[error("{}: document {position}: {detail}", path.display())]
    Yaml {
        /// Path of the file.
        path: PathBuf,
        /// Position of the document in the file, from 1.
        position: usize,
        /// Message of the parser.
        detail: String,
    },
    /// A file holds no documents.
    #[error("{}: no documents in it", path.display())]
    Empty {
        /// Path of the file.
        path: PathBuf,
    },
    /// A document has no valid name.
    #[error("{}: document {position}: wanted a mapping with a valid `name`", path.display())]
    NoName {
        /// Path of the file.
        path: PathBuf,
        /// Position of the document in the file, from 1.
        position: usize,
    },
    /// A document is not wrapped in exactly one key that is its kind.
    #[error(
        "{}: document {position}: wanted one of template, team, target and model over the \
         document's fields", path.display()
    )]
    NoKind {
        /// Path of the file.
        path: PathBuf,
        /// Position of the document in the file, from 1.
        position: usize,
    },
    /// Options for one document were used with a file of several; holds their number.
    #[error("--expect and --change-id need a file of one document, this one has {0}")]
    SeveralDocuments(usize),
    /// A field could not be set.
    #[error("{0}")]
    Patch(#[from] PatchError),
    /// No instance answered.
    #[error("{}", no_answer(reasons))]
    Unreachable {
        /// Failure of each instance.
        reasons: Vec<String>,
    },
    /// An instance refused the request.
    #[error("{}", describe(.0))]
    Refused(Problem),
    /// The document does not exist.
    #[error("there is no {} {name}; `lentilctl {} list` shows all", kind.as_str(), kind.as_str())]
    Missing {
        /// Kind of the document.
        kind: Kind,
        /// Name of the document.
        name: Name,
    },
    /// Another change of the document was accepted first.
    #[error(
        "{} {name} was {} meanwhile; nothing of this change was accepted.{now}\n{}",
        kind.as_str(),
        current.map_or("removed".into(), |r| format!("changed by {r}")),
        advice(*kind, name, *current, *retry)
    )]
    Conflict {
        /// Kind of the document.
        kind: Kind,
        /// Name of the document.
        name: Name,
        /// Revision of the other change; `None` if it removed the document.
        current: Option<Rev>,
        /// Whether to advise the option `--retry`.
        retry: bool,
        /// Current values of the fields, each on a line that starts with a line break.
        now: String,
    },
    /// Another change of the document was accepted first, and the instances have not read it yet.
    #[error(
        "{} {name} was changed meanwhile, and the instance that was asked has not caught up; \
         nothing of this change was accepted. Run the command again, first against another --admin",
        kind.as_str()
    )]
    InstanceBehind {
        /// Kind of the document.
        kind: Kind,
        /// Name of the document.
        name: Name,
    },
    /// The outcome of a change is unknown: it may have been accepted.
    #[error(
        "{} {name} may have been changed: {reason}.\nRun the same command again with \
         --change-id {id} where it takes one: the change is accepted at most once",
        kind.as_str()
    )]
    OutcomeUnknown {
        /// Kind of the document.
        kind: Kind,
        /// Name of the document.
        name: Name,
        /// Change id, to repeat the change with.
        id: RequestId,
        /// Failure of the last attempt.
        reason: String,
    },
    /// The body of an answer could not be parsed.
    #[error("{admin} answered {status} with a body this version does not know: {detail}")]
    MalformedAnswer {
        /// Address of the instance.
        admin: String,
        /// HTTP status of the answer.
        status: u16,
        /// Message of the parser.
        detail: String,
    },
    /// No instance lists the replica.
    #[error("none of the instances watches replica {0}; name its target with --target")]
    UnknownReplica(Name),
    /// A state was not reached before the deadline; holds the last state seen.
    #[error("not within the deadline: {0}; wait longer with --within")]
    DeadlineExceeded(String),
}

impl CommandError {
    /// Exit code of the program after this error.
    pub fn exit_code(&self) -> Exit {
        match self {
            Self::NoAdmin
            | Self::BadAdmin { .. }
            | Self::SeveralAdmins(_)
            | Self::NoKey
            | Self::SeveralDocuments(_) => Exit::Usage,
            Self::Conflict { .. } | Self::InstanceBehind { .. } => Exit::Conflict,
            Self::Refused(Problem::Stale { .. } | Problem::Exists { .. }) => Exit::Conflict,
            Self::Refused(Problem::IdReused { .. }) => Exit::Conflict,
            Self::OutcomeUnknown { .. } => Exit::Unknown,
            _ => Exit::Failed,
        }
    }
}

fn no_answer(reasons: &[String]) -> String {
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
