//! The layout of what instances hand on to each other; see `docs/design/upgrades.md`.
//!
//! A reader of these layouts skips fields that it does not know, and takes missing ones for their
//! default. A row of a kind that it does not know is kept and handed on, but not used.

use std::{sync::Arc, time::Duration};

use ::feed::Delta;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use fleet::{Instance, Replica};
use place::HeldPart;
use serde::{Deserialize, Serialize};
use table::Version;

use crate::services::{Registry, Topic, Update};

/// Version of the layout. It says what the sender writes; a reader accepts all.
const FORMAT: u32 = 1;
/// Key of the configuration's row.
const CONFIG_KEY: &str = "config";
/// Start of the keys of weights' rows.
const WEIGHTS_KEY: &str = "weights/";

/// What changed in a topic.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct TopicWire {
    format: u32,
    era: u64,
    next: u64,
    full: bool,
    /// The registry's clock when it confirmed the rows, in ms.
    pub(crate) clock: u64,
    /// Time since then at the reader, in ms.
    pub(crate) age_ms: u64,
    /// Whether the registry did not answer the reader's last call.
    pub(crate) failing: bool,
    /// Keys and encoded rows.
    rows: Vec<(String, String)>,
    removed: Vec<String>,
}

impl TopicWire {
    pub(crate) fn new(delta: Delta<Arc<str>>, clock: u64, age_ms: u64, failing: bool) -> Self {
        let Delta { full, rows, removed, next } = delta;
        Self {
            format: FORMAT,
            era: next.era,
            next: next.number,
            full,
            clock,
            age_ms,
            failing,
            rows: rows.into_iter().map(|(k, row)| (k.to_string(), row.to_string())).collect(),
            removed: removed.iter().map(|k| k.to_string()).collect(),
        }
    }

    pub(crate) fn delta(&self) -> Delta<Arc<str>> {
        let rows = self.rows.iter().map(|(k, row)| (k.as_str().into(), row.as_str().into()));
        Delta {
            full: self.full,
            rows: rows.collect(),
            removed: self.removed.iter().map(|k| k.as_str().into()).collect(),
            next: Version { era: self.era, number: self.next },
        }
    }
}

/// A row of a topic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RowWire {
    /// The operators' bytes in Base64.
    Config(String),
    Weights {
        model: String,
        version: u64,
    },
    Replica(ReplicaWire),
    Instance(InstanceWire),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ReplicaWire {
    id: String,
    target: String,
    addr: std::net::SocketAddr,
    zone: String,
    #[serde(default)]
    software: Option<String>,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    started_ms: u64,
    #[serde(default)]
    models: Vec<(String, u64)>,
    /// Remaining cold time, in ms; 0 for a warm replica.
    #[serde(default, skip_serializing_if = "is_zero")]
    cold_ms: u64,
}

fn is_zero(ms: &u64) -> bool {
    *ms == 0
}

impl From<&Replica> for ReplicaWire {
    fn from(from: &Replica) -> Self {
        Self {
            id: from.id.to_string(),
            target: from.target.to_string(),
            addr: from.addr,
            zone: from.zone.to_string(),
            software: from.software.as_ref().map(|s| s.to_string()),
            slots: from.slots,
            leaving: from.leaving,
            started_ms: from.started_ms,
            models: from.models.iter().map(|(m, v)| (m.to_string(), *v)).collect(),
            cold_ms: from.cold.as_millis().try_into().unwrap_or(u64::MAX),
        }
    }
}

