//! Changes a document by compare-and-set, at most once.

use std::time::Duration;

use admin::{ChangeWire, Problem};
use conf::DocKey;
use hyper::Method;
use ident::{RequestId, Rev};
use serde_json::Value;

use super::{
    Client, doc_path, parse,
    send::{AdminRequest, SendError},
};
use crate::error::CommandError;

/// How often a change with unknown outcome is sent to all instances.
const MAX_ROUNDS: u32 = 4;

/// Pause between two rounds over all instances.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A change of one document.
#[derive(Debug, Clone)]
pub struct ChangeRequest {
    /// Change id, the same for every attempt.
    pub id: RequestId,
    /// Whether the operator gave the id. An earlier command may have used it, so the change may
    /// have been accepted already.
    pub repeated: bool,
    /// Key of the document.
    pub key: DocKey,
    /// New fields of the document; `None` removes it.
    pub value: Option<Value>,
    /// Revision that the document must have; `None` if it must not exist yet.
    pub expect: Option<Rev>,
}

/// Results of the attempts so far.
#[derive(Default)]
struct Attempts {
    /// Whether one of the attempts may have been accepted.
    maybe_accepted: bool,
    reasons: Vec<String>,
    unavailable: Option<Problem>,
}

impl Client {
    /// Changes a document. If an instance can't be reached or does not know the outcome, the next
    /// instance gets the request with the same change id, so that the change is accepted at most
    /// once.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeWire, CommandError> {
        let mut attempts = Attempts { maybe_accepted: request.repeated, ..Attempts::default() };
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            for admin in self.admins() {
                if let Some(result) = self.try_change(admin, request, &mut attempts).await {
                    return result;
                }
            }
            if !attempts.maybe_accepted {
                break;
            }
        }
        Err(attempts.into_error(request))
    }

    /// Sends the change to one instance. `None` means that the next instance has to be tried.
    async fn try_change(
        &self,
        admin: &str,
        request: &ChangeRequest,
        attempts: &mut Attempts,
    ) -> Option<Result<ChangeWire, CommandError>> {
        let answer = match self.sender.send(admin, request.to_request()).await {
            Ok(answer) => answer,
            Err(e) => {
                attempts.maybe_accepted |= matches!(e, SendError::Lost { .. });
                attempts.reasons.push(e.to_string());
                return None;
            }
        };
        match parse(admin, &answer) {
            Err(CommandError::Refused(problem)) => {
                attempts.handle_refusal(admin, request, problem).map(Err)
            }
            Err(e) => {
                attempts.maybe_accepted |= answer.status < 300 || answer.status >= 500;
                attempts.reasons.push(e.to_string());
                None
            }
            done => Some(done),
        }
    }
}

impl ChangeRequest {
    fn to_request(&self) -> AdminRequest {
        let method = if self.value.is_some() { Method::PUT } else { Method::DELETE };
        let body = self.value.as_ref().map(Value::to_string).unwrap_or_default();
        let change = Some((self.id, self.expect));
        AdminRequest { method, path: doc_path(&self.key), body: body.into(), change }
    }

    fn to_error(&self, problem: Problem) -> CommandError {
        let current = match problem {
            Problem::Stale { current } => current,
            Problem::Exists { current } => Some(current),
            other => return CommandError::Refused(other),
        };
        let (kind, name) = (self.key.kind, self.key.name.clone());
        CommandError::Conflict { kind, name, current, retry: false, now: String::new() }
    }
}

impl Attempts {
    /// Turns the refusal of an instance into the error of the command. `None` means that the next
    /// instance has to be tried.
    fn handle_refusal(
        &mut self,
        admin: &str,
        request: &ChangeRequest,
        problem: Problem,
    ) -> Option<CommandError> {
        let mut reason = problem.to_string();
        match problem {
            // The instance read the log before it refused, so no earlier attempt can still be
            // accepted.
            Problem::Stale { .. } | Problem::Exists { .. } | Problem::IdReused { .. } => {
                return Some(request.to_error(problem));
            }
            Problem::Unknown { .. } => {
                self.maybe_accepted = true;
                reason = "its answer from the table was lost".into();
            }
            Problem::Unavailable { .. } => {
                self.unavailable = Some(problem);
                reason = "it can't reach the table service".into();
            }
            _ if self.maybe_accepted => {}
            Problem::NotFound => {
                let (kind, name) = (request.key.kind, request.key.name.clone());
                return Some(CommandError::Missing { kind, name });
            }
            _ => return Some(CommandError::Refused(problem)),
        }
        self.reasons.push(format!("{admin}: {reason}"));
        None
    }

    fn into_error(self, request: &ChangeRequest) -> CommandError {
        if self.maybe_accepted {
            let reason = self.reasons.last().cloned().unwrap_or_default();
            let (kind, name) = (request.key.kind, request.key.name.clone());
            return CommandError::OutcomeUnknown { kind, name, id: request.id, reason };
        }
        match self.unavailable {
            Some(problem) => CommandError::Refused(problem),
            None => CommandError::Unreachable { reasons: self.reasons },
        }
    }
}
