//! Contexts held in a bounded memory.

/// Leading tokens of contexts, least recently used out first.
///
/// Invariants: `held` is sorted by context; `used` is the sum of its tokens and at most `cap`.
#[derive(Debug)]
pub(crate) struct Lru {
    cap: u64,
    used: u64,
    clock: u64,
    held: Vec<Held>,
}

#[derive(Debug)]
struct Held {
    context: usize,
    tokens: u32,
    used: u64,
}

impl Lru {
    /// A memory of `cap` tokens.
    pub(crate) fn new(cap: u64) -> Self {
        Self { cap, used: 0, clock: 0, held: Vec::new() }
    }

    /// Leading tokens held of `context`.
    pub(crate) fn tokens(&self, context: usize) -> u32 {
        self.at(context).map_or(0, |at| self.held[at].tokens)
    }

    /// Marks `context` as used now.
    pub(crate) fn touch(&mut self, context: usize) {
        self.clock += 1;
        if let Ok(at) = self.at(context) {
            self.held[at].used = self.clock;
        }
    }

    /// Holds `tokens` leading tokens of `context`; returns the contexts that had to go.
    pub(crate) fn put(&mut self, context: usize, tokens: u32) -> Vec<usize> {
        self.clock += 1;
        let used = self.clock;
        match self.at(context) {
            Ok(at) => {
                self.used = self.used - u64::from(self.held[at].tokens) + u64::from(tokens);
                self.held[at] = Held { context, tokens, used };
            }
            Err(at) => {
                self.used += u64::from(tokens);
                self.held.insert(at, Held { context, tokens, used });
            }
        }
        let mut gone = Vec::new();
        while self.used > self.cap {
            gone.push(self.evict());
        }
        gone
    }

    fn evict(&mut self) -> usize {
        let oldest = self.held.iter().enumerate().min_by_key(|(_, h)| h.used);
        let (at, _) = oldest.expect("a memory in use holds something");
        let held = self.held.remove(at);
        self.used -= u64::from(held.tokens);
        held.context
    }

    /// The context was edited: only `intact` leading tokens still match.
    pub(crate) fn cut(&mut self, context: usize, intact: u32) {
        if let Ok(at) = self.at(context) {
            let held = &mut self.held[at];
            let lost = held.tokens.saturating_sub(intact);
            held.tokens -= lost;
            self.used -= u64::from(lost);
        }
    }

    fn at(&self, context: usize) -> Result<usize, usize> {
        self.held.binary_search_by_key(&context, |h| h.context)
    }
}
