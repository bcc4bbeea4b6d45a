//! What the choice of a replica for a request goes by.

use fleet::Snapshot;
use ident::Time;
use place::{Choice, Headroom, Load, PlacementError, PlacementRequest, Prompt};

use crate::{
    forward::{Forwarder, Pin},
    permits, tracking,
};

impl Forwarder {
    /// Chooses the replica for the next attempt.
    pub(crate) fn choose(&self, snapshot: &Snapshot, now: Time) -> Result<Choice, PlacementError> {
        self.with_request(snapshot, now, |request| self.core.pool.lock().choose(request, now))
    }

    /// Calls `use_request` with what the choice of a replica goes by.
    fn with_request<T, F>(&self, snapshot: &Snapshot, now: Time, use_request: F) -> T
    where
        F: FnOnce(&PlacementRequest<'_>) -> T,
    {
        let config = snapshot.config.as_ref();
        let engine = config.and_then(|s| s.target(&self.target)).and_then(|t| t.engine.as_ref());
        let prompt = self.job.prompt();
        let newest = |model: &str| snapshot.announced(model).map_or(1, |w| w.version);
        let total = self.job.deadline.since(self.job.start);
        let permits = permits::permits(&self.core, now);
        let request = PlacementRequest {
            target: &self.target,
            context: prompt.and_then(|p| p.context()).map(|c| &*c.id),
            load: self.load(),
            shared_tokens: prompt.map_or(0, |p| p.shared_tokens()),
            model: prompt.map(|p| (&*p.model, newest(&p.model))),
            software: match &self.pin {
                Pin::Software(software) => Some(software),
                Pin::Free | Pin::Nowhere => None,
            },
            min_version: self.job.min_version(&self.core, snapshot, now),
            headroom: Headroom::after_wait(now.since(self.job.start), self.job.route.goal, total),
            zone: &self.core.settings.zone,
            tried: &self.tried,
            permits: &permits,
            engine,
            goal: self.job.route.goal,
            tie_breaker: self.tie_breaker,
        };
        use_request(&request)
    }

    /// Draws other candidates, and asks the trackers of their engines how much work these have.
    pub(crate) async fn refresh_work(&mut self) {
        let now = self.core.now();
        let is_long = self.job.prompt().is_some_and(|p| place::is_long(p.input_tokens));
        let is_tracked = is_long && self.core.pool.lock().is_tracked(&self.target);
        if is_tracked && now.since(self.asked_at) < tracking::ASK_INTERVAL {
            return;
        }
        self.tie_breaker = rand::random();
        if !is_tracked {
            return;
        }
        self.asked_at = now;
        let snapshot = self.core.view.snapshot();
        let candidates = self.with_request(&snapshot, now, |request| {
            self.core.pool.lock().tracked_candidates(request, now)
        });
        tracking::refresh(&self.core, &candidates).await;
    }

    pub(crate) fn load(&self) -> Load {
        load(self.job.prompt())
    }
}

/// What a request needs of a replica.
pub(crate) fn load(prompt: Option<&Prompt>) -> Load {
    let tokens = prompt.map_or((0, 0), |p| (p.input_tokens, p.input_tokens + p.output_tokens));
    Load { prefill_tokens: tokens.0, memory_tokens: tokens.1, requests: 1 }
}
