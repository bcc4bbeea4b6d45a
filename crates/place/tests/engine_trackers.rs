//! Trackers of engines: what they count, and what choices by them gain where many instances place long
//! prompts.

use std::{sync::Arc, time::Duration};

use ident::Time;
use place::{Load, Peers, Tracker};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const NOW: Time = Time(1_000_000);

fn load(tokens: u64) -> Load {
    Load { prefill_tokens: tokens, memory_tokens: tokens + 20, requests: 1 }
}

fn peers(count: usize) -> Peers {
    let mut alive: Vec<Arc<str>> = (0..count).map(|n| format!("i-{n:03}").into()).collect();
    alive.sort();
    Peers { own: alive[0].clone(), alive, registered: count }
}

/// Guards against work that stays counted after a request has ended, and against a second release
/// that removes another request.
#[test]
fn work_follows_the_requests() {
    let (mut tracker, engine) = (Tracker::default(), Arc::from("e"));
    let until = NOW.after(Duration::from_secs(6));
    tracker.reserve(1, &engine, load(4_000), until);
    tracker.reserve(2, &engine, load(6_000), until);
    // A datagram may come twice.
    tracker.reserve(2, &engine, load(6_000), until);
    assert_eq!(tracker.work("e", NOW).prefill_tokens, 10_000);
    assert_eq!(tracker.work("other", NOW), Load::default());
    tracker.prefill_done(1);
    let left = Load { prefill_tokens: 6_000, memory_tokens: 10_040, requests: 2 };
    assert_eq!(tracker.work("e", NOW), left);
    tracker.release(1);
    tracker.release(1);
    assert_eq!(tracker.work("e", NOW), load(6_000));
}

/// Guards against reservations that stay for good where the datagram with their release was lost, or
/// their instance was killed.
#[test]
fn lost_releases_end_with_the_deadline() {
    let (mut tracker, engine) = (Tracker::default(), Arc::from("e"));
    tracker.reserve(1, &engine, load(4_000), NOW.after(Duration::from_secs(6)));
    let late = NOW.after(Duration::from_millis(6_001));
    assert_eq!(tracker.work("e", late), Load::default());
    tracker.expire(late);
    assert!(tracker.is_empty());
}

/// Guards against a flood of reservations that takes the memory of a small instance.
#[test]
fn reservations_are_bounded() {
    let (mut tracker, engine) = (Tracker::default(), Arc::from("e"));
    for key in 0..100_000 {
        tracker.reserve(key, &engine, load(1), NOW.after(Duration::from_secs(60)));
    }
    assert!(tracker.len() <= 8192, "{} reservations", tracker.len());
}

/// Guards against trackers that all change when one instance is lost.
#[test]
fn a_lost_instance_moves_its_own_engines_only() {
    let all = peers(110);
    let fewer = Peers { alive: all.alive[1..].to_vec(), ..all.clone() };
    for engine in (0..600).map(|n| format!("e-{n}")) {
        let before = all.tracker(&engine).expect("there are instances");
        if *before != all.alive[0] {
            assert_eq!(fewer.tracker(&engine), Some(before));
        }
    }
    assert_eq!(Peers::default().tracker("e"), None);
}

/// Mean wait behind other prefills, in ms, of long prompts that arrive at random at `rate` times what 43
/// engines prefill. With trackers the engine with the least work of five is chosen, else any.
fn mean_wait(rate: f64, tracked: bool, lost: f64, seed: u64) -> f64 {
    const ENGINES: usize = 43;
    const PROMPTS: u64 = 6_000;
    const PREFILL_MS: f64 = 270.0;
    let mut rng = SmallRng::seed_from_u64(seed);
    let engines: Vec<Arc<str>> = (0..ENGINES).map(|n| format!("e-{n}").into()).collect();
    let mut tracker = Tracker::default();
    let (mut free_at, mut open) = (vec![0.0_f64; ENGINES], Vec::new());
    let (mut now, mut waits) = (0.0_f64, 0.0);
    for key in 0..PROMPTS {
        now += -rng.random::<f64>().ln() * PREFILL_MS / ENGINES as f64 / rate;
        let at = Time(now as u64);
        open.retain(|(done, key)| {
            if *done <= now && rng.random_bool(1.0 - lost) {
                tracker.release(*key);
            }
            *done > now
        });
        let candidates: Vec<usize> = (0..5).map(|_| rng.random_range(0..ENGINES)).collect();
        let work = |engine: &usize| tracker.work(&engines[*engine], at).prefill_tokens;
        let best = if tracked {
            candidates.iter().copied().min_by_key(work).expect("there are candidates")
        } else {
            candidates[0]
        };
        waits += (free_at[best] - now).max(0.0);
        free_at[best] = free_at[best].max(now) + PREFILL_MS;
        tracker.reserve(key, &engines[best], load(17_000), at.after(Duration::from_secs(6)));
        open.push((free_at[best], key));
    }
    waits / PROMPTS as f64
}

/// Guards against long prompts that wait at one engine while others are idle: many instances, each
/// with too few of them to know an engine's work.
#[test]
fn long_prompts_wait_less_with_trackers() {
    for seed in 1..=5 {
        let (blind, tracked) = (mean_wait(0.7, false, 0.0, seed), mean_wait(0.7, true, 0.0, seed));
        assert!(tracked < blind / 4.0, "{tracked} and {blind} ms, seed {seed}");
        // One in twenty releases is lost.
        let lossy = mean_wait(0.7, true, 0.05, seed);
        assert!(lossy < blind / 2.0, "{lossy} and {blind} ms, seed {seed}");
    }
}
