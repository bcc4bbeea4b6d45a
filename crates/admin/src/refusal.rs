//! Converts errors of the change log into errors of the administration API.

use std::time::Duration;

use conf::{AcceptError, DocKey, Kind, Violation};
use fields::Faults;
use ident::RequestId;

use crate::ControlError;

/// Retry delay for operators while the table service refuses writes.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(2);

impl ControlError {
    /// Returns the error of change `id` to the document `key`.
    pub fn refused(id: RequestId, key: &DocKey, error: AcceptError) -> Self {
        match error {
            AcceptError::Stale { current } => Self::Stale { current },
            AcceptError::Unavailable(_) => {
                Self::Unavailable { retry_after: UNAVAILABLE_RETRY_DELAY }
            }
            AcceptError::Unknown(_) => Self::Unknown { id },
            AcceptError::Invalid(faults) => Self::invalid(id, key, &faults),
        }
    }

    /// Returns the error of change `id` to the document `key` that has these faults.
    pub fn invalid(id: RequestId, key: &DocKey, faults: &[Violation]) -> Self {
        let mut out = Faults::default();
        for fault in faults {
            match fault {
                Violation::IdReused(current) => return Self::IdReused { id, current: *current },
                Violation::Absent(_) => return Self::Missing,
                _ => add(&mut out, key, fault),
            }
        }
        Self::Invalid(out)
    }
}

fn add(out: &mut Faults, key: &DocKey, fault: &Violation) {
    let params = if key.kind == Kind::Template { "params" } else { "patch" };
    match fault {
        Violation::WrongKey { want, got } => out.add("name", &want.to_string(), &got.to_string()),
        Violation::MissingReference { to, .. } => {
            let path = match (key.kind, to.kind) {
                (Kind::Target, _) => "kind.engine.model".into(),
                (_, Kind::Model) => format!("{params}.models"),
                (_, Kind::Target) => format!("{params}.targets"),
                _ => "template".into(),
            };
            let wanted = format!("the name of an existing {}; create it first", to.kind.as_str());
            out.add(&path, &wanted, to.name.as_str());
        }
        Violation::Referenced { by } => {
            out.add("", "no document that refers to it; change that first", &by.to_string());
        }
        Violation::ForeignTarget { team, org, target, owner } => {
            let path = match key.kind {
                Kind::Target => "org".into(),
                _ => format!("{params}.targets"),
            };
            let found = format!("team {team} of {org} with target {target} of {owner}");
            out.add(&path, "only targets of a team's own organisation", &found);
        }
        Violation::KeyTaken { key, owner } => {
            out.add("keys", "keys that no other team has", &format!("{key} of team {owner}"));
        }
        Violation::Zero(field) => out.add(&format!("{params}.{field}"), "a number from 1", "0"),
        Violation::NoWeight => {
            out.add(&format!("{params}.weights"), "at least one weight above 0", "0 and 0");
        }
        Violation::IdReused(_) | Violation::Absent(_) => unreachable!("told apart by the caller"),
    }
}
