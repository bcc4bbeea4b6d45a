//! The queue of one class: deficit round robin among teams, and earliest deadline first within a
//! team.

use std::time::Duration;

use ident::{Name, RequestId, Time};

/// Prompt tokens that a team may start in each round.
const QUANTUM_TOKENS: u64 = 8_192;

/// A queued request.
#[derive(Debug, Clone)]
pub(crate) struct Queued {
    pub(crate) id: RequestId,
    pub(crate) team: Name,
    pub(crate) deadline: Time,
    /// Prompt tokens to compute.
    pub(crate) prefill_tokens: u64,
    /// Expected time from the start of the request to its first token.
    pub(crate) first_token: Duration,
}

/// The queued requests that start before another one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ahead {
    /// Number of requests of all teams.
    pub(crate) count: usize,
    /// Prompt tokens to compute of the same team's requests.
    pub(crate) prefill_tokens: u64,
}

/// The queued requests of one team. Invariants: `requests` is not empty and is sorted by deadline,
/// then by id.
#[derive(Debug)]
struct TeamQueue {
    team: Name,
    /// Prompt tokens that the team may still start in this round.
    deficit: u64,
    requests: Vec<Queued>,
}

/// The queue of one class. Invariants: `queues` is sorted by team; `len` is the number of requests.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    queues: Vec<TeamQueue>,
    /// Index of the team whose turn it is.
    cursor: usize,
    len: usize,
}

impl ClassQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, request: Queued) {
        let at = match self.queues.binary_search_by(|q| q.team.cmp(&request.team)) {
            Ok(at) => at,
            Err(at) => {
                self.insert_queue(at, request.team.clone());
                at
            }
        };
        let requests = &mut self.queues[at].requests;
        let place =
            requests.partition_point(|r| (r.deadline, r.id) < (request.deadline, request.id));
        requests.insert(place, request);
        self.len += 1;
    }

    fn insert_queue(&mut self, at: usize, team: Name) {
        self.queues.insert(at, TeamQueue { team, deficit: QUANTUM_TOKENS, requests: Vec::new() });
        if at < self.cursor {
            self.cursor += 1;
        }
    }

    fn remove_queue(&mut self, at: usize) {
        self.queues.remove(at);
        if at < self.cursor {
            self.cursor -= 1;
        }
    }

    /// Removes and returns the next request of the teams for which `may_start` returns true; `None`
    /// if they have none.
    pub(crate) fn pop<F>(&mut self, may_start: F) -> Option<Queued>
    where
        F: Fn(&Name) -> bool,
    {
        if !self.is_ready(&may_start) {
            return None;
        }
        loop {
            self.cursor %= self.queues.len();
            let queue = &mut self.queues[self.cursor];
            if !may_start(&queue.team) {
                self.cursor += 1;
                continue;
            }
            let prefill_tokens = queue.requests[0].prefill_tokens;
            if queue.deficit < prefill_tokens {
                queue.deficit += QUANTUM_TOKENS;
                self.cursor += 1;
                continue;
            }
            queue.deficit -= prefill_tokens;
            return Some(self.take(self.cursor, 0));
        }
    }

    /// Whether a team for which `may_start` returns true has a request.
    pub(crate) fn is_ready<F>(&self, may_start: F) -> bool
    where
        F: Fn(&Name) -> bool,
    {
        self.queues.iter().any(|q| may_start(&q.team))
    }

    fn take(&mut self, team: usize, index: usize) -> Queued {
        let out = self.queues[team].requests.remove(index);
        self.len -= 1;
        if self.queues[team].requests.is_empty() {
            self.remove_queue(team);
        }
        out
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Queued> {
        let find = |q: &TeamQueue| q.requests.iter().position(|r| r.id == id);
        let (team, index) =
            self.queues.iter().enumerate().find_map(|(at, q)| find(q).map(|i| (at, i)))?;
        Some(self.take(team, index))
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.queues.iter().any(|q| q.requests.iter().any(|r| r.id == id))
    }

    /// Returns what starts before a request of `team` with `deadline` that is queued now.
    pub(crate) fn ahead(&self, team: &Name, deadline: Time) -> Ahead {
        let queue = self.queues.iter().find(|q| q.team == *team);
        let requests = queue.iter().flat_map(|q| &q.requests);
        let (own, prefill_tokens) = requests
            .take_while(|r| r.deadline <= deadline)
            .fold((0, 0), |(count, prefill_tokens), r| {
                (count + 1, prefill_tokens + r.prefill_tokens)
            });
        let others = self.queues.iter().filter(|q| q.team != *team);
        let count = own + others.map(|q| q.requests.len().min(own + 1)).sum::<usize>();
        Ahead { count, prefill_tokens }
    }

    /// Number of requests of `team`.
    pub(crate) fn len_of(&self, team: &Name) -> usize {
        self.queues.iter().find(|q| q.team == *team).map_or(0, |q| q.requests.len())
    }

    /// Number of teams with requests.
    pub(crate) fn teams(&self) -> usize {
        self.queues.len()
    }

    /// Removes and returns all requests that can't be answered in time even if they start now.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Queued> {
        let mut out = Vec::new();
        for queue in &mut self.queues {
            let is_late = |r: &mut Queued| now.after(r.first_token) > r.deadline;
            out.extend(queue.requests.extract_if(.., is_late));
        }
        self.len -= out.len();
        for at in (0..self.queues.len()).rev() {
            if self.queues[at].requests.is_empty() {
                self.remove_queue(at);
            }
        }
        out
    }
}
