//! Deployments and their prompts.

use std::{str::FromStr, time::Duration};

/// One class of prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Requests per second.
    pub rate: f64,
    /// Number of contexts that return.
    pub contexts: u64,
    /// Mean number of tokens of a context.
    pub shared: f64,
    /// Mean number of tokens of the part that belongs to one request.
    pub own: f64,
    /// Number of tokens to generate.
    pub output: u64,
    /// Latency goal of the first token.
    pub goal: Duration,
    /// Time after which a caller gives up.
    pub patience: Duration,
}

/// A deployment with its engines and prompts. The values come from the users' sheets and deployment
/// files, the numbers of contexts from the logs of one quiet day.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mix {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Memory of an engine, in tokens.
    pub capacity: u64,
    /// Size of the KV cache of a token, in bytes.
    pub bytes: u64,
    /// Prefill rate of an engine, in tokens per ms.
    pub read: f64,
    /// Time of attention, in ms for a million pairs of tokens.
    pub pairs: f64,
    /// Time from the end of the prefill to the first token, without the step, in ms.
    pub first: f64,
    /// Fixed part of the time of a step, in ms.
    pub step: f64,
    /// Part of the time of a step for each running request, in ms.
    pub slot: f64,
    /// Bandwidth of each engine's link, in Mbit/s.
    pub link: f64,
    /// Capacity of the store, in tokens.
    pub kept: u64,
    /// Long prompts.
    pub long: Class,
    /// Short prompts.
    pub short: Class,
}

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

impl Mix {
    /// Event briefs and captions.
    pub const INKLINE: Self = Self {
        name: "inkline",
        engines: 12,
        capacity: 74_294,
        bytes: 18_432,
        read: 37.9,
        pairs: 0.248,
        first: 19.0,
        step: 4.63,
        slot: 0.153,
        link: 88_000.0,
        kept: 1_380_000,
        long: Class {
            rate: 12.2,
            contexts: 92,
            shared: 12_800.0,
            own: 4_260.0,
            output: 30,
            goal: secs(1),
            patience: secs(10),
        },
        short: Class {
            rate: 131.0,
            contexts: 1_034,
            shared: 301.0,
            own: 82.0,
            output: 11,
            goal: Duration::from_millis(600),
            patience: secs(5),
        },
    };

    /// Parish calendars and short questions.
    pub const UMTHOMBO: Self = Self {
        name: "umthombo",
        engines: 18,
        capacity: 91_473,
        bytes: 35_136,
        read: 62.4,
        pairs: 0.525,
        first: 120.0,
        step: 6.55,
        slot: 0.165,
        link: 180_000.0,
        kept: 2_840_000,
        long: Class {
            rate: 25.0,
            contexts: 194,
            shared: 12_800.0,
            own: 4_260.0,
            output: 40,
            goal: secs(1),
            patience: secs(12),
        },
        short: Class {
            rate: 268.0,
            contexts: 2_083,
            shared: 301.0,
            own: 82.0,
            output: 15,
            goal: Duration::from_millis(600),
            patience: secs(6),
        },
    };
}

/// Error of a text that is not the name of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown deployment {0:?}: use inkline or umthombo")]
pub struct UnknownMix(pub String);

impl FromStr for Mix {
    type Err = UnknownMix;

    fn from_str(text: &str) -> Result<Self, UnknownMix> {
        match text {
            "inkline" => Ok(Self::INKLINE),
            "umthombo" => Ok(Self::UMTHOMBO),
            _ => Err(UnknownMix(text.into())),
        }
    }
}
