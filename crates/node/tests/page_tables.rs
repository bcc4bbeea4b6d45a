//! The tables in the documentation list all metrics and problem types of the program.

use entry::{Metrics, Problem, ProblemKind};
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
    for vec in
        [&m.prompt_tokens, &m.plans, &m.retries, &m.dropped_events, &m.calls, &m.config_polls]
    {
        vec.with_label_values(&["label"]);
    }
    m.orders.with_label_values(&["label"]);
    m.table_operations.with_label_values(&["operation", "result"]);
    m.rollout_stalls.with_label_values(&["target"]);
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
        ProblemKind::Unauthorised,
        ProblemKind::Malformed("x".into()),
        ProblemKind::TooLarge(1),
        ProblemKind::PromptTooLong { got: 2, limit: 1 },
        ProblemKind::UnknownModel(name()),
        ProblemKind::UnknownTarget(name()),
        ProblemKind::NoTemplate(name()),
        ProblemKind::Limited,
        ProblemKind::Deadline,
        ProblemKind::NoReplica,
        ProblemKind::Stale,
        ProblemKind::NotReady,
        ProblemKind::BadHandle,
        ProblemKind::NoKey,
        ProblemKind::KeyReused,
        ProblemKind::Running,
        ProblemKind::MayHaveRun,
        ProblemKind::NoOutcome,
        ProblemKind::NotClaimed,
        ProblemKind::ClaimUnreadable,
        ProblemKind::OutcomeUnreadable,
        ProblemKind::Refused,
        ProblemKind::Upstream,
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
