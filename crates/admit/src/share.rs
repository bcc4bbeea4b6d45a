//! One instance's share of a team's limits.

/// Part of a limit that instances which are not home to the team share, as a divisor.
const REST_DIVISOR: u32 = 10;
/// Largest part of a small limit that goes to such instances so that each has one, as a divisor.
const SMALL_DIVISOR: u32 = 4;

/// Limits of a team over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Admitted requests per second.
    pub rate: u32,
    /// Requests running or queued at once.
    pub inflight: u32,
}

/// One instance's share of a team's limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Admitted requests per second.
    pub rate: f64,
    /// Requests running or queued at once.
    pub inflight: u32,
}

/// The share of the instance at place `rank` in the team's ranking of all `members` live
/// instances, of which the first `spread` are home to the team.
///
/// The shares of all places add up to the limits, so no instance has to ask another. While two
/// instances disagree about who is live, the sum may exceed the limits by the share of those they
/// disagree about.
pub fn share(limits: Limits, spread: u8, members: usize, rank: usize) -> Share {
    let members = members.max(rank + 1);
    let homes = usize::from(spread.max(1)).min(members);
    let others = members - homes;
    let rest = rest(limits.inflight, others);
    let rest_rate =
        if others == 0 { 0.0 } else { f64::from(limits.rate) / f64::from(REST_DIVISOR) };
    if rank < homes {
        let rate = (f64::from(limits.rate) - rest_rate) / homes as f64;
        Share { rate, inflight: part(limits.inflight - rest, homes, rank) }
    } else {
        let rate = rest_rate / others as f64;
        Share { rate, inflight: part(rest, others, rank - homes) }
    }
}

/// What the instances that are not home get together.
fn rest(limit: u32, others: usize) -> u32 {
    if others == 0 {
        return 0;
    }
    let one_each = u32::try_from(others).unwrap_or(u32::MAX);
    (limit / REST_DIVISOR).max(one_each.min(limit / SMALL_DIVISOR))
}

/// Part `at` of `whole` cut into `count` parts that differ by at most one.
fn part(whole: u32, count: usize, at: usize) -> u32 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let extra = (at as u64) < u64::from(whole % count);
    whole / count + u32::from(extra)
}
