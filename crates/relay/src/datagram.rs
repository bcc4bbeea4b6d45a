//! The layout of the datagrams between instances.

use std::time::Duration;

use blame::SuspectWire;
use place::{LimitReport, RefusalReport};
use serde::{Deserialize, Serialize};

/// Layout version of a datagram; datagrams of other versions are dropped.
pub(crate) const FORMAT: u8 = 2;

/// Release of what an instance shares with its peers; 0 is that of instances that don't say.
/// From 1 on, the salts of teams that share name the dedicated teams. From 2 on, datagrams about
/// tracked work are read.
pub(crate) const RELEASE: u32 = 2;

/// A datagram. The order of its fields is part of the format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    pub(crate) format: u8,
    pub(crate) name: String,
    /// Whether the sender takes callers' requests.
    pub(crate) ready: bool,
    /// Revision of the sender's configuration, 0 for none.
    pub(crate) rev: u64,
    /// For each replica: its id, prefill tokens, tokens of memory and number of requests.
    pub(crate) loads: Vec<(String, u64, u64, u32)>,
    /// Replicas that the sender knows to be leaving.
    pub(crate) leaving: Vec<String>,
    /// Replicas that load weights by the sender's orders.
    pub(crate) loading: Vec<String>,
    pub(crate) weights: Vec<AnnouncedVersion>,
    /// When `weights` were last confirmed as the newest, in ms on the registry's clock.
    pub(crate) confirmed: u64,
}

/// A version of a model's weights and when it was announced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct AnnouncedVersion {
    pub(crate) model: String,
    pub(crate) version: u64,
    /// Time from which it counts as announced, in ms on the registry's clock; 0 where that time is
    /// uncertain or the registry's clock is unknown.
    pub(crate) clock: u64,
    /// The same time, in ms before the datagram was sent.
    pub(crate) age: u64,
}

/// An error in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DatagramError {
    #[error("the datagram is malformed")]
    Malformed,
    #[error("the datagram has layout version {0}, not {FORMAT}")]
    Format(u8),
}

/// What follows a datagram, so that earlier releases, which send less or nothing of it, read the
/// datagram too. The order of its fields is part of the format.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Trailer {
    /// Era of the registry's clock in the datagram.
    pub(crate) era: u64,
    /// [`fleet::Replica::started_ms`] of each replica in [`Datagram::leaving`], 0 if unknown.
    pub(crate) started: Vec<u64>,
    /// Parts of prompts that were at replicas which ended, as far as there is space for them.
    pub(crate) parts: Vec<SuspectWire<u64>>,
    /// Limits that replicas named in answers to the sender.
    pub(crate) limits: Vec<LimitWire>,
    /// Requests that were at replicas which ended, as far as there is space for them.
    pub(crate) requests: Vec<SuspectWire<[u8; 16]>>,
    /// Replicas that ended, as in [`ReportWire`].
    pub(crate) ended: Vec<(u32, u32)>,
    /// Targets of which the sender reaches no replica.
    pub(crate) cut_off: Vec<String>,
    /// Replicas that bear few refusals and refused requests of the sender.
    pub(crate) full: Vec<RefusalWire>,
    /// Whether each replica in [`Datagram::leaving`] said so itself.
    pub(crate) said: Vec<bool>,
    /// Time until the sender has run for a window of the retry budget, in ms; 0 once it has. Read by
    /// earlier releases only.
    pub(crate) young_ms: u64,
    /// The sender's [`RELEASE`].
    pub(crate) release: u32,
    /// Digests of incarnations of replicas that the sender found to have ended, of targets with a
    /// limit for cold replicas.
    pub(crate) lost: Vec<u64>,
}

/// A [`LimitReport`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LimitWire {
    pub(crate) replica: String,
    pub(crate) started_ms: u64,
    pub(crate) rate: Option<f64>,
    pub(crate) age_ms: u64,
}

impl From<LimitReport> for LimitWire {
    fn from(report: LimitReport) -> Self {
        let LimitReport { replica, started_ms, rate, age } = report;
        let age_ms = age.as_millis() as u64;
        Self { replica: replica.to_string(), started_ms, rate, age_ms }
    }
}

impl TryFrom<&LimitWire> for LimitReport {
    type Error = DatagramError;

    fn try_from(wire: &LimitWire) -> Result<Self, DatagramError> {
        if wire.rate.is_some_and(|rate| !rate.is_finite() || rate < 0.0) {
            return Err(DatagramError::Malformed);
        }
        Ok(Self {
            replica: wire.replica.as_str().into(),
            started_ms: wire.started_ms,
            rate: wire.rate,
            age: Duration::from_millis(wire.age_ms),
        })
    }
}

/// A [`RefusalReport`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RefusalWire {
    pub(crate) replica: String,
    pub(crate) started_ms: u64,
    pub(crate) max: f64,
    pub(crate) age_ms: u64,
    pub(crate) refused_ms: u64,
}

impl From<RefusalReport> for RefusalWire {
    fn from(report: RefusalReport) -> Self {
        let RefusalReport { replica, started_ms, max, age, refused } = report;
        let (age_ms, refused_ms) = (age.as_millis() as u64, refused.as_millis() as u64);
        Self { replica: replica.to_string(), started_ms, max, age_ms, refused_ms }
    }
}

impl TryFrom<&RefusalWire> for RefusalReport {
    type Error = DatagramError;

    fn try_from(wire: &RefusalWire) -> Result<Self, DatagramError> {
        if !wire.max.is_finite() || wire.max < 0.0 {
            return Err(DatagramError::Malformed);
        }
        Ok(Self {
            replica: wire.replica.as_str().into(),
            started_ms: wire.started_ms,
            max: wire.max,
            age: Duration::from_millis(wire.age_ms),
            refused: Duration::from_millis(wire.refused_ms),
        })
    }
}

/// Decodes a datagram and its trailer.
pub(crate) fn parse(bytes: &[u8]) -> Result<(Datagram, Trailer), DatagramError> {
    let (datagram, rest): (Datagram, _) =
        postcard::take_from_bytes(bytes).map_err(|_| DatagramError::Malformed)?;
    if datagram.format != FORMAT {
        return Err(DatagramError::Format(datagram.format));
    }
    let mut trailer = Trailer::default();
    let mut rest = rest;
    // Each release added a field.
    take(&mut trailer.era, &mut rest)?;
    take(&mut trailer.started, &mut rest)?;
    take(&mut trailer.parts, &mut rest)?;
    take(&mut trailer.limits, &mut rest)?;
    take(&mut trailer.requests, &mut rest)?;
    take(&mut trailer.ended, &mut rest)?;
    take(&mut trailer.cut_off, &mut rest)?;
    take(&mut trailer.full, &mut rest)?;
    take(&mut trailer.said, &mut rest)?;
    take(&mut trailer.young_ms, &mut rest)?;
    take(&mut trailer.release, &mut rest)?;
    take(&mut trailer.lost, &mut rest)?;
    Ok((datagram, trailer))
}

/// Decodes the next field of a trailer, which stays as it is if the sender has none.
fn take<'b, T>(field: &mut T, rest: &mut &'b [u8]) -> Result<(), DatagramError>
where
    T: Deserialize<'b>,
{
    if !rest.is_empty() {
        (*field, *rest) = postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
    }
    Ok(())
}
