//! Decides which events of an engine's stream are delivered.
//!
//! Engines may send events late, twice, or those of another request. A [`Sequence`] lets each
//! token of one generation through once and in order. A [`CatchUp`] matches a generation that was
//! started again against what the caller holds already.

use ident::{Name, RequestId};
use outbound::Token;

use crate::handle::Mark;

/// What to do with an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is the next token.
    Take,
    /// It was taken before: drop it.
    Duplicate,
    /// It belongs to another request: drop it.
    Crossed,
    /// Tokens before it are missing: resume the stream.
    Gap,
    /// It was computed by another weight version, or the engine does not say by which: drop the
    /// stream.
    Weights(Option<Name>),
}

/// One generation at one replica.
///
/// Invariant: tokens are taken with consecutive offsets, all of one request and weight version.
#[derive(Debug, Clone)]
pub struct Sequence {
    request: RequestId,
    weights: Name,
    next: u64,
}

impl Sequence {
    /// The generation `request` by `weights`, from token `next` on.
    pub fn new(request: RequestId, weights: Name, next: u64) -> Self {
        Self { request, weights, next }
    }

    /// Offset of the next token.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Judges an event, and counts it when it is taken.
    pub fn offer(&mut self, token: &Token) -> Verdict {
        if token.request != self.request {
            return Verdict::Crossed;
        }
        if token.weights.as_ref() != Some(&self.weights) {
            return Verdict::Weights(token.weights.clone());
        }
        if token.offset < self.next {
            return Verdict::Duplicate;
        }
        if token.offset > self.next {
            return Verdict::Gap;
        }
        self.next += 1;
        Verdict::Take
    }
}

/// What a caller is sent for a taken token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delivery {
    /// The caller holds it already.
    Skip,
    /// The caller holds it already, and it was the last.
    Complete,
    /// The token, with the caller's mark after it.
    Token(Token, Mark),
    /// The generation differs from what the caller holds: it drops that, and takes these.
    Restart(Vec<(Token, Mark)>),
}

/// Matches a generation from offset 0 against what the caller holds.
///
/// Invariant: what the caller holds is always the beginning of one generation.
#[derive(Debug, Clone)]
pub struct CatchUp {
    held: Mark,
    seen: Mark,
    skipped: Vec<(Token, Mark)>,
}

impl CatchUp {
    /// A generation that goes on from what the caller holds.
    pub fn resumed(held: Mark) -> Self {
        Self { held, seen: held, skipped: Vec::new() }
    }

    /// A generation from the beginning, for a caller that holds `held`.
    pub fn anew(held: Mark) -> Self {
        Self { held, seen: Mark::default(), skipped: Vec::new() }
    }

    /// What the caller holds.
    pub fn held(&self) -> Mark {
        self.held
    }

    /// Judges a taken token.
    pub fn take(&mut self, token: Token) -> Delivery {
        self.seen = self.seen.advance(&token.text);
        let last = token.finish.is_some();
        if self.seen.tokens > self.held.tokens {
            self.held = self.seen;
            return Delivery::Token(token, self.seen);
        }
        self.skipped.push((token, self.seen));
        let caught_up = self.seen.tokens == self.held.tokens;
        if !caught_up && !last {
            return Delivery::Skip;
        }
        let skipped = std::mem::take(&mut self.skipped);
        if caught_up && self.seen.hash == self.held.hash {
            return if last { Delivery::Complete } else { Delivery::Skip };
        }
        self.held = self.seen;
        Delivery::Restart(skipped)
    }
}
