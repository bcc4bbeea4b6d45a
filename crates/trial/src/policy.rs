//! Placement policies to compare.

use std::str::FromStr;

/// A placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The policy of the product.
    Ours,
    /// The same, but long prompts do not wait for an engine with free capacity.
    Unheld,
    /// The least loaded engine, without a preferred engine for a context.
    Least,
    /// The policy of the product without a store.
    Unkept,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [Self::Ours, Self::Unheld, Self::Least, Self::Unkept];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Unheld => "unheld",
            Self::Least => "least",
            Self::Unkept => "unkept",
        }
    }
}

/// Error of a text that is not the name of a policy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown policy {0:?}: use ours, unheld, least, unkept or all")]
pub struct UnknownPolicy(pub String);

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        let found = Self::ALL.into_iter().find(|p| p.name() == text);
        found.ok_or_else(|| UnknownPolicy(text.into()))
    }
}
