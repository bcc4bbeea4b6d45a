//! Which changes are accepted and refused, and what a repeated change id returns.

mod common;

use common::{World, key, model, name, names, service, team, template};
use conf::{AcceptError, Doc, DocKey, Field, Kind, Limits, Violation};
use ident::{Digest, RequestId, Rev};

fn base() -> Vec<Doc> {
    vec![
        model("writer", "v1"),
        service("desk", "inkline"),
        service("fonts", "umthombo"),
        template("artists", &["desk"]),
        Doc::Team(team("prairie", "artists", "inkline")),
    ]
}

fn invalid(error: AcceptError) -> Vec<Violation> {
    match error {
        AcceptError::Invalid(violations) => violations,
        other => panic!("expected faults, got {other}"),
    }
}

#[tokio::test]
async fn change_id_is_accepted_once() {
    let w = World::new();
    let s = w.store();
    w.create(&s, 1, base()).await;
    let again =
        s.accept(RequestId(1), key(Kind::Model, "writer"), Some(model("writer", "v1")), None);
    assert_eq!(again.await.unwrap().rev, Rev(1));
    let other = w.store();
    let reused = other.accept(RequestId(1), key(Kind::Model, "x"), Some(model("x", "v1")), None);
    assert_eq!(invalid(reused.await.unwrap_err()), [Violation::IdReused(Rev(1))]);
    assert_eq!(s.changes(Rev(0), 100).await.unwrap().len(), 5);
}

#[tokio::test]
async fn stale_change_gets_the_current_revision() {
    let w = World::new();
    let (a, b) = (w.store(), w.store());
    w.create(&a, 1, base()).await;
    let at = key(Kind::Model, "writer");
    a.accept(RequestId(10), at.clone(), Some(model("writer", "v2")), Some(Rev(1))).await.unwrap();
    let lost = b.accept(RequestId(11), at.clone(), Some(model("writer", "v3")), Some(Rev(1))).await;
    assert_eq!(lost, Err(AcceptError::Stale { current: Some(Rev(6)) }));
    let exists = b.accept(RequestId(12), at, Some(model("writer", "v3")), None).await;
    assert_eq!(exists, Err(AcceptError::Stale { current: Some(Rev(6)) }));
}

#[tokio::test]
async fn all_violations_are_listed() {
    let w = World::new();
    let s = w.store();
    w.create(&s, 1, base()).await;
    let mut bad = team("gala", "nowhere", "umthombo");
    bad.keys = vec![Digest::of(b"prairie")];
    bad.patch.targets = Some(names(&["gone", "desk"]));
    bad.patch.models = Some(names(&["poet"]));
    bad.patch.spread = Some(0);
    bad.patch.limits = Some(Limits { rate: 0, inflight: 1, prompt: 0, tokens: 1 });
    let at = key(Kind::Team, "gala");
    let violations =
        invalid(s.accept(RequestId(9), at.clone(), Some(Doc::Team(bad)), None).await.unwrap_err());
    let dangling =
        |kind, to: &str| Violation::MissingReference { from: at.clone(), to: key(kind, to) };
    let expected = [
        dangling(Kind::Template, "nowhere"),
        Violation::Zero(Field::Rate),
        Violation::Zero(Field::Prompt),
        Violation::Zero(Field::Spread),
        dangling(Kind::Model, "poet"),
        dangling(Kind::Target, "gone"),
        Violation::ForeignTarget {
            team: name("gala"),
            org: name("umthombo"),
            target: name("desk"),
            owner: name("inkline"),
        },
        Violation::KeyTaken { key: Digest::of(b"prairie"), owner: name("prairie") },
    ];
    assert_eq!(violations, expected);
}

#[tokio::test]
async fn team_reaches_no_target_of_another_org() {
    let w = World::new();
    let s = w.store();
    w.create(&s, 1, base()).await;
    let foreign = Violation::ForeignTarget {
        team: name("prairie"),
        org: name("inkline"),
        target: name("fonts"),
        owner: name("umthombo"),
    };
    let widened = template("artists", &["fonts", "desk"]);
    let at = key(Kind::Template, "artists");
    let violations =
        invalid(s.accept(RequestId(9), at, Some(widened), Some(Rev(4))).await.unwrap_err());
    assert_eq!(violations, [foreign]);
    let moved = service("desk", "umthombo");
    let violations =
        s.accept(RequestId(9), moved.key(), Some(moved), Some(Rev(2))).await.unwrap_err();
    assert_eq!(invalid(violations).len(), 1);
}

#[tokio::test]
async fn referenced_document_is_not_removed() {
    let w = World::new();
    let s = w.store();
    w.create(&s, 1, base()).await;
    let by = |kind, n| Violation::Referenced { by: key(kind, n) };
    let cases: [(DocKey, u64, Violation); 3] = [
        (key(Kind::Model, "writer"), 1, by(Kind::Template, "artists")),
        (key(Kind::Target, "desk"), 2, by(Kind::Template, "artists")),
        (key(Kind::Template, "artists"), 4, by(Kind::Team, "prairie")),
    ];
    for (at, rev, fault) in cases {
        let refused = s.accept(RequestId(9), at, None, Some(Rev(rev))).await.unwrap_err();
        assert_eq!(invalid(refused), [fault]);
    }
    let at = key(Kind::Team, "prairie");
    assert_eq!(s.accept(RequestId(9), at.clone(), None, Some(Rev(5))).await.unwrap().rev, Rev(6));
    assert_eq!(
        invalid(s.accept(RequestId(10), at.clone(), None, None).await.unwrap_err()),
        [Violation::Absent(at)]
    );
    let at = key(Kind::Template, "artists");
    s.accept(RequestId(11), at, None, Some(Rev(4))).await.unwrap();
}

#[tokio::test]
async fn lists_are_sorted() {
    let w = World::new();
    let s = w.store();
    w.create(&s, 1, vec![model("writer", "v1"), service("b", "o"), service("a", "o")]).await;
    let doc = template("t", &["b", "a", "b"]);
    let change = s.accept(RequestId(9), doc.key(), Some(doc), None).await.unwrap();
    assert_eq!(change.doc, Some(template("t", &["a", "b"])));
}

/// Guards against peers that must wait for their next read of the log, since the instance that
/// accepted a change doesn't hand it on.
#[tokio::test]
async fn accepted_changes_are_handed_on() {
    let w = World::new();
    let s = w.store();
    w.create(&s, 1, vec![model("a", "v1"), model("b", "v1"), model("c", "v1")]).await;
    let handed_on: Vec<_> = s.recent(Rev(1)).iter().map(|c| (c.rev, c.id)).collect();
    assert_eq!(handed_on, [(Rev(2), RequestId(2)), (Rev(3), RequestId(3))]);
}
