//! Follows the stores of kept KV cache and maintains their catalogs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ident::Time;
use table::Version;
use tracing::{info, warn};

use crate::{
    core::{Core, StoreCatalog},
    services::CallError,
};

/// How long a poll for events waits. The platform charges shorter polls as probes. During longer
/// ones the catalog would get too old to be trusted.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Delay before a failed poll is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The same where other instances follow this one, which ages the catalog further.
const READER_POLL_WAIT: Duration = Duration::from_millis(250);
/// Interval at which an instance checks whether it is to read a store.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(500);

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
                catalogs.insert(at, StoreCatalog::new(Arc::new(store.clone())));
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

/// Reads a store until it is no longer configured, while this instance is a reader.
async fn follow(core: Arc<Core>, name: Arc<str>) {
    loop {
        let known = with_catalog(&core, &name, |s| {
            (s.store.addr, s.log.position().filter(|_| !s.catalog.needs_list()))
        });
        let Some((addr, position)) = known else { return };
        if core.feeds.follows() {
            tokio::time::sleep(READ_CHECK_INTERVAL).await;
            continue;
        }
        let asked_at = core.now();
        let result = match position {
            None => read_content(&core, &name, addr, asked_at).await,
            Some(position) => read_events(&core, &name, addr, position, asked_at).await,
        };
        if let Err(error) = result {
            let was_listed = with_catalog(&core, &name, |s| {
                let was_listed = !s.catalog.needs_list();
                s.clear();
                was_listed
            });
            if was_listed == Some(true) {
                warn!(store = %name, %error, "store poll failed; catalog discarded");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the complete list of a store.
async fn read_content(
    core: &Core,
    name: &str,
    addr: SocketAddr,
    asked_at: Time,
) -> Result<(), CallError> {
    let content = core.adapters.engines.content(addr).await?;
    let (epoch, parts) = (content.epoch, content.held.len());
    info!(store = %name, epoch, parts, "store content listed");
    let next = Version { era: epoch, number: content.next };
    with_catalog(core, name, |s| s.replace(content.held, next, content.clock, asked_at));
    Ok(())
}

/// Waits for the events of a store after `position`.
async fn read_events(
    core: &Core,
    name: &str,
    addr: SocketAddr,
    position: Version,
    asked_at: Time,
) -> Result<(), CallError> {
    let wait = if core.feeds.has_followers() { READER_POLL_WAIT } else { POLL_WAIT };
    let events = core.adapters.engines.events(addr, position.number, wait).await?;
    let (epoch, gap) = (events.epoch, events.gap);
    let next = Version { era: epoch, number: events.next };
    with_catalog(core, name, |s| {
        // Another reader's answer may have come meanwhile.
        if s.log.position() != Some(position) {
            return;
        }
        // The catalog is dated by when the poll was sent: the answer describes the store at some
        // later moment, which is not known.
        if !s.apply(events.changes, gap, next, events.clock, asked_at) {
            info!(store = %name, epoch, gap, "store catalog discarded");
        }
    });
    Ok(())
}
