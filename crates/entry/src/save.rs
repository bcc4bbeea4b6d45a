//! Saves the pieces of a served prompt to the context's store, for later requests of the same
//! context.

use std::{sync::Arc, time::Duration};

use events::EventKind;
use kv::{ExportPiece, PieceKey};
use outbound::{CallError, Export};
use route::Transfer;
use tokio::time::sleep;

use crate::{core::Core, job::Job, launch::ActiveGeneration, stores::StoreRef};

/// Maximum number of attempts to reserve capacity on the link.
const MAX_LINK_ATTEMPTS: u32 = 6;
/// Pause between two attempts to reserve capacity on the link.
const LINK_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Pieces of a prompt to save to a store instance.
struct Save {
    store: StoreRef,
    sent: Vec<ExportPiece>,
    /// Key of the piece before the first one; `None` if the first one starts the prompt.
    parent: Option<PieceKey>,
}

/// Saves the pieces that the store does not have yet, in a background task. Pieces that cannot be
/// saved are recomputed by the next request of the context.
pub(crate) fn spawn(core: &Arc<Core>, job: &Job, active: &ActiveGeneration) {
    let Some(save) = Save::new(active, core.random.next_u64()) else { return };
    let (core, work) = (core.clone(), core.running.begin());
    let (request, at, engine_request) = (job.meta.id, active.addr, active.engine_request);
    tokio::spawn(async move {
        let _work = work;
        let Some(transfer) = save.reserve_link(&core).await else { return };
        let pieces = save.sent.iter().map(|s| (s.index, s.key, s.generation)).collect();
        let export = Export { request: engine_request, dest: save.store.addr, pieces };
        let written = core.backends.engine.export(at, &export).await;
        let pieces = save.write_records(&core, transfer, written).await;
        if pieces > 0 {
            core.metrics.saved_pieces.inc_by(pieces.into());
            core.record(EventKind::Kept { request, pieces });
        }
    });
}

impl Save {
    /// `write_id` is a random number that distinguishes this write of the pieces from others; each
    /// piece has it as its generation.
    fn new(active: &ActiveGeneration, write_id: u64) -> Option<Self> {
        let store = active.store.clone()?;
        let have = active.records.len();
        let missing = active.keys.get(have..).filter(|keys| !keys.is_empty())?;
        let piece = |(&key, index): (&PieceKey, usize)| ExportPiece {
            index: u32::try_from(index).unwrap_or(u32::MAX),
            key,
            generation: write_id,
        };
        let sent = missing.iter().zip(have..).map(piece).collect();
        Some(Self { store, sent, parent: active.keys[..have].last().copied() })
    }

    /// Reserves capacity on the link to the store. Returns `None` if there is none after
    /// [`MAX_LINK_ATTEMPTS`] attempts.
    async fn reserve_link(&self, core: &Core) -> Option<Transfer> {
        let bytes = core.stores.piece_bytes() * self.sent.len() as u64;
        for _ in 0..MAX_LINK_ATTEMPTS {
            let transfer =
                core.stores.links.lock().reserve_export(&self.store.name, bytes, core.now());
            if transfer.is_some() {
                core.metrics.link_bytes.inc_by(bytes);
                return transfer;
            }
            sleep(LINK_RETRY_DELAY).await;
        }
        None
    }

    /// Writes a record for each piece that the engine wrote, in chain order, and returns their
    /// number. Each record is written after its piece.
    async fn write_records(
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
        for receipt in kv::sealable_prefix(&self.sent, &receipts) {
            core.stores.record_piece_size(receipt.len);
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
