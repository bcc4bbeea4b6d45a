//! Notes and census: what may wait while the registry is slow or away.

use std::{sync::Arc, time::Duration};

use fleet::Snapshot;
use ident::Time;
use tracing::{info, warn};

use crate::{core::Core, dates};

/// Pause between two rounds.
const ROUND: Duration = Duration::from_millis(500);
/// An instance that was not heard of for so long loses its entry.
const GONE_AFTER: Duration = Duration::from_secs(12);

/// Does the chores for ever.
pub(super) async fn run(core: &Core) {
    let mut chores = Chores { core, dated: Vec::new(), census: core.now().after(GONE_AFTER) };
    loop {
        let snapshot = core.view.get();
        chores.date(&snapshot).await;
        chores.count(&snapshot).await;
        tokio::time::sleep(ROUND).await;
    }
}

struct Chores<'a> {
    core: &'a Core,
    /// Models and newest versions whose naming is written down.
    dated: Vec<(Arc<str>, u64)>,
    /// When instances that are gone are looked for next.
    census: Time,
}

impl Chores<'_> {
    /// Writes down when new versions were named.
    async fn date(&mut self, snapshot: &Snapshot) {
        for weights in &snapshot.weights {
            let known = (weights.model.clone(), weights.version);
            if self.dated.contains(&known) {
                continue;
            }
            match dates::note(self.core, weights).await {
                Ok(()) => {
                    self.dated.retain(|(model, _)| *model != weights.model);
                    self.dated.push(known);
                }
                Err(error) => {
                    warn!(model = %weights.model, %error, "the naming of weights isn't noted");
                }
            }
        }
    }

    /// Removes the entries of instances that are gone.
    async fn count(&mut self, snapshot: &Snapshot) {
        let now = self.core.now();
        if !self.census.passed(now) {
            return;
        }
        self.census = now.after(GONE_AFTER);
        let heard: Vec<Arc<str>> =
            self.core.heard.lock().iter().map(|(name, _)| name.clone()).collect();
        let me = &self.core.settings.name;
        let gone = snapshot.instances.iter().filter(|i| i.name != *me && !heard.contains(&i.name));
        for instance in gone {
            let result = self.core.outside.registry.withdraw(&instance.name).await;
            info!(instance = %instance.name, outcome = ?result, "entry of a lost instance removed");
        }
    }
}
