//! Rendezvous hashing (highest random weight).

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `node` for `key`; the node of the highest weight is the key's home.
fn weight(key: &[u8], node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(key, 0))
}

/// Orders `nodes` by falling weight for `key`. Adding or losing one node moves only the keys that
/// node gains or held.
pub fn rank<'a, T, F>(key: &[u8], nodes: &'a [T], name: F) -> Vec<&'a T>
where
    F: Fn(&T) -> &str,
{
    let mut out: Vec<_> = nodes.iter().map(|n| (weight(key, name(n)), n)).collect();
    out.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    out.into_iter().map(|(_, n)| n).collect()
}

/// The node of the highest weight for `key`.
pub fn top<'a, T, F>(key: &[u8], nodes: &'a [T], name: F) -> Option<&'a T>
where
    F: Fn(&T) -> &str,
{
    rank(key, nodes, name).into_iter().next()
}
