//! Selects the peers that an instance pings.

use ident::{Name, rendezvous_order};

use crate::{MAX_MESH_SIZE, RING_NEIGHBOURS};

/// The instances that `me` pings, out of `names`, which includes `me`. Sorted.
///
/// Up to [`MAX_MESH_SIZE`] instances all ping each other. In larger deployments each instance pings
/// its predecessor and its successor in three rings; each ring is a different rendezvous order of
/// all names. Each ring is connected, so the whole graph is. Three rings keep the graph connected
/// when some instances are lost, and they make paths short. The relation is symmetric among
/// instances that know the same names.
pub(crate) fn neighbours(me: &Name, names: &[Name]) -> Vec<Name> {
    let mut out = if names.len() <= MAX_MESH_SIZE { names.to_vec() } else { on_rings(me, names) };
    out.sort();
    out.dedup();
    out.retain(|n| n != me);
    out
}

fn on_rings(me: &Name, names: &[Name]) -> Vec<Name> {
    let mut out = Vec::with_capacity(RING_NEIGHBOURS);
    for ring in 0..RING_NEIGHBOURS / 2 {
        let order = rendezvous_order(format!("ring/{ring}").as_bytes(), names, |n| n.as_str());
        let at = order.iter().position(|n| *n == me).expect("the names include this instance");
        out.push(order[(at + 1) % order.len()].clone());
        out.push(order[(at + order.len() - 1) % order.len()].clone());
    }
    out
}
