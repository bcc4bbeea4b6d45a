//! The configuration in force at one revision.

mod bulk;

use std::sync::Arc;

use ident::{Digest, Name, Rev};

pub use self::bulk::Item;
use crate::{Change, Doc, DocKey, Kind, Model, Params, Target, Team, Template};

/// Error of applying a change to a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The revision of the change is not the next one after that of the view.
    #[error("change {got} does not follow revision {have}")]
    Gap {
        /// Revision of the view.
        have: Rev,
        /// Revision of the change.
        got: Rev,
    },
    /// The document of the change has another key than the change.
    #[error("the document of change {0} carries another key")]
    KeyMismatch(Rev),
}

/// A document with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
struct Entry<T> {
    name: Name,
    rev: Rev,
    doc: Arc<T>,
}

/// Parameters of a team at one revision: those of its template, overridden by its own.
#[derive(Debug, Clone)]
pub struct ResolvedTeam {
    /// Name of the team.
    pub team: Name,
    /// Organisation of the team.
    pub org: Name,
    /// Parameters of the team.
    pub params: Params,
    /// Revision of the view from which the parameters were resolved.
    pub rev: Rev,
}

/// All documents in force at [`View::rev`].
///
/// Invariants: the documents are sorted by name, the key index is sorted by digest. [`View::rev`]
/// grows by one with each applied change and never decreases.
#[derive(Debug, Clone, Default)]
pub struct View {
    rev: Rev,
    templates: Vec<Entry<Template>>,
    teams: Vec<Entry<Team>>,
    targets: Vec<Entry<Target>>,
    models: Vec<Entry<Model>>,
    /// Index from the digest of an API key to the name of its team.
    keys: Vec<(Digest, Name)>,
}

impl View {
    /// Last applied revision; 0 before the first change.
    pub fn rev(&self) -> Rev {
        self.rev
    }

    /// Applies the next change. A change at or below the view's revision is ignored, so a change
    /// may arrive more than once.
    pub fn apply(&mut self, change: &Change) -> Result<(), ApplyError> {
        if change.rev <= self.rev {
            return Ok(());
        }
        check_next(self.rev, change)?;
        let (name, rev) = (&change.key.name, change.rev);
        match (&change.doc, change.key.kind) {
            (Some(Doc::Template(d)), _) => put(&mut self.templates, name, rev, d),
            (Some(Doc::Team(d)), _) => self.put_team(rev, d),
            (Some(Doc::Target(d)), _) => put(&mut self.targets, name, rev, d),
            (Some(Doc::Model(d)), _) => put(&mut self.models, name, rev, d),
            (None, Kind::Template) => remove(&mut self.templates, name),
            (None, Kind::Team) => self.remove_team(name),
            (None, Kind::Target) => remove(&mut self.targets, name),
            (None, Kind::Model) => remove(&mut self.models, name),
        }
        self.rev = change.rev;
        Ok(())
    }

    fn put_team(&mut self, rev: Rev, team: &Team) {
        self.drop_keys(&team.name);
        for key in &team.keys {
            let at = self.keys.partition_point(|(k, _)| k < key);
            self.keys.insert(at, (*key, team.name.clone()));
        }
        put(&mut self.teams, &team.name, rev, team);
    }

    fn remove_team(&mut self, name: &Name) {
        self.drop_keys(name);
        remove(&mut self.teams, name);
    }

    /// Removes the keys of a team from the key index.
    fn drop_keys(&mut self, name: &Name) {
        let Some(team) = self.team(name) else { return };
        for key in &team.keys {
            let from = self.keys.partition_point(|(k, _)| k < key);
            let run = self.keys[from..].iter().take_while(|(k, _)| k == key);
            let own = run.enumerate().find(|(_, (_, owner))| owner == name).map(|(i, _)| from + i);
            if let Some(at) = own {
                self.keys.remove(at);
            }
        }
    }

    /// The team that owns the API key with this digest; `None` if no team does.
    pub fn team_by_key(&self, key: &Digest) -> Option<Arc<Team>> {
        let at = self.keys.binary_search_by(|(k, _)| k.cmp(key)).ok()?;
        self.team(&self.keys[at].1)
    }

    /// The team with this name.
    pub fn team(&self, name: &Name) -> Option<Arc<Team>> {
        find(&self.teams, name).map(|e| e.doc.clone())
    }

