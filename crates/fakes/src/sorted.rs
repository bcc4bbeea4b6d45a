//! A sorted vector used as a map.

/// Entries in ascending order of their keys, each key once.
#[derive(Debug, Clone)]
pub struct Sorted<K, V>(Vec<(K, V)>);

impl<K, V> Default for Sorted<K, V> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<K, V> Sorted<K, V>
where
    K: Ord,
{
    fn find<Q>(&self, key: &Q) -> Result<usize, usize>
    where
        K: AsRef<Q>,
        Q: Ord + ?Sized,
    {
        self.0.binary_search_by(|(k, _)| k.as_ref().cmp(key))
    }

    /// The value of `key`.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: AsRef<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|at| &self.0[at].1)
    }

    /// The value of `key`, to change it.
    pub fn get_mut<Q>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: AsRef<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|at| &mut self.0[at].1)
    }

    /// Sets the value of `key` and returns the one it had.
    pub fn put(&mut self, key: K, value: V) -> Option<V> {
        match self.0.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(at) => Some(std::mem::replace(&mut self.0[at].1, value)),
            Err(at) => {
                self.0.insert(at, (key, value));
                None
            }
        }
    }

    /// Removes `key` and returns its value.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: AsRef<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|at| self.0.remove(at).1)
    }

    /// The entries whose keys are greater than `key`, in order.
    pub fn above<Q>(&self, key: &Q) -> &[(K, V)]
    where
        K: AsRef<Q>,
        Q: Ord + ?Sized,
    {
        let at = self.0.partition_point(|(k, _)| k.as_ref() <= key);
        &self.0[at..]
    }

    /// All entries, in order.
    pub fn iter(&self) -> std::slice::Iter<'_, (K, V)> {
        self.0.iter()
    }

    /// Keeps the entries for which `keep` holds.
    pub fn retain<F>(&mut self, mut keep: F)
    where
        F: FnMut(&K, &V) -> bool,
    {
        self.0.retain(|(k, v)| keep(k, v));
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
