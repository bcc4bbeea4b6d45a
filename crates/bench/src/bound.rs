//! The least recomputation that memory, disk and links allow, worked out with the whole trace
//! known.
//!
//! Three relaxations make it a true lower bound. The prefix caches of all replicas of one part of
//! the organisation count as one memory that evicts, token by token, what is needed last
//! (optimal for one memory). Every reusable token may be asked of the stores whether or not a
//! memory holds it; each link serves the earliest deadline first (which moves the most before the
//! deadlines). What both give together is never more than what is reusable.

use ident::Time;

use crate::{
    fake::Lru,
    spec::{Spec, TOKEN_BYTES},
    trace::{Request, Trace},
};

/// Tokens counted over the measured part of a trace.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Bound {
    /// Tokens of context that were there before.
    pub reusable: f64,
    /// Most tokens that the replicas' memories could still hold, with the future known.
    pub held: f64,
    /// Most tokens that the links could have moved in time.
    pub moved: f64,
    /// Tokens that one memory evicting the least recently used context would hold.
    pub lru_held: f64,
    /// Tokens that the links could have moved in time of those which that memory lacks, beside
    /// the writes of new and edited context.
    pub lru_moved: f64,
}

impl Bound {
    /// The least share of reusable context that is recomputed.
    pub fn share(&self) -> f64 {
        self.left(self.held + self.moved)
    }

    /// The share that is recomputed when all replicas were one, evicting as engines do, and all
    /// instances one, using each link to the full. Not a strict bound: without knowing the future
    /// it is hard to do better.
    pub fn lru_share(&self) -> f64 {
        self.left(self.lru_held + self.lru_moved)
    }

    fn left(&self, saved: f64) -> f64 {
        ((self.reusable - saved) / self.reusable.max(1.0)).max(0.0)
    }
}

/// The bound for a trace.
pub fn bound(spec: &Spec, trace: &Trace) -> Bound {
    let mut out = Bound::default();
    let reusable = reusable(trace);
    for org in 0..spec.replicas.len() {
        let own: Vec<usize> = (0..trace.requests.len())
            .filter(|i| spec.teams[trace.requests[*i].team].org == org)
            .collect();
        let cap = spec.memory as f64 * spec.replicas[org] as f64;
        let stores = spec.stores.iter().filter(|s| s.is_none_or(|o| o == org)).count();
        let rate = spec.link as f64 * stores as f64;
        let wishes = |found: &[u32], writes| wishes(spec, trace, &own, &reusable, found, writes);
        out.held += held(spec, trace, &own, &reusable, cap);
        out.moved += moved(wishes(&vec![0; own.len()], false), rate);
        let found = lru_found(trace, &own, cap as u64);
        let sum = |(i, found): (&usize, &u32)| match is_measured(spec, trace, *i) {
            true => f64::from(*found.min(&reusable[*i])),
            false => 0.0,
        };
        out.lru_held += own.iter().zip(&found).map(sum).sum::<f64>();
        out.lru_moved += moved(wishes(&found, true), rate);
    }
    let all = (0..trace.requests.len()).filter(|i| is_measured(spec, trace, *i));
    out.reusable = all.map(|i| f64::from(reusable[i])).sum();
    out
}

fn is_measured(spec: &Spec, trace: &Trace, request: usize) -> bool {
    trace.requests[request].at >= Time(spec.warmup)
}

/// For each request of `own` the leading tokens found in one memory of `cap` tokens.
fn lru_found(trace: &Trace, own: &[usize], cap: u64) -> Vec<u32> {
    let mut memory = Lru::new(cap);
    let one = |i: &usize| {
        let request = &trace.requests[*i];
        memory.cut(request.context, request.intact);
        let found = memory.tokens(request.context);
        memory.put(request.context, request.shared);
        found
    };
    own.iter().map(one).collect()
}

/// For each request the leading tokens of its context that were there before.
pub(crate) fn reusable(trace: &Trace) -> Vec<u32> {
    let contexts = trace.requests.iter().map(|r| r.context + 1).max().unwrap_or(0);
    let mut seen = vec![false; contexts];
    let one = |r: &Request| {
        let was_seen = std::mem::replace(&mut seen[r.context], true);
        if was_seen { r.intact } else { 0 }
    };
    trace.requests.iter().map(one).collect()
}

