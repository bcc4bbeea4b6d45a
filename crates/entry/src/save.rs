//! Writes the cache of a served prompt to the context's store, for its return.

use std::{sync::Arc, time::Duration};

use events::EventKind;
use kv::{PieceKey, Sent};
use outbound::{CallError, Export};
use route::Transfer;
use tokio::time::sleep;

use crate::{core::Core, job::Job, launch::Live, stores::StoreRef};

/// Times the link is asked for room.
const MAX_ASKS: u32 = 6;
/// Pause between two asks.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// Pieces to be written.
struct Keep {
    store: StoreRef,
    sent: Vec<Sent>,
    /// The piece before the first one.
    parent: Option<PieceKey>,
}

/// Writes the pieces that the store does not have yet, in the background. What cannot be written
/// is recomputed when the prompt returns.
pub(crate) fn spawn(core: &Arc<Core>, job: &Job, live: &Live) {
    let Some(keep) = Keep::new(live, core.draws.draw()) else { return };
    let (core, work) = (core.clone(), core.running.begin());
    let (request, at, engine_request) = (job.asked.id, live.addr, live.request);
    tokio::spawn(async move {
        let _work = work;
        let Some(transfer) = keep.room(&core).await else { return };
        let pieces = keep.sent.iter().map(|s| (s.index, s.key, s.generation)).collect();
        let export = Export { request: engine_request, dest: keep.store.addr, pieces };
        let written = core.backends.engine.export(at, &export).await;
        let pieces = keep.seal(&core, transfer, written).await;
        if pieces > 0 {
            core.metrics.kept_pieces.inc_by(pieces.into());
            core.record(EventKind::Kept { request, pieces });
        }
    });
}

impl Keep {
    fn new(live: &Live, generation: u64) -> Option<Self> {
        let store = live.store.clone()?;
        let have = live.records.len();
        let missing = live.keys.get(have..).filter(|keys| !keys.is_empty())?;
        let piece = |(&key, index): (&PieceKey, usize)| Sent {
            index: u32::try_from(index).unwrap_or(u32::MAX),
            key,
            generation,
        };
        let sent = missing.iter().zip(have..).map(piece).collect();
        Some(Self { store, sent, parent: live.keys[..have].last().copied() })
    }

    /// Waits a while for room on the link.
    async fn room(&self, core: &Core) -> Option<Transfer> {
        let bytes = core.stores.piece_bytes() * self.sent.len() as u64;
        for _ in 0..MAX_ASKS {
            let transfer = core.stores.links.lock().spare(&self.store.name, bytes, core.now());
            if transfer.is_some() {
                core.metrics.link_bytes.inc_by(bytes);
                return transfer;
            }
            sleep(ASK_PAUSE).await;
        }
        None
    }

    /// Records what was written, in chain order and after the pieces; returns how many.
    async fn seal(
        &self,
        core: &Core,
        transfer: Transfer,
        written: Result<Vec<kv::Receipt>, CallError>,
    ) -> u32 {
        let Ok(receipts) = written else {
            core.stores.links.lock().failed(transfer, core.now());
            return 0;
        };
        let bytes = receipts.iter().map(|r| r.len).sum();
        core.stores.links.lock().settle(transfer, bytes, core.now());
        let (mut parent, mut count) = (self.parent, 0);
        for receipt in kv::sealable(&self.sent, &receipts) {
            core.stores.saw_piece(receipt.len);
            let record = kv::seal(&core.secrets.cache, *receipt, parent);
            if core.backends.store.put(self.store.addr, &record).await.is_err() {
                break;
            }
            parent = Some(receipt.key);
            count += 1;
        }
        count
    }
}
