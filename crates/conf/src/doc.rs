//! Documents operators write and the change log's entries.

use std::fmt;

use ident::{Digest, Name, RequestId, Rev};
use serde::{Deserialize, Serialize};

/// What kind of thing a document describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Parameters shared by many teams.
    Template,
    /// A customer's team.
    Team,
    /// A back end: a model deployment or a plain service.
    Target,
    /// A model with the weight version new requests use.
    Model,
}

/// The identity of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocKey {
    /// Kind of the document.
    pub kind: Kind,
    /// Its name, unique within the kind.
    pub name: Name,
}

/// A document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Doc {
    /// See [`Template`].
    Template(Template),
    /// See [`Team`].
    Team(Team),
    /// See [`Target`].
    Target(Target),
    /// See [`Model`].
    Model(Model),
}

impl Kind {
    /// The kind in lower case, as rows and files name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Template => "template",
            Self::Team => "team",
            Self::Target => "target",
            Self::Model => "model",
        }
    }
}

impl fmt::Display for DocKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl Doc {
    /// The document's identity.
    pub fn key(&self) -> DocKey {
        let (kind, name) = match self {
            Self::Template(d) => (Kind::Template, &d.name),
            Self::Team(d) => (Kind::Team, &d.name),
            Self::Target(d) => (Kind::Target, &d.name),
            Self::Model(d) => (Kind::Model, &d.name),
        };
        DocKey { kind, name: name.clone() }
    }

    /// Sorts the lists that are kept sorted and drops repeated entries.
    pub fn normalise(&mut self) {
        match self {
            Self::Template(d) => {
                tidy(&mut d.params.models);
                tidy(&mut d.params.targets);
            }
            Self::Team(d) => {
                tidy(&mut d.keys);
                d.patch.models.iter_mut().for_each(tidy);
                d.patch.targets.iter_mut().for_each(tidy);
            }
            Self::Target(d) => {
                tidy(&mut d.withdrawn);
                if let TargetKind::Service { idempotent } = &mut d.kind {
                    tidy(idempotent);
                }
            }
            Self::Model(_) => {}
        }
    }
}

fn tidy<T>(list: &mut Vec<T>)
where
    T: Ord,
{
    list.sort();
    list.dedup();
}

/// Limits of one team over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Admitted requests per second.
    pub rate: u32,
    /// Requests running or queued at once.
    pub inflight: u32,
    /// Longest prompt, in bytes.
    pub prompt: u32,
    /// Most tokens one request may generate.
    pub tokens: u32,
}

/// What a team weighs: relative costs of a second of time to first token and of a recomputed
/// prompt share of one. Only the proportion counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of time to first token.
    pub latency: u16,
    /// Weight of the recomputed share.
    pub recompute: u16,
}

/// Parameters of a team, complete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Params {
    /// Models the team may use. Sorted.
    pub models: Vec<Name>,
    /// Targets the team may reach. Sorted. A target of another organisation is never reached.
    pub targets: Vec<Name>,
    /// The team's limits.
    pub limits: Limits,
    /// What the team weighs.
    pub weights: Weights,
    /// Number of home instances the team's contexts are spread over; at least 1.
    pub spread: u8,
}

/// Parameters that override a template's; `None` keeps the template's value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Patch {
    /// Overrides [`Params::models`].
    pub models: Option<Vec<Name>>,
    /// Overrides [`Params::targets`].
    pub targets: Option<Vec<Name>>,
    /// Overrides [`Params::limits`].
    pub limits: Option<Limits>,
    /// Overrides [`Params::weights`].
    pub weights: Option<Weights>,
    /// Overrides [`Params::spread`].
    pub spread: Option<u8>,
}

/// A template of team parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name of the template.
    pub name: Name,
    /// The parameters.
    pub params: Params,
}

/// Digests of the API keys a team may present; the keys themselves are never stored.
pub type Secrets = Vec<Digest>;

/// A team made from a template.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// The template whose parameters it takes.
    pub template: Name,
    /// The organisation it belongs to.
    pub org: Name,
    /// Plain BLAKE3 digests (first 16 bytes, hex) of its API keys.
    pub keys: Secrets,
    /// The team's own parameters over the template's.
    #[serde(default)]
    pub patch: Patch,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes what runs and takes no new work.
    Leaving,
}

/// What a target runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// Replicas of a model engine serving this model.
    Engine {
        /// The model.
        model: Name,
        /// Whether its engines refuse orders with an old fencing number.
        fenced: bool,
    },
    /// A plain service.
    Service {
        /// Path prefixes of POST calls that may be repeated; GET calls always may. Sorted.
        idempotent: Vec<String>,
    },
}

/// A back end. Its replicas come from the platform's instance list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target; the platform's instance list names it in the label `target`.
    pub name: Name,
    /// The organisation that owns it.
    pub org: Name,
    /// What it runs.
    pub kind: TargetKind,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
    /// Replicas the operator has withdrawn, by instance name. Sorted.
    #[serde(default)]
    pub withdrawn: Vec<Name>,
}

/// A model and its weight versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: Name,
    /// The version new requests use where a replica serves it.
    pub version: Name,
    /// The version new requests use while no replica serves [`Model::version`] yet.
    #[serde(default)]
    pub previous: Option<Name>,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision this change made. Consecutive changes have consecutive revisions.
    pub rev: Rev,
    /// Chosen by the operator's client; the same id is accepted once.
    pub id: RequestId,
    /// What was changed.
    pub key: DocKey,
    /// The document from this revision on; `None` when it was removed.
    pub doc: Option<Doc>,
}