/// A context in the memory, by its next use.
#[derive(Debug)]
struct Slot {
    /// Index of the next request; `usize::MAX` when there is none.
    next: usize,
    tokens: f64,
}

/// Most tokens found in a memory of `cap` tokens that evicts what is needed last.
fn held(spec: &Spec, trace: &Trace, own: &[usize], reusable: &[u32], cap: f64) -> f64 {
    let next = next_uses(trace, own);
    let mut slots: Vec<Slot> = Vec::new();
    let (mut used, mut found) = (0.0, 0.0);
    for (&i, &next) in own.iter().zip(&next) {
        let request = &trace.requests[i];
        let at = slots.partition_point(|s| s.next < i);
        if slots.get(at).is_some_and(|s| s.next == i) {
            let slot = slots.remove(at);
            used -= slot.tokens;
            if request.at >= Time(spec.warmup) {
                found += slot.tokens.min(f64::from(reusable[i]));
            }
        }
        let tokens = f64::from(request.shared);
        let at = slots.partition_point(|s| s.next < next);
        slots.insert(at, Slot { next, tokens });
        used += tokens;
        while used > cap {
            let last = slots.last_mut().expect("a memory in use holds something");
            let over = (used - cap).min(last.tokens);
            last.tokens -= over;
            used -= over;
            if last.tokens <= 0.0 {
                slots.pop();
            }
        }
    }
    found
}

/// For each request of `own` the index of the next request for its context.
fn next_uses(trace: &Trace, own: &[usize]) -> Vec<usize> {
    let contexts = trace.requests.iter().map(|r| r.context + 1).max().unwrap_or(0);
    let mut next = vec![usize::MAX; contexts];
    let step = |i: &usize| std::mem::replace(&mut next[trace.requests[*i].context], *i);
    let mut out: Vec<_> = own.iter().rev().map(step).collect();
    out.reverse();
    out
}

/// A wish for tokens over the link.
#[derive(Debug, Clone, Copy)]
struct Wish {
    at: f64,
    deadline: f64,
    left: f64,
    counts: bool,
}

/// The wishes of `own`: reusable tokens beyond those `found`, and the writes of new context,
/// which may take until the batch deadline.
fn wishes(
    spec: &Spec,
    trace: &Trace,
    own: &[usize],
    reusable: &[u32],
    found: &[u32],
    with_writes: bool,
) -> Vec<Wish> {
    let mut out = Vec::with_capacity(own.len());
    for (&i, found) in own.iter().zip(found) {
        let request = &trace.requests[i];
        let at = request.at.0 as f64;
        let wish = |tokens: u32, patience: u64, counts| Wish {
            at,
            deadline: at + patience as f64,
            left: f64::from(tokens),
            counts,
        };
        let read = reusable[i].saturating_sub(*found);
        out.push(wish(read, request.patience, is_measured(spec, trace, i)));
        if with_writes {
            out.push(wish(request.shared - reusable[i], spec.batch.deadline, false));
        }
    }
    out
}

/// Most counted tokens a link of `rate` bytes per second moves before the deadlines.
fn moved(wishes: Vec<Wish>, rate: f64) -> f64 {
    let rate = rate / TOKEN_BYTES as f64 / 1000.0;
    let mut open: Vec<Wish> = Vec::new();
    let (mut now, mut sum) = (0.0, 0.0);
    for wish in wishes {
        sum += serve(&mut open, now, wish.at, rate);
        now = wish.at;
        let place = open.partition_point(|w| w.deadline <= wish.deadline);
        open.insert(place, wish);
    }
    sum + serve(&mut open, now, f64::INFINITY, rate)
}

/// Serves wishes from `now` to `end`, earliest deadline first; the counted tokens moved.
fn serve(open: &mut Vec<Wish>, mut now: f64, end: f64, rate: f64) -> f64 {
    let mut sum = 0.0;
    while now < end && !open.is_empty() {
        let wish = &mut open[0];
        let until = (now + wish.left / rate).min(wish.deadline).min(end);
        if until > now {
            let tokens = (until - now) * rate;
            wish.left -= tokens;
            sum += if wish.counts { tokens } else { 0.0 };
            now = until;
        }
        if until < end || wish.deadline <= now || wish.left <= 0.0 {
            open.remove(0);
        }
    }
    sum
}
