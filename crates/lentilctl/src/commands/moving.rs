//! Moves a target to another organisation.
//!
//! First the target is removed from the lists of all teams of other organisations, then its
//! organisation is changed. Each step is one compare-and-set on the present document, so the
//! command can be repeated after any failure.

use admin::{ListWire, plural};
use conf::{DocKey, Kind};
use ident::Name;
use serde_json::{Value, json};

use super::Context;
use crate::{
    edit::{self, EditOptions, EditOutcome},
    error::CommandError,
    exit::Exit,
};

/// The fields of a team that are needed to move a target.
struct Team {
    name: Name,
    template: String,
    org: String,
    /// Targets that the team lists itself; `None` if it has those of its template.
    own_targets: Option<Vec<Value>>,
}

/// Moves the target `name` to the organisation `to`.
pub async fn run(cx: &Context, name: Name, to: Name) -> Result<Exit, CommandError> {
    let key = DocKey { kind: Kind::Target, name };
    let (target, rev) = cx.client.doc(&key).await?;
    let from = text_field(&target, "org");
    let teams = read_teams(cx).await?;
    let mut steps = unlist_teams(cx, &teams, &key.name, &to).await?;
    steps += unlist_templates(cx, &teams, &key.name, &to).await?;
    let set = |doc: &mut Value| {
        doc["org"] = json!(to);
        Ok(())
    };
    match edit::edit(&cx.client, &key, EditOptions::RETRY, set).await? {
        EditOutcome::Changed(change) => {
            cx.out.change(&change, &format!("moved from {from} to {to}"))?
        }
        EditOutcome::Unchanged(_) if steps > 0 => {}
        EditOutcome::Unchanged(_) => cx.out.unchanged(&key, rev, &format!("already of {to}"))?,
    }
    Ok(Exit::Done)
}

/// Removes the target from the lists of teams of other organisations. A team gets its own list
/// if it has the list of a template that teams of `to` use as well. Returns the number of changes.
async fn unlist_teams(
    cx: &Context,
    teams: &[Team],
    target: &Name,
    to: &Name,
) -> Result<usize, CommandError> {
    let mut steps = 0;
    for team in teams.iter().filter(|t| t.org != to.as_str()) {
        let shared = team.own_targets.is_none() && uses_template(teams, &team.template, to);
        let base = match shared {
            true => read_template_targets(cx, &team.template).await?,
            false => Vec::new(),
        };
        if shared && !base.contains(&json!(target)) {
            continue;
        }
        let unlist = |doc: &mut Value| {
            let own_targets = doc.pointer("/patch/targets").and_then(Value::as_array).cloned();
            if own_targets.is_some() || shared {
                let left = without(&own_targets.unwrap_or_else(|| base.clone()), target);
                doc["patch"]["targets"] = left;
            }
            Ok(())
        };
        let key = DocKey { kind: Kind::Team, name: team.name.clone() };
        steps += remove_from(cx, &key, target, unlist).await?;
    }
    Ok(steps)
}

/// Removes the target from templates that give teams of other organisations their list, unless a
/// team of `to` uses the template. Returns the number of changes.
async fn unlist_templates(
    cx: &Context,
    teams: &[Team],
    target: &Name,
    to: &Name,
) -> Result<usize, CommandError> {
    let foreign = teams.iter().filter(|t| t.org != to.as_str() && t.own_targets.is_none());
    let mut names: Vec<_> = foreign.map(|t| &t.template).collect();
    names.sort();
    names.dedup();
    let mut steps = 0;
    for template in names.into_iter().filter(|t| !uses_template(teams, t, to)) {
        let Ok(name) = Name::new(template) else { continue };
        let unlist = |doc: &mut Value| {
            if let Some(list) = doc.pointer_mut("/params/targets") {
                *list = without(list.as_array().unwrap_or(&Vec::new()), target);
            }
            Ok(())
        };
        steps += remove_from(cx, &DocKey { kind: Kind::Template, name }, target, unlist).await?;
    }
    Ok(steps)
}

/// Whether a team of the organisation `to` uses the template.
fn uses_template(teams: &[Team], template: &str, to: &Name) -> bool {
    teams.iter().any(|t| t.org == to.as_str() && t.template == template)
}

async fn remove_from<F>(
    cx: &Context,
    key: &DocKey,
    target: &Name,
    unlist: F,
) -> Result<usize, CommandError>
where
    F: Fn(&mut Value) -> Result<(), CommandError>,
{
    match edit::edit(&cx.client, key, EditOptions::RETRY, unlist).await? {
        EditOutcome::Unchanged(_) => Ok(0),
        EditOutcome::Changed(change) => {
            cx.out.change(&change, &format!("stopped listing {target}"))?;
            Ok(1)
        }
    }
}

async fn read_teams(cx: &Context) -> Result<Vec<Team>, CommandError> {
    let path = format!("/admin/v1/{}", plural(Kind::Team));
    let (list, _) = cx.client.get_any::<Vec<ListWire>>(&path).await?;
    let mut teams = Vec::with_capacity(list.len());
    for ListWire { name, .. } in list {
        let key = DocKey { kind: Kind::Team, name: name.clone() };
        if let Some((doc, _)) = cx.client.find(&key).await? {
            let own_targets = doc.pointer("/patch/targets").and_then(Value::as_array).cloned();
            let (template, org) = (text_field(&doc, "template"), text_field(&doc, "org"));
            teams.push(Team { name, template, org, own_targets });
        }
    }
    Ok(teams)
}

async fn read_template_targets(cx: &Context, template: &str) -> Result<Vec<Value>, CommandError> {
    let Ok(name) = Name::new(template) else { return Ok(Vec::new()) };
    let found = cx.client.find(&DocKey { kind: Kind::Template, name }).await?;
    let list = found.and_then(|(d, _)| d.pointer("/params/targets")?.as_array().cloned());
    Ok(list.unwrap_or_default())
}

fn without(list: &[Value], target: &Name) -> Value {
    list.iter().filter(|t| t.as_str() != Some(target.as_str())).cloned().collect()
}

fn text_field(doc: &Value, field: &str) -> String {
    doc[field].as_str().unwrap_or_default().to_owned()
}
