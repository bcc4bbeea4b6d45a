//! Who pings whom.

use ident::{Name, rank};

use crate::{DEGREE, MESH_MAX};

/// The instances that `me` pings, out of `names`, which holds `me`. Sorted.
///
/// Up to [`MESH_MAX`] instances all ping each other. Above, each pings the one before and the one
/// after it in three rings, each ring a different rendezvous order of all names. A ring is
/// connected, so the whole graph is; three rings keep it connected when some are lost and make
/// paths short. Instances that know the same names agree: the relation is symmetric.
pub(crate) fn neighbours(me: &Name, names: &[Name]) -> Vec<Name> {
    let mut out = if names.len() <= MESH_MAX { names.to_vec() } else { on_rings(me, names) };
    out.sort();
    out.dedup();
    out.retain(|n| n != me);
    out
}

fn on_rings(me: &Name, names: &[Name]) -> Vec<Name> {
    let mut out = Vec::with_capacity(DEGREE);
    for ring in 0..DEGREE / 2 {
        let order = rank(format!("ring/{ring}").as_bytes(), names, |n| n.as_str());
        let at = order.iter().position(|n| *n == me).expect("the names hold this instance");
        out.push(order[(at + 1) % order.len()].clone());
        out.push(order[(at + order.len() - 1) % order.len()].clone());
    }
    out
}
