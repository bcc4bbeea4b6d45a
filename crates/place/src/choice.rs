//! The choice of a replica for a request.

use std::{sync::Arc, time::Duration};

use fleet::{Engine, Replica};
use ident::{Time, rendezvous_order};

use crate::{
    Headroom, Load, Permit, Pool,
    partition::first_engines,
    pool::{Entry, FAILURE_THRESHOLD, FULL_COOLDOWN, is_short},
};

/// Engines of each part of a target among which one is chosen besides the preferred one, where
/// there are many peers.
const SAMPLE_SIZE: usize = 2;
/// The same where the engines' trackers are asked first.
const TRACKED_SAMPLE_SIZE: usize = 4;
/// Delay after which a caller finds another instance, where this one sends to none of the limited
/// replicas.
const LIMITED_DELAY: Duration = Duration::from_secs(1);

/// The request for which [`Pool::choose`] chooses a replica.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Name of the target.
    pub target: &'a str,
    /// Context that determines the preferred replica; `None` if the request has none.
    pub context: Option<&'a str>,
    /// Load of the request if nothing of its prompt is cached.
    pub load: Load,
    /// Prompt tokens that the preferred replica most likely has in its cache.
    pub shared_tokens: u64,
    /// Model and its newest weights version; `None` if the request names no model.
    pub model: Option<(&'a str, u64)>,
    /// Oldest weights version that may be used.
    pub min_version: u64,
    /// Version of the software that the replica must have; `None` if any will do. An unknown version
    /// equals none.
    pub software: Option<&'a str>,
    /// Headroom that the replica must have.
    pub headroom: Headroom,
    /// Zone of the instance that makes the choice.
    pub zone: &'a str,
    /// Identifiers of the replicas that this request was sent to already.
    pub tried: &'a [Arc<str>],
    /// Limited replicas and whether this instance may send to them. Sorted by replica.
    pub permits: &'a [(Arc<str>, Permit)],
    /// Description of the target's engines; `None` if its replicas are not engines.
    pub engine: Option<&'a Engine>,
    /// Time within which the answer is on time.
    pub goal: Duration,
    /// Random tie-breaker; any number.
    pub tie_breaker: u64,
}

/// The result of [`Pool::choose`].
#[derive(Debug, Clone)]
pub struct Choice {
    /// The chosen replica.
    pub replica: Arc<Replica>,
    /// Preferred replica for the context; `None` if it was chosen or there is none.
    pub preferred: Option<Arc<Replica>>,
    /// The chosen replica's weights version of the model, if known.
    pub version: Option<u64>,
    /// Expected delay of the first token, in ms.
    pub delay_ms: f64,
    /// Load that all instances have in flight at the replica, as far as is known.
    pub load: Load,
    /// Requests at the replica: the instances' count or the replica's own report, whichever is
    /// higher.
    pub requests: u32,
}

/// Why no replica was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// The target has no replica that accepts new requests and has the software.
    #[error("the target has no replica that takes work")]
    NoReplica,
    /// All replicas that accept new requests and have the software are in evacuated zones.
    #[error("all replicas are in evacuated zones")]
    Evacuated,
    /// No usable replica has the required headroom.
    #[error("all replicas are full")]
    Overloaded,
    /// The replicas with suitable weights are at their limits, or excluded for now.
    #[error("the replicas are at their limits")]
    Limited {
        /// Time at which this instance may send the next request to one of them.
        until: Time,
    },
    /// All replicas want no requests of this instance for a time that they named.
    #[error("the replicas turn requests away")]
    Declined {
        /// Time at which the first of them may be sent to again.
        until: Time,
    },
    /// All replicas with suitable weights were tried already or are excluded for now.
    #[error("no replica is usable now")]
    Excluded {
        /// Time at which the first of them may be tried again.
        until: Time,
    },
}

/// A replica that accepts requests, and whether it is preferred for short prompts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Member<'e> {
    pub(crate) entry: &'e Entry,
    pub(crate) for_short: bool,
}

