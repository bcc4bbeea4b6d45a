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
    /// Tokens.
    pub(crate) cost: u64,
    /// Expected time from its start to its first token.
    pub(crate) service: Duration,
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

    /// Takes the next request in turn.
    pub(crate) fn pop(&mut self) -> Option<Item> {
        if self.len == 0 {
            assert!(self.lines.is_empty(), "an empty queue has no lines");
            return None;
        }
        loop {
            self.cursor %= self.lines.len();
            let line = &mut self.lines[self.cursor];
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

    /// Number of requests that are served before one of `team` with `deadline` queued now.
    pub(crate) fn ahead(&self, team: &Name, deadline: Time) -> usize {
        let Ok(at) = self.lines.binary_search_by(|l| l.team.cmp(team)) else {
            return self.lines.len();
        };
        let own = self.lines[at].items.partition_point(|i| i.deadline <= deadline);
        let others = self.lines.iter().enumerate().filter(|(i, _)| *i != at);
        own + others.map(|(_, l)| l.items.len().min(own + 1)).sum::<usize>()
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
