//! The replicas an instance knows.

use std::{net::SocketAddr, time::Duration};

use ident::{Class, Name, Time};

use crate::{End, Load, Replica, Ticket, health::Standing, replica::Usual};

/// Mean prompt tokens of a request before any was sent.
const FIRST_MEAN: f64 = 2_000.0;
/// Share of interactive requests before any was sent.
const FIRST_URGENT: f64 = 0.5;
/// How long a replica's word that it leaves holds against later reports that it does not.
const LEAVE_TERM: Duration = Duration::from_secs(30);
/// Weight of a new request in the mean.
const MEAN_GAIN: f64 = 0.02;

/// A replica in the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Unique name.
    pub name: Name,
    /// The target it belongs to.
    pub target: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether the list says that it leaves.
    pub leaving: bool,
}

/// The replicas an instance knows.
///
/// Invariants: replicas are sorted by name; a replica that left the list is kept, without new
/// work, until the instance's last request at it has ended.
#[derive(Debug)]
pub struct Pool {
    replicas: Vec<Replica>,
    next: u64,
    /// Mean prompt tokens to compute of this instance's requests.
    mean: f64,
    /// Share of interactive ones among them.
    urgent: f64,
}

impl Default for Pool {
    fn default() -> Self {
        Self { replicas: Vec::new(), next: 0, mean: FIRST_MEAN, urgent: FIRST_URGENT }
    }
}

impl Pool {
    /// All replicas, sorted by name.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// A replica by name.
    pub fn find(&self, name: &Name) -> Option<&Replica> {
        self.at(name).map(|at| &self.replicas[at])
    }

    /// What is usual among `replicas`.
    pub(crate) fn usual<'p, I>(&self, replicas: I) -> Usual
    where
        I: Iterator<Item = &'p Replica>,
    {
        let (sum, count) = replicas.fold((0, 0_u32), |(sum, n), r| (sum + r.others(), n + 1));
        let others = f64::from(sum) / f64::from(count.max(1));
        Usual { tokens: self.mean as u32, others, urgent: self.urgent }
    }

    /// Prompt tokens that could be sent to `targets` now until the expected queue of an average
    /// replica is `limit`. Replicas that get no new work do not count.
    pub fn room(&self, targets: &[Name], limit: Duration, now: Time) -> u64 {
        let usual = self.usual(self.open(targets, now));
        let one = |r: &Replica| {
            let queue = r.queue(Class::Batch, &usual, now);
            (limit.as_secs_f64() - queue.as_secs_f64()) * f64::from(r.load.prefill_rate)
        };
        self.open(targets, now).map(one).sum::<f64>().max(0.0) as u64
    }

    /// Prompt tokens per second that those replicas of `targets` compute that take new work.
    pub fn rate(&self, targets: &[Name], now: Time) -> u64 {
        self.open(targets, now).map(|r| u64::from(r.load.prefill_rate)).sum()
    }

    fn open(&self, targets: &[Name], now: Time) -> impl Iterator<Item = &Replica> {
        let is_open = move |r: &&Replica| {
            let is_paused = matches!(r.standing(now), Standing::Paused(_));
            targets.contains(&r.target) && !r.is_leaving() && !is_paused
        };
        self.replicas.iter().filter(is_open)
    }

    /// Takes over the platform's list. An empty list is ignored while replicas are known: a list
    /// that lost everything is more likely than replicas that all left at once.
    pub fn sync_list(&mut self, entries: Vec<Entry>, _now: Time) {
        if entries.is_empty() {
            return;
        }
        for replica in &mut self.replicas {
            replica.leave.listed = true;
        }
        for entry in entries {
            self.put(entry);
        }
        self.replicas.retain(|r| !r.leave.listed || r.own() > 0 || r.leave.withdrawn);
    }

    fn put(&mut self, entry: Entry) {
        match self.replicas.binary_search_by(|r| r.name.cmp(&entry.name)) {
            Ok(at) if self.replicas[at].addr == entry.addr => {
                let replica = &mut self.replicas[at];
                replica.target = entry.target;
                replica.zone = entry.zone;
                replica.leave.listed = entry.leaving;
            }
            Ok(at) => self.replicas[at] = Replica::new(entry),
            Err(at) => self.replicas.insert(at, Replica::new(entry)),
        }
    }

    /// Sets which replicas the operators have withdrawn; all others are not.
    pub fn withdraw(&mut self, names: &[Name]) {
        for replica in &mut self.replicas {
            replica.leave.withdrawn = names.contains(&replica.name);
        }
    }

    /// The replica itself said that it leaves.
    pub fn left(&mut self, name: &Name, now: Time) {
        if let Some(at) = self.at(name) {
            self.replicas[at].leave.said = Some(now);
        }
    }

    /// The replica says that it does not leave. Believed once it has said nothing else for
    /// [`LEAVE_TERM`]: reports lag, and may be older than its word that it leaves.
    pub fn stays(&mut self, name: &Name, now: Time) {
        if let Some(at) = self.at(name) {
            let said = &mut self.replicas[at].leave.said;
            *said = said.filter(|at| !at.after(LEAVE_TERM).passed(now));
        }
    }

    /// Takes a load report; an older one than the last is ignored.
    pub fn report(&mut self, name: &Name, load: Load, _now: Time) {
        let Some(at) = self.at(name) else { return };
        let replica = &mut self.replicas[at];
        if load.at >= replica.load.at {
            let prefill_rate = match load.prefill_rate {
                0 => replica.load.prefill_rate,
                rate => rate,
            };
            replica.load = Load { prefill_rate, ..load };
        }
    }

    /// Notes which weight version a replica serves; `None` when it is not known.
    pub fn serves(&mut self, name: &Name, weights: Option<Name>) {
        if let Some(at) = self.at(name) {
            self.replicas[at].weights = weights;
        }
    }

    /// Notes that a request with `tokens` prompt tokens to compute is sent to a replica; `None`
    /// when the replica is no longer known or leaves, so that the request must not be sent.
    pub fn started(&mut self, name: &Name, tokens: u32, class: Class, now: Time) -> Option<Ticket> {
        let at = self.at(name)?;
        if self.replicas[at].is_leaving() {
            return None;
        }
        self.next += 1;
        self.mean += (f64::from(tokens) - self.mean) * MEAN_GAIN;
        let urgent = if class == Class::Interactive { 1.0 } else { 0.0 };
        self.urgent += (urgent - self.urgent) * MEAN_GAIN;
        Some(self.replicas[at].start(self.next, tokens, class, now))
    }

    /// Notes the first token of a request.
    pub fn first_token(&mut self, ticket: &Ticket, now: Time) {
        if let Some(at) = self.at(&ticket.replica) {
            self.replicas[at].first_token(ticket.id, now);
        }
    }

    /// Notes the end of a request.
    pub fn ended(&mut self, ticket: Ticket, end: End, now: Time) {
        let Some(at) = self.at(&ticket.replica) else { return };
        self.replicas[at].end(&ticket, end, now);
        let replica = &self.replicas[at];
        if replica.leave.listed && replica.own() == 0 && !replica.leave.withdrawn {
            self.replicas.remove(at);
        }
    }

    fn at(&self, name: &Name) -> Option<usize> {
        self.replicas.binary_search_by(|r| r.name.cmp(name)).ok()
    }
}
