//! While replicas have no headroom, requests of teams above their share wait, and every team gets
//! its share.

use std::time::Duration;

use admit::{AdmissionRequest, Decision, Gate, Outcome, Reason, Share};
use ident::{Class, Name, RequestId, Time};

fn request(id: u128, team: &str, cost: u32, deadline: Time) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId(id),
        team: Name::new(team).unwrap(),
        limits: Share { rate: 100.0, inflight: 10_000 },
        class: Class::Interactive,
        deadline,
        prefill_tokens: cost,
        first_token: Duration::from_millis(100),
    }
}

#[test]
fn only_requests_of_teams_above_their_share_wait() {
    let mut gate = Gate::new(1000);
    gate.set_headroom(1, 10_000);
    let mut request_at =
        |id, team, deadline| gate.admit(request(id, team, 30_000, deadline), 0, Time(0));
    assert_eq!(request_at(1, "big", Time::NEVER), Decision::Run, "there is headroom of one token");
    assert_eq!(request_at(2, "small", Time::NEVER), Decision::Run, "the team has used nothing yet");
    assert_eq!(request_at(3, "big", Time::NEVER), Decision::Wait);
    let late = request_at(4, "big", Time(500));
    assert!(matches!(late, Decision::Refuse(r) if r.reason == Reason::Late), "{late:?}");
    assert!(gate.tick(0, Time(0)).is_empty());
    gate.set_headroom(1, 10_000);
    assert_eq!(gate.tick(0, Time(0)).len(), 1);
}

#[test]
fn each_team_gets_its_share() {
    for teams in [1_u64, 2, 4] {
        let mut gate = Gate::new(1_000_000);
        let mut next = 0;
        let mut started = vec![0_u64; teams as usize];
        for now in (0..120_000).step_by(50).map(Time) {
            gate.set_headroom(0, 10_000);
            for team in 0..teams {
                next += 1;
                let name = format!("t{team}");
                let id = u128::from(next * teams + team);
                let request = request(id, &name, 1_000, now.after(Duration::from_secs(30)));
                let decision = gate.admit(request, next, now);
                started[team as usize] += u64::from(decision == Decision::Run) * 1_000;
            }
            for released in gate.tick(next, now) {
                let team = released.id.0 % u128::from(teams);
                let runs = released.outcome == Outcome::Run;
                started[team as usize] += u64::from(runs) * 1_000;
            }
        }
        let share = 120 * 10_000 / teams;
        for tokens in started {
            assert!(
                tokens > share * 8 / 10 && tokens < share * 12 / 10,
                "a team started {tokens} tokens; its share is {share}"
            );
        }
    }
}

#[test]
fn one_team_cannot_fill_the_queue() {
    let mut gate = Gate::new(2);
    for id in 0..50 {
        gate.admit(request(id, "big", 10, Time::NEVER), 0, Time(0));
    }
    assert_eq!((gate.running(), gate.queued()), (2, 8));
    assert_eq!(gate.admit(request(99, "small", 10, Time::NEVER), 0, Time(0)), Decision::Wait);
}
