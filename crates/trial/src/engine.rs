//! A simulated model engine. It prefills one prompt after the other, decodes all running requests
//! together, caches contexts until it needs their memory, and fetches contexts over one link.

use std::collections::VecDeque;

use crate::mix::Mix;

/// A request that is sent to an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineRequest {
    /// Number of the request.
    pub(crate) id: usize,
    /// Number of the context. Those of long and short prompts differ.
    pub(crate) context: u64,
    /// Number of tokens of the context.
    pub(crate) shared: u64,
    /// Number of tokens of the whole prompt.
    pub(crate) input: u64,
    /// Number of tokens to generate.
    pub(crate) output: u64,
}

impl EngineRequest {
    fn memory(&self) -> u64 {
        self.input + self.output
    }
}

/// A request that an engine has started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartedRequest {
    /// Request that was started.
    pub(crate) request: EngineRequest,
    /// Time of the first token, in ms.
    pub(crate) first: f64,
    /// Time of the last token, in ms.
    pub(crate) last: f64,
    /// Whether the context was not cached and is prefilled.
    pub(crate) missed: bool,
}

/// A simulated model engine. Times are in ms.
///
/// Invariants: `running` is the memory, in tokens, of the requests that were started and have not
/// ended. Together with the cached contexts it is at most the capacity, unless a single request
/// exceeds that.
#[derive(Debug)]
pub(crate) struct Engine {
    mix: Mix,
    /// Cached contexts with their numbers of tokens, the least recently used first.
    cached: VecDeque<(u64, u64)>,
    /// Requests to be started, the shortest prompt first.
    waiting: VecDeque<EngineRequest>,
    running: u64,
    /// Number of running requests.
    runs: u32,
    /// End of the last prefill.
    prefill_end: f64,
    /// End of the last transfer over the link.
    link_end: f64,
}

impl Engine {
    pub(crate) fn new(mix: Mix) -> Self {
        let (cached, waiting) = (VecDeque::new(), VecDeque::new());
        Self { mix, cached, waiting, running: 0, runs: 0, prefill_end: 0.0, link_end: 0.0 }
    }

    pub(crate) fn caches(&self, context: u64) -> bool {
        self.cached.iter().any(|(c, _)| *c == context)
    }

    /// Starts to fetch a context of `tokens` tokens. Returns when the transfer ends.
    pub(crate) fn fetch(&mut self, tokens: u64, now: f64) -> f64 {
        let bits = (tokens * self.mix.bytes * 8) as f64;
        self.link_end = self.link_end.max(now) + bits / (self.mix.link * 1000.0);
        self.link_end
    }

    /// Caches a context, and evicts others where that is needed.
    pub(crate) fn cache(&mut self, context: u64, tokens: u64) {
        self.cached.retain(|(c, _)| *c != context);
        self.cached.push_back((context, tokens));
        self.evict();
    }

    /// Adds a request to the queue.
    pub(crate) fn enqueue(&mut self, request: EngineRequest) {
        // Short prompts delay the others least, so they go first.
        let at = self.waiting.partition_point(|r| r.input <= request.input);
        self.waiting.insert(at, request);
    }

    /// Starts the first requests of the queue that fit into memory.
    pub(crate) fn start_waiting(&mut self, now: f64) -> Vec<StartedRequest> {
        let mut started = Vec::new();
        while let Some(request) = self.waiting.front().copied() {
            if self.runs > 0 && self.running + request.memory() > self.mix.capacity {
                break;
            }
            self.waiting.pop_front();
            started.push(self.start(request, now));
        }
        started
    }

    /// Ends a request. Its context stays cached until the memory is needed.
    pub(crate) fn end(&mut self, request: &EngineRequest) {
        self.running -= request.memory();
        self.runs -= 1;
        self.cache(request.context, request.shared);
    }

    fn start(&mut self, request: EngineRequest, now: f64) -> StartedRequest {
        let missed = !self.caches(request.context);
        let cached_tokens = if missed { 0 } else { request.shared };
        // The context counts as memory of the request while that runs.
        self.cached.retain(|(c, _)| *c != request.context);
        self.running += request.memory();
        self.runs += 1;
        self.evict();
        let pairs = (request.input.pow(2) - cached_tokens.pow(2)) as f64 / 2e6;
        let prefill =
            (request.input - cached_tokens) as f64 / self.mix.read + pairs * self.mix.pairs;
        self.prefill_end = self.prefill_end.max(now) + prefill;
        let step = self.mix.step + self.mix.slot * f64::from(self.runs);
        let first = self.prefill_end + self.mix.first + step;
        StartedRequest { request, first, last: first + step * request.output as f64, missed }
    }

    fn evict(&mut self) {
        let mut tokens_cached: u64 = self.cached.iter().map(|(_, tokens)| tokens).sum();
        while tokens_cached + self.running > self.mix.capacity {
            let Some((_, tokens)) = self.cached.pop_front() else { return };
            tokens_cached -= tokens;
        }
    }
}
