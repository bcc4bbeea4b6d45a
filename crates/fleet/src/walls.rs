//! Which teams share KV cache with each other.

use std::sync::Arc;

use ident::Digest;

use crate::Team;

/// Requests that share KV cache with each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheScope {
    /// Those of one dedicated team.
    Team(Arc<str>),
    /// Those of all teams that are not dedicated, and those without a team. The digest is of the
    /// dedicated teams; `None` if there are none.
    Shared(Option<Digest>),
}

/// The dedicated teams of a configuration.
///
/// What teams made together stays under one scope only while the same teams are dedicated: among it
/// may be what a team made before it became dedicated. The scope follows from the configuration in
/// force alone, so that all instances agree on it, also those that have just started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Walls {
    /// Names of the dedicated teams. Sorted, each once.
    dedicated: Vec<Arc<str>>,
    /// Digest of `dedicated`; `None` if it is empty.
    digest: Option<Digest>,
}

impl Walls {
    /// The dedicated ones of `teams`, in any order.
    pub fn new(teams: &[Team]) -> Self {
        let dedicated = teams.iter().filter(|t| t.dedicated);
        let mut dedicated: Vec<Arc<str>> = dedicated.map(|t| t.name.clone()).collect();
        dedicated.sort_unstable();
        dedicated.dedup();
        let names: Vec<&[u8]> = dedicated.iter().map(|name| name.as_bytes()).collect();
        let digest = (!names.is_empty()).then(|| Digest::of_parts(&names));
        Self { dedicated, digest }
    }

    /// The scope of a request of `team`, as it was when the request was accepted. A team that was
    /// dedicated then or is now shares with no other.
    pub fn scope(&self, team: Option<&Team>) -> CacheScope {
        match team {
            Some(team) if team.dedicated || self.is_dedicated(&team.name) => {
                CacheScope::Team(team.name.clone())
            }
            _ => CacheScope::Shared(self.digest),
        }
    }

    /// Whether new requests may have this scope.
    pub fn is_in_use(&self, scope: &CacheScope) -> bool {
        match scope {
            CacheScope::Team(name) => self.is_dedicated(name),
            CacheScope::Shared(digest) => *digest == self.digest,
        }
    }

    fn is_dedicated(&self, name: &str) -> bool {
        self.dedicated.binary_search_by(|known| (**known).cmp(name)).is_ok()
    }
}
