//! Turns of waiting requests whose tasks are woken, fail, start or are dropped in any order.

use std::time::Duration;

use admit::{FairLevels, QueueBounds, Rounds, WaitQueue, Waiting};
use ident::Time;

fn request(level: u8) -> Waiting {
    Waiting {
        level,
        team: "a".into(),
        arrived: Time(0),
        goal: Time(5_000),
        deadline: Time(9_000),
        free_at: Time::NEVER,
        work: Duration::from_millis(50),
        is_begun: false,
        bytes: 1,
    }
}

fn rounds() -> Rounds {
    let bounds = QueueBounds { entries: 100, bytes: 100 };
    Rounds::new(WaitQueue::new(Box::new(FairLevels { max_passes: 16 }), bounds))
}

/// Guards against a dropped request that keeps the turn, a turn of a request that is not queued, an
/// event that is lost, and an event that wakes all.
#[test]
fn each_event_gives_a_turn_to_a_queued_request() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut rounds = rounds();
        let mut waiting = Vec::new();
        let mut woken = None;
        for (step, which) in steps {
            let at = usize::from(*which) % waiting.len().max(1);
            // Each step returns whom it gave the turn to; that is the only one that has it.
            let next = match (step % 5, waiting.is_empty()) {
                (0, _) | (_, true) => {
                    waiting.push(rounds.push(request(which % 3), Time(0)).0);
                    continue;
                }
                (1, _) => rounds.wake(Time(0)),
                (2, _) => rounds.failed(waiting[at], Time(0)),
                (3, _) => rounds.remove(waiting.swap_remove(at), true, Time(0)),
                _ => rounds.remove(waiting.swap_remove(at), false, Time(0)),
            };
            woken = next.or(woken).filter(|t| rounds.has_turn(*t));
            let with_turn: Vec<_> = waiting.iter().filter(|t| rounds.has_turn(**t)).collect();
            assert_eq!(with_turn, woken.iter().collect::<Vec<_>>());
        }
        // Each start or later event gives a turn until none waits.
        let mut turn = woken.or_else(|| rounds.wake(Time(0)));
        while let Some(ticket) = turn {
            turn = rounds.remove(ticket, true, Time(0)).or_else(|| rounds.wake(Time(0)));
        }
        assert!(rounds.queue().is_empty(), "a request has been left waiting");
    });
}

/// Guards against an event that costs a try of every request, and a stalled task that keeps all others
/// waiting.
#[test]
fn an_event_tries_three_and_a_stalled_turn_ends() {
    let mut rounds = rounds();
    let all: Vec<_> = (0..10).map(|_| rounds.push(request(0), Time(0)).0).collect();
    assert_eq!(rounds.wake(Time(0)), Some(all[0]));
    assert_eq!(rounds.failed(all[0], Time(0)), Some(all[1]));
    assert_eq!(rounds.failed(all[1], Time(0)), Some(all[2]));
    assert_eq!(rounds.failed(all[2], Time(0)), None);
    assert_eq!(rounds.wake(Time(1)), Some(all[0]));
    assert_eq!(rounds.wake(Time(50)), None, "the turn is still held");
    assert_eq!(rounds.wake(Time(101)), Some(all[1]), "the next one is tried");
}
