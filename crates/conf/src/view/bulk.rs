//! Applies many changes at once, and converts a view to and from a list of documents.

use std::sync::Arc;

use ident::{Name, Rev};

use super::{ApplyError, Entry, View, check_next};
use crate::{Change, Doc, Kind};

/// Maximum number of changes that are applied one by one. For more, merging them is faster.
const MAX_SINGLE_CHANGES: usize = 16;

/// A document with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// Revision of the last change of the document.
    pub rev: Rev,
    /// The document at that revision.
    pub doc: Doc,
}

/// The last of several changes of one document: its name, its revision and the document; `None`
/// removes it.
type LastChange<T> = (Name, Rev, Option<Arc<T>>);

impl View {
    /// Applies consecutive changes. The time is proportional to the sum of the sizes of the view
    /// and the changes rather than to their product. Changes at or below the view's revision are
    /// ignored. On an error the view is unchanged.
    pub fn extend(&mut self, changes: &[Change]) -> Result<(), ApplyError> {
        let skip = changes.iter().take_while(|c| c.rev <= self.rev).count();
        let changes = &changes[skip..];
        let mut rev = self.rev;
        for change in changes {
            check_next(rev, change)?;
            rev = change.rev;
        }
        if changes.len() <= MAX_SINGLE_CHANGES {
            return changes.iter().try_for_each(|c| self.apply(c));
        }
        merge(&mut self.templates, last_changes(changes, Kind::Template, as_template));
        merge(&mut self.targets, last_changes(changes, Kind::Target, as_target));
        merge(&mut self.models, last_changes(changes, Kind::Model, as_model));
        let teams = last_changes(changes, Kind::Team, as_team);
        if !teams.is_empty() {
            merge(&mut self.teams, teams);
            self.index_keys();
        }
        self.rev = rev;
        Ok(())
    }

    /// Creates a view at revision `rev` from `items`, which may be in any order.
    pub fn from_items(rev: Rev, items: Vec<Item>) -> Self {
        let mut view = Self { rev, ..Self::default() };
        for item in items {
            let name = item.doc.key().name;
            match item.doc {
                Doc::Template(d) => view.templates.push(entry(name, item.rev, d)),
                Doc::Team(d) => view.teams.push(entry(name, item.rev, d)),
                Doc::Target(d) => view.targets.push(entry(name, item.rev, d)),
                Doc::Model(d) => view.models.push(entry(name, item.rev, d)),
            }
        }
        sort(&mut view.templates);
        sort(&mut view.teams);
        sort(&mut view.targets);
        sort(&mut view.models);
        view.index_keys();
        view
    }

    /// All documents with their revisions, sorted by kind, then by name.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        fn list<T>(entries: &[Entry<T>], wrap: fn(T) -> Doc) -> impl Iterator<Item = Item>
        where
            T: Clone,
        {
            entries.iter().map(move |e| Item { rev: e.rev, doc: wrap((*e.doc).clone()) })
        }
        list(&self.templates, Doc::Template)
            .chain(list(&self.teams, Doc::Team))
            .chain(list(&self.targets, Doc::Target))
            .chain(list(&self.models, Doc::Model))
    }

    /// Rebuilds the key index from the teams.
    fn index_keys(&mut self) {
        let owned = |e: &Entry<crate::Team>| {
            let name = e.name.clone();
            e.doc.keys.clone().into_iter().map(move |k| (k, name.clone()))
        };
        self.keys = self.teams.iter().flat_map(owned).collect();
        self.keys.sort_by_key(|(key, _)| *key);
    }
}

fn entry<T>(name: Name, rev: Rev, doc: T) -> Entry<T> {
    Entry { name, rev, doc: Arc::new(doc) }
}

fn sort<T>(entries: &mut Vec<Entry<T>>) {
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    entries.dedup_by(|a, b| a.name == b.name);
}

/// The last change of each document of `kind`, sorted by name.
fn last_changes<T, F>(changes: &[Change], kind: Kind, pick: F) -> Vec<LastChange<T>>
where
    F: Fn(&Doc) -> Option<T>,
{
    let of_kind = changes.iter().filter(|c| c.key.kind == kind);
    let mut refs: Vec<&Change> = of_kind.collect();
    refs.sort_by(|a, b| a.key.name.cmp(&b.key.name).then(b.rev.cmp(&a.rev)));
    refs.dedup_by(|a, b| a.key.name == b.key.name);
    let doc = |c: &Change| c.doc.as_ref().and_then(&pick).map(Arc::new);
    refs.into_iter().map(|c| (c.key.name.clone(), c.rev, doc(c))).collect()
}

fn as_template(doc: &Doc) -> Option<crate::Template> {
    match doc {
        Doc::Template(d) => Some(d.clone()),
        _ => None,
    }
}

fn as_team(doc: &Doc) -> Option<crate::Team> {
    match doc {
        Doc::Team(d) => Some(d.clone()),
        _ => None,
    }
}

fn as_target(doc: &Doc) -> Option<crate::Target> {
    match doc {
        Doc::Target(d) => Some(d.clone()),
        _ => None,
    }
}

fn as_model(doc: &Doc) -> Option<crate::Model> {
    match doc {
        Doc::Model(d) => Some(d.clone()),
        _ => None,
    }
}

/// Merges sorted `changes` into sorted `entries`.
fn merge<T>(entries: &mut Vec<Entry<T>>, changes: Vec<LastChange<T>>) {
    if changes.is_empty() {
        return;
    }
    let mut out = Vec::with_capacity(entries.len() + changes.len());
    let mut old = std::mem::take(entries).into_iter().peekable();
    for (name, rev, doc) in changes {
        while let Some(e) = old.next_if(|e| e.name < name) {
            out.push(e);
        }
        old.next_if(|e| e.name == name);
        if let Some(doc) = doc {
            out.push(Entry { name, rev, doc });
        }
    }
    out.extend(old);
    *entries = out;
}
