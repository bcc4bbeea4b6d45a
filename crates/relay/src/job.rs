//! An accepted request with its route, team and deadline.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use blame::{SuspectKey, Suspects};
use bytes::Bytes;
use fleet::{CacheScope, Route, Snapshot, Team, Walls};
use hyper::{HeaderMap, Method, Uri};
use ident::{Digest, Time};
use place::Prompt;

use crate::{bodies::Hold, core::Core, protocol::RequestMeta};

/// Counts a request as in flight until the guard is dropped, once its answer is written.
pub struct ActiveGuard(Arc<Core>);

impl ActiveGuard {
    /// Counts a request as in flight.
    pub fn new(core: &Arc<Core>) -> Self {
        core.active.fetch_add(1, Ordering::Relaxed);
        Self(core.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that was accepted and whose body was read.
pub struct Job {
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// Headers to forward to the replica.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Digest of what makes the request the same one if it comes again: host, method, path and
    /// query, team, prompt and body.
    pub digest: Digest,
    /// What the caller's headers say about the request.
    pub meta: RequestMeta,
    /// Route that the request matched.
    pub route: Route,
    /// Team of the caller; `None` on public routes and without keys.
    pub team: Option<Team>,
    /// When the request's head was read.
    pub start: Time,
    /// When the answer must be complete.
    pub deadline: Time,
    /// Whether a peer sent it on, so that it goes to replicas only.
    pub is_detour: bool,
    /// Whether the request may have reached a replica that has not refused it.
    pub(crate) in_doubt: AtomicBool,
    /// Holds the memory that the body takes.
    pub _body_hold: Option<Hold>,
}

impl Job {
    /// The prompt of a request to a model engine; `None` where the route is not `sticky` or
    /// the headers name no model.
    pub fn prompt(&self) -> Option<&Prompt> {
        self.meta.prompt.as_ref().filter(|_| self.route.sticky)
    }

    /// What replicas may end under: the prompt's shared parts, in its order, and the request.
    pub fn suspects(&self) -> Suspects {
        let prompt = self.meta.prompt.as_ref();
        let parts = prompt.iter().flat_map(|p| {
            let team = self.dedicated_team();
            p.shared().iter().map(move |part| SuspectKey::part(&p.model, team, &part.id))
        });
        parts.chain([SuspectKey::Request(self.digest)]).collect()
    }

    /// The time left until the deadline.
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// The requests with which this one shares KV cache, by the configuration in force now.
    pub fn cache_scope(&self, snapshot: &Snapshot) -> CacheScope {
        let team = self.team.as_ref();
        snapshot
            .config
            .as_ref()
            .map_or_else(|| Walls::default().scope(team), |config| config.walls.scope(team))
    }

    /// The team's name if it shares its KV cache with no other team.
    pub fn dedicated_team(&self) -> Option<&str> {
        self.team.as_ref().filter(|t| t.dedicated).map(|t| &*t.name)
    }

    /// The target of the request, which `random` selects according to the shares of the route.
    pub fn target(&self, random: u64) -> Arc<str> {
        let total: u64 = self.route.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut rest = random % total.max(1);
        for share in &self.route.shares {
            if rest < u64::from(share.weight) {
                return share.target.clone();
            }
            rest -= u64::from(share.weight);
        }
        self.route.shares[0].target.clone()
    }

    /// The request's priority at an engine, 0 first; `None` without a prompt. Its target has `levels`
    /// effective priorities, `rank` of which are more urgent. Within a level short prompts go first,
    /// since they hardly delay others.
    pub fn priority(&self, rank: usize, levels: usize) -> Option<u8> {
        let tokens = self.prompt()?.input_tokens;
        let class = PRIORITIES.iter().take_while(|(below, _)| tokens >= *below).count();
        if levels < 2 {
            return Some(PRIORITIES.get(class).map_or(LONG_PROMPT_PRIORITY, |(_, p)| *p));
        }
        // Each level has an equal part of the engine's priorities.
        let width = (ENGINE_PRIORITIES / levels).max(1);
        Some((rank * width + class.min(width - 1)).min(ENGINE_PRIORITIES - 1) as u8)
    }

    /// The oldest version of the model's weights that the request may use; 0 allows any.
    pub fn min_version(&self, core: &Core, snapshot: &Snapshot, now: Time) -> u64 {
        let wanted = self.prompt().and_then(|p| snapshot.announced(&p.model));
        wanted.map_or(0, |w| core.min_version(w, now))
    }
}

/// The digest of a request, see [`Job::digest`]. `uri` must have no authority. A body holds the text
/// of the prompt's last part, which needs no place in the digest then.
pub(crate) fn request_digest(
    host: &str,
    method: &Method,
    uri: &Uri,
    team: Option<&str>,
    prompt: Option<&Prompt>,
    body: &[u8],
) -> Digest {
    let path = uri.path_and_query().map_or("", |p| p.as_str());
    let mut fields = vec![host, method.as_str(), path];
    fields.extend(if team.is_some() { ["team", team.unwrap_or_default()] } else { ["", ""] });
    if let Some(prompt) = prompt {
        let parts = if body.is_empty() { &prompt.parts[..] } else { prompt.shared() };
        fields.push(&prompt.model);
        fields.extend(parts.iter().map(|part| &*part.id));
    }
    let fields = fields.into_iter().map(str::as_bytes);
    Digest::of_parts(&fields.chain([body]).collect::<Vec<_>>())
}

/// Priorities at an engine, by an upper limit of prompt tokens. The second limit is what an engine
/// prefills between two decoded tokens of other requests, the third is four times that. Priority 5
/// is the engines' own default.
const PRIORITIES: [(u64, u8); 3] = [(1_024, 2), (4_096, 4), (16_384, 5)];
/// Priority of all longer prompts.
const LONG_PROMPT_PRIORITY: u8 = 6;
/// Number of priorities that an engine knows.
const ENGINE_PRIORITIES: usize = 10;
