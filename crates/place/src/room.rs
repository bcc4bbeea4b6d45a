//! The headroom that an engine needs for a long prompt, and how long the prompt waits for it.
//!
//! There may be more long prompts than fit into the engines' memory at once. The parts that an
//! engine fetches for a queued request are evicted by the running requests and must be prefilled
//! again when the request starts. Requests therefore wait at the instance while all engines are
//! full.

use std::time::Duration;

use crate::{Load, pool::is_short, speed::PREFILL_TOKENS_PER_MS};

/// Largest share of an engine's memory that requests may need for [`Headroom::Ample`].
const AMPLE_MEMORY_SHARE: f64 = 0.75;
/// Largest share of an engine's memory that requests may need for [`Headroom::Tight`]. At 0.95
/// engines preempt running requests.
const TIGHT_MEMORY_SHARE: f64 = 0.85;
/// An engine whose requests need a smaller share of its memory than this accepts any request.
const IDLE_MEMORY_SHARE: f64 = 0.2;
/// Time for which a request waits for [`Headroom::Ample`], as a share of the time goal of its
/// route.
const AMPLE_WAIT_RATIO: f64 = 0.25;
/// Time from the start of the wait after which any engine may be chosen, as a multiple of the time
/// goal of the request's route. A late answer is worth less, but a request that is sent to a full
/// engine delays all other requests there.
const TIGHT_WAIT_RATIO: f64 = 8.0;
/// Largest share of a request's timeout for which it waits for headroom.
const MAX_WAIT_SHARE: f64 = 0.6;

/// The headroom in an engine's memory that it must have to be chosen, the most first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Headroom {
    /// The engine must have memory to spare and must not be preferred for short prompts.
    Ample,
    /// The engine must have enough memory for the request.
    Tight,
    /// No headroom is needed: any engine may be chosen.
    Any,
}

/// A request with a short timeout is sent to a replica before it times out.
fn max_wait(timeout: Duration) -> Duration {
    timeout.mul_f64(MAX_WAIT_SHARE)
}

impl Load {
    /// Whether an engine needs headroom for a request with this load: its prompt is a long one.
    pub fn needs_headroom(self) -> bool {
        !is_short(self.prefill_tokens)
    }

    /// Expected time that an engine works on the request if `cached` tokens of its prompt are cached.
    pub fn work(self, cached: u64) -> Duration {
        let tokens = self.prefill_tokens.saturating_sub(cached);
        Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_MS / 1e3)
    }
}

impl Headroom {
    /// Returns the headroom that is needed for a request that has waited for `waited`; the longer
    /// it has waited, the less is needed. An answer within `goal` is on time; `timeout` is the
    /// longest time until the request is answered or rejected.
    pub fn after_wait(waited: Duration, goal: Duration, timeout: Duration) -> Self {
        match waited {
            w if w < goal.mul_f64(AMPLE_WAIT_RATIO).min(max_wait(timeout)) => Self::Ample,
            w if w < Self::longest_wait(goal, timeout) => Self::Tight,
            _ => Self::Any,
        }
    }

    /// The wait after which [`Headroom::after_wait`] returns [`Headroom::Any`].
    pub fn longest_wait(goal: Duration, timeout: Duration) -> Duration {
        goal.mul_f64(TIGHT_WAIT_RATIO).min(max_wait(timeout))
    }

    /// Whether an engine with memory for `capacity` tokens, whose requests need `taken` tokens, has
    /// this headroom for a request that needs `more` tokens.
    pub(crate) fn fits(self, taken: u64, more: u64, capacity: u64) -> bool {
        let share = |tokens: u64| tokens as f64 / capacity.max(1) as f64;
        let limit = match self {
            Self::Ample => AMPLE_MEMORY_SHARE,
            Self::Tight => TIGHT_MEMORY_SHARE,
            Self::Any => return true,
        };
        share(taken) + share(more) <= limit || share(taken) < IDLE_MEMORY_SHARE
    }
}
