//! One instance's share of a rate that several instances keep together.

use std::time::Duration;

use ident::Time;

use crate::Permit;

/// How the rate of a replica is divided among its senders, the first instances in a rendezvous
/// order for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Division {
    /// Number of senders.
    pub(crate) senders: usize,
    /// Requests per second of one sender; above 0.
    pub(crate) rate: f64,
    /// Most requests that one sender may send at once; at least 1.
    pub(crate) burst: f64,
}

/// The requests that an instance may send to one replica.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    /// Requests that may be sent; at most [`Division::burst`].
    tokens: f64,
    /// When `tokens` was computed.
    refilled: Time,
}

impl Bucket {
    /// An empty bucket, so that an instance that learns of a limit adds no burst.
    pub(crate) fn empty(now: Time) -> Self {
        Self { tokens: 0.0, refilled: now }
    }

    /// Whether the instance at position `rank` of the rendezvous order may send a request.
    pub(crate) fn permit(&mut self, rank: usize, division: &Division, now: Time) -> Permit {
        let Division { senders, rate, burst } = *division;
        let gained = rate * now.since(self.refilled).as_secs_f64();
        (self.tokens, self.refilled) = ((self.tokens + gained).min(burst), now);
        if rank >= senders {
            Permit::Elsewhere
        } else if self.tokens >= 1.0 {
            Permit::Now
        } else {
            Permit::At(now.after(Duration::from_secs_f64((1.0 - self.tokens) / rate)))
        }
    }

    /// Takes one request out, after [`Bucket::permit`] allowed it.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
