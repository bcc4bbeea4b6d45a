//! Validates a change before it is accepted.

use ident::{Digest, Name};

use crate::{
    Doc, DocKey, Kind, Limits, Params, Patch, Target, TargetKind, Team, Template, View, Weights,
};

/// A rule that a change violates.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The document has another name or kind than the change.
    #[error("the document is {got}, the change names {want}")]
    WrongKey {
        /// Key that the change names.
        want: DocKey,
        /// Key that the document has.
        got: DocKey,
    },
    /// The change id was already used for another change, accepted as this revision.
    #[error("the change id was used for another change, accepted as {0}; use a new id")]
    IdReused(ident::Rev),
    /// The change removes a document that does not exist.
    #[error("{0} does not exist")]
    Absent(DocKey),
    /// The document refers to a document that does not exist.
    #[error("{from} refers to {to}, which does not exist; create it first")]
    MissingReference {
        /// Key of the referring document.
        from: DocKey,
        /// Key of the missing document.
        to: DocKey,
    },
    /// The change removes a document to which another one refers.
    #[error("{by} refers to it; change that first")]
    Referenced {
        /// Key of the referring document.
        by: DocKey,
    },
    /// The change would let a team reach a target of another organisation.
    #[error("team {team} of {org} would reach target {target} of {owner}")]
    ForeignTarget {
        /// Name of the team.
        team: Name,
        /// Organisation of the team.
        org: Name,
        /// Name of the target.
        target: Name,
        /// Organisation of the target.
        owner: Name,
    },
    /// An API key already belongs to another team.
    #[error("the key with digest {key} belongs to team {owner}")]
    KeyTaken {
        /// Digest of the API key.
        key: Digest,
        /// Name of the team that has the key.
        owner: Name,
    },
    /// A field that must be at least 1 is zero.
    #[error("{0} must be at least 1")]
    Zero(Field),
    /// Both weights are zero, so their ratio is undefined.
    #[error("at least one weight must be above 0")]
    NoWeight,
}

/// A numeric field of the parameters of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// [`Params::spread`].
    Spread,
    /// [`Limits::rate`].
    Rate,
    /// [`Limits::inflight`].
    Inflight,
    /// [`Limits::prompt`].
    Prompt,
    /// [`Limits::tokens`].
    Tokens,
}

impl std::fmt::Display for Field {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Spread => "spread",
            Self::Rate => "limits.rate",
            Self::Inflight => "limits.inflight",
            Self::Prompt => "limits.prompt",
            Self::Tokens => "limits.tokens",
        })
    }
}

/// Returns every rule that the change of the document `key` to `doc` violates, given the
/// configuration `view`. `None` as `doc` removes the document.
pub fn violations(view: &View, key: &DocKey, doc: Option<&Doc>) -> Vec<Violation> {
    let mut check = Checker { view, key, out: Vec::new() };
    match doc {
        Some(doc) if doc.key() != *key => {
            check.out.push(Violation::WrongKey { want: key.clone(), got: doc.key() });
        }
        Some(Doc::Template(d)) => check.template(d),
        Some(Doc::Team(d)) => check.team(d),
        Some(Doc::Target(d)) => check.target(d),
        Some(Doc::Model(_)) => {}
        None => check.removal(),
    }
    check.out
}

/// Collects the violations of one change.
struct Checker<'a> {
    view: &'a View,
    key: &'a DocKey,
    out: Vec<Violation>,
}

