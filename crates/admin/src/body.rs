//! Parses documents from JSON and lists all faults of one.

use conf::{
    Doc, DocKey, Kind, Limits, Model, Params, Patch, State, Target, TargetKind, Team, Template,
    Weights,
};
use fields::{BOOL, DIGEST, Faults, Fields, Form, Item, NAME};
use ident::Name;
use serde_json::Value;

/// Returns the path segment for a kind of document.
pub fn plural(kind: Kind) -> &'static str {
    match kind {
        Kind::Template => "templates",
        Kind::Team => "teams",
        Kind::Target => "targets",
        Kind::Model => "models",
    }
}

/// Returns the kind of document for a path segment; `None` if there is none.
pub fn parse_kind(plural: &str) -> Option<Kind> {
    match plural {
        "templates" => Some(Kind::Template),
        "teams" => Some(Kind::Team),
        "targets" => Some(Kind::Target),
        "models" => Some(Kind::Model),
        _ => None,
    }
}

const U32: Form<u32> =
    Form { wanted: "a whole number up to 4294967295", read: |v| v.as_u64()?.try_into().ok() };

const U16: Form<u16> =
    Form { wanted: "a whole number up to 65535", read: |v| v.as_u64()?.try_into().ok() };

const SPREAD: Form<u8> = Form {
    wanted: "a whole number from 1 to 255",
    read: |v| u8::try_from(v.as_u64()?).ok().filter(|&n| n > 0),
};

const PREFIX: Form<String> = Form {
    wanted: "a path that starts with /",
    read: |v| v.as_str().filter(|s| s.starts_with('/')).map(str::to_owned),
};

const STATE: Form<State> = Form {
    wanted: "active or leaving",
    read: |v| match v.as_str()? {
        "active" => Some(State::Active),
        "leaving" => Some(State::Leaving),
        _ => None,
    },
};

/// Parses the document `key`. Fails with all its faults. Lists whose order has no meaning are
/// sorted and lose their duplicates.
pub fn read_doc(key: &DocKey, value: Value) -> Result<Doc, Faults> {
    let mut faults = Faults::default();
    let mut top = Fields::root(value, &mut faults);
    let name = top.take("name").read(&NAME, &mut faults);
    if name.as_ref().is_some_and(|n| *n != key.name) {
        let found = name.as_ref().map_or("", Name::as_str);
        faults.add("name", &format!("{}, as in the path", key.name), found);
    }
    let doc = match key.kind {
        Kind::Template => template(name, &mut top, &mut faults).map(Doc::Template),
        Kind::Team => team(name, &mut top, &mut faults).map(Doc::Team),
        Kind::Target => target(name, &mut top, &mut faults).map(Doc::Target),
        Kind::Model => model(name, &mut top, &mut faults).map(Doc::Model),
    };
    top.end(&mut faults);
    match doc {
        Some(doc) if faults.is_empty() => Ok(doc),
        _ => {
            assert!(!faults.is_empty(), "document refused without a fault");
            Err(faults)
        }
    }
}

fn template(name: Option<Name>, top: &mut Fields, faults: &mut Faults) -> Option<Template> {
    let mut fields = top.take("params").fields(faults);
    let models = fields.take("models").list(&NAME, faults);
    let targets = fields.take("targets").list(&NAME, faults);
    let limits = limits(fields.take("limits"), faults);
    let weights = weights(fields.take("weights"), faults);
    let spread = fields.take("spread").read(&SPREAD, faults);
    fields.end(faults);
    let params = Params {
        models: sorted(models),
        targets: sorted(targets),
        limits: limits?,
        weights: weights?,
        spread: spread?,
    };
    Some(Template { name: name?, params })
}

fn team(name: Option<Name>, top: &mut Fields, faults: &mut Faults) -> Option<Team> {
    let template = top.take("template").read(&NAME, faults);
    let org = top.take("org").read(&NAME, faults);
    let keys = top.take("keys").list(&DIGEST, faults);
    let patch = patch(top.take("patch").fields(faults), faults);
    Some(Team { name: name?, template: template?, org: org?, keys: sorted(keys), patch })
}

fn patch(mut fields: Fields, faults: &mut Faults) -> Patch {
    let patch = Patch {
        models: fields.take("models").maybe_list(&NAME, faults).map(sorted),
        targets: fields.take("targets").maybe_list(&NAME, faults).map(sorted),
        limits: optional(fields.take("limits"), faults, limits),
        weights: optional(fields.take("weights"), faults, weights),
        spread: fields.take("spread").maybe(&SPREAD, faults),
    };
    fields.end(faults);
    patch
}

fn target(name: Option<Name>, top: &mut Fields, faults: &mut Faults) -> Option<Target> {
    let org = top.take("org").read(&NAME, faults);
    let kind = target_kind(top.take("kind").fields(faults), faults);
    let state = top.take("state").or(State::Active, &STATE, faults);
    let withdrawn = top.take("withdrawn").maybe_list(&NAME, faults).unwrap_or_default();
    Some(Target { name: name?, org: org?, kind: kind?, state, withdrawn: sorted(withdrawn) })
}

fn target_kind(mut fields: Fields, faults: &mut Faults) -> Option<TargetKind> {
    let (engine, service) = (fields.take("engine"), fields.take("service"));
    fields.end(faults);
    match (engine.given(), service.given()) {
        (true, false) => {
            let mut fields = engine.fields(faults);
            let model = fields.take("model").read(&NAME, faults);
            let fenced = fields.take("fenced").read(&BOOL, faults);
            fields.end(faults);
            Some(TargetKind::Engine { model: model?, fenced: fenced? })
        }
        (false, true) => {
            let mut fields = service.fields(faults);
            let idempotent = fields.take("idempotent").maybe_list(&PREFIX, faults);
            fields.end(faults);
            Some(TargetKind::Service { idempotent: sorted(idempotent.unwrap_or_default()) })
        }
        (both, _) => {
            let found = if both { "both" } else { "neither" };
            faults.add("kind", "either engine or service", found);
            None
        }
    }
}

fn model(name: Option<Name>, top: &mut Fields, faults: &mut Faults) -> Option<Model> {
    let version = top.take("version").read(&NAME, faults);
    let previous = top.take("previous").maybe(&NAME, faults);
    Some(Model { name: name?, version: version?, previous })
}

fn limits(item: Item, faults: &mut Faults) -> Option<Limits> {
    let mut fields = item.fields(faults);
    let rate = fields.take("rate").read(&U32, faults);
    let inflight = fields.take("inflight").read(&U32, faults);
    let prompt = fields.take("prompt").read(&U32, faults);
    let tokens = fields.take("tokens").read(&U32, faults);
    fields.end(faults);
    Some(Limits { rate: rate?, inflight: inflight?, prompt: prompt?, tokens: tokens? })
}

fn weights(item: Item, faults: &mut Faults) -> Option<Weights> {
    let mut fields = item.fields(faults);
    let latency = fields.take("latency").read(&U16, faults);
    let recompute = fields.take("recompute").read(&U16, faults);
    fields.end(faults);
    Some(Weights { latency: latency?, recompute: recompute? })
}

fn optional<T, F>(item: Item, faults: &mut Faults, read: F) -> Option<T>
where
    F: FnOnce(Item, &mut Faults) -> Option<T>,
{
    if item.given() { read(item, faults) } else { None }
}

fn sorted<T>(mut list: Vec<T>) -> Vec<T>
where
    T: Ord,
{
    list.sort();
    list.dedup();
    list
}
