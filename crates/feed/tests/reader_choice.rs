//! Who reads, whom the others follow, and what a lost reader costs.

use std::{sync::Arc, time::Duration};

use feed::{Member, Readers, Role};
use ident::Time;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

/// Polls that a store takes from instances.
const POLLS: usize = 10;

fn members(count: usize, zones: usize) -> Vec<Member> {
    let member = |at: usize| Member {
        name: format!("i-{at}").into(),
        zone: format!("z-{}", at % zones).into(),
    };
    (0..count).map(member).collect()
}

fn roles(members: &[Member]) -> Vec<Role> {
    members.iter().map(|own| Role::new(own, members, POLLS)).collect()
}

fn readers(members: &[Member]) -> Vec<Arc<str>> {
    let roles = roles(members);
    let all = members.iter().zip(&roles).filter(|(_, role)| **role == Role::Reader);
    all.map(|(m, _)| m.name.clone()).collect()
}

#[test]
fn few_read_however_many_there_are() {
    for (count, zones) in [(78, 3), (195, 5), (320, 8), (1000, 8)] {
        let members = members(count, zones);
        let readers = readers(&members);
        assert!(readers.len() <= POLLS.max(zones), "{} of {count}", readers.len());
        for role in roles(&members) {
            let Role::Follower(order) = role else { continue };
            assert!(order.len() >= 2 && order.len() <= 5, "{order:?}");
            assert!(order.iter().all(|name| readers.contains(name)), "{order:?} of {readers:?}");
        }
    }
}

#[test]
fn small_deployments_read_by_themselves() {
    for count in [1, 3, 9, 12] {
        assert_eq!(readers(&members(count, 3)).len(), count);
    }
}

#[test]
fn followers_turn_to_readers_of_their_zone_first_and_share_them() {
    let members = members(195, 5);
    let readers = readers(&members);
    let zone = |name: &Arc<str>| &members.iter().find(|m| m.name == *name).expect("known").zone;
    let mut followers = vec![0; readers.len()];
    for (own, role) in members.iter().zip(roles(&members)) {
        let Role::Follower(order) = role else { continue };
        assert_eq!(*zone(&order[0]), own.zone);
        followers[readers.iter().position(|r| *r == order[0]).expect("it reads")] += 1;
    }
    assert!(followers.iter().all(|n| (8..=30).contains(n)), "{followers:?}");
}

#[test]
fn a_lost_reader_moves_its_followers_only() {
    let all = members(195, 5);
    let lost = readers(&all)[3].clone();
    let rest: Vec<Member> = all.iter().filter(|m| m.name != lost).cloned().collect();
    let first = |role: Role| match role {
        Role::Reader => None,
        Role::Follower(order) => Some(order[0].clone()),
    };
    let mut new_readers = 0;
    for own in &rest {
        let (before, after) = (Role::new(own, &all, POLLS), Role::new(own, &rest, POLLS));
        let (before, after) = (first(before), first(after));
        new_readers += usize::from(before.is_some() && after.is_none());
        let zone = &all.iter().find(|m| m.name == lost).expect("known").zone;
        assert!(before == after || own.zone == *zone, "{own:?}");
    }
    assert_eq!(new_readers, 1);
}

#[test]
fn the_order_of_members_does_not_matter() {
    let mut rng = SmallRng::seed_from_u64(7);
    let members = members(320, 8);
    let mut mixed = members.clone();
    mixed.shuffle(&mut rng);
    for own in &members {
        assert_eq!(Role::new(own, &members, POLLS), Role::new(own, &mixed, POLLS));
    }
}

/// Whether a reader answers at a moment, and when the source last answered it.
#[derive(Clone, Copy)]
struct Health {
    answers: bool,
    heard: Time,
}

/// A follower: its readers, the age of its word, and when it asks next.
struct Follower {
    readers: Readers,
    known: Time,
    next: Time,
    /// Whether its last poll was answered, so that the next one waits for a change.
    waits: bool,
}

const TICK: Duration = Duration::from_millis(100);
/// Age from which a reader is left.
const MAX_AGE: Duration = Duration::from_millis(1400);
/// Time until a poll that waits for changes, and one that doesn't, counts as unanswered.
const TIMEOUTS: (Duration, Duration) = (Duration::from_millis(1300), Duration::from_millis(500));
/// Shortest time within which a change must be in force on deployments with followers.
const PROPAGATE: Duration = Duration::from_secs(3);

