//! The queue of one class: deficit round robin over teams, earliest deadline first within one.

use std::time::Duration;

use ident::{Name, RequestId, Time};

/// Tokens a team may send in each round of the queue.
const QUANTUM: u64 = 8_192;

/// A queued request.
#[derive(Debug, Clone)]
pub(crate) struct Item {
    pub(crate) id: RequestId,
    pub(crate) team: Name,
    pub(crate) deadline: Time,
    /// Prompt tokens to compute.
    pub(crate) cost: u64,
    /// Expected time from its start to its first token.
    pub(crate) service: Duration,
}

/// What is served before another request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ahead {
    /// Requests of all teams.
    pub(crate) count: usize,
    /// Prompt tokens to compute of the same team.
    pub(crate) cost: u64,
}

/// Requests of one team. Invariants: never empty; sorted by deadline, then id.
#[derive(Debug)]
struct Line {
    team: Name,
    /// Tokens the team may still send in this round.
    deficit: u64,
    items: Vec<Item>,
}

/// The queue of one class. Invariants: `lines` is sorted by team; `len` is the number of items.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    lines: Vec<Line>,
    cursor: usize,
    len: usize,
}

impl Lane {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, item: Item) {
        let at = match self.lines.binary_search_by(|l| l.team.cmp(&item.team)) {
            Ok(at) => at,
            Err(at) => {
                self.insert_line(at, item.team.clone());
                at
            }
        };
        let items = &mut self.lines[at].items;
        let place = items.partition_point(|i| (i.deadline, i.id) < (item.deadline, item.id));
        items.insert(place, item);
        self.len += 1;
    }

    fn insert_line(&mut self, at: usize, team: Name) {
        self.lines.insert(at, Line { team, deficit: QUANTUM, items: Vec::new() });
        if at < self.cursor {
            self.cursor += 1;
        }
    }

    fn remove_line(&mut self, at: usize) {
        self.lines.remove(at);
        if at < self.cursor {
            self.cursor -= 1;
        }
    }

    /// Takes the next request in turn of the teams that `may` start one.
    pub(crate) fn pop<F>(&mut self, may: F) -> Option<Item>
    where
        F: Fn(&Name) -> bool,
    {
        if !self.is_ready(&may) {
            return None;
        }
        loop {
            self.cursor %= self.lines.len();
            let line = &mut self.lines[self.cursor];
            if !may(&line.team) {
                self.cursor += 1;
                continue;
            }
            let cost = line.items[0].cost;
            if line.deficit < cost {
                line.deficit += QUANTUM;
                self.cursor += 1;
                continue;
            }
            line.deficit -= cost;
            return Some(self.take(self.cursor, 0));
        }
    }

    /// Whether a team that `may` start a request has one.
    pub(crate) fn is_ready<F>(&self, may: F) -> bool
    where
        F: Fn(&Name) -> bool,
    {
        self.lines.iter().any(|l| may(&l.team))
    }

    fn take(&mut self, line: usize, item: usize) -> Item {
        let out = self.lines[line].items.remove(item);
        self.len -= 1;
        if self.lines[line].items.is_empty() {
            self.remove_line(line);
        }
        out
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Item> {
        let find = |l: &Line| l.items.iter().position(|i| i.id == id);
        let (line, item) =
            self.lines.iter().enumerate().find_map(|(at, l)| find(l).map(|i| (at, i)))?;
        Some(self.take(line, item))
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.lines.iter().any(|l| l.items.iter().any(|i| i.id == id))
    }

    /// What is served before a request of `team` with `deadline` queued now.
    pub(crate) fn ahead(&self, team: &Name, deadline: Time) -> Ahead {
        let line = self.lines.iter().find(|l| l.team == *team);
        let items = line.iter().flat_map(|l| &l.items);
        let (own, cost) = items
            .take_while(|i| i.deadline <= deadline)
            .fold((0, 0), |(count, cost), i| (count + 1, cost + i.cost));
        let others = self.lines.iter().filter(|l| l.team != *team);
        let count = own + others.map(|l| l.items.len().min(own + 1)).sum::<usize>();
        Ahead { count, cost }
    }

    /// Requests of `team`.
    pub(crate) fn len_of(&self, team: &Name) -> usize {
        self.lines.iter().find(|l| l.team == *team).map_or(0, |l| l.items.len())
    }

    /// Teams with requests.
    pub(crate) fn teams(&self) -> usize {
        self.lines.len()
    }

    /// Takes out all requests that can't be answered in time even if they started now.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Item> {
        let mut out = Vec::new();
        for line in &mut self.lines {
            let is_late = |i: &mut Item| now.after(i.service) > i.deadline;
            out.extend(line.items.extract_if(.., is_late));
        }
        self.len -= out.len();
        for at in (0..self.lines.len()).rev() {
            if self.lines[at].items.is_empty() {
                self.remove_line(at);
            }
        }
        out
    }
}
