//! Queued requests of several teams: deficit round robin among the teams, and the lowest key first
//! within a team. The gate and the queues of targets share it.

use std::fmt::Debug;

/// A request in a [`TurnQueue`].
pub(crate) trait Item {
    /// Identifies the request within the queue.
    type Id: Copy + Ord;
    /// Name of a team.
    type Team: Clone + Ord + Debug;

    fn id(&self) -> Self::Id;

    fn team(&self) -> &Self::Team;

    /// Requests of one team start in ascending order of their keys, then of their ids.
    fn key(&self) -> u64;

    /// Work that the request takes from its team's turn.
    fn work(&self) -> u64;
}

/// The queued requests that start before another one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ahead {
    /// Number of requests of all teams.
    pub(crate) count: usize,
    /// Work of the same team's requests.
    pub(crate) work: u64,
}

/// The queued requests of one team. Invariants: `requests` is not empty and is sorted by key, then
/// by id.
#[derive(Debug)]
struct TeamQueue<T: Item> {
    team: T::Team,
    /// Work that the team may still start in this round.
    deficit: u64,
    requests: Vec<T>,
}

/// The queued requests of several teams. Invariants: `queues` is sorted by team; `len` is the number
/// of requests.
#[derive(Debug)]
pub(crate) struct TurnQueue<T: Item> {
    queues: Vec<TeamQueue<T>>,
    /// Work that a team may start in each round.
    quantum: u64,
    /// Index of the team whose turn it is.
    cursor: usize,
    len: usize,
}

impl<T: Item> TurnQueue<T> {
    /// Creates an empty queue. `quantum` must be above 0.
    pub(crate) fn new(quantum: u64) -> Self {
        Self { queues: Vec::new(), quantum, cursor: 0, len: 0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, request: T) {
        let at = match self.queues.binary_search_by(|q| q.team.cmp(request.team())) {
            Ok(at) => at,
            Err(at) => {
                self.insert_queue(at, request.team().clone());
                at
            }
        };
        let requests = &mut self.queues[at].requests;
        let key = |r: &T| (r.key(), r.id());
        let place = requests.partition_point(|r| key(r) < key(&request));
        requests.insert(place, request);
        self.len += 1;
    }

    fn insert_queue(&mut self, at: usize, team: T::Team) {
        let queue = TeamQueue { team, deficit: self.quantum, requests: Vec::new() };
        self.queues.insert(at, queue);
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

    /// Moves the turn to the next team that may start its first request: `may_start` returns true
    /// for it, and the rest of its turn covers the request's work. Returns its index, or `None` if
    /// `may_start` returns true for no team. Without other changes, a second call returns the same.
    fn settle<F>(&mut self, may_start: F) -> Option<usize>
    where
        F: Fn(&T::Team) -> bool,
    {
        if !self.is_ready(&may_start) {
            return None;
        }
        loop {
            self.cursor %= self.queues.len();
            let queue = &mut self.queues[self.cursor];
            if !may_start(&queue.team) {
                self.cursor += 1;
            } else if queue.deficit < queue.requests[0].work() {
                queue.deficit += self.quantum;
                self.cursor += 1;
            } else {
                return Some(self.cursor);
            }
        }
    }

    /// Removes and returns the next request of the teams for which `may_start` returns true; `None`
    /// if they have none.
    pub(crate) fn pop<F>(&mut self, may_start: F) -> Option<T>
    where
        F: Fn(&T::Team) -> bool,
    {
        let at = self.settle(may_start)?;
        let id = self.queues[at].requests[0].id();
        self.start(id)
    }

    /// Removes a request that starts, and takes its work from its team's turn.
    pub(crate) fn start(&mut self, id: T::Id) -> Option<T> {
        let (team, index) = self.find(id)?;
        let queue = &mut self.queues[team];
        queue.deficit = queue.deficit.saturating_sub(queue.requests[index].work());
        Some(self.take(team, index))
    }

    /// Appends up to `max` requests to `out`, in the order in which they would start: the teams'
    /// first requests from the team whose turn it is, then their second ones, and so on.
    pub(crate) fn next(&mut self, max: usize, out: &mut Vec<T::Id>) {
        if self.settle(|_| true).is_none() {
            return;
        }
        let (end, teams) = (out.len() + max.min(self.len), self.queues.len());
        for depth in 0.. {
            for at in (self.cursor..teams).chain(0..self.cursor) {
                if out.len() >= end {
                    return;
                }
                out.extend(self.queues[at].requests.get(depth).map(T::id));
            }
        }
    }

    /// Whether a team for which `may_start` returns true has a request.
    pub(crate) fn is_ready<F>(&self, may_start: F) -> bool
    where
        F: Fn(&T::Team) -> bool,
    {
        self.queues.iter().any(|q| may_start(&q.team))
    }

    fn find(&self, id: T::Id) -> Option<(usize, usize)> {
        let find = |q: &TeamQueue<T>| q.requests.iter().position(|r| r.id() == id);
        self.queues.iter().enumerate().find_map(|(at, q)| find(q).map(|i| (at, i)))
    }

    fn take(&mut self, team: usize, index: usize) -> T {
        let out = self.queues[team].requests.remove(index);
        self.len -= 1;
        if self.queues[team].requests.is_empty() {
            self.remove_queue(team);
        }
        out
    }

    pub(crate) fn remove(&mut self, id: T::Id) -> Option<T> {
        let (team, index) = self.find(id)?;
        Some(self.take(team, index))
    }

    pub(crate) fn contains(&self, id: T::Id) -> bool {
        self.find(id).is_some()
    }

    /// All requests, by team and key.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &T> {
        self.queues.iter().flat_map(|q| &q.requests)
    }

    /// Changes the keys of all requests. The teams' turns stay.
    pub(crate) fn rekey<F>(&mut self, mut change: F)
    where
        F: FnMut(&mut T),
    {
        for queue in &mut self.queues {
            queue.requests.iter_mut().for_each(&mut change);
            queue.requests.sort_by_key(|r| (r.key(), r.id()));
        }
    }

    /// Returns what starts before a request of `team` with `key` that is queued now.
    pub(crate) fn ahead(&self, team: &T::Team, key: u64) -> Ahead {
        let queue = self.queues.iter().find(|q| q.team == *team);
        let requests = queue.iter().flat_map(|q| &q.requests);
        let (own, work) = requests
            .take_while(|r| r.key() <= key)
            .fold((0, 0), |(count, work), r| (count + 1, work + r.work()));
        let others = self.queues.iter().filter(|q| q.team != *team);
        let count = own + others.map(|q| q.requests.len().min(own + 1)).sum::<usize>();
        Ahead { count, work }
    }

    /// Number of requests of `team`.
    pub(crate) fn len_of(&self, team: &T::Team) -> usize {
        self.queues.iter().find(|q| q.team == *team).map_or(0, |q| q.requests.len())
    }

    /// Number of teams with requests.
    pub(crate) fn teams(&self) -> usize {
        self.queues.len()
    }

    /// Removes and returns all requests for which `is_out` returns true.
    pub(crate) fn extract<F>(&mut self, is_out: F) -> Vec<T>
    where
        F: Fn(&T) -> bool,
    {
        let mut out = Vec::new();
        for queue in &mut self.queues {
            out.extend(queue.requests.extract_if(.., |r| is_out(r)));
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
