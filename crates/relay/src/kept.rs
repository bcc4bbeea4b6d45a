//! Follows the stores of kept KV cache and maintains their catalogs.

use std::{sync::Arc, time::Duration};

use fleet::Store;
use ident::rendezvous_order;
use place::Catalog;
use tracing::{info, warn};

use crate::core::{Core, StoreCatalog};

/// How long a poll for events waits. The platform charges shorter polls as probes. During longer
/// ones the catalog would get too old to be trusted.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Delay before a failed poll is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Event polls at a store that are reserved for clients other than instances.
const RESERVED_CALLS: u32 = 2;
/// Interval at which an instance checks whether it is to follow a store.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Whether this instance is one of those that follow a store. A store accepts a limited number of
/// polls at once, and refused polls are charged too. Rendezvous hashing spreads the stores over the
/// instances.
fn should_follow(core: &Core, store: &Store) -> bool {
    let snapshot = core.view.snapshot();
    let max_followers = store.max_polls.saturating_sub(RESERVED_CALLS).max(1) as usize;
    if snapshot.instances.len() <= max_followers {
        return true;
    }
    let order = rendezvous_order(store.name.as_bytes(), &snapshot.instances, |i| &i.name);
    order.into_iter().take(max_followers).any(|i| i.name == core.settings.name)
}

/// Keeps one catalog for each managed store of the configuration, and starts to follow new stores.
pub(crate) fn sync_catalogs(core: &Arc<Core>) {
    let snapshot = core.view.snapshot();
    let Some(config) = &snapshot.config else { return };
    let mut catalogs = core.catalogs.lock();
    catalogs.retain(|s| config.stores.iter().any(|n| n.addr == s.store.addr));
    for store in config.stores.iter().filter(|s| s.managed) {
        match catalogs.binary_search_by(|s| s.store.name.cmp(&store.name)) {
            Ok(at) => catalogs[at].store = Arc::new(store.clone()),
            Err(at) => {
                let store = Arc::new(store.clone());
                catalogs
                    .insert(at, StoreCatalog { store: store.clone(), catalog: Catalog::default() });
                tokio::spawn(follow(core.clone(), store.name.clone()));
            }
        }
    }
}

/// Calls `f` with the catalog of a store; `None` where the store is no longer configured.
fn with_catalog<T, F>(core: &Core, name: &str, f: F) -> Option<T>
where
    F: FnOnce(&mut StoreCatalog) -> T,
{
    let mut catalogs = core.catalogs.lock();
    let at = catalogs.binary_search_by(|s| (*s.store.name).cmp(name)).ok()?;
    Some(f(&mut catalogs[at]))
}

/// Follows a store until it is no longer configured.
async fn follow(core: Arc<Core>, name: Arc<str>) {
    let mut next = 0;
    loop {
        let entry = with_catalog(&core, &name, |s| (s.store.clone(), s.catalog.needs_list()));
        let Some((store, unlisted)) = entry else { return };
        if !should_follow(&core, &store) {
            with_catalog(&core, &name, |s| s.catalog.clear());
            tokio::time::sleep(FOLLOW_CHECK_INTERVAL).await;
            continue;
        }
        let addr = store.addr;
        let asked_at = core.now();
        let result = if unlisted {
            core.adapters.engines.content(addr).await.map(|content| {
                next = content.next;
                let parts = content.held.len();
                info!(store = %name, epoch = content.epoch, parts, "store content listed");
                with_catalog(&core, &name, |s| {
                    s.catalog.replace(content.epoch, content.held);
                    s.catalog.apply(content.epoch, false, Vec::new(), content.clock, asked_at);
                });
            })
        } else {
            core.adapters.engines.events(addr, next, POLL_WAIT).await.map(|events| {
                next = events.next;
                // The catalog is dated by when the poll was sent: the answer describes the store at
                // some later moment, which is not known.
                with_catalog(&core, &name, |s| {
                    let usable = s.catalog.apply(
                        events.epoch,
                        events.gap,
                        events.changes,
                        events.clock,
                        asked_at,
                    );
                    if !usable {
                        info!(
                            store = %name,
                            epoch = events.epoch,
                            gap = events.gap,
                            "store catalog discarded"
                        );
                    }
                });
            })
        };
        if let Err(error) = result {
            let was_listed = with_catalog(&core, &name, |s| {
                let was_listed = !s.catalog.needs_list();
                s.catalog.clear();
                was_listed
            });
            if was_listed == Some(true) {
                warn!(store = %name, %error, "store poll failed; catalog discarded");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
