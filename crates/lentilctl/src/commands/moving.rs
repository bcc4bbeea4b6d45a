//! Handing a target to another organisation.
//!
//! First every team of another organisation stops listing the target, then the target changes its
//! organisation. Each step is one compare-and-set that looks at what is there, so the command can
//! be repeated after any failure.

use admin::{ListWire, plural};
use conf::{DocKey, Kind};
use ident::Name;
use serde_json::{Value, json};

use super::Context;
use crate::{
    edit::{self, Edit, Rules},
    exit::Exit,
    failure::Failure,
};

/// A team with what matters here.
struct Team {
    name: Name,
    template: String,
    org: String,
    /// Targets of its own; `None` where it takes those of its template.
    own: Option<Vec<Value>>,
}

/// Moves the target `name` to the organisation `to`.
pub async fn run(cx: &Context, name: Name, to: Name) -> Result<Exit, Failure> {
    let key = DocKey { kind: Kind::Target, name };
    let (target, rev) = cx.client.doc(&key).await?;
    let from = text(&target, "org");
    let teams = teams(cx).await?;
    let mut steps = unlist_teams(cx, &teams, &key.name, &to).await?;
    steps += unlist_templates(cx, &teams, &key.name, &to).await?;
    let set = |doc: &mut Value| {
        doc["org"] = json!(to);
        Ok(())
    };
    match edit::edit(&cx.client, &key, Rules::RETRY, set).await? {
        Edit::Changed(change) => cx.out.change(&change, &format!("moved from {from} to {to}"))?,
        Edit::Same(_) if steps > 0 => {}
        Edit::Same(_) => cx.out.unchanged(&key, rev, &format!("already of {to}"))?,
    }
    Ok(Exit::Done)
}

/// Takes the target from the lists of other organisations' teams. A team that takes the list of a
/// template which teams of `to` use as well gets a list of its own.
async fn unlist_teams(
    cx: &Context,
    teams: &[Team],
    target: &Name,
    to: &Name,
) -> Result<usize, Failure> {
    let mut steps = 0;
    for team in teams.iter().filter(|t| t.org != to.as_str()) {
        let shared = team.own.is_none() && kept(teams, &team.template, to);
        let base = match shared {
            true => template_targets(cx, &team.template).await?,
            false => Vec::new(),
        };
        if shared && !base.contains(&json!(target)) {
            continue;
        }
        let unlist = |doc: &mut Value| {
            let own = doc.pointer("/patch/targets").and_then(Value::as_array).cloned();
            if own.is_some() || shared {
                let left = without(&own.unwrap_or_else(|| base.clone()), target);
                doc["patch"]["targets"] = left;
            }
            Ok(())
        };
        let key = DocKey { kind: Kind::Team, name: team.name.clone() };
        steps += step(cx, &key, target, unlist).await?;
    }
    Ok(steps)
}

/// Takes the target from templates that other organisations' teams take their list from and no
/// team of `to` uses.
async fn unlist_templates(
    cx: &Context,
    teams: &[Team],
    target: &Name,
    to: &Name,
) -> Result<usize, Failure> {
    let foreign = teams.iter().filter(|t| t.org != to.as_str() && t.own.is_none());
    let mut names: Vec<_> = foreign.map(|t| &t.template).collect();
    names.sort();
    names.dedup();
    let mut steps = 0;
    for template in names.into_iter().filter(|t| !kept(teams, t, to)) {
        let Ok(name) = Name::new(template) else { continue };
        let unlist = |doc: &mut Value| {
            if let Some(list) = doc.pointer_mut("/params/targets") {
                *list = without(list.as_array().unwrap_or(&Vec::new()), target);
            }
            Ok(())
        };
        steps += step(cx, &DocKey { kind: Kind::Template, name }, target, unlist).await?;
    }
    Ok(steps)
}

/// Whether a team of `to` uses the template.
fn kept(teams: &[Team], template: &str, to: &Name) -> bool {
    teams.iter().any(|t| t.org == to.as_str() && t.template == template)
}

async fn step<F>(cx: &Context, key: &DocKey, target: &Name, unlist: F) -> Result<usize, Failure>
where
    F: Fn(&mut Value) -> Result<(), Failure>,
{
    match edit::edit(&cx.client, key, Rules::RETRY, unlist).await? {
        Edit::Same(_) => Ok(0),
        Edit::Changed(change) => {
            cx.out.change(&change, &format!("stopped listing {target}"))?;
            Ok(1)
        }
    }
}

async fn teams(cx: &Context) -> Result<Vec<Team>, Failure> {
    let path = format!("/admin/v1/{}", plural(Kind::Team));
    let (list, _) = cx.client.any::<Vec<ListWire>>(&path).await?;
    let mut teams = Vec::with_capacity(list.len());
    for ListWire { name, .. } in list {
        let key = DocKey { kind: Kind::Team, name: name.clone() };
        if let Some((doc, _)) = cx.client.find(&key).await? {
            let own = doc.pointer("/patch/targets").and_then(Value::as_array).cloned();
            let (template, org) = (text(&doc, "template"), text(&doc, "org"));
            teams.push(Team { name, template, org, own });
        }
    }
    Ok(teams)
}

async fn template_targets(cx: &Context, template: &str) -> Result<Vec<Value>, Failure> {
    let Ok(name) = Name::new(template) else { return Ok(Vec::new()) };
    let found = cx.client.find(&DocKey { kind: Kind::Template, name }).await?;
    let list = found.and_then(|(d, _)| d.pointer("/params/targets")?.as_array().cloned());
    Ok(list.unwrap_or_default())
}

fn without(list: &[Value], target: &Name) -> Value {
    list.iter().filter(|t| t.as_str() != Some(target.as_str())).cloned().collect()
}

fn text(doc: &Value, field: &str) -> String {
    doc[field].as_str().unwrap_or_default().to_owned()
}
