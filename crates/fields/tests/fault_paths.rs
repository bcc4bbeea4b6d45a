//! Paths and texts of faults.

use fields::{BOOL, Faults, Fields, NAME, TEXT};
use serde_json::json;

#[test]
fn faults_have_paths() {
    let mut faults = Faults::default();
    let value = json!({"a": {"b": [1, "ok", "No"], "c": null}, "more": 1});
    let mut top = Fields::root(value, &mut faults);
    let mut a = top.take("a").fields(&mut faults);
    assert_eq!(a.take("b").list(&NAME, &mut faults).len(), 1);
    assert_eq!(a.take("c").maybe(&BOOL, &mut faults), None);
    assert_eq!(a.take("d").read(&TEXT, &mut faults), None);
    assert!(a.take("e").or(true, &BOOL, &mut faults));
    a.end(&mut faults);
    top.end(&mut faults);
    let paths: Vec<_> = faults.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["a.b[0]", "a.b[2]", "a.d", "more"]);
}

#[test]
fn long_values_are_cut() {
    let mut faults = Faults::default();
    Fields::root(json!("x".repeat(500)), &mut faults).end(&mut faults);
    let text = faults.to_string();
    assert!(text.starts_with("(document): wanted a mapping, found \"xxx") && text.len() < 120);
}
