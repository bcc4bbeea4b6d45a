//! Policies by name.

use std::str::FromStr;

use route::{
    Affinity, AlwaysImport, AlwaysRecompute, Cost, HotOrImport, LeastLoaded, Policy, Random,
};

/// A routing policy that can be measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// Any replica.
    Random,
    /// The replica with the fewest requests.
    LeastLoaded,
    /// The replica that used the context last.
    Affinity,
    /// Kept cache without a budget of the links.
    KeptNoBudget,
    /// Always an import.
    AlwaysImport,
    /// Always a new computation.
    AlwaysRecompute,
    /// The policy in use.
    Ours,
}

/// The text names no policy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown policy {0:?}: use one of {names}", names = PolicyKind::names())]
pub struct UnknownPolicy(pub String);

impl PolicyKind {
    /// All policies.
    pub const ALL: [Self; 7] = [
        Self::Random,
        Self::LeastLoaded,
        Self::Affinity,
        Self::KeptNoBudget,
        Self::AlwaysImport,
        Self::AlwaysRecompute,
        Self::Ours,
    ];

    fn names() -> String {
        Self::ALL.map(Self::name).join(", ")
    }

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        self.build().name()
    }

    pub(crate) fn build(self) -> Box<dyn Policy> {
        match self {
            Self::Random => Box::new(Random),
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::Affinity => Box::new(Affinity),
            Self::KeptNoBudget => Box::new(HotOrImport),
            Self::AlwaysImport => Box::new(AlwaysImport),
            Self::AlwaysRecompute => Box::new(AlwaysRecompute),
            Self::Ours => Box::new(Cost),
        }
    }

    /// Whether it keeps cache in stores.
    pub(crate) fn keeps(self) -> bool {
        matches!(self, Self::KeptNoBudget | Self::AlwaysImport | Self::Ours)
    }

    /// Whether it keeps to the budget of the links.
    pub(crate) fn budgets(self) -> bool {
        self == Self::Ours
    }
}

impl FromStr for PolicyKind {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        let found = Self::ALL.into_iter().find(|p| p.name() == text);
        found.ok_or_else(|| UnknownPolicy(text.to_owned()))
    }
}
