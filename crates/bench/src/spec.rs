//! The users' workloads in figures.

use std::str::FromStr;

use ident::Name;
use route::CostWeights;

/// Prompt tokens that one piece covers: 1024 bytes at four bytes a token.
pub(crate) const PIECE_TOKENS: u32 = 256;
/// Bytes of KV cache of one token: 32 layers, 8 heads of 128, keys and values in 8 bits.
pub(crate) const TOKEN_BYTES: u64 = 65_536;
/// Bytes of KV cache of one piece.
pub(crate) const PIECE_KV_BYTES: u64 = PIECE_TOKENS as u64 * TOKEN_BYTES;

/// Which workload is replayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Event briefs: captions beside long summaries.
    Inkline,
    /// Parish calendars, reread before each answer, in an organisation that is half moved.
    Umthombo,
}

/// The text names no workload.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown workload {0:?}: use inkline or umthombo")]
pub struct UnknownWorkload(pub String);

impl FromStr for Workload {
    type Err = UnknownWorkload;

    fn from_str(text: &str) -> Result<Self, UnknownWorkload> {
        match text {
            "inkline" => Ok(Self::Inkline),
            "umthombo" => Ok(Self::Umthombo),
            _ => Err(UnknownWorkload(text.to_owned())),
        }
    }
}

/// Requests of one class.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Share of this class among all requests.
    pub share: f64,
    /// Tokens after the shared context, at most.
    pub tail: u32,
    /// Tokens of the answer, at most.
    pub answer: u32,
    /// First token of use, in milliseconds after the request.
    pub deadline: u64,
}

/// A team of the workload.
#[derive(Debug, Clone)]
pub struct TeamSpec {
    /// Its name.
    pub name: Name,
    /// Relative rate of its requests and number of its contexts.
    pub weight: f64,
    /// The part of the organisation it belongs to.
    pub org: usize,
    /// Instances that are home to it.
    pub spread: u8,
}

/// Sizes and rates of a workload.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Name on the command line.
    pub name: &'static str,
    /// Availability zones.
    pub zones: Vec<Name>,
    /// Entry instances.
    pub instances: usize,
    /// Replicas of each part of the organisation.
    pub replicas: Vec<usize>,
    /// The part of the organisation that each store belongs to; `None`: to all.
    pub stores: Vec<Option<usize>>,
    /// The teams.
    pub teams: Vec<TeamSpec>,
    /// Contexts of all teams together.
    pub contexts: usize,
    /// Shortest and longest context, in tokens.
    pub tokens: (u32, u32),
    /// Requests per second at load 1.
    pub rate: f64,
    /// Interactive requests.
    pub interactive: Mix,
    /// Batch requests.
    pub batch: Mix,
    /// Chance that another request for the context follows soon.
    pub follow: f64,
    /// Shortest and longest time until it follows, in milliseconds.
    pub follow_ms: (u64, u64),
    /// Chance that the context was edited before a request that does not follow soon.
    pub edit: f64,
    /// What the teams weigh.
    pub value: CostWeights,
    /// One way between client and instance, in milliseconds.
    pub client_ms: u64,
    /// Prompt tokens per second of one replica.
    pub prefill: u32,
    /// Tokens in one replica's prefix cache.
    pub memory: u64,
    /// Bytes per second of one store's link.
    pub link: u64,
    /// Bytes that one store keeps.
    pub store: u64,
    /// Simulated time in milliseconds.
    pub length: u64,
    /// Its first part, which is not measured, in milliseconds.
    pub warmup: u64,
}

impl Spec {
    /// The figures of a workload.
    pub fn of(workload: Workload) -> Self {
        match workload {
            Workload::Inkline => inkline(),
            Workload::Umthombo => umthombo(),
        }
    }

    /// The same workload measured for `secs` seconds, after as long a warm-up.
    #[must_use]
    pub fn lasting(mut self, secs: u64) -> Self {
        self.warmup = secs * 1_000;
        self.length = 2 * self.warmup;
        self
    }

    /// Full pieces of a prompt.
    pub(crate) fn pieces(tokens: u32) -> u32 {
        tokens / PIECE_TOKENS
    }
}

/// Relative sizes of the ten teams: a few are large.
const TEAM_WEIGHTS: [f64; 10] = [30.0, 20.0, 15.0, 8.0, 7.0, 6.0, 5.0, 4.0, 3.0, 2.0];

/// From this weight on a team is at home on all instances.
const LARGE_WEIGHT: f64 = 15.0;
/// Home instances of a smaller team.
const SMALL_SPREAD: u8 = 2;

fn name(text: &str) -> Name {
    Name::new(text).expect("built-in names are valid")
}

fn teams(orgs: usize) -> Vec<TeamSpec> {
    let team = |(i, weight): (usize, &f64)| TeamSpec {
        name: name(&format!("team-{i}")),
        weight: *weight,
        org: i % orgs,
        spread: if *weight >= LARGE_WEIGHT { u8::MAX } else { SMALL_SPREAD },
    };
    TEAM_WEIGHTS.iter().enumerate().map(team).collect()
}

fn inkline() -> Spec {
    Spec {
        name: "inkline",
        zones: ["regina", "saskatoon", "winnipeg"].map(name).to_vec(),
        instances: 6,
        replicas: vec![12],
        stores: vec![None, None],
        teams: teams(1),
        contexts: 1_500,
        tokens: (6_000, 16_000),
        rate: 9.0,
        interactive: Mix { share: 0.7, tail: 400, answer: 30, deadline: 4_000 },
        batch: Mix { share: 0.3, tail: 1_500, answer: 500, deadline: 30_000 },
        follow: 0.25,
        follow_ms: (5_000, 30_000),
        edit: 0.1,
        value: CostWeights { latency: 10, recompute: 1 },
        client_ms: 1,
        prefill: 12_000,
        memory: 150_000,
        link: 1_250_000_000,
        store: 2_000_000_000_000,
        length: 4_800_000,
        warmup: 2_400_000,
    }
}

fn umthombo() -> Spec {
    Spec {
        name: "umthombo",
        zones: ["johannesburg", "pretoria", "soweto", "vaal"].map(name).to_vec(),
        instances: 8,
        replicas: vec![12, 8],
        stores: vec![Some(0), Some(1)],
        teams: teams(2),
        contexts: 1_200,
        tokens: (12_000, 28_000),
        rate: 7.5,
        interactive: Mix { share: 0.9, tail: 300, answer: 150, deadline: 10_000 },
        batch: Mix { share: 0.1, tail: 1_000, answer: 500, deadline: 60_000 },
        follow: 0.3,
        follow_ms: (10_000, 40_000),
        edit: 0.15,
        value: CostWeights { latency: 1, recompute: 10 },
        client_ms: 3,
        prefill: 12_000,
        memory: 150_000,
        link: 1_250_000_000,
        store: 2_000_000_000_000,
        length: 4_800_000,
        warmup: 2_400_000,
    }
}
