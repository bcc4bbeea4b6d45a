//! The tables in the documentation list all metrics and problem types of the program.

use entry::{Fault, Metrics, Problem};
use ident::Name;
use serde_json::Value;

fn read_page(name: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    std::fs::read_to_string(path).unwrap()
}

/// Names of all metrics, without the suffixes of histogram series.
fn metric_names() -> Vec<String> {
    let m = Metrics::new().unwrap();
    m.requests.with_label_values(&["api", "result"]);
    m.first_token.with_label_values(&["class"]);
    for vec in [&m.prompt_tokens, &m.plans, &m.retries, &m.dropped_events, &m.calls, &m.polls] {
        vec.with_label_values(&["label"]);
    }
    m.orders.with_label_values(&["label"]);
    m.table.with_label_values(&["operation", "result"]);
    m.stalls.with_label_values(&["target"]);
    let text = String::from_utf8(m.render().unwrap()).unwrap();
    let help = text.lines().filter_map(|l| l.strip_prefix("# HELP "));
    help.map(|l| l.split(' ').next().unwrap().to_owned()).collect()
}

#[test]
fn metrics_table_is_complete() {
    let page = read_page("OPERATE.md");
    let rows = page.lines().filter_map(|l| l.strip_prefix("| `lentil_"));
    let mut listed: Vec<_> =
        rows.map(|r| format!("lentil_{}", r.split('`').next().unwrap())).collect();
    listed.sort();
    assert_eq!(listed, metric_names());
}

#[test]
fn problem_table_is_complete() {
    let name = || Name::new("x").unwrap();
    let faults = [
        Fault::Unauthorised,
        Fault::Malformed("x".into()),
        Fault::TooLarge(1),
        Fault::PromptTooLong { got: 2, limit: 1 },
        Fault::UnknownModel(name()),
        Fault::UnknownTarget(name()),
        Fault::NoTemplate(name()),
        Fault::Limited,
        Fault::Deadline,
        Fault::NoReplica,
        Fault::Stale,
        Fault::NotReady,
        Fault::BadHandle,
        Fault::NoKey,
        Fault::KeyReused,
        Fault::Running,
        Fault::MayHaveRun,
        Fault::NoOutcome,
        Fault::NotClaimed,
        Fault::ClaimUnread,
        Fault::OutcomeUnread,
        Fault::Refused,
        Fault::Upstream,
    ];
    let page = read_page("API.md");
    for fault in faults {
        let label = fault.label();
        let wire = serde_json::to_value(Problem::from(fault).document()).unwrap();
        let ran = wire["ran"].as_str().unwrap();
        let cells = format!("| {} | {ran} |", wire["status"].as_u64().unwrap());
        let found = page.lines().any(|l| l.contains(&format!("`{label}`")) && l.contains(&cells));
        assert!(found, "{label} {cells} is not in docs/API.md");
        assert_eq!(wire["type"], Value::from(format!("urn:lentilpitch:problem:{label}")));
    }
}
