//! Problems keep their meaning over the wire, and the documentation lists them all.

use std::time::Duration;

use admin::{Problem, ProblemWire};
use fields::Faults;
use ident::{RequestId, Rev};

fn all() -> Vec<Problem> {
    let (id, current) = (RequestId(1), Rev(2));
    let mut faults = Faults::default();
    faults.add("name", "a name", "nothing");
    vec![
        Problem::Unauthorised,
        Problem::NotFound,
        Problem::Method,
        Problem::TooLarge,
        Problem::BadRequest("mend the header".into()),
        Problem::PreconditionRequired,
        Problem::Stale { current: None },
        Problem::Stale { current: Some(current) },
        Problem::Exists { current },
        Problem::IdReused { id, current },
        Problem::Invalid(faults),
        Problem::Unavailable { retry_after: Duration::from_millis(1500) },
        Problem::Unknown { id },
    ]
}

#[test]
fn problems_survive_the_wire() {
    for problem in all() {
        let text = serde_json::to_string(&ProblemWire::from(problem.clone())).unwrap();
        let wire: ProblemWire = serde_json::from_str(&text).unwrap();
        assert_eq!(Problem::try_from(wire), Ok(problem));
    }
    let mut wire = ProblemWire::from(Problem::Unknown { id: RequestId(1) });
    wire.change = None;
    assert!(Problem::try_from(wire.clone()).is_err());
    wire.kind = "urn:lentilpitch:problem:other".into();
    assert!(Problem::try_from(wire).is_err());
}

#[test]
fn page_lists_all() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/API.md");
    let page = std::fs::read_to_string(path).unwrap();
    let operators = page.split("### Problem types for operators").nth(1).unwrap();
    for problem in all() {
        let row = format!("| `{}` | {} |", problem.slug(), problem.status().as_u16());
        assert!(operators.contains(&row), "{row} is not in docs/API.md");
    }
}
