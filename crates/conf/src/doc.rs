//! The documents that operators write, and the entries of the change log.

use std::fmt;

use ident::{Digest, Name, RequestId, Rev};
use serde::{Deserialize, Serialize};

/// Kind of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Parameters that teams share.
    Template,
    /// A customer's team.
    Team,
    /// A back end: a model deployment or a plain service.
    Target,
    /// A model with the weights version that new requests use.
    Model,
}

/// Key of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DocKey {
    /// Kind of the document.
    pub kind: Kind,
    /// Name of the document, unique within its kind.
    pub name: Name,
}

/// A configuration document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Doc {
    /// Parameters that teams share.
    Template(Template),
    /// A customer's team.
    Team(Team),
    /// A back end.
    Target(Target),
    /// A model with its weights versions.
    Model(Model),
}

impl Kind {
    /// Name of the kind in lower case, as in rows and files.
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
    /// Key of the document.
    pub fn key(&self) -> DocKey {
        let (kind, name) = match self {
            Self::Template(d) => (Kind::Template, &d.name),
            Self::Team(d) => (Kind::Team, &d.name),
            Self::Target(d) => (Kind::Target, &d.name),
            Self::Model(d) => (Kind::Model, &d.name),
        };
        DocKey { kind, name: name.clone() }
    }

    /// Sorts the lists that must be sorted and removes duplicate entries.
    pub fn normalise(&mut self) {
        match self {
            Self::Template(d) => {
                sort_and_dedup(&mut d.params.models);
                sort_and_dedup(&mut d.params.targets);
            }
            Self::Team(d) => {
                sort_and_dedup(&mut d.keys);
                d.patch.models.iter_mut().for_each(sort_and_dedup);
                d.patch.targets.iter_mut().for_each(sort_and_dedup);
            }
            Self::Target(d) => {
                sort_and_dedup(&mut d.withdrawn);
                if let TargetKind::Service { idempotent } = &mut d.kind {
                    sort_and_dedup(idempotent);
                }
            }
            Self::Model(_) => {}
        }
    }
}

fn sort_and_dedup<T>(list: &mut Vec<T>)
where
    T: Ord,
{
    list.sort();
    list.dedup();
}

/// Limits of a team, in total over all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of admitted requests per second.
    pub rate: u32,
    /// Maximum number of requests that are in flight or queued at the same time.
    pub inflight: u32,
    /// Maximum length of a prompt, in bytes.
    pub prompt: u32,
    /// Maximum number of tokens that one request may generate.
    pub tokens: u32,
}

/// Weights of a team in the choice of a replica: the relative costs of one second of time to first
/// token, and of recomputing a whole prompt. Only the ratio counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of time to first token.
    pub latency: u16,
    /// Weight of the share of the prompt that is recomputed.
    pub recompute: u16,
}

/// Complete parameters of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Params {
    /// Models that the team may use. Sorted.
    pub models: Vec<Name>,
    /// Targets that the team may reach. Sorted. A team never reaches a target of another
    /// organisation.
    pub targets: Vec<Name>,
    /// Limits of the team.
    pub limits: Limits,
    /// Weights of the team in the choice of a replica.
    pub weights: Weights,
    /// Number of home instances over which the team's contexts are spread; at least 1.
    pub spread: u8,
}

/// Parameters that override those of the template. `None` keeps the value of the template.
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
    /// Parameters of the teams that use the template.
    pub params: Params,
}

/// Digests of the API keys of a team. The keys themselves are never stored.
pub type KeyDigests = Vec<Digest>;

/// A team that uses a template.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Name of the template that the team uses.
    pub template: Name,
    /// Organisation to which the team belongs.
    pub org: Name,
    /// Unkeyed BLAKE3 digests of the team's API keys (first 16 bytes, in hex).
    pub keys: KeyDigests,
    /// Parameters of the team that override those of the template.
    #[serde(default)]
    pub patch: Patch,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The target takes new work.
    #[default]
    Active,
    /// The target finishes its requests in flight and takes no new work.
    Leaving,
}

/// What a target runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// Replicas of an engine that serves a model.
    Engine {
        /// Name of the model.
        model: Name,
        /// Whether the engines refuse orders with an old fencing number.
        fenced: bool,
    },
    /// A plain service.
    Service {
        /// Path prefixes of POST calls that may be retried. GET calls always may. Sorted.
        idempotent: Vec<String>,
    },
}

/// A back end. Its replicas are in the platform's instance list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target, as in the label `target` of the platform's instance list.
    pub name: Name,
    /// Organisation that owns the target.
    pub org: Name,
    /// Kind of the target, with its settings.
    pub kind: TargetKind,
    /// Whether the target takes new work.
    #[serde(default)]
    pub state: State,
    /// Instance names of the replicas that an operator has withdrawn. Sorted.
    #[serde(default)]
    pub withdrawn: Vec<Name>,
}

/// A model and its weights versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: Name,
    /// Version that new requests use if a replica serves it.
    pub version: Name,
    /// Version that new requests use while no replica serves [`Model::version`]; `None` if there is
    /// none.
    #[serde(default)]
    pub previous: Option<Name>,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the change created. Consecutive changes have consecutive revisions.
    pub rev: Rev,
    /// Identifier that the operator's client chose. Each id is accepted once.
    pub id: RequestId,
    /// Key of the changed document.
    pub key: DocKey,
    /// The document as of this revision; `None` if the change removed it.
    pub doc: Option<Doc>,
}