impl PlacementRequest<'_> {
    /// Whether this instance may send to a replica; `None` if the replica has no limit.
    pub(crate) fn permit(&self, entry: &Entry) -> Option<Permit> {
        let found = self.permits.binary_search_by(|(id, _)| id.cmp(&entry.replica.id));
        found.ok().map(|at| self.permits[at].1)
    }

    /// Whether the prompt is a short one.
    pub(crate) fn is_short(&self) -> bool {
        is_short(self.load.prefill_tokens)
    }
}

/// Returns the preferred replica of the context for each weights version of the model. KV cache of
/// one version can't be used with another.
fn preferred_replicas<'e>(
    members: &[Member<'e>],
    request: &PlacementRequest<'_>,
    now: Time,
) -> Vec<(Option<u64>, &'e Entry)> {
    let Some(context) = request.context else { return Vec::new() };
    let mut out: Vec<(Option<u64>, &'e Entry)> = Vec::new();
    let order = rendezvous_order(context.as_bytes(), members, |m| &m.entry.replica.id);
    // A replica that loads weights loses its KV cache.
    let is_healthy =
        |m: &&Member<'e>| m.entry.failures < FAILURE_THRESHOLD && m.entry.loading_until.passed(now);
    let healthy = order.into_iter().filter(is_healthy);
    let (own, other): (Vec<&Member<'e>>, Vec<&Member<'e>>) =
        healthy.partition(|m| m.for_short == request.is_short());
    for entry in own.into_iter().chain(other).map(|m| m.entry) {
        let version = request.model.and_then(|(model, _)| entry.version(model));
        if out.iter().all(|(v, _)| *v != version) {
            out.push((version, entry));
        }
    }
    out
}

/// The engines of the part to which the prompt belongs.
fn own_part<'m, 'e>(
    members: &'m [Member<'e>],
    request: &PlacementRequest<'_>,
) -> Vec<&'m Member<'e>> {
    members
        .iter()
        .filter(|m| request.engine.is_none() || m.for_short == request.is_short())
        .collect()
}

/// A random sample of some engines.
fn sample<'m, 'e>(
    engines: Vec<&'m Member<'e>>,
    request: &PlacementRequest<'_>,
    count: usize,
) -> Vec<&'m Member<'e>> {
    let seed = request.tie_breaker.to_le_bytes();
    let order = rendezvous_order(&seed, &engines, |m| &m.entry.replica.id);
    order.into_iter().take(count).copied().collect()
}

