//! Changing a document by compare-and-set, at most once.

use std::time::Duration;

use admin::{ChangeWire, Problem};
use conf::DocKey;
use hyper::Method;
use ident::{RequestId, Rev};
use serde_json::Value;

use super::{
    Client, parse, path_of,
    send::{Ask, SendError},
};
use crate::failure::Failure;

/// How often all instances are asked about a change whose outcome is unknown.
const ROUNDS: u32 = 4;

/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(300);

/// A wanted change.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// Its id, the same for every try.
    pub id: RequestId,
    /// Whether an earlier command used the id, so that it may have taken effect already.
    pub repeated: bool,
    /// The document.
    pub key: DocKey,
    /// Its fields from now on; `None` to remove it.
    pub value: Option<Value>,
    /// The revision that made the present document; `None` to create it.
    pub expect: Option<Rev>,
}

/// What the tries so far have shown.
#[derive(Default)]
struct Tries {
    /// Whether one of them may have taken effect.
    maybe: bool,
    reasons: Vec<String>,
    unavailable: Option<Problem>,
}

impl Client {
    /// Makes a change. An instance that can't be reached or can't tell the outcome is followed by
    /// the next one with the same change id, so that the change is accepted at most once.
    pub async fn change(&self, wanted: &Wanted) -> Result<ChangeWire, Failure> {
        let mut tries = Tries { maybe: wanted.repeated, ..Tries::default() };
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(PAUSE).await;
            }
            for admin in self.admins() {
                if let Some(verdict) = self.try_change(admin, wanted, &mut tries).await {
                    return verdict;
                }
            }
            if !tries.maybe {
                break;
            }
        }
        Err(tries.verdict(wanted))
    }

    /// One try; `None` when another instance is to be asked.
    async fn try_change(
        &self,
        admin: &str,
        wanted: &Wanted,
        tries: &mut Tries,
    ) -> Option<Result<ChangeWire, Failure>> {
        let answer = match self.sender.send(admin, wanted.ask()).await {
            Ok(answer) => answer,
            Err(e) => {
                tries.maybe |= matches!(e, SendError::Lost { .. });
                tries.reasons.push(e.to_string());
                return None;
            }
        };
        match parse(admin, &answer) {
            Err(Failure::Refused(problem)) => tries.judge(admin, wanted, problem).map(Err),
            Err(e) => {
                tries.maybe |= answer.status < 300 || answer.status >= 500;
                tries.reasons.push(e.to_string());
                None
            }
            done => Some(done),
        }
    }
}

impl Wanted {
    fn ask(&self) -> Ask {
        let method = if self.value.is_some() { Method::PUT } else { Method::DELETE };
        let body = self.value.as_ref().map(Value::to_string).unwrap_or_default();
        let change = Some((self.id, self.expect));
        Ask { method, path: path_of(&self.key), body: body.into(), change }
    }

    fn lost_race(&self, problem: Problem) -> Failure {
        let current = match problem {
            Problem::Stale { current } => current,
            Problem::Exists { current } => Some(current),
            other => return Failure::Refused(other),
        };
        let (kind, name) = (self.key.kind, self.key.name.clone());
        Failure::Conflict { kind, name, current, retry: false, now: String::new() }
    }
}

impl Tries {
    /// What a refusal means for the change; `None` when another instance is to be asked.
    fn judge(&mut self, admin: &str, wanted: &Wanted, problem: Problem) -> Option<Failure> {
        let mut reason = problem.to_string();
        match problem {
            // The log was read before this refusal, so no earlier try can take effect any more.
            Problem::Stale { .. } | Problem::Exists { .. } | Problem::IdReused { .. } => {
                return Some(wanted.lost_race(problem));
            }
            Problem::Unknown { .. } => {
                self.maybe = true;
                reason = "its answer from the table was lost".into();
            }
            Problem::Unavailable { .. } => {
                self.unavailable = Some(problem);
                reason = "it can't reach the table service".into();
            }
            _ if self.maybe => {}
            Problem::NotFound => {
                let (kind, name) = (wanted.key.kind, wanted.key.name.clone());
                return Some(Failure::Missing { kind, name });
            }
            _ => return Some(Failure::Refused(problem)),
        }
        self.reasons.push(format!("{admin}: {reason}"));
        None
    }

    fn verdict(self, wanted: &Wanted) -> Failure {
        if self.maybe {
            let reason = self.reasons.last().cloned().unwrap_or_default();
            let (kind, name) = (wanted.key.kind, wanted.key.name.clone());
            return Failure::Unknown { kind, name, id: wanted.id, reason };
        }
        match self.unavailable {
            Some(problem) => Failure::Refused(problem),
            None => Failure::Unreachable { reasons: self.reasons },
        }
    }
}