impl From<ReplicaWire> for Replica {
    fn from(wire: ReplicaWire) -> Self {
        let mut models: Vec<(Arc<str>, u64)> =
            wire.models.into_iter().map(|(m, v)| (m.into(), v)).collect();
        models.sort();
        Self {
            id: wire.id.into(),
            target: wire.target.into(),
            addr: wire.addr,
            zone: wire.zone.into(),
            software: wire.software.map(Into::into),
            slots: wire.slots,
            leaving: wire.leaving,
            started_ms: wire.started_ms,
            models,
            cold: Duration::from_millis(wire.cold_ms),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct InstanceWire {
    name: String,
    front: std::net::SocketAddr,
    peer: std::net::SocketAddr,
    zone: String,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    boot: u64,
}

impl From<&Instance> for InstanceWire {
    fn from(from: &Instance) -> Self {
        let (name, zone) = (from.name.to_string(), from.zone.to_string());
        let Instance { front, peer, leaving, boot, .. } = *from;
        Self { name, front, peer, zone, leaving, boot }
    }
}

impl From<InstanceWire> for Instance {
    fn from(wire: InstanceWire) -> Self {
        let InstanceWire { name, front, peer, zone, leaving, boot } = wire;
        Self { name: name.into(), front, peer, zone: zone.into(), leaving, boot }
    }
}

/// An error in a row.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the row can't be decoded: {0}")]
pub(crate) struct RowError(Arc<str>);

impl RowError {
    fn new(cause: &dyn std::fmt::Display) -> Self {
        Self(cause.to_string().into())
    }
}

/// Key and encoded row of an update; the row is `None` where the update removes it.
pub(crate) fn encode(update: &Update) -> (Arc<str>, Option<Arc<str>>) {
    let (key, row) = match update {
        Update::Config(_, bytes) => (CONFIG_KEY.into(), RowWire::Config(STANDARD.encode(bytes))),
        Update::Weights { model, version } => {
            let row = RowWire::Weights { model: model.to_string(), version: *version };
            (format!("{WEIGHTS_KEY}{model}").into(), row)
        }
        Update::Replica(replica) => (replica.id.clone(), RowWire::Replica(replica.into())),
        Update::Instance(instance) => (instance.name.clone(), RowWire::Instance(instance.into())),
        Update::ReplicaRemoved(key) | Update::InstanceRemoved(key) => return (key.clone(), None),
    };
    let text = serde_json::to_string(&row).expect("a row is valid JSON");
    (key, Some(text.into()))
}

/// Decodes a row.
pub(crate) fn decode(row: &str, registry: &dyn Registry) -> Result<Update, RowError> {
    Ok(match serde_json::from_str(row).map_err(|e| RowError::new(&e))? {
        RowWire::Config(text) => {
            let bytes = STANDARD.decode(text).map_err(|e| RowError::new(&e))?;
            let config = registry.config(&bytes).map_err(|e| RowError::new(&e))?;
            Update::Config(Box::new(config), bytes.into())
        }
        RowWire::Weights { model, version } => Update::Weights { model: model.into(), version },
        RowWire::Replica(wire) => Update::Replica(wire.into()),
        RowWire::Instance(wire) => Update::Instance(wire.into()),
    })
}

/// The update that a removed row means; `None` where rows of the topic are never removed.
pub(crate) fn removal(topic: Topic, key: &Arc<str>) -> Option<Update> {
    match topic {
        Topic::Operator => None,
        Topic::Replicas => Some(Update::ReplicaRemoved(key.clone())),
        Topic::Instances => Some(Update::InstanceRemoved(key.clone())),
    }
}

/// The query of a poll.
pub(crate) fn poll_query(position: Option<Version>, wait: Duration) -> String {
    let wait = wait.as_millis();
    match position {
        Some(at) => format!("format={FORMAT}&wait={wait}&after={}.{}", at.era, at.number),
        None => format!("format={FORMAT}&wait={wait}"),
    }
}

/// Position and wait of a poll. What can't be read counts as missing.
pub(crate) fn parse_poll(query: &str) -> (Option<Version>, Duration) {
    let word = |name: &str| query.split('&').find_map(|w| w.strip_prefix(name));
    let position = word("after=").and_then(parse_version);
    let wait = word("wait=").and_then(|w| w.parse().ok()).unwrap_or(0);
    (position, Duration::from_millis(wait))
}

fn parse_version(text: &str) -> Option<Version> {
    let (era, number) = text.split_once('.')?;
    Some(Version { era: era.parse().ok()?, number: number.parse().ok()? })
}

/// Short name of a store.
pub(crate) fn store_tag(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// A poll for the catalogs of stores and for replicas' loads.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct PartsPoll {
    /// Positions in the catalogs by the stores' tags. Sorted.
    pub(crate) positions: Vec<(u64, Version)>,
    /// Number of the reader's last report that is known.
    pub(crate) seen: u64,
    /// Reports that arrived at the follower since its last poll.
    pub(crate) loads: Vec<LoadWire>,
}

impl PartsPoll {
    pub(crate) fn query(&self) -> String {
        let position = |(tag, at): &(u64, Version)| format!("{tag:x}.{}.{}", at.era, at.number);
        let load = |LoadWire(tag, requests, age): &LoadWire| format!("{tag:x}.{requests}.{age}");
        let positions: Vec<String> = self.positions.iter().map(position).collect();
        let loads: Vec<String> = self.loads.iter().map(load).collect();
        let (positions, loads) = (positions.join(","), loads.join(","));
        format!("format={FORMAT}&after={positions}&seen={}&loads={loads}", self.seen)
    }

    /// Reads a query. What can't be read counts as missing.
    pub(crate) fn parse(query: &str) -> Self {
        let word = |name: &str| query.split('&').find_map(|w| w.strip_prefix(name));
        let load = |word: &str| {
            let mut words = word.split('.');
            let tag = u32::from_str_radix(words.next()?, 16).ok()?;
            Some(LoadWire(tag, words.next()?.parse().ok()?, words.next()?.parse().ok()?))
        };
        let loads = word("loads=").unwrap_or_default().split(',').filter_map(load);
        Self {
            positions: parse_positions(query),
            seen: word("seen=").and_then(|w| w.parse().ok()).unwrap_or(0),
            loads: loads.collect(),
        }
    }
}

/// A replica's report of its running and queued requests: tag, requests, and its age in ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadWire(pub(crate) u32, pub(crate) u32, pub(crate) u64);

/// Short name of a replica. Two that share one also share a load, which only costs placement.
pub(crate) fn replica_tag(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}

/// The positions in a query, sorted by tag. What can't be read counts as missing.
fn parse_positions(query: &str) -> Vec<(u64, Version)> {
    let words = query.split('&').find_map(|w| w.strip_prefix("after=")).unwrap_or_default();
    let word = |word: &str| {
        let (tag, at) = word.split_once('.')?;
        Some((u64::from_str_radix(tag, 16).ok()?, parse_version(at)?))
    };
    let mut out: Vec<(u64, Version)> = words.split(',').filter_map(word).collect();
    out.sort_unstable();
    out
}

/// What changed in the catalogs of stores.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct PartsWire {
    format: u32,
    pub(crate) stores: Vec<StoreWire>,
    /// Number of the reader's last report.
    pub(crate) seen: u64,
    /// Reports since the number that the follower named.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) loads: Vec<LoadWire>,
}

/// What changed in the catalog of one store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StoreWire {
    pub(crate) tag: u64,
    epoch: u64,
    next: u64,
    full: bool,
    /// The store's clock in its last answer, in ms.
    pub(crate) clock: u64,
    /// Time at the reader since the request for that answer was sent, in ms.
    pub(crate) age_ms: u64,
    /// Salt, identifier and tokens.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    parts: Vec<(String, String, u64)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    removed: Vec<(String, String)>,
}

/// Key of a part in the rows of a store.
pub(crate) fn part_key(salt: &str, part: &str) -> Arc<str> {
    format!("{salt}\n{part}").into()
}

impl PartsWire {
    pub(crate) fn new(seen: u64, loads: Vec<LoadWire>) -> Self {
        Self { format: FORMAT, stores: Vec::new(), seen, loads }
    }

