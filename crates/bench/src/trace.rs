//! Requests of a workload, drawn from a seed.

use ident::{Class, Time};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::spec::{Mix, Spec};

/// A request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// When it is sent.
    pub at: Time,
    /// Index of its team.
    pub team: usize,
    /// Index of its context.
    pub context: usize,
    /// Its urgency.
    pub class: Class,
    /// Tokens of the shared context.
    pub shared: u32,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Tokens of the answer.
    pub answer: u32,
    /// Leading tokens of the context that were not edited since the request before.
    pub intact: u32,
    /// Time from the request to the last useful first token, in milliseconds.
    pub patience: u64,
}

/// The requests of one run, sorted by time.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The requests.
    pub requests: Vec<Request>,
}

struct Context {
    team: usize,
    shared: u32,
}

impl Trace {
    /// Draws the requests of `spec` at `load` times its rate. The team `flood` sends ten times its
    /// rate in the second half.
    pub fn draw(spec: &Spec, load: f64, flood: Option<usize>, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let contexts = contexts(spec, &mut rng);
        let mut requests = Vec::new();
        for team in 0..spec.teams.len() {
            let own: Vec<_> = (0..contexts.len()).filter(|c| contexts[*c].team == team).collect();
            let mut rng = SmallRng::seed_from_u64(seed ^ (team as u64 + 1) << 32);
            let mut draw = Draw { spec, contexts: &contexts, own, rng: &mut rng };
            draw.team(team, load, flood == Some(team), &mut requests);
        }
        requests.sort_by_key(|r| (r.at, r.context));
        Self { requests }
    }
}

fn contexts(spec: &Spec, rng: &mut SmallRng) -> Vec<Context> {
    let total: f64 = spec.teams.iter().map(|t| t.weight).sum();
    let mut out = Vec::new();
    for (team, t) in spec.teams.iter().enumerate() {
        let count = (spec.contexts as f64 * t.weight / total).round().max(1.0) as usize;
        for _ in 0..count {
            let shared = rng.random_range(spec.tokens.0..=spec.tokens.1);
            out.push(Context { team, shared });
        }
    }
    out
}

struct Draw<'a> {
    spec: &'a Spec,
    contexts: &'a [Context],
    own: Vec<usize>,
    rng: &'a mut SmallRng,
}

impl Draw<'_> {
    fn team(&mut self, team: usize, load: f64, floods: bool, out: &mut Vec<Request>) {
        let spec = self.spec;
        let total: f64 = spec.teams.iter().map(|t| t.weight).sum();
        // Each first request brings follow / (1 - follow) others.
        let rate = spec.rate * load * (1.0 - spec.follow) * spec.teams[team].weight / total;
        let mut at = 0.0;
        loop {
            let factor = if floods && at > spec.length as f64 / 2.0 { 10.0 } else { 1.0 };
            at += -self.rng.random::<f64>().max(1e-12).ln() / (rate * factor) * 1000.0;
            if at >= spec.length as f64 {
                return;
            }
            self.session(team, at as u64, out);
        }
    }

    /// A first request for a context and those that follow soon.
    fn session(&mut self, team: usize, start: u64, out: &mut Vec<Request>) {
        let context = self.own[self.rng.random_range(0..self.own.len())];
        let mut at = start;
        let mut follows = false;
        while at < self.spec.length {
            let request = self.request(team, context, at, follows);
            out.push(request);
            if !self.rng.random_bool(self.spec.follow) {
                return;
            }
            let (short, long) = self.spec.follow_ms;
            at += self.rng.random_range(short..=long);
            follows = true;
        }
    }

    fn request(&mut self, team: usize, context: usize, at: u64, follows: bool) -> Request {
        let spec = self.spec;
        let shared = self.contexts[context].shared;
        let is_interactive = self.rng.random_bool(spec.interactive.share);
        let (class, mix): (_, &Mix) = match is_interactive {
            true => (Class::Interactive, &spec.interactive),
            false => (Class::Batch, &spec.batch),
        };
        let edited = !follows && self.rng.random_bool(spec.edit);
        let intact = if edited { self.rng.random_range(0..shared) } else { shared };
        Request {
            at: Time(at),
            team,
            context,
            class,
            shared,
            tokens: shared + self.rng.random_range(mix.tail / 2..=mix.tail),
            answer: self.rng.random_range(mix.answer / 2..=mix.answer),
            intact,
            patience: mix.deadline,
        }
    }
}
