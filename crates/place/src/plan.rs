//! Plans where the KV cache of a prompt's shared parts is fetched from and where it is saved.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fleet::Store;
use ident::Time;

use crate::{Catalog, Part, Prompt};

/// How long no other request of this instance saves a part after one was sent to save it.
const SAVE_CLAIM_TTL: Duration = Duration::from_secs(3);
/// Shared parts of prompts with fewer shared tokens than this are neither saved to stores nor
/// fetched from them: computing them again is faster than a transfer that waits behind long ones.
const MIN_SAVED_TOKENS: u64 = 1024;
/// Shortest and longest grace period during which parts of older weights are still fetched from
/// stores after newer weights are announced. If all parts were recomputed at once, no engine would
/// be free for other work; if all were kept, the stores would have no space for parts of the new
/// weights.
const OLD_PART_GRACE: (Duration, Duration) =
    (Duration::from_millis(2500), Duration::from_millis(7500));
/// Time from the end of a part's grace period until the part is freed. Must be longer than a fetch,
/// which may start at the end of the grace period and ends within 1.8 s. An instance that fetches
/// counts the grace period from the announcement or earlier, the instance that frees the part
/// counts it from the announcement or later.
const FREE_MARGIN: Duration = Duration::from_millis(2000);
/// Share of a store's capacity up to which parts are saved there. The rest is for saves that are
/// still running.
const MAX_FILL_RATIO: f64 = 0.97;

/// How long a part of older weights is still fetched from stores after newer weights are announced.
/// The time is derived from the part's id, so that all instances agree on it and the parts expire
/// at different times.
pub fn old_part_grace(part: &str) -> Duration {
    let share = xxhash_rust::xxh3::xxh3_64(part.as_bytes()) as f64 / u64::MAX as f64;
    OLD_PART_GRACE.0 + (OLD_PART_GRACE.1 - OLD_PART_GRACE.0).mul_f64(share)
}

/// How long after the announcement of newer weights a part of older weights may be freed.
pub fn free_delay(part: &str) -> Duration {
    old_part_grace(part) + FREE_MARGIN
}

/// The source that a part is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    /// Address of a store, or of a replica of the same target.
    pub addr: SocketAddr,
    /// Number of tokens to fetch; `None` for as many as the replica has.
    pub tokens: Option<u64>,
}

/// The transfers of one part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Source to fetch the part from; `None` if the part is not fetched.
    pub fetch: Option<Source>,
    /// Address of the store to save the part to after its prefill; `None` if the part is not saved.
    pub save: Option<SocketAddr>,
}

/// The transfers of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// One entry for each part of the prompt, in the prompt's order.
    pub parts: Vec<Transfer>,
    /// Deadline of the fetches from stores, in ms of the engines' clock; `None` if there are none.
    pub deadline_ms: Option<u64>,
    /// Deadline for sending the request, since the stores that it saves to may have restarted later;
    /// `None` if it saves nothing.
    pub send_by: Option<Time>,
}

impl Plan {
    /// Plans the transfers of `prompt` under `salt`. `preferred` is the address of the replica that
    /// most likely has the shared parts, if another replica runs the request. `replaced` is the
    /// time at which newer weights than the salt's were announced, if they were. `stores` are given
    /// with their catalogs.
    pub fn new(
        prompt: &Prompt,
        salt: &Arc<str>,
        preferred: Option<SocketAddr>,
        replaced: Option<Time>,
        stores: &mut [(Arc<Store>, &mut Catalog)],
        now: Time,
    ) -> Self {
        let mut out =
            Self { parts: vec![Transfer::default(); prompt.parts.len()], ..Self::default() };
        let is_long = prompt.shared_tokens() >= MIN_SAVED_TOKENS;
        let stores = if is_long { stores } else { &mut [] };
        for (at, part) in prompt.shared().iter().enumerate() {
            let expired = replaced.is_some_and(|at| now.since(at) >= old_part_grace(&part.id));
            let found = find_source(part, salt, stores, now).filter(|_| !expired);
            let (fetch, save) = match found {
                Some((source, until)) => {
                    out.deadline_ms = Some(out.deadline_ms.map_or(until, |u| u.min(until)));
                    (Some(source), None)
                }
                None => {
                    let fetch = preferred.map(|addr| Source { addr, tokens: None });
                    let chosen = match replaced {
                        None => choose_store(part, salt, stores, now),
                        Some(_) => None,
                    };
                    if let Some((_, until)) = chosen {
                        out.send_by = Some(out.send_by.map_or(until, |u| u.min(until)));
                    }
                    (fetch, chosen.map(|(addr, _)| addr))
                }
            };
            out.parts[at] = Transfer { fetch, save };
        }
        out
    }

    /// Whether the request may still be sent with these transfers.
    pub fn may_send(&self, now: Time) -> bool {
        self.send_by.is_none_or(|at| !at.passed(now))
    }

    /// Whether at least one part is fetched.
    pub fn fetches(&self) -> bool {
        self.parts.iter().any(|p| p.fetch.is_some())
    }
}

/// Returns the source of a part that a store holds completely, and the deadline of the fetch. Of
/// several stores it is the one with the least delay.
fn find_source(
    part: &Part,
    salt: &Arc<str>,
    stores: &[(Arc<Store>, &mut Catalog)],
    now: Time,
) -> Option<(Source, u64)> {
    let holds = |(store, catalog): &&(Arc<Store>, &mut Catalog)| {
        catalog.tokens(salt, &part.id, now).is_some_and(|t| t >= part.tokens).then_some(store.addr)
    };
    let (store, catalog) = stores
        .iter()
        .filter(|s| holds(s).is_some())
        .min_by(|(a, _), (b, _)| a.delay_ms.total_cmp(&b.delay_ms))?;
    let tokens = catalog.tokens(salt, &part.id, now);
    Some((Source { addr: store.addr, tokens }, catalog.fetch_deadline()))
}

/// Returns the address of the store to save the part to, and until when the request may be sent: the
/// first with enough free capacity in the order of weighted rendezvous hashing. `None` if there is no
/// such store, or if a request in flight saves the part already.
fn choose_store(
    part: &Part,
    salt: &Arc<str>,
    stores: &mut [(Arc<Store>, &mut Catalog)],
    now: Time,
) -> Option<(SocketAddr, Time)> {
    let mut order: Vec<(f64, usize)> =
        stores.iter().enumerate().map(|(at, (store, _))| (score(part, store), at)).collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, at) in order {
        let (store, catalog) = &mut stores[at];
        let free = store.capacity_tokens as f64 * MAX_FILL_RATIO - catalog.total_tokens() as f64;
        if catalog.allows_saves(now) && free >= part.tokens as f64 {
            let until = now.after(SAVE_CLAIM_TTL);
            let claimed = catalog.claim_save(salt, &part.id, until, now);
            return claimed.then(|| (store.addr, catalog.fresh_until()));
        }
    }
    None
}

/// Returns the score of a store for a part by weighted rendezvous hashing: the probability that a
/// store has the highest score is proportional to its capacity.
fn score(part: &Part, store: &Store) -> f64 {
    use xxhash_rust::xxh3::xxh3_64_with_seed;
    let hash = xxh3_64_with_seed(store.name.as_bytes(), xxh3_64_with_seed(part.id.as_bytes(), 0));
    let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -(store.capacity_tokens as f64) / unit.ln()
}
