//! Which instances read the sources, and whom the others follow.

use std::{sync::Arc, time::Duration};

use ident::{Time, rendezvous_order};

/// Deployments with at most this many instances need no followers: each instance reads by itself.
const MAX_DIRECT: usize = 12;
/// Most readers of a zone.
const MAX_ZONE_READERS: usize = 3;
/// Key of the rendezvous order of readers.
const KEY: &[u8] = b"feed";
/// Most readers of other zones that a follower tries.
const MAX_FAR: usize = 2;
/// Readers without an answer after which the source itself is asked: the first costs up to 1.3 s, and
/// each other one half a second.
const MAX_LOST: usize = 2;
/// How long a source that did not answer is not preferred to readers.
const SOURCE_TTL: Duration = Duration::from_millis(1500);
/// How long a reader that did not answer is not asked again.
const FAILED_TTL: Duration = Duration::from_secs(4);
/// How long a reader whose word was too old is not asked again. It may only be late.
const STALE_TTL: Duration = Duration::from_millis(1500);

/// An instance that may read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// What an instance does for its knowledge of the sources.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// It reads the sources.
    Reader,
    /// It follows the first of these readers that can be used.
    Follower(Vec<Arc<str>>),
}

/// A reader that is not asked for some time.
#[derive(Debug)]
struct Bar {
    name: Arc<str>,
    until: Time,
    /// Whether the reader answered, and its word was too old.
    is_stale: bool,
}

/// The readers that an instance may follow.
///
/// Invariant: `barred` has each name once.
#[derive(Debug, Default)]
pub struct Readers {
    order: Vec<Arc<str>>,
    /// Readers that are not asked.
    barred: Vec<Bar>,
    /// Whether there are readers to follow; otherwise this instance reads.
    follows: bool,
    /// Time from which the source may be asked before readers that are left.
    source_at: Time,
}

/// The readers of a zone: the first `count` in rendezvous order.
fn zone_readers<'m>(members: &'m [Member], zone: &str, count: usize) -> Vec<&'m Member> {
    let members: Vec<&Member> = members.iter().filter(|m| *m.zone == *zone).collect();
    rendezvous_order(KEY, &members, |m| &m.name).into_iter().take(count).copied().collect()
}

impl Role {
    /// The role of the instance `own` among `members`, itself included, if the sources take `polls`
    /// calls at once. It depends on the members only, so that instances that know the same ones
    /// agree.
    pub fn new(own: &Member, members: &[Member], polls: usize) -> Self {
        if members.len() <= MAX_DIRECT {
            return Self::Reader;
        }
        let mut zones: Vec<Arc<str>> = members.iter().map(|m| m.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        let count = (polls / zones.len()).clamp(1, MAX_ZONE_READERS);
        let near = zone_readers(members, &own.zone, count);
        if near.iter().any(|m| m.name == own.name) {
            return Self::Reader;
        }
        let others = zones.iter().filter(|zone| **zone != own.zone);
        let far: Vec<&Member> =
            others.flat_map(|zone| zone_readers(members, zone, count)).collect();
        // By its own name, so that the followers of a lost reader turn to different ones.
        let by_own = |list: Vec<&Member>| -> Vec<Arc<str>> {
            let order = rendezvous_order(own.name.as_bytes(), &list, |m| &m.name);
            order.into_iter().map(|m| m.name.clone()).collect()
        };
        let mut order = by_own(near);
        order.extend(by_own(far).into_iter().take(MAX_FAR));
        Self::Follower(order)
    }
}

impl Readers {
    /// Sets the role of this instance. Readers that are barred stay so.
    pub fn set(&mut self, role: Role) {
        (self.follows, self.order) = match role {
            Role::Reader => (false, Vec::new()),
            Role::Follower(order) => (true, order),
        };
    }

    /// Whether this instance is no reader.
    pub fn follows(&self) -> bool {
        self.follows
    }

    /// The reader to ask now; `None` if this instance must ask the source itself.
    pub fn choose(&self, now: Time) -> Option<Arc<str>> {
        let barred =
            |name: &Arc<str>| self.barred.iter().find(|b| b.name == *name && !b.until.passed(now));
        let lost = self.order.iter().filter_map(barred).filter(|b| !b.is_stale).count();
        if lost >= MAX_LOST && self.source_at.passed(now) {
            return None;
        }
        self.order.iter().find(|name| barred(name).is_none()).cloned()
    }

    /// Records that the source itself did not answer this instance.
    pub fn source_failed(&mut self, now: Time) {
        self.source_at = now.after(SOURCE_TTL);
    }

    /// Records that a reader did not answer.
    pub fn failed(&mut self, name: &Arc<str>, now: Time) {
        self.bar(name, now.after(FAILED_TTL), false, now);
    }

    /// Records that a reader's word was too old.
    pub fn stale(&mut self, name: &Arc<str>, now: Time) {
        self.bar(name, now.after(STALE_TTL), true, now);
    }

    /// Allows readers again whose word was too old: the source has returned.
    pub fn source_returned(&mut self) {
        self.barred.retain(|b| !b.is_stale);
        self.source_at = Time(0);
    }

    fn bar(&mut self, name: &Arc<str>, until: Time, is_stale: bool, now: Time) {
        self.barred.retain(|b| b.name != *name && !b.until.passed(now));
        self.barred.push(Bar { name: name.clone(), until, is_stale });
    }
}