    /// The template with this name.
    pub fn template(&self, name: &Name) -> Option<Arc<Template>> {
        find(&self.templates, name).map(|e| e.doc.clone())
    }

    /// The target with this name.
    pub fn target(&self, name: &Name) -> Option<Arc<Target>> {
        find(&self.targets, name).map(|e| e.doc.clone())
    }

    /// The model with this name.
    pub fn model(&self, name: &Name) -> Option<Arc<Model>> {
        find(&self.models, name).map(|e| e.doc.clone())
    }

    /// All targets, sorted by name.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.iter().map(|e| &e.doc)
    }

    /// All teams, sorted by name.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.iter().map(|e| &e.doc)
    }

    /// All templates, sorted by name.
    pub fn templates(&self) -> impl Iterator<Item = &Arc<Template>> {
        self.templates.iter().map(|e| &e.doc)
    }

    /// All models, sorted by name.
    pub fn models(&self) -> impl Iterator<Item = &Arc<Model>> {
        self.models.iter().map(|e| &e.doc)
    }

    /// Names of all documents of `kind`. Sorted.
    pub fn names(&self, kind: Kind) -> Vec<Name> {
        fn list<T>(entries: &[Entry<T>]) -> Vec<Name> {
            entries.iter().map(|e| e.name.clone()).collect()
        }
        match kind {
            Kind::Template => list(&self.templates),
            Kind::Team => list(&self.teams),
            Kind::Target => list(&self.targets),
            Kind::Model => list(&self.models),
        }
    }

    /// A document and the revision of its last change; `None` if there is no such document.
    pub fn doc(&self, key: &DocKey) -> Option<(Doc, Rev)> {
        let name = &key.name;
        match key.kind {
            Kind::Template => {
                find(&self.templates, name).map(|e| (Doc::Template((*e.doc).clone()), e.rev))
            }
            Kind::Team => find(&self.teams, name).map(|e| (Doc::Team((*e.doc).clone()), e.rev)),
            Kind::Target => {
                find(&self.targets, name).map(|e| (Doc::Target((*e.doc).clone()), e.rev))
            }
            Kind::Model => find(&self.models, name).map(|e| (Doc::Model((*e.doc).clone()), e.rev)),
        }
    }

    /// Resolves the parameters of a team: those of its template, overridden by its own. `None` if
    /// the template does not exist.
    pub fn resolve(&self, team: &Team) -> Option<ResolvedTeam> {
        let base = &self.template(&team.template)?.params;
        let patch = &team.patch;
        let params = Params {
            models: patch.models.clone().unwrap_or_else(|| base.models.clone()),
            targets: patch.targets.clone().unwrap_or_else(|| base.targets.clone()),
            limits: patch.limits.unwrap_or(base.limits),
            weights: patch.weights.unwrap_or(base.weights),
            spread: patch.spread.unwrap_or(base.spread),
        };
        Some(ResolvedTeam { team: team.name.clone(), org: team.org.clone(), params, rev: self.rev })
    }
}

/// Checks that `change` has the next revision after `have` and a document with its key.
fn check_next(have: Rev, change: &Change) -> Result<(), ApplyError> {
    if change.rev != have.next() {
        return Err(ApplyError::Gap { have, got: change.rev });
    }
    if change.doc.as_ref().is_some_and(|d| d.key() != change.key) {
        return Err(ApplyError::KeyMismatch(change.rev));
    }
    Ok(())
}

fn find<'a, T>(entries: &'a [Entry<T>], name: &Name) -> Option<&'a Entry<T>> {
    let at = entries.binary_search_by(|e| e.name.cmp(name)).ok()?;
    Some(&entries[at])
}

fn put<T>(entries: &mut Vec<Entry<T>>, name: &Name, rev: Rev, doc: &T)
where
    T: Clone,
{
    let entry = Entry { name: name.clone(), rev, doc: Arc::new(doc.clone()) };
    match entries.binary_search_by(|e| e.name.cmp(name)) {
        Ok(at) => entries[at] = entry,
        Err(at) => entries.insert(at, entry),
    }
}

fn remove<T>(entries: &mut Vec<Entry<T>>, name: &Name) {
    if let Ok(at) = entries.binary_search_by(|e| e.name.cmp(name)) {
        entries.remove(at);
    }
}
