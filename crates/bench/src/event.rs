//! Events of a run, in the order of time.

use std::{cmp::Reverse, collections::BinaryHeap};

use ident::Time;

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request arrives at its instance.
    Arrive(usize),
    /// An import or export begins.
    Begin(u64),
    /// The link of a store may have finished a transfer; outdated unless the version is current.
    Moved(usize, u64),
    /// A prompt is computed.
    First {
        /// The engine.
        engine: usize,
        /// The job.
        job: usize,
    },
    /// An answer is complete.
    Finish {
        /// The engine.
        engine: usize,
        /// The job.
        job: usize,
    },
    /// News of an eviction reach the instances.
    Evicted {
        /// The engine.
        engine: usize,
        /// The context.
        context: usize,
        /// When it was evicted.
        at: Time,
    },
    /// Engines take stock of their load.
    Sample,
    /// The oldest sample reaches the instances.
    Deliver,
    /// Gates look at their queues.
    Tick,
    /// The rate of all links changes to this many thousandths.
    LinkRate(u64),
}

/// Events to come. Events of one time come in the order they were added.
#[derive(Debug, Default)]
pub(crate) struct Events {
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    next: u64,
}

impl Events {
    pub(crate) fn add(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next, event)));
    }

    pub(crate) fn pop(&mut self) -> Option<(Time, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
