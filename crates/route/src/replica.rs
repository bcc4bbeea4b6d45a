//! One replica as an instance sees it.

use std::{net::SocketAddr, time::Duration};

use ident::{Class, Name, Time};

use crate::health::{Health, Standing};

/// Prefill rate assumed before a replica reported one, in tokens per second.
const DEFAULT_RATE: u32 = 10_000;
/// Time in which the news of a load report wear off.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// Pause after a replica refused work because it is full.
const FULL_PAUSE: Duration = Duration::from_millis(250);

/// Load as a replica reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests generating tokens.
    pub running: u32,
    /// Requests waiting for their prompt to be computed.
    pub waiting: u32,
    /// Prompt tokens per second while computing prompts.
    pub prefill_rate: u32,
    /// When the figures were taken.
    pub at: Time,
}

impl Default for Load {
    fn default() -> Self {
        Self { running: 0, waiting: 0, prefill_rate: DEFAULT_RATE, at: Time(0) }
    }
}

/// How a request at a replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered, or cancelled by the caller.
    Done,
    /// No answer, a cut connection or no progress.
    Failed,
    /// Refused before running because the replica is full.
    Refused,
    /// Refused before running for another cause, which the caller reports by itself.
    Declined,
}

/// A request that was sent to a replica; given back to [`crate::Pool::ended`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket that is not ended counts as load for ever"]
pub struct Ticket {
    pub(crate) id: u64,
    pub(crate) replica: Name,
    /// Whether the request tests a replica that failed before: it needs a new connection.
    pub probe: bool,
}

/// A request of this instance at a replica.
#[derive(Debug, Clone, Copy)]
struct Flight {
    id: u64,
    /// Prompt tokens to compute.
    tokens: u32,
    /// Its urgency.
    class: Class,
    /// When it was sent.
    sent: Time,
    /// When its first token came.
    first: Option<Time>,
    /// When its prompt was expected to be computed.
    due: Time,
}

/// Why a replica gets no new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Leave {
    /// The platform's list says so.
    pub(crate) listed: bool,
    /// The replica said so itself, last at this time; holds until the list names it at another
    /// address or drops it, or the replica has long said otherwise.
    pub(crate) said: Option<Time>,
    /// An operator withdrew it.
    pub(crate) withdrawn: bool,
}

/// A replica of a target.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Unique name.
    pub name: Name,
    /// The target it belongs to.
    pub target: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The weight version it serves, once known.
    pub weights: Option<Name>,
    /// Its last reported load.
    pub load: Load,
    pub(crate) leave: Leave,
    pub(crate) health: Health,
    /// No new work before this time: the replica was full.
    pub(crate) hold: Time,
    /// Requests of this instance, by id. Invariant: sorted by id.
    flights: Vec<Flight>,
    /// When all prompts that this instance sent are expected to be computed.
    busy: Time,
    /// When the interactive ones among them are, which replicas compute first.
    urgent: Time,
}