impl Checker<'_> {
    fn template(&mut self, template: &Template) {
        self.params(&template.params);
        let view = self.view;
        let users = view.teams().filter(|t| t.template == template.name);
        for team in users.filter(|t| t.patch.targets.is_none()) {
            self.check_org(team, &template.params.targets);
        }
    }

    fn team(&mut self, team: &Team) {
        let template = self.view.template(&team.template);
        if template.is_none() {
            self.dangling(Kind::Template, &team.template);
        }
        self.patch(&team.patch);
        let targets = team.patch.targets.clone();
        if let Some(targets) = targets.or(template.map(|t| t.params.targets.clone())) {
            self.check_org(team, &targets);
        }
        for key in &team.keys {
            if let Some(owner) = self.view.team_by_key(key).filter(|o| o.name != team.name) {
                self.out.push(Violation::KeyTaken { key: *key, owner: owner.name.clone() });
            }
        }
    }

    fn target(&mut self, target: &Target) {
        if let TargetKind::Engine { model, .. } = &target.kind {
            self.models(std::slice::from_ref(model));
        }
        if self.view.target(&target.name).is_none_or(|old| old.org == target.org) {
            return;
        }
        let view = self.view;
        for team in view.teams().filter(|t| t.org != target.org) {
            if targets_of(view, team).binary_search(&target.name).is_ok() {
                self.out.push(foreign_target(team, target));
            }
        }
    }

    fn removal(&mut self) {
        let known = self.view.doc(self.key).is_some();
        if !known {
            self.out.push(Violation::Absent(self.key.clone()));
            return;
        }
        let (view, name) = (self.view, &self.key.name);
        match self.key.kind {
            Kind::Team => {}
            Kind::Template => {
                self.teams_referenced(view.teams().filter(|t| t.template == *name), Kind::Team)
            }
            Kind::Target => {
                self.params_referenced(
                    |p| p.targets.contains(name),
                    |p| contains(&p.targets, name),
                );
            }
            Kind::Model => {
                self.params_referenced(|p| p.models.contains(name), |p| contains(&p.models, name));
                for target in view.targets().filter(|t| serves_model(t, name)) {
                    self.referenced(Kind::Target, &target.name);
                }
            }
        }
    }

    /// Records the templates and teams with parameters that refer to the document.
    fn params_referenced<T, P>(&mut self, template: T, patch: P)
    where
        T: Fn(&Params) -> bool,
        P: Fn(&Patch) -> bool,
    {
        let view = self.view;
        for doc in view.templates().filter(|t| template(&t.params)) {
            self.referenced(Kind::Template, &doc.name);
        }
        self.teams_referenced(view.teams().filter(|t| patch(&t.patch)), Kind::Team);
    }

    /// Records that `teams` refer to the document.
    fn teams_referenced<'t, I>(&mut self, teams: I, kind: Kind)
    where
        I: Iterator<Item = &'t std::sync::Arc<Team>>,
    {
        for team in teams {
            self.referenced(kind, &team.name);
        }
    }

    fn params(&mut self, params: &Params) {
        self.limits(&params.limits);
        self.weights(params.weights);
        self.spread(params.spread);
        self.models(&params.models);
        self.targets(&params.targets);
    }

    fn patch(&mut self, patch: &Patch) {
        if let Some(limits) = &patch.limits {
            self.limits(limits);
        }
        if let Some(weights) = patch.weights {
            self.weights(weights);
        }
        if let Some(spread) = patch.spread {
            self.spread(spread);
        }
        self.models(patch.models.as_deref().unwrap_or_default());
        self.targets(patch.targets.as_deref().unwrap_or_default());
    }

    fn limits(&mut self, limits: &Limits) {
        let fields = [
            (limits.rate, Field::Rate),
            (limits.inflight, Field::Inflight),
            (limits.prompt, Field::Prompt),
            (limits.tokens, Field::Tokens),
        ];
        let zeros = fields.into_iter().filter(|(n, _)| *n == 0);
        self.out.extend(zeros.map(|(_, field)| Violation::Zero(field)));
    }

    fn weights(&mut self, weights: Weights) {
        if weights.latency == 0 && weights.recompute == 0 {
            self.out.push(Violation::NoWeight);
        }
    }

    fn spread(&mut self, spread: u8) {
        if spread == 0 {
            self.out.push(Violation::Zero(Field::Spread));
        }
    }

    fn models(&mut self, names: &[Name]) {
        let view = self.view;
        for name in names.iter().filter(|n| view.model(n).is_none()) {
            self.dangling(Kind::Model, name);
        }
    }

    fn targets(&mut self, names: &[Name]) {
        let view = self.view;
        for name in names.iter().filter(|n| view.target(n).is_none()) {
            self.dangling(Kind::Target, name);
        }
    }

    /// Records the targets that belong to another organisation than the team.
    fn check_org(&mut self, team: &Team, targets: &[Name]) {
        let view = self.view;
        let known = targets.iter().filter_map(|n| view.target(n));
        let foreign_targets = known.filter(|t| t.org != team.org);
        self.out.extend(foreign_targets.map(|t| foreign_target(team, &t)));
    }

    fn dangling(&mut self, kind: Kind, name: &Name) {
        let to = DocKey { kind, name: name.clone() };
        self.out.push(Violation::MissingReference { from: self.key.clone(), to });
    }

    fn referenced(&mut self, kind: Kind, name: &Name) {
        self.out.push(Violation::Referenced { by: DocKey { kind, name: name.clone() } });
    }
}

fn foreign_target(team: &Team, target: &Target) -> Violation {
    Violation::ForeignTarget {
        team: team.name.clone(),
        org: team.org.clone(),
        target: target.name.clone(),
        owner: target.org.clone(),
    }
}

fn contains(names: &Option<Vec<Name>>, name: &Name) -> bool {
    names.as_ref().is_some_and(|n| n.contains(name))
}

fn serves_model(target: &Target, name: &Name) -> bool {
    matches!(&target.kind, TargetKind::Engine { model, .. } if model == name)
}

/// The targets that a team may reach: its own list, or the one of its template.
fn targets_of(view: &View, team: &Team) -> Vec<Name> {
    let own = team.patch.targets.clone();
    own.or_else(|| view.template(&team.template).map(|t| t.params.targets.clone()))
        .unwrap_or_default()
}
