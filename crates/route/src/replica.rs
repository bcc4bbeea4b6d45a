//! One replica, with the load and health that an instance knows of.

use std::{net::SocketAddr, time::Duration};

use ident::{Class, Name, Time};

use crate::health::{Health, HealthState};

/// Prefill rate that is assumed until a replica reports one, in tokens per second.
const DEFAULT_PREFILL_RATE: u32 = 10_000;
/// Time constant with which the weight of a load report decays.
const REPORT_DECAY: Duration = Duration::from_secs(2);
/// How long a replica is excluded after it refused a request because it was full.
const FULL_COOLDOWN: Duration = Duration::from_millis(250);

/// The load that a replica reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that generate tokens.
    pub running: u32,
    /// Number of requests that wait for the prefill of their prompt.
    pub waiting: u32,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_rate: u32,
    /// Time at which the replica measured its load.
    pub measured_at: Time,
}

impl Default for Load {
    fn default() -> Self {
        Self { running: 0, waiting: 0, prefill_rate: DEFAULT_PREFILL_RATE, measured_at: Time(0) }
    }
}

/// How a request at a replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The replica answered, or the caller cancelled the request.
    Done,
    /// There was no answer, the connection broke, or the answer made no progress.
    Failed,
    /// The replica refused the request before running it, because it was full.
    Full,
    /// The replica refused the request before running it, for another reason that the caller
    /// records separately.
    RefusedOther,
}

/// A request that was sent to a replica. At its end it must be passed to [`crate::Pool::end`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket that is not ended counts as load forever"]
pub struct Ticket {
    pub(crate) id: u64,
    pub(crate) replica: Name,
    /// Whether the request is a probe of a replica that failed before; it needs a new connection.
    pub probe: bool,
}

/// A request of this instance at a replica.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    id: u64,
    /// Prompt tokens to compute.
    tokens: u32,
    /// Class of the request: interactive or batch.
    class: Class,
    /// Time at which the request was sent.
    sent: Time,
    /// Time of the first token; `None` while there is none.
    first: Option<Time>,
    /// Time at which its prefill was expected to end.
    due: Time,
}

/// The reasons for which a replica gets no new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct LeaveReasons {
    /// The platform's list marks the replica as leaving, or no longer has it.
    pub(crate) unlisted_or_leaving: bool,
    /// Time at which the replica itself last reported that it leaves. Cleared when the list has the
    /// replica at another address or drops it, or some time after the replica reported that it
    /// stays.
    pub(crate) reported: Option<Time>,
    /// An operator withdrew it.
    pub(crate) withdrawn: bool,
}

/// A replica of a target.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Unique name of the replica.
    pub name: Name,
    /// Target that the replica belongs to.
    pub target: Name,
    /// Availability zone of the replica.
    pub zone: Name,
    /// Address that the replica listens on.
    pub addr: SocketAddr,
    /// Weights version that the replica serves; `None` until it is known.
    pub weights: Option<Name>,
    /// Load that the replica reported last.
    pub load: Load,
    pub(crate) leaving: LeaveReasons,
    pub(crate) health: Health,
    /// No new requests before this time, because the replica was full.
    pub(crate) full_until: Time,
    /// Requests of this instance at the replica. Invariant: sorted by id.
    in_flight: Vec<InFlight>,
    /// Time at which the prefill of all prompts that this instance sent is expected to end.
    all_done: Time,
    /// Time at which the prefill of the interactive prompts among them is expected to end. Replicas
    /// compute those first.
    interactive_done: Time,
}

/// Averages over the replicas of a pool and over the requests of this instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Averages {
    /// Mean number of prompt tokens to compute per request.
    pub tokens: u32,
    /// Mean number of prompts of other instances that wait at a replica.
    pub others: f64,
    /// Share of interactive requests, from 0 to 1.
    pub interactive: f64,
}

impl Replica {
    pub(crate) fn new(entry: crate::Entry) -> Self {
        Self {
            name: entry.name,
            target: entry.target,
            zone: entry.zone,
            addr: entry.addr,
            weights: None,
            load: Load::default(),
            leaving: LeaveReasons { unlisted_or_leaving: entry.leaving, ..LeaveReasons::default() },
            health: Health::default(),
            full_until: Time(0),
            in_flight: Vec::new(),
            all_done: Time(0),
            interactive_done: Time(0),
        }
    }

