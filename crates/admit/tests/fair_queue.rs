//! The order in which queued requests start, by team, deadline and class.

use std::time::Duration;

use admit::{AdmissionRequest, Decision, Gate, Outcome, Share};
use ident::{Class, Name, RequestId, Time};

fn request(id: u128, team: &str, class: Class, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId(id),
        team: Name::new(team).unwrap(),
        limits: Share { rate: 1e6, inflight: 1000 },
        class,
        deadline: Time(deadline),
        prefill_tokens: 8_192,
        first_token: Duration::from_millis(1),
    }
}

/// Ends one request after the other until the queue is empty; returns the order of the starts.
fn order(gate: &mut Gate, mut current: u128) -> Vec<u128> {
    let mut out = Vec::new();
    loop {
        gate.done(RequestId(current), Time(10));
        let released = gate.tick(0, Time(10));
        let Some(next) = released.first() else { return out };
        assert_eq!((released.len(), next.outcome), (1, Outcome::Run));
        current = next.id.0;
        out.push(current);
    }
}

const FAR: u64 = 1_000_000_000;

fn busy(capacity: u32) -> Gate {
    let mut gate = Gate::new(capacity);
    let first = request(0, "zz", Class::Interactive, FAR);
    assert_eq!(gate.admit(first, 0, Time(0)), Decision::Run);
    gate
}

#[test]
fn earliest_deadline_goes_first_within_a_team() {
    let mut gate = busy(1);
    for (id, deadline) in [(1, FAR + 30), (2, FAR + 10), (3, FAR + 20)] {
        gate.admit(request(id, "a", Class::Interactive, deadline), 0, Time(0));
    }
    assert_eq!(order(&mut gate, 0), [2, 3, 1]);
}

#[test]
fn many_requests_of_one_team_delay_another_team_by_one_request() {
    let mut gate = busy(1);
    for id in 1..=3 {
        gate.admit(request(id, "a", Class::Interactive, FAR), 0, Time(0));
    }
    gate.admit(request(100, "b", Class::Interactive, FAR), 0, Time(0));
    assert_eq!(order(&mut gate, 0)[..2], [1, 100]);
}

#[test]
fn every_request_starts_after_a_bounded_number_of_others() {
    bolero::check!().with_iterations(300).with_type::<Vec<(u8, bool)>>().for_each(|queued| {
        let mut gate = Gate::new(64);
        for id in 0..64 {
            let first = request(1000 + id, "zz", Class::Interactive, FAR);
            assert_eq!(gate.admit(first, 0, Time(0)), Decision::Run);
        }
        let mut waiting = Vec::new();
        for (id, (team, interactive)) in (0_u128..200).zip(queued) {
            let team = format!("t{}", team % 5);
            let class = if *interactive { Class::Interactive } else { Class::Batch };
            let decision = gate.admit(request(id, &team, class, FAR), 0, Time(0));
            assert_eq!(decision, Decision::Wait);
            waiting.push((id, team, class));
        }
        let mut current = 1000;
        let mut passed: Vec<(String, Class, u32)> = Vec::new();
        while !waiting.is_empty() {
            gate.done(RequestId(current), Time(10));
            let released = gate.tick(0, Time(10));
            current = released[0].id.0;
            let at = waiting.iter().position(|w| w.0 == current).unwrap();
            let (_, team, class) = waiting.remove(at);
            passed.retain(|p| (&p.0, p.1) != (&team, class));
            for (_, other, kind) in &waiting {
                if !passed.iter().any(|p| (&p.0, p.1) == (other, *kind)) {
                    passed.push((other.clone(), *kind, 0));
                }
            }
            for p in &mut passed {
                p.2 += 1;
                // Five teams take turns; one batch request starts after four interactive ones.
                let bound = if p.1 == Class::Batch { 5 * 5 + 5 } else { 2 * 5 + 3 };
                assert!(p.2 <= bound, "{p:?}");
            }
        }
    });
}

#[test]
fn batch_requests_do_not_use_the_reserved_slots() {
    let mut gate = Gate::new(16);
    for id in 0..20 {
        gate.admit(request(id, "a", Class::Batch, FAR), 0, Time(0));
    }
    assert_eq!((gate.running(), gate.queued()), (14, 6));
    assert_eq!(gate.admit(request(50, "a", Class::Interactive, FAR), 0, Time(0)), Decision::Run);
}
