//! What each team uses.

use ident::{Name, Time};

use crate::bucket::Bucket;

/// Time in which past use wears off by a factor of e, in seconds.
const MEMORY_SECS: f64 = 5.0;

/// Invariant: `inflight` counts the team's running and queued requests and never exceeds the share
/// given with the offer that raised it.
#[derive(Debug)]
pub(crate) struct TeamUse {
    pub(crate) team: Name,
    pub(crate) bucket: Bucket,
    /// The rate of the team's last offer.
    pub(crate) rate: f64,
    pub(crate) inflight: u32,
    /// Prompt tokens started, worn off up to `at`.
    used: f64,
    at: Time,
}

impl TeamUse {
    fn new(team: Name, rate: f64, now: Time) -> Self {
        Self { team, bucket: Bucket::full(rate, now), rate, inflight: 0, used: 0.0, at: now }
    }

    /// Prompt tokens per second of late.
    fn pace(&self, now: Time) -> f64 {
        let worn = (-now.since(self.at).as_secs_f64() / MEMORY_SECS).exp();
        self.used * worn / MEMORY_SECS
    }

    fn add(&mut self, tokens: u64, now: Time) {
        self.used = self.pace(now) * MEMORY_SECS + tokens as f64;
        self.at = self.at.max(now);
    }
}

/// The teams with requests now or of late. Invariant: sorted by name.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    teams: Vec<TeamUse>,
}

impl Usage {
    /// A team's use; it is added when it is new.
    pub(crate) fn team(&mut self, name: &Name, rate: f64, now: Time) -> &mut TeamUse {
        let at = match self.at(name) {
            Ok(at) => at,
            Err(_) => self.add(name, rate, now),
        };
        self.teams[at].rate = rate;
        &mut self.teams[at]
    }

    /// Adds a team, after forgetting those that are as good as new.
    fn add(&mut self, name: &Name, rate: f64, now: Time) -> usize {
        self.teams
            .retain_mut(|t| t.inflight > 0 || t.pace(now) >= 1.0 || !t.bucket.is_full(t.rate, now));
        let at = self.teams.partition_point(|t| t.team < *name);
        self.teams.insert(at, TeamUse::new(name.clone(), rate, now));
        at
    }

    /// A request of a known team started.
    pub(crate) fn started(&mut self, name: &Name, tokens: u64, now: Time) {
        let at = self.at(name).expect("a team with requests is known");
        self.teams[at].add(tokens, now);
    }

    /// A request of a known team ended or left the queue.
    pub(crate) fn left(&mut self, name: &Name) {
        let at = self.at(name).expect("a team with requests is known");
        let team = &mut self.teams[at];
        assert!(team.inflight > 0, "a request leaves once");
        team.inflight -= 1;
    }

    /// The part of `rate` tokens per second that a team may use while there is not enough for all:
    /// by the limits of the teams that use some.
    pub(crate) fn part(&self, name: &Name, rate: u64) -> f64 {
        let sum: f64 = self.teams.iter().map(|t| t.rate).sum();
        let own = self.at(name).map_or(0.0, |at| self.teams[at].rate);
        rate as f64 * own / sum.max(1e-9)
    }

    /// Seconds until a team's use has fallen to its part.
    pub(crate) fn excess(&self, name: &Name, rate: u64, now: Time) -> f64 {
        let Ok(at) = self.at(name) else { return 0.0 };
        let over = self.teams[at].pace(now) / self.part(name, rate).max(1e-9);
        if over > 1.0 { MEMORY_SECS * over.ln() } else { 0.0 }
    }

    fn at(&self, name: &Name) -> Result<usize, usize> {
        self.teams.binary_search_by(|t| t.team.cmp(name))
    }
}
