//! Follows the stores of kept KV cache.

use std::{sync::Arc, time::Duration};

use fleet::Store;
use ident::rank;
use place::Catalog;
use tracing::{info, warn};

use crate::core::{Core, Shelf};

/// How long a question for events waits. Shorter ones are priced as probes; the answer's age
/// bounds how long a catalogue is trusted.
const WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed question.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Event calls at a store that are left to others than the instances.
const SPARE_CALLS: u32 = 2;
/// Pause between two looks whether a store is followed by this instance.
const SHARE_PAUSE: Duration = Duration::from_secs(2);

/// Whether this instance is one of those that follow a store: it takes only so many questions at
/// once, and refuses the others at a price. Rendezvous hashing spreads the stores.
fn follows(core: &Core, store: &Store) -> bool {
    let snapshot = core.view.get();
    let most = store.calls.saturating_sub(SPARE_CALLS).max(1) as usize;
    if snapshot.instances.len() <= most {
        return true;
    }
    let order = rank(store.name.as_bytes(), &snapshot.instances, |i| &i.name);
    order.into_iter().take(most).any(|i| i.name == core.settings.name)
}

/// Makes one shelf for each store of the configuration, and follows new ones.
pub(crate) fn sync_shelves(core: &Arc<Core>) {
    let snapshot = core.view.get();
    let Some(setup) = &snapshot.setup else { return };
    let mut shelves = core.shelves.lock();
    shelves.retain(|s| setup.stores.iter().any(|n| n.addr == s.store.addr));
    for store in setup.stores.iter().filter(|s| s.managed) {
        match shelves.binary_search_by(|s| s.store.name.cmp(&store.name)) {
            Ok(at) => shelves[at].store = Arc::new(store.clone()),
            Err(at) => {
                let store = Arc::new(store.clone());
                shelves.insert(at, Shelf { store: store.clone(), catalog: Catalog::default() });
                tokio::spawn(follow(core.clone(), store.name.clone()));
            }
        }
    }
}

/// Runs `act` on the shelf of a store; `None` where the store is no longer configured.
fn with<T, F>(core: &Core, name: &str, act: F) -> Option<T>
where
    F: FnOnce(&mut Shelf) -> T,
{
    let mut shelves = core.shelves.lock();
    let at = shelves.binary_search_by(|s| (*s.store.name).cmp(name)).ok()?;
    Some(act(&mut shelves[at]))
}

/// Follows a store until it is no longer configured.
async fn follow(core: Arc<Core>, name: Arc<str>) {
    let mut next = 0;
    loop {
        let known = with(&core, &name, |s| (s.store.clone(), s.catalog.unknown()));
        let Some((store, unknown)) = known else { return };
        if !follows(&core, &store) {
            with(&core, &name, |s| s.catalog.forget());
            tokio::time::sleep(SHARE_PAUSE).await;
            continue;
        }
        let addr = store.addr;
        let asked = core.now();
        let result = if unknown {
            core.outside.engines.content(addr).await.map(|content| {
                next = content.next;
                let parts = content.held.len();
                info!(store = %name, epoch = content.epoch, parts, "store listed");
                with(&core, &name, |s| {
                    s.catalog.replace(content.epoch, content.held);
                    s.catalog.apply(content.epoch, false, Vec::new(), content.clock, asked);
                });
            })
        } else {
            core.outside.engines.events(addr, next, WAIT).await.map(|events| {
                next = events.next;
                // An answer at the end of a wait speaks for the moment at which it was given, but
                // only the asking is known.
                with(&core, &name, |s| {
                    let known = s.catalog.apply(
                        events.epoch,
                        events.gap,
                        events.changes,
                        events.clock,
                        asked,
                    );
                    if !known {
                        info!(store = %name, epoch = events.epoch, gap = events.gap, "store lost");
                    }
                });
            })
        };
        if let Err(error) = result {
            let known = with(&core, &name, |s| {
                let known = !s.catalog.unknown();
                s.catalog.forget();
                known
            });
            if known == Some(true) {
                warn!(store = %name, %error, "the store does not answer");
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
