//! Rendezvous hashing (highest random weight).

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous score of `node` for `key`. The node with the highest score is the
/// preferred node of the key.
fn score(key: &[u8], node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key, 0))
}

/// Sorts `nodes` by descending rendezvous score for `key`, and by name if the scores are equal.
/// Adding or removing a node moves only the keys of that node.
pub fn rendezvous_order<'a, T, F>(key: &[u8], nodes: &'a [T], name: F) -> Vec<&'a T>
where
    F: Fn(&T) -> &str,
{
    let mut out: Vec<_> = nodes.iter().map(|n| (score(key, name(n)), n)).collect();
    out.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    out.into_iter().map(|(_, n)| n).collect()
}

/// Returns the node with the highest rendezvous score for `key`; `None` if there are no nodes.
pub fn rendezvous_first<'a, T, F>(key: &[u8], nodes: &'a [T], name: F) -> Option<&'a T>
where
    F: Fn(&T) -> &str,
{
    rendezvous_order(key, nodes, name).into_iter().next()
}
