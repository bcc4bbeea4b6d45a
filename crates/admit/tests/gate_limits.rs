//! Limits and refusals of the gate, and its invariants under random operations.

use std::time::Duration;

use admit::{AdmissionRequest, Decision, Gate, Outcome, Reason, Share};
use ident::{Class, Name, RequestId, Time};

fn request(id: u128, team: &str, class: Class) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId(id),
        team: Name::new(team).unwrap(),
        limits: Share { rate: 1000.0, inflight: 1000 },
        class,
        deadline: Time::NEVER,
        prefill_tokens: 8_192,
        first_token: Duration::from_millis(100),
    }
}

fn reason(decision: Decision) -> Option<Reason> {
    match decision {
        Decision::Refuse(r) => Some(r.reason),
        _ => None,
    }
}

#[test]
fn team_limits_are_enforced() {
    let mut gate = Gate::new(100);
    let limits = Share { rate: 0.2, inflight: 3 };
    let mut request_at =
        |id, now| gate.admit(AdmissionRequest { limits, ..request(id, "a", Class::Batch) }, 0, now);
    assert_eq!(request_at(1, Time(0)), Decision::Run);
    assert_eq!(request_at(2, Time(0)), Decision::Run);
    assert_eq!(reason(request_at(3, Time(0))), Some(Reason::Rate));
    assert_eq!(request_at(3, Time(5_000)), Decision::Run);
    assert_eq!(reason(request_at(4, Time(90_000))), Some(Reason::Inflight));
    assert_eq!(reason(request_at(3, Time(90_000))), Some(Reason::Duplicate));
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_at_once() {
    let mut gate = Gate::new(1);
    assert_eq!(gate.admit(request(1, "a", Class::Interactive), 0, Time(0)), Decision::Run);
    let late = AdmissionRequest { deadline: Time(1500), ..request(2, "a", Class::Interactive) };
    let Decision::Refuse(refusal) = gate.admit(late, u64::MAX, Time(0)) else {
        panic!("the request is not refused")
    };
    assert_eq!((refusal.reason, refusal.retry_at), (Reason::Late, Time(1199)));
    let fits = AdmissionRequest { deadline: Time(2500), ..request(3, "a", Class::Interactive) };
    assert_eq!(gate.admit(fits, 0, Time(0)), Decision::Wait);
    assert!(gate.tick(0, Time(2400)).is_empty());
    let out = gate.tick(0, Time(2401));
    assert!(matches!(out[0].outcome, Outcome::Refuse(r) if r.retry_at > Time(2401)));
    assert_eq!(gate.queued(), 0);
}

#[test]
fn the_queue_limit_is_enforced() {
    let mut gate = Gate::new(1);
    gate.set_max_queued(2);
    let mut request_at = |id| gate.admit(request(id, "a", Class::Interactive), 0, Time(0));
    assert_eq!(request_at(1), Decision::Run);
    assert_eq!((request_at(2), request_at(3)), (Decision::Wait, Decision::Wait));
    assert_eq!(reason(request_at(4)), Some(Reason::Full));
    gate.set_max_queued(3);
    assert_eq!(gate.admit(request(4, "a", Class::Interactive), 0, Time(0)), Decision::Wait);
    gate.set_max_queued(1);
    assert_eq!(gate.queued(), 3, "queued requests stay queued");
}

#[test]
fn retry_times_have_jitter() {
    let mut gate = Gate::new(1);
    gate.admit(request(0, "a", Class::Interactive), 0, Time(0));
    let mut times: Vec<_> = (1..=64_u64)
        .map(|i| {
            let late = AdmissionRequest {
                deadline: Time(50),
                ..request(u128::from(i), "a", Class::Batch)
            };
            match gate.admit(late, i << 58, Time(0)) {
                Decision::Refuse(r) => r.retry_at,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 50);
}

#[test]
fn random_operations_keep_the_limits() {
    bolero::check!().with_iterations(500).with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let mut gate = Gate::new(6);
        let limits = Share { rate: 1.0, inflight: 4 };
        let teams = ["a", "b", "c"];
        let (mut now, mut next) = (Time(0), 0_u128);
        let mut open: Vec<(u128, usize, bool)> = Vec::new();
        let mut admitted = [0_u32; 3];
        for &(op, arg, wait) in steps {
            now = now.after(Duration::from_millis(u64::from(wait)));
            match op % 4 {
                0 | 1 => {
                    next += 1;
                    let team = usize::from(arg % 3);
                    let class = if arg & 8 == 0 { Class::Interactive } else { Class::Batch };
                    let deadline = now.after(Duration::from_millis(u64::from(arg) * 40));
                    let request =
                        AdmissionRequest { limits, deadline, ..request(next, teams[team], class) };
                    let decision = gate.admit(request, u64::from(arg) << 56, now);
                    match decision {
                        Decision::Refuse(r) => assert!(r.retry_at > now),
                        _ => {
                            admitted[team] += 1;
                            open.push((next, team, decision == Decision::Run));
                        }
                    }
                }
                2 if !open.is_empty() => {
                    let (id, _, runs) = open.swap_remove(usize::from(arg) % open.len());
                    match runs {
                        true => gate.done(RequestId(id), now),
                        false => gate.cancel(RequestId(id), now),
                    }
                }
                _ => gate.set_capacity(u32::from(arg % 8)),
            }
            let before = gate.running();
            for released in gate.tick(u64::from(arg), now) {
                let at = open.iter().position(|o| RequestId(o.0) == released.id).unwrap();
                assert!(!open[at].2, "a request was released that was not queued");
                match released.outcome {
                    Outcome::Run => open[at].2 = true,
                    Outcome::Refuse(_) => drop(open.swap_remove(at)),
                }
            }
            assert!(gate.running() <= before.max(7));
            for (team, count) in admitted.iter().enumerate() {
                assert!(open.iter().filter(|o| o.1 == team).count() <= 4);
                assert!(f64::from(*count) <= 10.0 + now.0 as f64 * 0.001 + 1e-6);
            }
            let runs = open.iter().filter(|o| o.2).count();
            assert_eq!((gate.running(), gate.queued()), (runs, open.len() - runs));
        }
    });
}
