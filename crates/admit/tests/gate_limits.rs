//! Limits and refusals of the gate, and its invariants under random operations.

use std::time::Duration;

use admit::{Gate, Offer, Outcome, Reason, Share, Verdict};
use ident::{Class, Name, RequestId, Time};

fn offer(id: u128, team: &str, class: Class) -> Offer {
    Offer {
        id: RequestId(id),
        team: Name::new(team).unwrap(),
        limits: Share { rate: 1000.0, inflight: 1000 },
        class,
        deadline: Time::NEVER,
        cost: 8_192,
        service: Duration::from_millis(100),
    }
}

fn reason(verdict: Verdict) -> Option<Reason> {
    match verdict {
        Verdict::Refuse(r) => Some(r.reason),
        _ => None,
    }
}

#[test]
fn team_limits_are_enforced() {
    let mut gate = Gate::new(100);
    let limits = Share { rate: 0.2, inflight: 3 };
    let mut offer_at =
        |id, now| gate.offer(Offer { limits, ..offer(id, "a", Class::Batch) }, 0, now);
    assert_eq!(offer_at(1, Time(0)), Verdict::Run);
    assert_eq!(offer_at(2, Time(0)), Verdict::Run);
    assert_eq!(reason(offer_at(3, Time(0))), Some(Reason::Rate));
    assert_eq!(offer_at(3, Time(5_000)), Verdict::Run);
    assert_eq!(reason(offer_at(4, Time(90_000))), Some(Reason::Inflight));
    assert_eq!(reason(offer_at(3, Time(90_000))), Some(Reason::Duplicate));
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_at_once() {
    let mut gate = Gate::new(1);
    assert_eq!(gate.offer(offer(1, "a", Class::Interactive), 0, Time(0)), Verdict::Run);
    let late = Offer { deadline: Time(1500), ..offer(2, "a", Class::Interactive) };
    let Verdict::Refuse(refusal) = gate.offer(late, u64::MAX, Time(0)) else {
        panic!("the request is not refused")
    };
    assert_eq!((refusal.reason, refusal.retry_at), (Reason::Late, Time(1199)));
    let fits = Offer { deadline: Time(2500), ..offer(3, "a", Class::Interactive) };
    assert_eq!(gate.offer(fits, 0, Time(0)), Verdict::Wait);
    assert!(gate.tick(0, Time(2400)).is_empty());
    let out = gate.tick(0, Time(2401));
    assert!(matches!(out[0].outcome, Outcome::Refuse(r) if r.retry_at > Time(2401)));
    assert_eq!(gate.queued(), 0);
}

#[test]
fn the_queue_limit_is_enforced() {
    let mut gate = Gate::new(1);
    gate.set_queue(2);
    let mut offer_at = |id| gate.offer(offer(id, "a", Class::Interactive), 0, Time(0));
    assert_eq!(offer_at(1), Verdict::Run);
    assert_eq!((offer_at(2), offer_at(3)), (Verdict::Wait, Verdict::Wait));
    assert_eq!(reason(offer_at(4)), Some(Reason::Full));
    gate.set_queue(3);
    assert_eq!(gate.offer(offer(4, "a", Class::Interactive), 0, Time(0)), Verdict::Wait);
    gate.set_queue(1);
    assert_eq!(gate.queued(), 3, "queued requests stay queued");
}

#[test]
fn retry_times_have_jitter() {
    let mut gate = Gate::new(1);
    gate.offer(offer(0, "a", Class::Interactive), 0, Time(0));
    let mut times: Vec<_> = (1..=64_u64)
        .map(|i| {
            let late = Offer { deadline: Time(50), ..offer(u128::from(i), "a", Class::Batch) };
            match gate.offer(late, i << 58, Time(0)) {
                Verdict::Refuse(r) => r.retry_at,
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
                    let offer = Offer { limits, deadline, ..offer(next, teams[team], class) };
                    let verdict = gate.offer(offer, u64::from(arg) << 56, now);
                    match verdict {
                        Verdict::Refuse(r) => assert!(r.retry_at > now),
                        _ => {
                            admitted[team] += 1;
                            open.push((next, team, verdict == Verdict::Run));
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