    pub(crate) fn push(&mut self, tag: u64, delta: Delta<HeldPart>, clock: u64, age: Duration) {
        let Delta { full, rows, removed, next } = delta;
        let gone = |key: &Arc<str>| {
            let (salt, part) = key.rsplit_once('\n')?;
            Some((salt.to_owned(), part.to_owned()))
        };
        let part = |(_, h): (_, HeldPart)| (h.salt.to_string(), h.part.to_string(), h.tokens);
        self.stores.push(StoreWire {
            tag,
            epoch: next.era,
            next: next.number,
            full,
            clock,
            age_ms: age.as_millis() as u64,
            parts: rows.into_iter().map(part).collect(),
            removed: removed.iter().filter_map(gone).collect(),
        });
    }
}

impl StoreWire {
    pub(crate) fn delta(self) -> Delta<HeldPart> {
        let row = |(salt, part, tokens): (String, String, u64)| {
            let key = part_key(&salt, &part);
            (key, HeldPart { salt: salt.into(), part: part.into(), tokens })
        };
        Delta {
            full: self.full,
            rows: self.parts.into_iter().map(row).collect(),
            removed: self.removed.iter().map(|(salt, part)| part_key(salt, part)).collect(),
            next: Version { era: self.epoch, number: self.next },
        }
    }
}