/// What is usual among the replicas of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usual {
    /// Prompt tokens to compute of a request.
    pub tokens: u32,
    /// Prompts of other instances that wait at a replica.
    pub others: f64,
    /// Share of interactive requests.
    pub urgent: f64,
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
            leave: Leave { listed: entry.leaving, ..Leave::default() },
            health: Health::default(),
            hold: Time(0),
            flights: Vec::new(),
            busy: Time(0),
            urgent: Time(0),
        }
    }

    /// Whether the replica is leaving and gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.leave != Leave::default()
    }

    /// Requests of this instance at the replica.
    pub fn own(&self) -> usize {
        self.flights.len()
    }

    /// Requests of this instance at the replica that wait for their first token.
    pub fn pending(&self) -> usize {
        self.flights.iter().filter(|f| f.first.is_none()).count()
    }

    /// Time to compute `tokens` prompt tokens.
    pub fn prefill(&self, tokens: u32) -> Duration {
        let rate = u64::from(self.load.prefill_rate.max(1));
        Duration::from_millis(u64::from(tokens) * 1000 / rate)
    }

    /// Expected wait before a prompt of `class` sent at `now` is computed: this instance's own
    /// prompts and those of others. The older the last report, the more the number of others'
    /// prompts tends to the usual one.
    pub fn queue(&self, class: Class, usual: &Usual, now: Time) -> Duration {
        let age = now.since(self.load.at).as_secs_f64();
        let weight = (-age / REPORT_LIFE.as_secs_f64()).exp();
        let others = usual.others + (f64::from(self.others()) - usual.others) * weight;
        let (own, part) = match class {
            Class::Interactive => (self.urgent, usual.urgent),
            Class::Batch => (self.busy, 1.0),
        };
        own.since(now) + self.prefill(usual.tokens).mul_f64(others * part)
    }

    /// Prompts of other instances that waited when the load was reported.
    pub(crate) fn others(&self) -> u32 {
        self.load.waiting.saturating_sub(self.pending_at(self.load.at))
    }

    /// Requests of this instance that waited for their first token at `at`.
    fn pending_at(&self, at: Time) -> u32 {
        let waited = |f: &&Flight| f.sent <= at && f.first.is_none_or(|first| first > at);
        u32::try_from(self.flights.iter().filter(waited).count()).unwrap_or(u32::MAX)
    }

    /// Requests at the replica: the reported ones and those of this instance sent since.
    pub fn demand(&self) -> u32 {
        let since = self.flights.iter().filter(|f| f.sent > self.load.at).count();
        let since = u32::try_from(since).unwrap_or(u32::MAX);
        (self.load.running + self.load.waiting).saturating_add(since)
    }

    pub(crate) fn standing(&self, now: Time) -> Standing {
        self.health.standing(now)
    }

    pub(crate) fn start(&mut self, id: u64, tokens: u32, class: Class, now: Time) -> Ticket {
        assert!(self.flights.last().is_none_or(|f| f.id < id), "flights are sorted by id");
        let span = self.prefill(tokens);
        self.busy = self.busy.max(now).after(span);
        let due = match class {
            Class::Interactive => {
                self.urgent = self.urgent.max(now).after(span);
                self.urgent
            }
            Class::Batch => self.busy,
        };
        self.flights.push(Flight { id, tokens, class, sent: now, first: None, due });
        Ticket { id, replica: self.name.clone(), probe: self.health.start() }
    }

    /// Notes a first token; returns the prompt tokens it stood for.
    pub(crate) fn first_token(&mut self, id: u64, now: Time) -> Option<u32> {
        let at = self.flights.binary_search_by_key(&id, |f| f.id).ok()?;
        let flight = &mut self.flights[at];
        if flight.first.is_some() {
            return None;
        }
        flight.first = Some(now);
        let (due, class, tokens) = (flight.due, flight.class, flight.tokens);
        self.correct(due, class, now);
        self.health.succeed();
        Some(tokens)
    }

    /// Shifts the expected end of all prompts by the error seen on one of them.
    fn correct(&mut self, due: Time, class: Class, now: Time) {
        if class == Class::Interactive {
            self.urgent = shift(self.urgent, due, now);
        }
        self.busy = shift(self.busy, due, now);
        self.settle(now);
    }

    /// Without waiting prompts, nothing is expected.
    fn settle(&mut self, now: Time) {
        let waits = |class: Option<Class>| {
            let of_class = |f: &&Flight| class.is_none_or(|c| f.class == c);
            self.flights.iter().filter(of_class).any(|f| f.first.is_none())
        };
        if !waits(Some(Class::Interactive)) {
            self.urgent = self.urgent.min(now);
        }
        if !waits(None) {
            self.busy = self.busy.min(now);
        }
    }

    pub(crate) fn end(&mut self, ticket: &Ticket, end: End, now: Time) {
        let Ok(at) = self.flights.binary_search_by_key(&ticket.id, |f| f.id) else {
            return;
        };
        let flight = self.flights.remove(at);
        if flight.first.is_none() {
            let span = self.prefill(flight.tokens);
            self.busy = self.busy.before(span);
            if flight.class == Class::Interactive {
                self.urgent = self.urgent.before(span);
            }
        }
        self.settle(now);
        match end {
            End::Done if flight.first.is_some() => self.health.succeed(),
            End::Done | End::Declined => self.health.release(ticket.probe),
            End::Failed => self.health.fail(ticket.probe, now),
            End::Refused => {
                self.health.succeed();
                self.hold = now.after(FULL_PAUSE);
            }
        }
    }
}

/// `end` moved by the difference between `now` and `due`, not before `now`.
fn shift(end: Time, due: Time, now: Time) -> Time {
    if now > due { end.after(now.since(due)) } else { end.before(due.since(now)).max(now) }
}
