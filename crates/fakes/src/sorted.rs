//! A map kept in a sorted vector.

/// A map whose entries are in ascending order of their keys.
#[derive(Debug, Clone)]
pub struct SortedMap<K, V>(Vec<(K, V)>);

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<K, V> SortedMap<K, V>
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

    /// Returns the value of `key`.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: AsRef<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|index| &self.0[index].1)
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut<Q>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: AsRef<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|index| &mut self.0[index].1)
    }

    /// Sets the value of `key` and returns its previous value.
    pub fn put(&mut self, key: K, value: V) -> Option<V> {
        match self.0.binary_search_by(|(k, _)| k.cmp(&key)) {
            Ok(index) => Some(std::mem::replace(&mut self.0[index].1, value)),
            Err(index) => {
                self.0.insert(index, (key, value));
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
        self.find(key).ok().map(|index| self.0.remove(index).1)
    }

    /// Returns the entries whose keys are greater than `key`, in order.
    pub fn entries_after<Q>(&self, key: &Q) -> &[(K, V)]
    where
        K: AsRef<Q>,
        Q: Ord + ?Sized,
    {
        let index = self.0.partition_point(|(k, _)| k.as_ref() <= key);
        &self.0[index..]
    }

    /// Iterates over all entries, in order.
    pub fn iter(&self) -> std::slice::Iter<'_, (K, V)> {
        self.0.iter()
    }

    /// Removes the entries for which `keep` returns `false`.
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

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
