//! A model engine: computes one prompt after the other and generates in parallel.

use std::time::Duration;

use ident::{Class, Time};
use route::Load;

use super::Lru;

/// Requests that generate tokens at once.
const SLOTS: usize = 48;
/// Requests that may wait; more are refused.
const MAX_WAITING: usize = 64;
/// Part of the prefill rate that is lost when all slots generate.
const SLOWDOWN: f64 = 0.3;
/// Fixed cost of a prompt.
const PROMPT_COST: Duration = Duration::from_millis(15);

/// A prompt handed to an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    /// Index of the job.
    pub(crate) id: usize,
    /// Its context.
    pub(crate) context: usize,
    /// Tokens of the shared context.
    pub(crate) shared: u32,
    /// Tokens of the prompt.
    pub(crate) tokens: u32,
    /// Leading tokens that were imported.
    pub(crate) imported: u32,
    /// Its urgency; decides the order.
    pub(crate) class: Class,
}

/// A prompt whose computation began.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Started {
    /// The job.
    pub(crate) id: usize,
    /// When its first token comes.
    pub(crate) first: Time,
    /// Leading tokens that were not computed.
    pub(crate) cached: u32,
}

/// A model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    rate: u32,
    pub(crate) memory: Lru,
    /// Prompts waiting. Invariant: sorted by class, then arrival.
    queue: Vec<Job>,
    current: Option<Job>,
    generating: usize,
    /// Refuses connections from the first time until the second.
    pub(crate) down: (Time, Time),
}

impl Engine {
    pub(crate) fn new(rate: u32, memory: u64) -> Self {
        Self {
            rate,
            memory: Lru::new(memory),
            queue: Vec::new(),
            current: None,
            generating: 0,
            down: (Time(0), Time(0)),
        }
    }

    /// Takes a prompt; false when it is full.
    pub(crate) fn submit(&mut self, job: Job) -> bool {
        if self.queue.len() >= MAX_WAITING {
            return false;
        }
        let at = self.queue.partition_point(|j| j.class <= job.class);
        self.queue.insert(at, job);
        true
    }

    /// Begins the next prompt, if none is computed and a slot is free.
    pub(crate) fn begin(&mut self, now: Time) -> Option<Started> {
        if self.current.is_some() || self.queue.is_empty() || self.generating >= SLOTS {
            return None;
        }
        let job = self.queue.remove(0);
        let cached = self.memory.tokens(job.context).min(job.shared).max(job.imported);
        self.memory.touch(job.context);
        self.current = Some(job);
        let tokens = job.tokens.saturating_sub(cached).max(1);
        let span = Duration::from_secs_f64(f64::from(tokens) / self.effective_rate());
        Some(Started { id: job.id, first: now.after(PROMPT_COST + span), cached })
    }

    /// The current prompt is computed; returns the contexts that were evicted for it.
    pub(crate) fn computed(&mut self) -> Vec<usize> {
        let job = self.current.take().expect("a prompt is being computed");
        self.generating += 1;
        self.memory.put(job.context, job.shared)
    }

    /// A request has generated its answer.
    pub(crate) fn finished(&mut self) {
        assert!(self.generating > 0, "an answer ends once");
        self.generating -= 1;
    }

    fn effective_rate(&self) -> f64 {
        let busy = self.generating as f64 / SLOTS as f64;
        f64::from(self.rate) * (1.0 - SLOWDOWN * busy)
    }

    /// Its load now.
    pub(crate) fn load(&self, now: Time) -> Load {
        let waiting = self.queue.len() + usize::from(self.current.is_some());
        Load {
            running: self.generating as u32,
            waiting: waiting as u32,
            prefill_rate: self.effective_rate() as u32,
            measured_at: now,
        }
    }

    /// Whether it refuses connections.
    pub(crate) fn is_down(&self, now: Time) -> bool {
        self.down.0 <= now && now < self.down.1
    }

    /// Requests it can have at once.
    pub(crate) fn slots() -> usize {
        SLOTS
    }
}
