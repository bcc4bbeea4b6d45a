//! Which updates a view applies and which it ignores.

use std::time::Duration;

use fleet::{Announcement, Config, Limits, RequestKind, Route, RouteShare, View, Walls};
use ident::Time;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Mutating,
        resumable: false,
        timeout: Duration::from_secs(1),
        goal: Duration::from_secs(1),
        attempts: 1,
        priority: 0,
        public: false,
        sticky: false,
        shares: vec![RouteShare { target: "t".into(), weight: 1 }],
    }
}

fn config(rev: u64, routes: Vec<Route>) -> Config {
    let second = Duration::from_secs(1);
    let limits =
        Limits { head_bytes: 1, body_bytes: 1, head_timeout: second, idle_timeout: second };
    let (targets, stores, teams, keys) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (requires_key, walls) = (true, Walls::default());
    Config { rev, routes, targets, stores, teams, keys, requires_key, walls, limits }.sorted()
}

#[test]
fn the_route_with_the_longest_prefix_is_used() {
    let routes = vec![
        route("short", "a", "/x/"),
        route("long", "a", "/x/y/"),
        route("other", "b", "/x/y/z/"),
    ];
    let config = config(1, routes);
    let name = |host: &str, path: &str| config.route(host, path).map(|r| r.name.to_string());
    assert_eq!(name("a", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("a", "/x/yy").as_deref(), Some("short"));
    assert_eq!(name("b", "/x/y/1"), None);
    assert_eq!(name("c", "/x/"), None);
}

fn announcement(version: u64, at: u64) -> Announcement {
    Announcement { version, at: Time(at), certain: true }
}

#[test]
fn an_older_or_equal_revision_is_ignored() {
    let view = View::default();
    assert!(view.offer_config(config(4, Vec::new())));
    assert!(!view.offer_config(config(4, Vec::new())));
    assert!(!view.offer_config(config(3, Vec::new())));
    assert!(view.offer_config(config(9, Vec::new())));
}

/// Guards against a second announcement that restarts the time until older weights are retired,
/// so that requests start on weights that were replaced long before.
#[test]
fn each_announcement_retires_older_versions_after_its_own_term() {
    let term = Duration::from_secs(9);
    let view = View::default();
    for (version, at) in [(1, 1_000), (2, 20_000), (3, 28_000)] {
        view.offer_weights("m", announcement(version, at), Time(at));
    }
    let floor = |now| view.snapshot().announced("m").map(|w| w.min_version(term, Time(now)));
    assert_eq!(floor(28_500), Some(1));
    assert_eq!(floor(29_100), Some(2), "version 2 was announced more than 9 s ago");
    assert_eq!(floor(37_100), Some(3));
}

#[test]
fn the_earliest_announcement_counts() {
    let view = View::default();
    let now = Time(21_000);
    assert!(view.offer_weights("m", announcement(2, 20_000), now));
    assert!(
        !view.offer_weights("m", announcement(2, 15_000), now),
        "the version is known, only the time is earlier"
    );
    let named = view.snapshot().announced("m").map(|w| w.announced.clone());
    assert_eq!(named, Some(vec![(2, Time(15_000))]));
    assert!(!view.offer_weights("m", announcement(1, 30_000), now), "the version is older");
    assert_eq!(view.snapshot().announced("m").map(|w| w.version), Some(2));
}

/// What a store says that has returned from an older copy, and what the operator repeats later.
#[test]
fn an_older_copy_and_its_repeat_change_nothing() {
    let view = View::default();
    view.offer_config(config(7, vec![route("new", "a", "/x/")]));
    view.offer_weights("m", announcement(1, 1_000), Time(1_000));
    view.offer_weights("m", announcement(2, 5_000), Time(5_000));
    let before = view.snapshot();
    assert!(!view.offer_config(config(6, vec![route("old", "a", "/x/")])));
    assert!(!view.offer_weights("m", announcement(1, 9_000), Time(9_000)));
    assert!(!view.offer_config(config(7, vec![route("new", "a", "/x/")])));
    assert!(!view.offer_weights("m", announcement(2, 12_000), Time(12_000)));
    let after = view.snapshot();
    assert_eq!((&after.config, &after.weights), (&before.config, &before.weights));
}

/// Parts of older weights are fetched for some time after an announcement, and are freed by another
/// instance after that. A starting instance must not take an old announcement for a new one.
#[test]
fn the_time_of_the_first_version_read_is_corrected_later() {
    let view = View::default();
    view.offer_weights(
        "m",
        Announcement { version: 2, at: Time(50_000), certain: false },
        Time(50_000),
    );
    let known = || view.snapshot().announced("m").cloned().expect("the weights are known");
    assert!(!known().certain);
    assert!(!view.offer_weights("m", announcement(2, 20_000), Time(50_100)));
    assert!(known().certain);
    assert_eq!((known().announced_at(), known().known_since), (Time(20_000), Time(50_000)));
    view.offer_weights(
        "m",
        Announcement { version: 3, at: Time(60_000), certain: false },
        Time(60_000),
    );
    assert!(!known().certain);
    assert!(!view.offer_weights("m", announcement(3, 60_000), Time(60_100)));
    assert!(known().certain, "the time is the same, but certain now");
}

/// Entries that expired while the registry answered nobody may be registered again. Failures that
/// only this instance sees are not such an outage.
#[test]
fn a_gap_in_the_answers_of_the_registry_is_detected() {
    let view = View::default();
    view.confirm_registry(Time(10_000));
    for at in (10_000..20_000).step_by(500) {
        view.confirm_registry(Time(at));
    }
    assert_eq!(view.snapshot().confirmed.steady_since, Time(10_000));
    view.confirm_registry(Time(25_000));
    assert_eq!(view.snapshot().confirmed.steady_since, Time(25_000));
}
