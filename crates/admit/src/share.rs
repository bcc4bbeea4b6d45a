//! One instance's share of a team's limits.

/// The instances that are not preferred for the team get the limit divided by this, together.
const OTHERS_DIVISOR: u32 = 10;
/// If the limit is small, those instances get more so that each may run one request, but together
/// at most the limit divided by this.
const SMALL_LIMIT_DIVISOR: u32 = 4;

/// The limits of a team for all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest number of admitted requests per second.
    pub rate: u32,
    /// Largest number of requests running or queued at once.
    pub inflight: u32,
}

/// The share of a team's limits that one instance enforces.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Largest number of admitted requests per second.
    pub rate: f64,
    /// Largest number of requests running or queued at once.
    pub inflight: u32,
}

/// Returns the share of the instance at position `rank`, counted from 0, in the team's ranking of
/// all `instances` live instances. The first `preferred_count` of them are preferred for the team.
///
/// The shares of all positions add up to the limits, so the instances need not coordinate. While
/// two instances disagree about which instances are live, the sum may exceed the limits by the
/// shares of the instances that they disagree about.
pub fn instance_share(limits: Limits, preferred_count: u8, instances: usize, rank: usize) -> Share {
    let instances = instances.max(rank + 1);
    let preferred = usize::from(preferred_count.max(1)).min(instances);
    let others = instances - preferred;
    let others_inflight = others_limit(limits.inflight, others);
    let others_rate =
        if others == 0 { 0.0 } else { f64::from(limits.rate) / f64::from(OTHERS_DIVISOR) };
    if rank < preferred {
        let rate = (f64::from(limits.rate) - others_rate) / preferred as f64;
        Share { rate, inflight: nth_part(limits.inflight - others_inflight, preferred, rank) }
    } else {
        let rate = others_rate / others as f64;
        Share { rate, inflight: nth_part(others_inflight, others, rank - preferred) }
    }
}

/// Returns the share of `limit` that the `others` instances, which are not preferred, get together.
fn others_limit(limit: u32, others: usize) -> u32 {
    if others == 0 {
        return 0;
    }
    let one_each = u32::try_from(others).unwrap_or(u32::MAX);
    (limit / OTHERS_DIVISOR).max(one_each.min(limit / SMALL_LIMIT_DIVISOR))
}

/// Divides `whole` into `count` parts that differ by at most 1, and returns the part at index `at`.
fn nth_part(whole: u32, count: usize, at: usize) -> u32 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let extra = (at as u64) < u64::from(whole % count);
    whole / count + u32::from(extra)
}
