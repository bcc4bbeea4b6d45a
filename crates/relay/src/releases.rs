//! Which release of the formats between instances the peers have.

use std::sync::Arc;

use fleet::Instance;

use crate::datagram::RELEASE;

/// Peers with their release as they last said.
///
/// Invariant: sorted by name, each once. Peers that are no longer registered may be among them.
#[derive(Debug, Default)]
pub(crate) struct Releases(Vec<(Arc<str>, u32)>);

impl Releases {
    /// Records the release that a peer said it has. `registered` are all instances, sorted by name.
    pub(crate) fn note(&mut self, name: &Arc<str>, release: u32, registered: &[Arc<Instance>]) {
        if let Ok(at) = self.find(name) {
            self.0[at].1 = release;
            return;
        }
        self.0.retain(|(known, _)| registered.binary_search_by(|i| i.name.cmp(known)).is_ok());
        let at = self.0.partition_point(|(known, _)| known < name);
        self.0.insert(at, (name.clone(), release));
    }

    /// The lowest release of all registered instances, among them `own`; 0 while one of the others
    /// has not said its.
    pub(crate) fn lowest(&self, own: &str, registered: &[Arc<Instance>]) -> u32 {
        let release = |name: &str| self.find(name).map_or(0, |at| self.0[at].1);
        let peers = registered.iter().filter(|i| *i.name != *own);
        peers.map(|i| release(&i.name)).min().unwrap_or(RELEASE)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(known, _)| (**known).cmp(name))
    }
}
