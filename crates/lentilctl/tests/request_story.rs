//! `lentilctl story` prints the lines of one request from several logs, sorted by timestamp.

use std::{fs, process::Command};

fn run_story(id: &str, files: &[&str]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_lentilctl"))
        .args(["story", id])
        .args(files)
        .output()
        .expect("lentilctl can be started");
    (out.status.success(), String::from_utf8(out.stdout).expect("its output is UTF-8"))
}

#[test]
fn sorts_lines_of_one_request() {
    let dir = tempfile::tempdir().expect("a temporary folder can be created");
    let write = |name: &str, text: &str| {
        let path = dir.path().join(name);
        fs::write(&path, text).expect("a file can be written");
        path.to_string_lossy().into_owned()
    };
    let a = write(
        "a.log",
        "not a record\n\
         {\"timestamp\":\"2026-01-02T10:00:03Z\",\"request\":\"r-1\",\"message\":\"third\"}\n\
         {\"timestamp\":\"2026-01-02T10:00:00Z\",\"request\":\"r-2\",\"message\":\"other\"}\n",
    );
    let b = write(
        "b.log",
        "12.5 host {\"timestamp\":\"2026-01-02T10:00:01Z\",\"request\":\"r-1\",\"message\":\"first\"}\n\
         {\"timestamp\":\"2026-01-02T10:00:02Z\",\"request\":\"r-1\",\"message\":\"second\"}\n",
    );
    let (succeeded, text) = run_story("r-1", &[&a, &b]);
    assert!(succeeded);
    let found: Vec<&str> =
        ["first", "second", "third"].into_iter().filter(|w| text.contains(w)).collect();
    assert_eq!((text.lines().count(), found.len()), (3, 3));
    assert!(text.lines().next().is_some_and(|l| l.starts_with("b.log") && l.contains("first")));
    assert!(!run_story("r-9", &[&a, &b]).0, "fails if no line matches");
}
