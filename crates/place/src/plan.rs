//! Where the KV cache of a prompt's shared parts comes from and where it is kept.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fleet::Store;
use ident::Time;

use crate::{Catalog, Part, Prompt};

/// How long other requests of this instance leave the saving of a part to one that was sent.
const SAVE_TERM: Duration = Duration::from_secs(3);
/// Prompts whose shared parts are shorter than this stay in the replicas' memory: reading them again
/// is quicker than a transfer that waits behind long ones.
const MIN_KEPT: u64 = 1024;
/// Shortest and longest time for which parts of older weights are still read from stores after newer
/// ones are named. Reading everything again at once would take all engines; keeping everything
/// would leave no room for parts of the newer ones.
const OLD_TERMS: (Duration, Duration) = (Duration::from_millis(2500), Duration::from_millis(7500));
/// A part of older weights is freed this long after it was last read. Readers count from no later than
/// the naming and whoever frees from no earlier, and a fetch ends within 1.8 s.
const FREE_MARGIN: Duration = Duration::from_millis(2000);
/// Share of a store's room that is filled, so that saves under way find space.
const FILL: f64 = 0.97;

/// The cache salt of a prompt: parts are shared within one version of a model's weights and, for a
/// dedicated team, within that team.
pub fn salt(model: &str, version: u64, team: Option<&str>) -> Arc<str> {
    match team {
        Some(team) => format!("{model}/{version}/{team}").into(),
        None => format!("{model}/{version}").into(),
    }
}

/// The model and version that a salt stands for; `None` for texts that are none.
pub fn salted(salt: &str) -> Option<(&str, u64)> {
    let mut words = salt.split('/');
    let model = words.next()?;
    Some((model, words.next()?.parse().ok()?))
}

/// How long after newer weights are named an older part is still read from stores. It follows from
/// the part's id, so that all instances agree and parts are given up one after the other.
pub fn old_term(part: &str) -> Duration {
    let share = xxhash_rust::xxh3::xxh3_64(part.as_bytes()) as f64 / u64::MAX as f64;
    OLD_TERMS.0 + (OLD_TERMS.1 - OLD_TERMS.0).mul_f64(share)
}

/// When such a part may be freed.
pub fn free_term(part: &str) -> Duration {
    old_term(part) + FREE_MARGIN
}

/// Where a part is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    /// A store, or a replica of the same target.
    pub addr: SocketAddr,
    /// Tokens to read; `None` for all that a replica has.
    pub tokens: Option<u64>,
}

/// What is moved for one part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Fetch the part from there.
    pub fetch: Option<Source>,
    /// Save the part there once it is read.
    pub save: Option<SocketAddr>,
}

/// The transfers of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// One for each part of the prompt, in order.
    pub parts: Vec<Transfer>,
    /// When fetches must have ended, on the engines' clock in ms.
    pub until: Option<u64>,
}

impl Plan {
    /// Plans the transfers of `prompt` under `salt`. `home` is the replica that most likely has
    /// the shared parts, where it isn't the one that will run the request. `old` tells since when
    /// newer weights than the salt's are named, if they are. `stores` come with their catalogues.
    pub fn new(
        prompt: &Prompt,
        salt: &Arc<str>,
        home: Option<SocketAddr>,
        old: Option<Time>,
        stores: &mut [(Arc<Store>, &mut Catalog)],
        now: Time,
    ) -> Self {
        let mut out = Self { parts: vec![Transfer::default(); prompt.parts.len()], until: None };
        let long = prompt.shared_tokens() >= MIN_KEPT;
        let stores = if long { stores } else { &mut [] };
        for (at, part) in prompt.shared().iter().enumerate() {
            let given_up = old.is_some_and(|at| now.since(at) >= old_term(&part.id));
            let found = kept(part, salt, stores, now).filter(|_| !given_up);
            let (fetch, save) = match found {
                Some((source, until)) => {
                    out.until = Some(out.until.map_or(until, |u| u.min(until)));
                    (Some(source), None)
                }
                None => {
                    let fetch = home.map(|addr| Source { addr, tokens: None });
                    let save = if old.is_none() { keep(part, salt, stores, now) } else { None };
                    (fetch, save)
                }
            };
            out.parts[at] = Transfer { fetch, save };
        }
        out
    }

    /// Whether any part is fetched.
    pub fn fetches(&self) -> bool {
        self.parts.iter().any(|p| p.fetch.is_some())
    }
}

/// The store that holds the part whole, and until when it may be read.
fn kept(
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
        .min_by(|(a, _), (b, _)| a.delay.total_cmp(&b.delay))?;
    let tokens = catalog.tokens(salt, &part.id, now);
    Some((Source { addr: store.addr, tokens }, catalog.until()))
}

/// The store that is to keep the part: the first with room in the order of rendezvous hashing,
/// weighted by capacity. `None` when a request under way saves it already.
fn keep(
    part: &Part,
    salt: &Arc<str>,
    stores: &mut [(Arc<Store>, &mut Catalog)],
    now: Time,
) -> Option<SocketAddr> {
    let mut order: Vec<(f64, usize)> =
        stores.iter().enumerate().map(|(at, (store, _))| (score(part, store), at)).collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, at) in order {
        let (store, catalog) = &mut stores[at];
        let room = store.capacity as f64 * FILL - catalog.total() as f64;
        if catalog.fresh(now) && room >= part.tokens as f64 {
            let until = now.after(SAVE_TERM);
            return catalog.claim_save(salt, &part.id, until, now).then_some(store.addr);
        }
    }
    None
}

/// Weighted rendezvous hashing: the chance of the highest score is proportional to capacity.
fn score(part: &Part, store: &Store) -> f64 {
    use xxhash_rust::xxh3::xxh3_64_with_seed;
    let hash = xxh3_64_with_seed(store.name.as_bytes(), xxh3_64_with_seed(part.id.as_bytes(), 0));
    let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -(store.capacity as f64) / unit.ln()
}
