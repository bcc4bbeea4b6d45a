//! The replicas that an instance knows.

use std::{net::SocketAddr, time::Duration};

use ident::{Class, Name, Time};

use crate::{End, Load, Replica, Ticket, health::HealthState, replica::Averages};

/// Assumed mean number of prompt tokens per request before the first request.
const INITIAL_MEAN_TOKENS: f64 = 2_000.0;
/// Assumed share of interactive requests before the first request.
const INITIAL_INTERACTIVE_SHARE: f64 = 0.5;
/// How long a replica's report that it leaves overrides later reports that it does not.
const LEAVE_REPORT_TTL: Duration = Duration::from_secs(30);
/// Weight of a new request in the moving averages.
const AVERAGE_ALPHA: f64 = 0.02;

/// A replica in the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Unique name of the replica.
    pub name: Name,
    /// Target that the replica belongs to.
    pub target: Name,
    /// Availability zone of the replica.
    pub zone: Name,
    /// Address that the replica listens on.
    pub addr: SocketAddr,
    /// Whether the list marks the replica as leaving.
    pub leaving: bool,
}

/// The replicas that an instance knows.
///
/// Invariants: replicas are sorted by name. A replica that is no longer listed stays in the pool,
/// without new requests, until the instance's last request at the replica has ended.
#[derive(Debug)]
pub struct Pool {
    replicas: Vec<Replica>,
    /// Replicas that operators have withdrawn, whether known to the pool or not. Sorted.
    withdrawn: Vec<Name>,
    /// Identifier of the last ticket.
    last_id: u64,
    /// Moving average of the prompt tokens to compute per request of this instance.
    mean_tokens: f64,
    /// Moving average of the share of interactive requests.
    interactive_share: f64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            replicas: Vec::new(),
            withdrawn: Vec::new(),
            last_id: 0,
            mean_tokens: INITIAL_MEAN_TOKENS,
            interactive_share: INITIAL_INTERACTIVE_SHARE,
        }
    }
}

impl Pool {
    /// All replicas, sorted by name.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// Returns a replica by name; `None` if it is unknown.
    pub fn find(&self, name: &Name) -> Option<&Replica> {
        self.at(name).map(|at| &self.replicas[at])
    }

    /// Averages over `replicas` and over the requests of this instance.
    pub(crate) fn averages<'p, I>(&self, replicas: I) -> Averages
    where
        I: Iterator<Item = &'p Replica>,
    {
        let (sum, count) = replicas.fold((0, 0_u32), |(sum, n), r| (sum + r.others(), n + 1));
        let others = f64::from(sum) / f64::from(count.max(1));
        Averages { tokens: self.mean_tokens as u32, others, interactive: self.interactive_share }
    }

    /// Prompt tokens that could be sent to `targets` now until the expected queue of an average
    /// replica is `limit`. Replicas that accept no new requests do not count.
    pub fn headroom_tokens(&self, targets: &[Name], limit: Duration, now: Time) -> u64 {
        let averages = self.averages(self.accepting(targets, now));
        let headroom = |r: &Replica| {
            let queue = r.queue(Class::Batch, &averages, now);
            (limit.as_secs_f64() - queue.as_secs_f64()) * f64::from(r.load.prefill_rate)
        };
        self.accepting(targets, now).map(headroom).sum::<f64>().max(0.0) as u64
    }

    /// Total prefill rate of the replicas of `targets` that accept new requests, in tokens per
    /// second.
    pub fn prefill_rate(&self, targets: &[Name], now: Time) -> u64 {
        self.accepting(targets, now).map(|r| u64::from(r.load.prefill_rate)).sum()
    }

    fn accepting(&self, targets: &[Name], now: Time) -> impl Iterator<Item = &Replica> {
        let accepts = move |r: &&Replica| {
            let is_excluded = matches!(r.health_state(now), HealthState::Excluded(_));
            targets.contains(&r.target) && !r.is_leaving() && !is_excluded
        };
        self.replicas.iter().filter(accepts)
    }

    /// Applies the platform's list of replicas. An empty list is ignored, because it is more likely
    /// that the list was lost than that all replicas left at once.
    pub fn sync_list(&mut self, entries: Vec<Entry>, _now: Time) {
        if entries.is_empty() {
            return;
        }
        for replica in &mut self.replicas {
            replica.leaving.unlisted_or_leaving = true;
        }
        for entry in entries {
            self.put(entry);
        }
        self.replicas.retain(|r| !r.leaving.unlisted_or_leaving || r.own_requests() > 0);
        self.mark_withdrawn();
    }

