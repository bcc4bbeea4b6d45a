//! While replicas are congested, teams above their part are held and none is starved.

use std::time::Duration;

use admit::{Gate, Offer, Outcome, Reason, Share, Verdict};
use ident::{Class, Name, RequestId, Time};

fn offer(id: u128, team: &str, cost: u32, deadline: Time) -> Offer {
    Offer {
        id: RequestId(id),
        team: Name::new(team).unwrap(),
        limits: Share { rate: 100.0, inflight: 10_000 },
        class: Class::Interactive,
        deadline,
        cost,
        service: Duration::from_millis(100),
    }
}

#[test]
fn only_teams_above_their_part_are_held() {
    let mut gate = Gate::new(1000);
    gate.set_room(1, 10_000);
    let mut give = |id, team, deadline| gate.offer(offer(id, team, 30_000, deadline), 0, Time(0));
    assert_eq!(give(1, "big", Time::NEVER), Verdict::Run, "a little room is left");
    assert_eq!(give(2, "small", Time::NEVER), Verdict::Run, "it used nothing yet");
    assert_eq!(give(3, "big", Time::NEVER), Verdict::Wait);
    let late = give(4, "big", Time(500));
    assert!(matches!(late, Verdict::Refuse(r) if r.reason == Reason::Late), "{late:?}");
    assert!(gate.tick(0, Time(0)).is_empty());
    gate.set_room(1, 10_000);
    assert_eq!(gate.tick(0, Time(0)).len(), 1);
}

#[test]
fn a_held_team_gets_its_part() {
    for teams in [1_u64, 2, 4] {
        let mut gate = Gate::new(1_000_000);
        let mut next = 0;
        let mut started = vec![0_u64; teams as usize];
        for now in (0..120_000).step_by(50).map(Time) {
            gate.set_room(0, 10_000);
            for team in 0..teams {
                next += 1;
                let name = format!("t{team}");
                let id = u128::from(next * teams + team);
                let offer = offer(id, &name, 1_000, now.after(Duration::from_secs(30)));
                let verdict = gate.offer(offer, next, now);
                started[team as usize] += u64::from(verdict == Verdict::Run) * 1_000;
            }
            for released in gate.tick(next, now) {
                let team = released.id.0 % u128::from(teams);
                let runs = released.outcome == Outcome::Run;
                started[team as usize] += u64::from(runs) * 1_000;
            }
        }
        let part = 120 * 10_000 / teams;
        for tokens in started {
            assert!(tokens > part * 8 / 10 && tokens < part * 12 / 10, "{tokens} of {part}");
        }
    }
}

#[test]
fn one_team_cannot_fill_the_queue() {
    let mut gate = Gate::new(2);
    for id in 0..50 {
        gate.offer(offer(id, "big", 10, Time::NEVER), 0, Time(0));
    }
    assert_eq!((gate.running(), gate.queued()), (2, 8));
    assert_eq!(gate.offer(offer(99, "small", 10, Time::NEVER), 0, Time(0)), Verdict::Wait);
}