    /// Whether the replica is leaving and gets no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving != LeaveReasons::default()
    }

    /// Number of requests of this instance at the replica.
    pub fn own_requests(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of requests of this instance at the replica that wait for their first token.
    pub fn pending(&self) -> usize {
        self.in_flight.iter().filter(|f| f.first.is_none()).count()
    }

    /// Time that the prefill of `tokens` prompt tokens takes.
    pub fn prefill(&self, tokens: u32) -> Duration {
        let rate = u64::from(self.load.prefill_rate.max(1));
        Duration::from_millis(u64::from(tokens) * 1000 / rate)
    }

    /// Expected time until the prefill of a prompt of `class` that is sent at `now` starts. It is
    /// the time for this instance's own prompts and for those of other instances. The older the
    /// last load report is, the closer the assumed number of others' prompts is to the average.
    pub fn queue(&self, class: Class, averages: &Averages, now: Time) -> Duration {
        let age = now.since(self.load.measured_at).as_secs_f64();
        let weight = (-age / REPORT_DECAY.as_secs_f64()).exp();
        let others = averages.others + (f64::from(self.others()) - averages.others) * weight;
        let (own, share) = match class {
            Class::Interactive => (self.interactive_done, averages.interactive),
            Class::Batch => (self.all_done, 1.0),
        };
        own.since(now) + self.prefill(averages.tokens).mul_f64(others * share)
    }

    /// Number of prompts of other instances that waited when the load was reported.
    pub(crate) fn others(&self) -> u32 {
        self.load.waiting.saturating_sub(self.pending_at(self.load.measured_at))
    }

    /// Number of requests of this instance that waited for their first token at `at`.
    fn pending_at(&self, at: Time) -> u32 {
        let waited = |f: &&InFlight| f.sent <= at && f.first.is_none_or(|first| first > at);
        u32::try_from(self.in_flight.iter().filter(waited).count()).unwrap_or(u32::MAX)
    }

    /// Number of requests at the replica: the reported ones and those that this instance sent
    /// since.
    pub fn demand(&self) -> u32 {
        let since = self.in_flight.iter().filter(|f| f.sent > self.load.measured_at).count();
        let since = u32::try_from(since).unwrap_or(u32::MAX);
        (self.load.running + self.load.waiting).saturating_add(since)
    }

    pub(crate) fn health_state(&self, now: Time) -> HealthState {
        self.health.state(now)
    }

    pub(crate) fn start(&mut self, id: u64, tokens: u32, class: Class, now: Time) -> Ticket {
        assert!(
            self.in_flight.last().is_none_or(|f| f.id < id),
            "requests in flight are not sorted by id"
        );
        let prefill = self.prefill(tokens);
        self.all_done = self.all_done.max(now).after(prefill);
        let due = match class {
            Class::Interactive => {
                self.interactive_done = self.interactive_done.max(now).after(prefill);
                self.interactive_done
            }
            Class::Batch => self.all_done,
        };
        self.in_flight.push(InFlight { id, tokens, class, sent: now, first: None, due });
        Ticket { id, replica: self.name.clone(), probe: self.health.start() }
    }

    /// Records the first token of a request. Returns the prompt tokens that were computed for it;
    /// `None` if the request is unknown or had its first token already.
    pub(crate) fn first_token(&mut self, id: u64, now: Time) -> Option<u32> {
        let at = self.in_flight.binary_search_by_key(&id, |f| f.id).ok()?;
        let flight = &mut self.in_flight[at];
        if flight.first.is_some() {
            return None;
        }
        flight.first = Some(now);
        let (due, class, tokens) = (flight.due, flight.class, flight.tokens);
        self.adjust(due, class, now);
        self.health.succeed();
        Some(tokens)
    }

    /// Shifts the expected end of all prefills by the error of the prediction for one of them.
    fn adjust(&mut self, due: Time, class: Class, now: Time) {
        if class == Class::Interactive {
            self.interactive_done = shift(self.interactive_done, due, now);
        }
        self.all_done = shift(self.all_done, due, now);
        self.clamp_expected(now);
    }

    /// Limits the expected ends to `now` where no prompts wait.
    fn clamp_expected(&mut self, now: Time) {
        let waits = |class: Option<Class>| {
            let of_class = |f: &&InFlight| class.is_none_or(|c| f.class == c);
            self.in_flight.iter().filter(of_class).any(|f| f.first.is_none())
        };
        if !waits(Some(Class::Interactive)) {
            self.interactive_done = self.interactive_done.min(now);
        }
        if !waits(None) {
            self.all_done = self.all_done.min(now);
        }
    }

    pub(crate) fn end(&mut self, ticket: &Ticket, end: End, now: Time) {
        let Ok(at) = self.in_flight.binary_search_by_key(&ticket.id, |f| f.id) else {
            return;
        };
        let flight = self.in_flight.remove(at);
        if flight.first.is_none() {
            let prefill = self.prefill(flight.tokens);
            self.all_done = self.all_done.before(prefill);
            if flight.class == Class::Interactive {
                self.interactive_done = self.interactive_done.before(prefill);
            }
        }
        self.clamp_expected(now);
        match end {
            End::Done if flight.first.is_some() => self.health.succeed(),
            End::Done | End::RefusedOther => self.health.release(ticket.probe),
            End::Failed => self.health.fail(ticket.probe, now),
            End::Full => {
                self.health.succeed();
                self.full_until = now.after(FULL_COOLDOWN);
            }
        }
    }
}

/// Returns `end` shifted by the difference between `now` and `due`, but not to before `now`.
fn shift(end: Time, due: Time, now: Time) -> Time {
    if now > due { end.after(now.since(due)) } else { end.before(due.since(now)).max(now) }
}