    fn put(&mut self, entry: Entry) {
        match self.replicas.binary_search_by(|r| r.name.cmp(&entry.name)) {
            Ok(at) if self.replicas[at].addr == entry.addr => {
                let replica = &mut self.replicas[at];
                replica.target = entry.target;
                replica.zone = entry.zone;
                replica.leaving.unlisted_or_leaving = entry.leaving;
            }
            Ok(at) => self.replicas[at] = Replica::new(entry),
            Err(at) => self.replicas.insert(at, Replica::new(entry)),
        }
    }

    /// Sets which replicas the operators have withdrawn, whether known to the pool or not. All
    /// other replicas are not withdrawn.
    pub fn withdraw(&mut self, names: &[Name]) {
        self.withdrawn = names.to_vec();
        self.withdrawn.sort_unstable();
        self.mark_withdrawn();
    }

    fn mark_withdrawn(&mut self) {
        for replica in &mut self.replicas {
            replica.leaving.withdrawn = self.withdrawn.binary_search(&replica.name).is_ok();
        }
    }

    /// Records that the replica itself reported that it leaves.
    pub fn report_leaving(&mut self, name: &Name, now: Time) {
        if let Some(at) = self.at(name) {
            self.replicas[at].leaving.reported = Some(now);
        }
    }

    /// Records that the replica reported that it does not leave. It counts as leaving until its
    /// last report that it leaves is [`LEAVE_REPORT_TTL`] old, because reports may arrive late and
    /// be older than that one.
    pub fn report_staying(&mut self, name: &Name, now: Time) {
        if let Some(at) = self.at(name) {
            let reported = &mut self.replicas[at].leaving.reported;
            *reported = reported.filter(|at| !at.after(LEAVE_REPORT_TTL).passed(now));
        }
    }

    /// Records a load report of a replica. A report that is older than the last one is ignored.
    pub fn report(&mut self, name: &Name, load: Load, _now: Time) {
        let Some(at) = self.at(name) else { return };
        let replica = &mut self.replicas[at];
        if load.measured_at >= replica.load.measured_at {
            let prefill_rate = match load.prefill_rate {
                0 => replica.load.prefill_rate,
                rate => rate,
            };
            replica.load = Load { prefill_rate, ..load };
        }
    }

    /// Sets the weights version that a replica serves; `None` if it is not known.
    pub fn set_weights(&mut self, name: &Name, weights: Option<Name>) {
        if let Some(at) = self.at(name) {
            self.replicas[at].weights = weights;
        }
    }

    /// Records that a request with `tokens` prompt tokens to compute is sent to a replica. Returns
    /// `None` if the replica is unknown or leaving; the request must not be sent then.
    pub fn start(&mut self, name: &Name, tokens: u32, class: Class, now: Time) -> Option<Ticket> {
        let at = self.at(name)?;
        if self.replicas[at].is_leaving() {
            return None;
        }
        self.last_id += 1;
        self.mean_tokens += (f64::from(tokens) - self.mean_tokens) * AVERAGE_ALPHA;
        let interactive = if class == Class::Interactive { 1.0 } else { 0.0 };
        self.interactive_share += (interactive - self.interactive_share) * AVERAGE_ALPHA;
        Some(self.replicas[at].start(self.last_id, tokens, class, now))
    }

    /// Records the first token of a request.
    pub fn first_token(&mut self, ticket: &Ticket, now: Time) {
        if let Some(at) = self.at(&ticket.replica) {
            self.replicas[at].first_token(ticket.id, now);
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, ticket: Ticket, end: End, now: Time) {
        let Some(at) = self.at(&ticket.replica) else { return };
        self.replicas[at].end(&ticket, end, now);
        let replica = &self.replicas[at];
        if replica.leaving.unlisted_or_leaving && replica.own_requests() == 0 {
            self.replicas.remove(at);
        }
    }

    fn at(&self, name: &Name) -> Option<usize> {
        self.replicas.binary_search_by(|r| r.name.cmp(name)).ok()
    }
}