/// The member with the least cost.
fn least<'e, F>(members: &[&Member<'e>], cost: F) -> Option<(f64, &'e Entry)>
where
    F: Fn(&&Member<'e>) -> f64,
{
    let costs = members.iter().map(|m| (cost(m), m.entry));
    costs.min_by(|(a, _), (b, _)| a.total_cmp(b))
}

fn contains(sampled: &[&Member<'_>], member: &Member<'_>) -> bool {
    sampled.iter().any(|m| m.entry.replica.id == member.entry.replica.id)
}

/// Whether the best replica of a sample would answer later than the goal, or there is none.
fn is_late(best: Option<(f64, &Entry)>, request: &PlacementRequest<'_>) -> bool {
    best.is_none_or(|(delay_ms, _)| delay_ms > request.goal.as_secs_f64() * 1000.0)
}

impl Pool {
    /// Chooses the replica with the least expected delay.
    ///
    /// Returns an error if the target has no replica outside of evacuated zones, if all are excluded or tried already, or if
    /// none has the required headroom.
    pub fn choose(
        &self,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Result<Choice, PlacementError> {
        let has_software =
            |r: &Replica| request.software.is_none_or(|s| r.software.as_deref() == Some(s));
        let mut members = self.members(request);
        members.retain(|m| has_software(&m.entry.replica));
        if members.is_empty() {
            let evacuated = self.entries.iter().map(|e| &e.replica).any(|r| {
                &*r.target == request.target
                    && !r.leaving
                    && self.is_evacuated(r)
                    && has_software(r)
            });
            return Err(match evacuated {
                true => PlacementError::Evacuated,
                false => PlacementError::NoReplica,
            });
        }
        let preferred = preferred_replicas(&members, request, now);
        let preferred_for = |entry: &Entry| {
            let version = request.model.and_then(|(model, _)| entry.version(model));
            preferred.iter().find(|(v, _)| *v == version).map(|(_, entry)| *entry)
        };
        let usable = members.iter().filter(|m| self.usable(m.entry, request, now));
        let fitting = usable.clone().filter(|m| self.has_headroom(m, request, now));
        let any_usable = usable.count() > 0;
        let is_preferred = |m: &Member<'_>| {
            preferred_for(m.entry).is_some_and(|p| p.replica.id == m.entry.replica.id)
        };
        let fitting: Vec<&Member<'_>> = fitting.collect();
        let cost = |m: &&Member<'_>| self.cost(m, preferred_for(m.entry), request, now);
        let best = match self.needs_sample(request) {
            false => least(&fitting, cost),
            true => {
                let count = self.sample_size(request);
                let sampled = sample(own_part(&members, request), request, count);
                let own = fitting.iter().filter(|m| is_preferred(m) || contains(&sampled, m));
                let own = least(&own.copied().collect::<Vec<_>>(), cost);
                let free = match is_late(own, request) {
                    true => sample(self.free_engines(&fitting, request, now), request, count),
                    false => Vec::new(),
                };
                let best = own.into_iter().chain(least(&free, cost));
                best.min_by(|(a, _), (b, _)| a.total_cmp(b)).or_else(|| least(&fitting, cost))
            }
        };
        let Some((delay_ms, entry)) = best else {
            if any_usable {
                return Err(PlacementError::Overloaded);
            }
            let declined = members.iter().map(|m| m.entry.declined_until).min();
            if let Some(until) = declined.filter(|until| !until.passed(now)) {
                return Err(PlacementError::Declined { until });
            }
            if let Some(until) = self.limited_until(&members, request, now) {
                return Err(PlacementError::Limited { until });
            }
            let first = members
                .iter()
                .map(|m| m.entry.excluded_until.max(m.entry.declined_until))
                .filter(|t| !t.passed(now))
                .min();
            return Err(PlacementError::Excluded {
                until: first.unwrap_or(now.after(FULL_COOLDOWN)),
            });
        };
        let version = request.model.and_then(|(model, _)| entry.version(model));
        let other = preferred_for(entry).filter(|p| p.replica.id != entry.replica.id);
        let preferred = other.map(|p| p.replica.clone());
        let (load, requests) = (self.total_load(entry, now), self.requests(entry, now));
        Ok(Choice { replica: entry.replica.clone(), preferred, version, delay_ms, load, requests })
    }

    /// Whether a replica is chosen among a sample. Many instances that choose the least loaded of all
    /// replicas, by the same report of its load, would all send there.
    fn needs_sample(&self, request: &PlacementRequest<'_>) -> bool {
        let by_counts = request.engine.is_some() && self.has_many_peers();
        let by_pace = self.speed(request.target).is_some() && self.has_peers();
        (by_counts || by_pace) && request.software.is_none()
    }

    /// The engines with free slots in the part to which a short prompt does not belong; none for a
    /// long prompt.
    fn free_engines<'m, 'e>(
        &self,
        fitting: &[&'m Member<'e>],
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Vec<&'m Member<'e>> {
        let is_free = |m: &Member<'e>| {
            let slots = request.engine.map_or(0, |engine| engine.slots);
            request.is_short() && !m.for_short && self.requests(m.entry, now) < slots
        };
        fitting.iter().copied().filter(|m| is_free(m)).collect()
    }

    /// Number of engines in a sample.
    fn sample_size(&self, request: &PlacementRequest<'_>) -> usize {
        let is_tracked = !request.is_short() && self.is_tracked(request.target);
        if is_tracked { TRACKED_SAMPLE_SIZE } else { SAMPLE_SIZE }
    }

    /// The engines among which [`Pool::choose`] chooses for the same request, and whose trackers should
    /// be asked before. Empty where none needs to be.
    pub fn tracked_candidates(&self, request: &PlacementRequest<'_>, now: Time) -> Vec<Arc<str>> {
        if !self.needs_sample(request) || request.is_short() || !self.is_tracked(request.target) {
            return Vec::new();
        }
        let members = self.members(request);
        let preferred = preferred_replicas(&members, request, now);
        let preferred = preferred.into_iter().map(|(_, entry)| entry);
        let sampled = sample(own_part(&members, request), request, self.sample_size(request));
        let mut out: Vec<Arc<str>> = Vec::new();
        for entry in preferred.chain(sampled.into_iter().map(|m| m.entry)) {
            if !out.contains(&entry.replica.id) {
                out.push(entry.replica.id.clone());
            }
        }
        out
    }

    /// When this instance may next send to a replica that only its limit excludes; `None` if there is
    /// no such replica.
    fn limited_until(
        &self,
        members: &[Member<'_>],
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Option<Time> {
        let limited = members.iter().filter(|m| self.sound(m.entry, request, now));
        let until = limited.filter_map(|m| match request.permit(m.entry)? {
            Permit::Now | Permit::Cold => None,
            Permit::At(at) => Some(at),
            Permit::Elsewhere => Some(now.after(LIMITED_DELAY)),
        });
        until.min()
    }

    /// Returns the target's replicas that accept requests, outside of evacuated zones. The order in
    /// which engines are preferred for short prompts depends on their ids only: instances that count
    /// a few more or fewer agree about all others.
    fn members(&self, request: &PlacementRequest<'_>) -> Vec<Member<'_>> {
        let accepts = |e: &&Entry| {
            let r = &e.replica;
            &*r.target == request.target && !r.leaving && !self.is_evacuated(r)
        };
        let entries: Vec<&Entry> = self.entries.iter().filter(accepts).collect();
        if request.engine.is_none() {
            return entries.into_iter().map(|entry| Member { entry, for_short: false }).collect();
        }
        let count = self.short_count(request.target, request.engine, entries.len());
        let short = first_engines(request.target, &entries, count);
        let is_short = |e: &Entry| short.binary_search(&&*e.replica.id).is_ok();
        entries.into_iter().map(|entry| Member { entry, for_short: is_short(entry) }).collect()
    }

    /// Whether the replica has the required headroom.
    /// Only what instances say of their requests counts: typical sizes would keep large prompts waiting.
    fn has_headroom(&self, member: &Member<'_>, request: &PlacementRequest<'_>, now: Time) -> bool {
        let (Some(engine), false) =
            (request.engine, request.headroom == Headroom::Any || request.is_short())
        else {
            return true;
        };
        let taken = match self.tracked(member.entry, now) {
            Some(load) => load.memory_tokens,
            None => self.total_load(member.entry, now).memory_tokens,
        };
        let suits = request.headroom == Headroom::Tight || !member.for_short;
        suits && request.headroom.fits(taken, request.load.memory_tokens, engine.capacity_tokens)
    }

    fn usable(&self, entry: &Entry, request: &PlacementRequest<'_>, now: Time) -> bool {
        let permit = request.permit(entry);
        let permitted = permit.is_none_or(|p| matches!(p, Permit::Now | Permit::Cold));
        permitted && self.sound(entry, request, now)
    }

    /// Whether the request may be sent to the replica, but for its limit.
    fn sound(&self, entry: &Entry, request: &PlacementRequest<'_>, now: Time) -> bool {
        let tried = request.tried.contains(&entry.replica.id);
        let version = request.model.is_none_or(|(model, _)| {
            entry.version(model).is_some_and(|v| v >= request.min_version)
        });
        let is_open = entry.excluded_until.passed(now) && entry.declined_until.passed(now);
        !tried && version && is_open
    }
}