/// Oldest word of any follower of `count` instances. `bad` says of each reader whether it does not
/// answer, or answers without the source, from the third second on.
fn oldest_word<F>(count: usize, mut bad: F) -> Duration
where
    F: FnMut(usize) -> Option<bool>,
{
    let members = members(count, 3);
    let names = readers(&members);
    let fates: Vec<Option<bool>> = (0..names.len()).map(&mut bad).collect();
    let mut health = vec![Health { answers: true, heard: Time(0) }; names.len()];
    let mut followers: Vec<Follower> = Vec::new();
    for role in roles(&members).into_iter().filter(|role| *role != Role::Reader) {
        let mut readers = Readers::default();
        readers.set(role);
        followers.push(Follower { readers, known: Time(0), next: Time(0), waits: false });
    }
    let mut oldest = Duration::ZERO;
    for tick in 1..150 {
        let now = Time(0).after(TICK * tick);
        for (health, fate) in health.iter_mut().zip(&fates) {
            match fate.filter(|_| tick > 30) {
                None => health.heard = now,
                Some(answers) => health.answers = answers,
            }
        }
        for follower in &mut followers {
            oldest = oldest.max(now.since(follower.known));
            if !follower.next.passed(now) {
                continue;
            }
            let Some(name) = follower.readers.choose(now) else {
                follower.known = now;
                continue;
            };
            let at = names.iter().position(|n| *n == name).expect("it reads");
            if !health[at].answers {
                let timeout = if follower.waits { TIMEOUTS.0 } else { TIMEOUTS.1 };
                follower.next = now.after(timeout);
                follower.waits = false;
                follower.readers.failed(&name, follower.next);
                continue;
            }
            follower.waits = true;
            follower.known = follower.known.max(health[at].heard);
            if now.since(health[at].heard) > MAX_AGE {
                follower.readers.stale(&name, now);
                follower.waits = false;
            }
        }
    }
    oldest
}

#[test]
fn one_bad_reader_at_a_time_keeps_words_young() {
    for count in [13, 78, 195] {
        for at in 0..9 {
            for answers in [true, false] {
                let oldest = oldest_word(count, |reader| (reader == at).then_some(answers));
                assert!(oldest < PROPAGATE, "{count} instances, reader {at}: {oldest:?}");
            }
        }
    }
}

#[test]
fn readers_that_are_lost_together_keep_words_young() {
    for seed in 0..60 {
        for count in [13, 78, 195] {
            let mut rng = SmallRng::seed_from_u64(seed);
            let oldest = oldest_word(count, |_| rng.random_bool(0.6).then_some(false));
            assert!(oldest < PROPAGATE, "seed {seed}, {count} instances: {oldest:?}");
            let oldest = oldest_word(count, |_| rng.random_bool(0.6).then_some(true));
            assert!(oldest < PROPAGATE, "seed {seed}, {count} instances, cut off: {oldest:?}");
        }
    }
}

#[test]
fn without_a_usable_reader_an_instance_reads_itself() {
    let members = members(78, 3);
    let own = &members[5];
    let Role::Follower(order) = Role::new(own, &members, POLLS) else {
        panic!("the sixth of 78 follows");
    };
    let mut readers = Readers::default();
    readers.set(Role::Follower(order.clone()));
    let now = Time(1000);
    for name in &order[..2] {
        assert_eq!(readers.choose(now).as_ref(), Some(name));
        readers.failed(name, now);
    }
    assert_eq!(readers.choose(now), None, "two readers did not answer");
    readers.source_failed(now);
    for name in &order[2..] {
        assert_eq!(readers.choose(now).as_ref(), Some(name), "the source did not answer either");
        readers.failed(name, now);
    }
    assert_eq!(readers.choose(now), None);
    assert!(readers.follows());
    let later = now.after(Duration::from_secs(5));
    assert_eq!(readers.choose(later).as_ref(), order.first());
}

#[test]
fn readers_that_were_only_late_are_followed_again_when_the_source_returns() {
    let members = members(195, 5);
    let at = roles(&members).iter().position(|r| *r != Role::Reader).expect("most follow");
    let mut readers = Readers::default();
    readers.set(roles(&members)[at].clone());
    let now = Time(1_000);
    let first = readers.choose(now).expect("it follows");
    readers.stale(&first, now);
    let second = readers.choose(now).expect("it follows");
    readers.failed(&second, now);
    assert!(readers.choose(now).is_some_and(|third| third != first && third != second));
    readers.source_returned();
    assert_eq!(readers.choose(now), Some(first.clone()));
    readers.stale(&first, now);
    assert!(readers.choose(now).is_some_and(|third| third != second), "it did not answer");
}
