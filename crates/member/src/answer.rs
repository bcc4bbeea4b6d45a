//! Selects the instances that a caller is told to use.

use std::{cmp::Reverse, net::SocketAddr};

use ident::{Name, Time, rendezvous_first, rendezvous_order};

use crate::{ADDRESS_TTL, MAX_ADDRESSES, Members};

/// Address of one instance in an [`Answer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// Name of the instance.
    pub name: Name,
    /// The HTTP address that callers connect to.
    pub addr: SocketAddr,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Whether the instance is one of the team's home instances.
    pub home: bool,
}

/// The addresses that a caller may use, best first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The addresses; empty when no instance takes work.
    pub addresses: Vec<Address>,
    /// When the answer expires and the caller has to ask again.
    pub expires: Time,
}

/// Position of an instance among those that serve a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamRank {
    /// Position of the instance, counted from 0. Invariant: below `members`.
    pub rank: usize,
    /// Number of home instances of the team, at least 1. They have the first positions.
    pub homes: usize,
    /// Number of instances.
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
    /// Names of the instances that take work, including this one if it does. Sorted.
    pub fn serving(&self, now: Time) -> Vec<Name> {
        self.nodes(now).into_iter().map(|n| n.name).collect()
    }

    /// The instances that take work. Sorted by name.
    fn nodes(&self, now: Time) -> Vec<Node> {
        let mut out: Vec<_> = self
            .peers
            .iter()
            .filter(|p| p.serves(now))
            .map(|p| Node { name: p.name.clone(), zone: p.zone.clone(), addr: p.addr })
            .collect();
        if self.leave_incarnation.is_none() && self.takes_work(now) {
            let at = out.partition_point(|n| n.name < self.local.name);
            let (name, zone) = (self.local.name.clone(), self.local.zone.clone());
            out.insert(at, Node { name, zone, addr: self.local.addr });
        }
        out
    }

    /// Returns the addresses for a context of a team. The team's contexts are spread over `spread`
    /// home instances. `context` is empty if the caller names none; all homes are then sorted by
    /// zone, the first one too. `near` is the caller's zone, if it is known.
    ///
    /// Each of the team's `spread` slots has its own rendezvous order of all instances, and each
    /// context has its own order of the slots. So the loss of an instance moves only the contexts
    /// on it, and one more slot moves only the share of that slot. Two slots may be on the same
    /// instance.
    ///
    /// The home of the context's first slot comes first, then the team's other homes, then the
    /// other instances in the order of the first slot. Among the homes after the first, and among
    /// the other instances, those in the caller's zone come first.
    pub fn answer(
        &mut self,
        team: &Name,
        context: &str,
        spread: u8,
        near: Option<&Name>,
        now: Time,
    ) -> Answer {
        let nodes = self.nodes(now);
        let expires = now.after(ADDRESS_TTL);
        let addresses = pick(&nodes, team, context, spread, near);
        assert!(addresses.len() <= MAX_ADDRESSES, "an answer has too many addresses");
        let own = addresses.iter().any(|a| a.name == self.local.name);
        assert!(
            !(own && self.leave_incarnation.is_some()),
            "a leaving instance must not be named in an answer"
        );
        if own {
            self.named_until = self.named_until.max(expires);
        }
        Answer { addresses, expires }
    }

    /// Whether this instance is one of the team's home instances.
    pub fn is_home(&self, team: &Name, spread: u8, now: Time) -> bool {
        homes(&self.nodes(now), team, spread).iter().any(|n| n.name == self.local.name)
    }

    /// Position of this instance among those that serve a team: the team's home instances come
    /// first, then the others. An instance that takes no work counts as the last of the others.
    pub fn team_rank(&self, team: &Name, spread: u8, now: Time) -> TeamRank {
        let nodes = self.nodes(now);
        let homes = homes(&nodes, team, spread);
        let is_me = |n: &Node| n.name == self.local.name;
        let mut others = nodes.iter().filter(|n| homes.iter().all(|h| h.name != n.name));
        let rank = match homes.iter().position(|n| is_me(n)) {
            Some(rank) => rank,
            None => homes.len() + others.position(is_me).unwrap_or(nodes.len() - homes.len()),
        };
        TeamRank { rank, homes: homes.len().max(1), members: nodes.len().max(rank + 1) }
    }

    /// Number of home instances of the team, at least 1.
    pub fn home_count(&self, team: &Name, spread: u8, now: Time) -> usize {
        homes(&self.nodes(now), team, spread).len().max(1)
    }
}

/// Key of a slot in the rendezvous order of the instances.
fn slot_key(team: &Name, slot: &str) -> String {
    format!("{team}/{slot}")
}

/// Names of the slots of a team.
fn slots(spread: u8) -> Vec<String> {
    (0..spread.max(1)).map(|s| s.to_string()).collect()
}

/// The distinct home instances of a team, in the order of its slots.
fn homes<'a>(nodes: &'a [Node], team: &Name, spread: u8) -> Vec<&'a Node> {
    homes_of_slots(nodes, team, &slots(spread).iter().collect::<Vec<_>>())
}

/// The distinct first instances of `slots`, in the order of the slots.
fn homes_of_slots<'a>(nodes: &'a [Node], team: &Name, slots: &[&String]) -> Vec<&'a Node> {
    let mut out: Vec<&Node> = Vec::with_capacity(slots.len());
    for slot in slots {
        let node = rendezvous_first(slot_key(team, slot).as_bytes(), nodes, |n| n.name.as_str());
        out.extend(node.filter(|n| out.iter().all(|o| o.name != n.name)));
    }
    out
}

/// The addresses of an answer; see [`Members::answer`].
fn pick(
    nodes: &[Node],
    team: &Name,
    context: &str,
    spread: u8,
    near: Option<&Name>,
) -> Vec<Address> {
    let slots = slots(spread);
    let order = rendezvous_order(format!("{team}/{context}").as_bytes(), &slots, |s| s.as_str());
    let mut homes = homes_of_slots(nodes, team, &order);
    let fixed = usize::from(!context.is_empty()).min(homes.len());
    let other_zone = |n: &&Node| Reverse(near == Some(&n.zone));
    homes[fixed..].sort_by_key(other_zone);
    let mut rest =
        rendezvous_order(slot_key(team, order[0]).as_bytes(), nodes, |n| n.name.as_str());
    rest.retain(|n| homes.iter().all(|h| h.name != n.name));
    rest.sort_by_key(other_zone);
    // Two addresses are kept for instances that are not homes.
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
