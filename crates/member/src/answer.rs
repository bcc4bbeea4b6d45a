//! Which instances a caller is told to use.

use std::{cmp::Reverse, net::SocketAddr};

use ident::{Name, Time, rank, top};

use crate::{ADDRESS_TERM, MAX_ADDRESSES, Members};

/// One address of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// Name of the instance.
    pub name: Name,
    /// Where callers connect.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// It is one of the team's home instances.
    pub home: bool,
}

/// The addresses a caller may use, best first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The addresses; empty when no instance takes work.
    pub addresses: Vec<Address>,
    /// When the caller has to ask again.
    pub expires: Time,
}

/// Where an instance stands among those that serve a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its position, from 0. Invariant: below `members`.
    pub rank: usize,
    /// How many instances are homes of the team; they have the first positions. At least 1.
    pub homes: usize,
    /// How many instances there are.
    pub members: usize,
}

/// An instance that takes work.
#[derive(Debug, Clone)]
struct Node {
    name: Name,
    zone: Name,
    addr: SocketAddr,
}

impl Members {
    /// The names of the instances that take work, this one included. Sorted.
    pub fn serving(&self, now: Time) -> Vec<Name> {
        self.nodes(now).into_iter().map(|n| n.name).collect()
    }

    fn nodes(&self, now: Time) -> Vec<Node> {
        let mut out: Vec<_> = self
            .peers
            .iter()
            .filter(|p| p.serves(now))
            .map(|p| Node { name: p.name.clone(), zone: p.zone.clone(), addr: p.addr })
            .collect();
        if self.leaving.is_none() && self.takes_work(now) {
            let at = out.partition_point(|n| n.name < self.me.name);
            let (name, zone) = (self.me.name.clone(), self.me.zone.clone());
            out.insert(at, Node { name, zone, addr: self.me.addr });
        }
        out
    }

    /// The addresses for a context of a team, whose contexts are spread over `spread` homes.
    /// `context` is empty when the caller names none; `near` is the caller's zone.
    ///
    /// Each of the team's `spread` slots has its own rendezvous order of all instances, and each
    /// context its order of the slots. So a lost instance moves only its own contexts, and one
    /// slot more moves only that slot's share. Two slots may meet on one instance.
    ///
    /// First comes the home of the context's first slot, then the team's other homes, then
    /// fallbacks in that slot's order; nearest zone first where the order is free.
    pub fn answer(
        &mut self,
        team: &Name,
        context: &str,
        spread: u8,
        near: Option<&Name>,
        now: Time,
    ) -> Answer {
        let nodes = self.nodes(now);
        let expires = now.after(ADDRESS_TERM);
        let picked = pick(&nodes, team, context, spread, near);
        assert!(picked.len() <= MAX_ADDRESSES, "an answer is bounded");
        let own = picked.iter().any(|a| a.name == self.me.name);
        assert!(!(own && self.leaving.is_some()), "a leaving instance is not named");
        if own {
            self.named = self.named.max(expires);
        }
        Answer { addresses: picked, expires }
    }

    /// Whether this instance is one of the team's homes.
    pub fn is_home(&self, team: &Name, spread: u8, now: Time) -> bool {
        homes(&self.nodes(now), team, spread).iter().any(|n| n.name == self.me.name)
    }

    /// Where this instance stands among those that serve a team: its homes first, then the others.
    /// An instance that takes no work counts as the last of the others.
    pub fn place(&self, team: &Name, spread: u8, now: Time) -> Place {
        let nodes = self.nodes(now);
        let homes = homes(&nodes, team, spread);
        let is_me = |n: &Node| n.name == self.me.name;
        let mut others = nodes.iter().filter(|n| homes.iter().all(|h| h.name != n.name));
        let rank = match homes.iter().position(|n| is_me(n)) {
            Some(rank) => rank,
            None => homes.len() + others.position(is_me).unwrap_or(nodes.len() - homes.len()),
        };
        Place { rank, homes: homes.len().max(1), members: nodes.len().max(rank + 1) }
    }

    /// How many instances are homes of the team; at least 1.
    pub fn home_count(&self, team: &Name, spread: u8, now: Time) -> usize {
        homes(&self.nodes(now), team, spread).len().max(1)
    }
}

fn slot_key(team: &Name, slot: &str) -> String {
    format!("{team}/{slot}")
}

fn slots(spread: u8) -> Vec<String> {
    (0..spread.max(1)).map(|s| s.to_string()).collect()
}

/// The distinct homes of a team, in order of its slots.
fn homes<'a>(nodes: &'a [Node], team: &Name, spread: u8) -> Vec<&'a Node> {
    in_order(nodes, team, &slots(spread).iter().collect::<Vec<_>>())
}

fn in_order<'a>(nodes: &'a [Node], team: &Name, slots: &[&String]) -> Vec<&'a Node> {
    let mut out: Vec<&Node> = Vec::with_capacity(slots.len());
    for slot in slots {
        let node = top(slot_key(team, slot).as_bytes(), nodes, |n| n.name.as_str());
        out.extend(node.filter(|n| out.iter().all(|o| o.name != n.name)));
    }
    out
}

fn pick(
    nodes: &[Node],
    team: &Name,
    context: &str,
    spread: u8,
    near: Option<&Name>,
) -> Vec<Address> {
    let slots = slots(spread);
    let order = rank(format!("{team}/{context}").as_bytes(), &slots, |s| s.as_str());
    let mut homes = in_order(nodes, team, &order);
    let free = usize::from(!context.is_empty()).min(homes.len());
    let far = |n: &&Node| Reverse(near == Some(&n.zone));
    homes[free..].sort_by_key(far);
    let mut rest = rank(slot_key(team, order[0]).as_bytes(), nodes, |n| n.name.as_str());
    rest.retain(|n| homes.iter().all(|h| h.name != n.name));
    rest.sort_by_key(far);
    homes.truncate(MAX_ADDRESSES - 2);
    let home = homes.len();
    homes
        .into_iter()
        .chain(rest)
        .take(MAX_ADDRESSES)
        .enumerate()
        .map(|(i, n)| Address {
            name: n.name.clone(),
            addr: n.addr,
            zone: n.zone.clone(),
            home: i < home,
        })
        .collect()
}
