//! Follows the stores of kept KV cache and maintains their catalogs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ::feed::{Delta, Log};
use fleet::Store;
use ident::Time;
use place::{Catalog, Change, HeldPart};
use table::Version;
use tokio::task::AbortHandle;
use tracing::{info, warn};

use crate::{core::Core, feed_wire, services::CallError};

/// How long a poll for events waits. The platform charges shorter polls as probes. During longer
/// ones the catalog would get too old to be trusted.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Delay before a failed poll is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The same where other instances follow this one, which ages the catalog further.
const READER_POLL_WAIT: Duration = Duration::from_millis(250);
/// How long no store is used after other teams became dedicated. A scope may come into use again
/// whose parts are being freed: the instance that frees has confirmed the configuration
/// [`MAX_CONFIG_AGE`] before, and a free call is carried out within 1.5 s.
const WALLS_PAUSE: Duration = Duration::from_millis(3000);
/// Age of the configuration up to which parts are freed that it no longer shares.
pub(crate) const MAX_CONFIG_AGE: Duration = Duration::from_millis(1200);
/// Interval at which an instance checks whether it is to read a store.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The last change of which teams are dedicated, as far as this instance has seen.
#[derive(Debug, Default)]
pub(crate) struct WallsChange {
    /// When it was applied; `None` without one.
    pub(crate) at: Option<Time>,
    /// Whether no store is used, since it is recent.
    pub(crate) pauses_stores: bool,
}

/// A store of kept KV cache and the catalog of its parts.
///
/// Invariant: `catalog` and `log` describe the store at the address of `store`, whose entry never
/// changes its name or address.
#[derive(Debug)]
pub struct StoreCatalog {
    /// Configuration of the store.
    pub store: Arc<Store>,
    /// Catalog of the parts that the store holds.
    pub catalog: Catalog,
    /// The same parts as the store reported them, for followers. The era of a position is the
    /// store's epoch.
    pub log: Log<HeldPart>,
    /// The task that reads the store.
    reader: AbortHandle,
}

impl Drop for StoreCatalog {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl StoreCatalog {
    /// A store whose parts are not known, and which `reader` reads.
    fn new(store: Arc<Store>, reader: AbortHandle) -> Self {
        Self { store, catalog: Catalog::default(), log: Log::default(), reader }
    }

    /// Forgets the parts.
    pub(crate) fn clear(&mut self) {
        self.catalog.clear();
        self.log.clear();
    }

    /// Replaces the parts by the store's list, which was requested at `asked`. Ignored where later
    /// changes of the same epoch are known.
    pub(crate) fn replace(
        &mut self,
        held: Vec<HeldPart>,
        next: Version,
        clock_ms: u64,
        asked: Time,
    ) {
        let known = self.log.position();
        if known.is_some_and(|at| at.era == next.era && at.number > next.number) {
            return;
        }
        let row = |h: &HeldPart| (feed_wire::part_key(&h.salt, &h.part), h.clone());
        self.log.replace(held.iter().map(row).collect(), next);
        self.catalog.replace(next.era, held);
        self.catalog.apply(next.era, false, Vec::new(), clock_ms, asked);
    }

    /// Applies changes that follow the known ones. Returns false, and forgets the parts, if they
    /// don't.
    pub(crate) fn apply(
        &mut self,
        changes: Vec<Change>,
        gap: bool,
        next: Version,
        clock_ms: u64,
        asked: Time,
    ) -> bool {
        let row = |change: &Change| match change {
            Change::Added(h) => (feed_wire::part_key(&h.salt, &h.part), Some(h.clone())),
            Change::Removed { salt, part } => (feed_wire::part_key(salt, part), None),
        };
        let follows = !gap && self.log.apply(changes.iter().map(row).collect(), next);
        let usable = follows && self.catalog.apply(next.era, gap, changes, clock_ms, asked);
        if !usable {
            self.clear();
        }
        usable
    }

    /// Applies what a reader sent.
    pub(crate) fn apply_delta(&mut self, delta: Delta<HeldPart>, clock_ms: u64, asked: Time) {
        let Delta { full, rows, removed, next } = delta;
        let held = rows.into_iter().map(|(_, held)| held);
        if full {
            return self.replace(held.collect(), next, clock_ms, asked);
        }
        let gone = removed.iter().filter_map(|key| {
            let (salt, part) = key.rsplit_once('\n')?;
            Some(Change::Removed { salt: salt.into(), part: part.into() })
        });
        self.apply(held.map(Change::Added).chain(gone).collect(), false, next, clock_ms, asked);
    }
}

/// Keeps one catalog for each managed store of the configuration, and starts to follow new stores.
pub(crate) fn sync_catalogs(core: &Arc<Core>) {
    let snapshot = core.view.snapshot();
    let Some(config) = &snapshot.config else { return };
    let mut catalogs = core.catalogs.lock();
    let managed = || config.stores.iter().filter(|s| s.managed);
    // A name or an address may come to stand for another store.
    let is_same = |a: &Store, b: &Store| a.name == b.name && a.addr == b.addr;
    catalogs.retain(|s| managed().any(|n| is_same(n, &s.store)));
    for store in managed().map(|s| Arc::new(s.clone())) {
        match catalogs.binary_search_by(|s| s.store.name.cmp(&store.name)) {
            Ok(at) if catalogs[at].store.addr == store.addr => catalogs[at].store = store,
            Ok(_) => warn!(store = %store.name, "second address of a store ignored"),
            Err(at) => {
                let reader = tokio::spawn(follow(core.clone(), store.name.clone(), store.addr));
                catalogs.insert(at, StoreCatalog::new(store, reader.abort_handle()));
            }
        }
    }
}

/// Starts the pause in which no store is used, since other teams are dedicated than before. What was
/// known of the stores is read anew at its end.
pub(crate) fn change_walls(core: &Arc<Core>) {
    let at = core.now();
    *core.walls_change.lock() = WallsChange { at: Some(at), pauses_stores: true };
    info!("other teams are dedicated than before; stores are not used for a moment");
    let core = core.clone();
    tokio::spawn(async move {
        tokio::time::sleep(WALLS_PAUSE).await;
        if core.walls_change.lock().at == Some(at) {
            core.catalogs.lock().iter_mut().for_each(StoreCatalog::clear);
            core.walls_change.lock().pauses_stores = false;
        }
    });
}

/// Calls `f` with the catalog of the store `name` at `addr`; `None` where it is no longer configured.
fn with_catalog<T, F>(core: &Core, name: &str, addr: SocketAddr, f: F) -> Option<T>
where
    F: FnOnce(&mut StoreCatalog) -> T,
{
    let mut catalogs = core.catalogs.lock();
    let at = catalogs.binary_search_by(|s| (*s.store.name).cmp(name)).ok()?;
    Some(&mut catalogs[at]).filter(|s| s.store.addr == addr).map(f)
}

/// Reads a store until it is no longer configured, while this instance is a reader.
async fn follow(core: Arc<Core>, name: Arc<str>, addr: SocketAddr) {
    loop {
        let known = with_catalog(&core, &name, addr, |s| {
            s.log.position().filter(|_| !s.catalog.needs_list())
        });
        let Some(position) = known else { return };
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
            let was_listed = with_catalog(&core, &name, addr, |s| {
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
    with_catalog(core, name, addr, |s| s.replace(content.held, next, content.clock, asked_at));
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
    // Numbers that fall are those of another store.
    let (epoch, gap) = (events.epoch, events.gap || events.next < position.number);
    let next = Version { era: epoch, number: events.next };
    with_catalog(core, name, addr, |s| {
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
