//! Decides which events of an engine's stream are delivered.
//!
//! An engine may send events late, twice, or with tokens of another request. A [`Sequence`] accepts
//! each token of one generation once and in order. A [`CatchUp`] tracks which tokens the caller
//! has, and compares a restarted generation with them.

use ident::{Name, RequestId};
use outbound::Token;

use crate::handle::StreamPosition;

/// Result of checking an event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The event holds the next token.
    Accept,
    /// The token was accepted before: drop the event.
    Duplicate,
    /// The event belongs to another request: drop it.
    WrongRequest,
    /// Tokens before this one are missing: resume the stream.
    Gap,
    /// The token was computed with another weights version, or the engine does not state the
    /// version (`None`): drop the stream.
    WrongWeights(Option<Name>),
}

/// Order of the tokens of one generation at one replica.
///
/// Invariant: accepted tokens have consecutive offsets and belong to one request and one weights
/// version.
#[derive(Debug, Clone)]
pub struct Sequence {
    request: RequestId,
    weights: Name,
    next: u64,
}

impl Sequence {
    /// Creates the sequence for the generation `request` with `weights`, starting at the token
    /// offset `next`.
    pub fn new(request: RequestId, weights: Name, next: u64) -> Self {
        Self { request, weights, next }
    }

    /// Returns the offset of the next token.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Checks an event, and advances to the next offset if it is accepted.
    pub fn check(&mut self, token: &Token) -> Verdict {
        if token.request != self.request {
            return Verdict::WrongRequest;
        }
        if token.weights.as_ref() != Some(&self.weights) {
            return Verdict::WrongWeights(token.weights.clone());
        }
        if token.offset < self.next {
            return Verdict::Duplicate;
        }
        if token.offset > self.next {
            return Verdict::Gap;
        }
        self.next += 1;
        Verdict::Accept
    }
}

/// What to send to the caller for an accepted token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delivery {
    /// Nothing: the caller already has the token.
    Skip,
    /// The end of the answer: the caller already has this token, which is the last one.
    Complete,
    /// The token, and the caller's position after it.
    Token(Token, StreamPosition),
    /// The generation differs from what the caller has. The caller must discard its tokens and use
    /// these.
    Restart(Vec<(Token, StreamPosition)>),
}

/// Tracks which tokens the caller has. After a restart, compares the new generation, from offset 0,
/// with them.
///
/// Invariant: what the caller has is always the beginning of one generation.
#[derive(Debug, Clone)]
pub struct CatchUp {
    /// Position up to which the caller has the answer.
    held: StreamPosition,
    /// Position in the generation.
    position: StreamPosition,
    /// Tokens of a restarted generation that were not sent, since the caller has that many.
    skipped: Vec<(Token, StreamPosition)>,
}

impl CatchUp {
    /// Creates the state for a generation that continues at the caller's position.
    pub fn resumed(held: StreamPosition) -> Self {
        Self { held, position: held, skipped: Vec::new() }
    }

    /// Creates the state for a generation from offset 0, for a caller that is at position `held`.
    pub fn restarted(held: StreamPosition) -> Self {
        Self { held, position: StreamPosition::default(), skipped: Vec::new() }
    }

    /// Returns the position up to which the caller has the answer.
    pub fn held(&self) -> StreamPosition {
        self.held
    }

    /// Decides what to send to the caller for an accepted token.
    pub fn accept(&mut self, token: Token) -> Delivery {
        self.position = self.position.advance(&token.text);
        let last = token.finish.is_some();
        if self.position.tokens > self.held.tokens {
            self.held = self.position;
            return Delivery::Token(token, self.position);
        }
        self.skipped.push((token, self.position));
        let caught_up = self.position.tokens == self.held.tokens;
        if !caught_up && !last {
            return Delivery::Skip;
        }
        let skipped = std::mem::take(&mut self.skipped);
        if caught_up && self.position.hash == self.held.hash {
            return if last { Delivery::Complete } else { Delivery::Skip };
        }
        self.held = self.position;
        Delivery::Restart(skipped)
    }
}
