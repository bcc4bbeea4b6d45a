//! Sample documents, names and list entries of a large deployment.

use conf::{
    Change, Doc, Item, Limits, Model, Params, Patch, State, Target, TargetKind, Team, Template,
    View, Weights,
};
use fakes::Instance;
use ident::{Digest, Name, RequestId, Rev};

pub fn name(kind: &str, i: usize) -> Name {
    Name::new(&format!("{kind}-{i:05}")).expect("a valid name")
}

fn names(kind: &str, from: usize, count: usize) -> Vec<Name> {
    (from..from + count).map(|i| name(kind, i % 11)).collect()
}

fn template(i: usize) -> Doc {
    let limits = Limits { rate: 20, inflight: 40, prompt: 400_000, tokens: 2_000 };
    let weights = Weights { latency: 3, recompute: 1 };
    let (models, targets) = (names("model", i, 4), names("target", i, 6));
    let params = Params { models, targets, limits, weights, spread: 3 };
    Doc::Template(Template { name: name("template", i), params })
}

/// A team with two keys and its own lists of models and targets.
pub fn team(i: usize, salt: usize) -> Doc {
    let keys = (0..2).map(|k| Digest::of(format!("{i} {k} {salt}").as_bytes())).collect();
    let patch = Patch {
        models: Some(names("model", i, 2)),
        targets: Some(names("target", i, 2)),
        ..Patch::default()
    };
    let org = name("org", i % 2);
    Doc::Team(Team { name: name("team", i), template: name("template", i % 40), org, keys, patch })
}

fn model(i: usize) -> Doc {
    Doc::Model(Model { name: name("model", i), version: name("version", 1), previous: None })
}

fn target(i: usize) -> Doc {
    let kind = TargetKind::Engine { model: name("model", i), fenced: true };
    let (name, org) = (name("target", i), name("org", i % 2));
    Doc::Target(Target { name, org, kind, state: State::Active, withdrawn: Vec::new() })
}

/// A configuration with that many teams, 40 templates, 11 models and 11 targets.
pub fn view(teams: usize) -> View {
    let docs = (0..40).map(template).chain((0..teams).map(|i| team(i, 0)));
    let docs = docs.chain((0..11).flat_map(|i| [model(i), target(i)]));
    View::from_items(Rev(1), docs.map(|doc| Item { rev: Rev(1), doc }).collect())
}

/// Changes of `count` teams after revision 1.
pub fn changes(count: usize) -> Vec<Change> {
    (0..count)
        .map(|i| {
            let doc = team(i, 1);
            let rev = Rev(2 + i as u64);
            Change { rev, id: RequestId(i as u128), key: doc.key(), doc: Some(doc) }
        })
        .collect()
}

/// An entry of the platform's list, at `addr`. Of each 23 entries, 8 are instances and 15 are
/// replicas.
pub fn list_entry(i: usize, addr: &str) -> Instance {
    let replica = i % 23 >= 8;
    let mut labels = serde_json::json!({
        "role": if replica { "engine" } else { "entry" },
        "name": name(if replica { "replica" } else { "entry" }, i),
        "zone": name("zone", i % 8),
        "state": "live",
    });
    if replica {
        labels["target"] = name("target", i % 11).as_str().into();
    } else {
        labels["peer"] = "10.100.100.100:7001".into();
    }
    let labels = labels.as_object().expect("the labels are an object").clone();
    Instance { targets: vec![addr.to_owned()], labels }
}
