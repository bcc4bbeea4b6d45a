//! The usage of each team.

use ident::{Name, Time};

use crate::bucket::Bucket;

/// Time constant of the exponential decay of past usage, in seconds.
const USAGE_DECAY_SECS: f64 = 5.0;

/// The usage of one team.
///
/// Invariant: `inflight` is the number of the team's running and queued requests. It never exceeds
/// the limit that was given with the request that was counted last.
#[derive(Debug)]
pub(crate) struct TeamUsage {
    pub(crate) team: Name,
    pub(crate) bucket: Bucket,
    /// Rate limit that was given with the team's last request, in requests per second.
    pub(crate) rate: f64,
    pub(crate) inflight: u32,
    /// Prompt tokens of started requests, decayed up to `at`.
    used: f64,
    /// Time for which `used` holds.
    at: Time,
}

impl TeamUsage {
    fn new(team: Name, rate: f64, now: Time) -> Self {
        Self { team, bucket: Bucket::full(rate, now), rate, inflight: 0, used: 0.0, at: now }
    }

    /// Recent rate of the team, in prompt tokens per second.
    fn tokens_per_s(&self, now: Time) -> f64 {
        let decay = (-now.since(self.at).as_secs_f64() / USAGE_DECAY_SECS).exp();
        self.used * decay / USAGE_DECAY_SECS
    }

    fn add(&mut self, tokens: u64, now: Time) {
        self.used = self.tokens_per_s(now) * USAGE_DECAY_SECS + tokens as f64;
        self.at = self.at.max(now);
    }
}

/// The teams with current or recent requests. Invariant: `teams` is sorted by name.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    teams: Vec<TeamUsage>,
}

impl Usage {
    /// Returns the usage of a team, which is added if it is unknown, and sets its rate limit.
    pub(crate) fn team(&mut self, name: &Name, rate: f64, now: Time) -> &mut TeamUsage {
        let at = match self.at(name) {
            Ok(at) => at,
            Err(_) => self.add(name, rate, now),
        };
        self.teams[at].rate = rate;
        &mut self.teams[at]
    }

    /// Adds a team, after removing the teams whose state is that of a new team.
    fn add(&mut self, name: &Name, rate: f64, now: Time) -> usize {
        self.teams.retain_mut(|t| {
            t.inflight > 0 || t.tokens_per_s(now) >= 1.0 || !t.bucket.is_full(t.rate, now)
        });
        let at = self.teams.partition_point(|t| t.team < *name);
        self.teams.insert(at, TeamUsage::new(name.clone(), rate, now));
        at
    }

    /// Records that a request of a known team started.
    pub(crate) fn started(&mut self, name: &Name, tokens: u64, now: Time) {
        let at = self.at(name).expect("a team with requests is unknown");
        self.teams[at].add(tokens, now);
    }

    /// Records that a request of a known team ended or was removed from the queue.
    pub(crate) fn ended(&mut self, name: &Name) {
        let at = self.at(name).expect("a team with requests is unknown");
        let team = &mut self.teams[at];
        assert!(team.inflight > 0, "a request ended that was not counted");
        team.inflight -= 1;
    }

    /// Returns the share of `prefill_rate` that a team may use while the replicas have no headroom,
    /// in prompt tokens per second. The shares of the known teams are proportional to their rate
    /// limits.
    pub(crate) fn fair_share(&self, name: &Name, prefill_rate: u64) -> f64 {
        let sum: f64 = self.teams.iter().map(|t| t.rate).sum();
        let own = self.at(name).map_or(0.0, |at| self.teams[at].rate);
        prefill_rate as f64 * own / sum.max(1e-9)
    }

    /// Returns the time in seconds until a team's usage has decayed to its share; 0 if it does not
    /// exceed it.
    pub(crate) fn excess_secs(&self, name: &Name, prefill_rate: u64, now: Time) -> f64 {
        let Ok(at) = self.at(name) else { return 0.0 };
        let ratio =
            self.teams[at].tokens_per_s(now) / self.fair_share(name, prefill_rate).max(1e-9);
        if ratio > 1.0 { USAGE_DECAY_SECS * ratio.ln() } else { 0.0 }
    }

    fn at(&self, name: &Name) -> Result<usize, usize> {
        self.teams.binary_search_by(|t| t.team.cmp(name))
    }
}
