//! Documents as JSON. Unknown fields are ignored.

use ident::{Digest, Name};
use serde::{Deserialize, Serialize};

use crate::{
    Doc, Limits, Model, Params, Patch, State, Target, TargetKind, Team, Template, Weights,
};

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum DocWire {
    Template(TemplateWire),
    Team(TeamWire),
    Target(TargetWire),
    Model(ModelWire),
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LimitsWire {
    rate: u32,
    inflight: u32,
    prompt: u32,
    tokens: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WeightsWire {
    latency: u16,
    recompute: u16,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TemplateWire {
    name: Name,
    models: Vec<Name>,
    targets: Vec<Name>,
    limits: LimitsWire,
    weights: WeightsWire,
    spread: u8,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TeamWire {
    name: Name,
    template: Name,
    org: Name,
    keys: Vec<Digest>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    models: Option<Vec<Name>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    targets: Option<Vec<Name>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    limits: Option<LimitsWire>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    weights: Option<WeightsWire>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spread: Option<u8>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum TargetKindWire {
    Engine {
        model: Name,
        fenced: bool,
    },
    Service {
        #[serde(default)]
        idempotent: Vec<String>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TargetWire {
    name: Name,
    org: Name,
    kind: TargetKindWire,
    #[serde(default)]
    state: State,
    #[serde(default)]
    withdrawn: Vec<Name>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ModelWire {
    name: Name,
    version: Name,
    #[serde(default)]
    previous: Option<Name>,
}

impl From<Doc> for DocWire {
    fn from(doc: Doc) -> Self {
        match doc {
            Doc::Template(d) => Self::Template(d.into()),
            Doc::Team(d) => Self::Team(d.into()),
            Doc::Target(d) => Self::Target(d.into()),
            Doc::Model(d) => Self::Model(d.into()),
        }
    }
}

impl From<DocWire> for Doc {
    fn from(wire: DocWire) -> Self {
        match wire {
            DocWire::Template(w) => Self::Template(w.into()),
            DocWire::Team(w) => Self::Team(w.into()),
            DocWire::Target(w) => Self::Target(w.into()),
            DocWire::Model(w) => Self::Model(w.into()),
        }
    }
}

impl From<Limits> for LimitsWire {
    fn from(l: Limits) -> Self {
        Self { rate: l.rate, inflight: l.inflight, prompt: l.prompt, tokens: l.tokens }
    }
}

impl From<LimitsWire> for Limits {
    fn from(w: LimitsWire) -> Self {
        Self { rate: w.rate, inflight: w.inflight, prompt: w.prompt, tokens: w.tokens }
    }
}

impl From<Weights> for WeightsWire {
    fn from(w: Weights) -> Self {
        Self { latency: w.latency, recompute: w.recompute }
    }
}

impl From<WeightsWire> for Weights {
    fn from(w: WeightsWire) -> Self {
        Self { latency: w.latency, recompute: w.recompute }
    }
}

impl From<Template> for TemplateWire {
    fn from(t: Template) -> Self {
        Self {
            name: t.name,
            models: t.params.models,
            targets: t.params.targets,
            limits: t.params.limits.into(),
            weights: t.params.weights.into(),
            spread: t.params.spread,
        }
    }
}

impl From<TemplateWire> for Template {
    fn from(w: TemplateWire) -> Self {
        let params = Params {
            models: w.models,
            targets: w.targets,
            limits: w.limits.into(),
            weights: w.weights.into(),
            spread: w.spread,
        };
        Self { name: w.name, params }
    }
}

impl From<Team> for TeamWire {
    fn from(t: Team) -> Self {
        Self {
            name: t.name,
            template: t.template,
            org: t.org,
            keys: t.keys,
            models: t.patch.models,
            targets: t.patch.targets,
            limits: t.patch.limits.map(Into::into),
            weights: t.patch.weights.map(Into::into),
            spread: t.patch.spread,
        }
    }
}

impl From<TeamWire> for Team {
    fn from(w: TeamWire) -> Self {
        let patch = Patch {
            models: w.models,
            targets: w.targets,
            limits: w.limits.map(Into::into),
            weights: w.weights.map(Into::into),
            spread: w.spread,
        };
        Self { name: w.name, template: w.template, org: w.org, keys: w.keys, patch }
    }
}

impl From<TargetKind> for TargetKindWire {
    fn from(kind: TargetKind) -> Self {
        match kind {
            TargetKind::Engine { model, fenced } => Self::Engine { model, fenced },
            TargetKind::Service { idempotent } => Self::Service { idempotent },
        }
    }
}

impl From<TargetKindWire> for TargetKind {
    fn from(wire: TargetKindWire) -> Self {
        match wire {
            TargetKindWire::Engine { model, fenced } => Self::Engine { model, fenced },
            TargetKindWire::Service { idempotent } => Self::Service { idempotent },
        }
    }
}

impl From<Target> for TargetWire {
    fn from(t: Target) -> Self {
        let kind = t.kind.into();
        Self { name: t.name, org: t.org, kind, state: t.state, withdrawn: t.withdrawn }
    }
}

impl From<TargetWire> for Target {
    fn from(w: TargetWire) -> Self {
        let kind = w.kind.into();
        Self { name: w.name, org: w.org, kind, state: w.state, withdrawn: w.withdrawn }
    }
}

impl From<Model> for ModelWire {
    fn from(m: Model) -> Self {
        Self { name: m.name, version: m.version, previous: m.previous }
    }
}

impl From<ModelWire> for Model {
    fn from(w: ModelWire) -> Self {
        Self { name: w.name, version: w.version, previous: w.previous }
    }
}
