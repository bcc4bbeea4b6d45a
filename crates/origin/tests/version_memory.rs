//! A caller that names no first request goes on only where no other version can have begun the stream.

use std::sync::Arc;

use ident::Time;
use origin::Versions;

fn name(text: &str) -> Arc<str> {
    text.into()
}

fn only(versions: &Versions, current: &[&str], since: u64) -> Option<String> {
    let current: Vec<Arc<str>> = current.iter().map(|v| name(v)).collect();
    versions.only("t", current.iter().map(Some), Time(since)).map(|v| v.to_string())
}

fn complete() -> Versions {
    let mut versions = Versions::default();
    versions.set_complete(Time(0));
    versions
}

#[test]
fn one_version_in_service_is_the_only_one() {
    assert_eq!(only(&complete(), &["v1", "v1"], 1000).as_deref(), Some("v1"));
    assert_eq!(only(&complete(), &["v1", "v2"], 1000), None);
    assert_eq!(only(&complete(), &[], 1000), None);
}

#[test]
fn a_version_that_is_gone_counts_for_as_long_as_streams_last() {
    let mut versions = complete();
    versions.note(&name("t"), Some(&name("v1")), Time(5000), Time(5000));
    assert_eq!(only(&versions, &["v2"], 4000), None, "it may have begun the stream");
    assert_eq!(only(&versions, &["v2"], 5001).as_deref(), Some("v2"));
    versions.note(&name("t"), Some(&name("v1")), Time(3000), Time(6000));
    assert_eq!(only(&versions, &["v2"], 4000), None, "the later time counts");
    versions.note(&name("other"), Some(&name("v3")), Time(9000), Time(9000));
    assert_eq!(only(&versions, &["v2"], 8000).as_deref(), Some("v2"), "of another target");
}

#[test]
fn an_unknown_version_is_another_one() {
    let mut versions = complete();
    versions.note(&name("t"), None, Time(5000), Time(5000));
    assert_eq!(only(&versions, &["v2"], 4000), None);
    assert_eq!(versions.only("t", [None], Time(6000)), None);
}

#[test]
fn an_instance_that_does_not_know_what_was_before_it_started_cannot_tell() {
    let mut versions = Versions::default();
    assert_eq!(only(&versions, &["v1"], 1000), None);
    versions.set_complete(Time(2000));
    assert_eq!(only(&versions, &["v1"], 1000), None);
    assert_eq!(only(&versions, &["v1"], 2000).as_deref(), Some("v1"));
}
