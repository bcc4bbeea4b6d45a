//! The requests of this instance that are at replicas, or were lost there lately.

use std::time::Duration;

use ident::Time;

use crate::{EndId, Flight, Suspects};

/// How long after a request was lost the end of its replica is evidence against it and its parts. A
/// replica that falls silent is found within 2 s.
const LOST_TTL: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Entry {
    flight: Flight,
    replica: EndId,
    suspects: Suspects,
    sent: Time,
    /// When its connection ended; `None` while it is at the replica.
    lost: Option<Time>,
    /// Whether its answer is whole if the replica has outlived it.
    unframed: bool,
}

impl Entry {
    fn to_sent(&self) -> Sent {
        Sent { suspects: self.suspects.clone(), at: self.sent }
    }
}

/// The suspects of a request and when it was sent.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) suspects: Suspects,
    pub(crate) at: Time,
}

/// Requests at replicas.
///
/// Invariant: `entries` is sorted by flight.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    entries: Vec<Entry>,
    begun: u64,
}

impl Flights {
    pub(crate) fn begin(&mut self, replica: EndId, suspects: Suspects, now: Time) -> Flight {
        self.begun += 1;
        let flight = Flight(self.begun);
        self.entries.push(Entry {
            flight,
            replica,
            suspects,
            sent: now,
            lost: None,
            unframed: false,
        });
        flight
    }

    /// Removes a request and returns its suspects.
    pub(crate) fn remove(&mut self, flight: Flight) -> Option<Suspects> {
        let at = self.find(flight)?;
        Some(self.entries.remove(at).suspects)
    }

    /// Marks a request as lost, and returns its replica and what was there.
    pub(crate) fn lose(
        &mut self,
        flight: Flight,
        unframed: bool,
        now: Time,
    ) -> Option<(EndId, Sent)> {
        self.entries.retain(|e| e.lost.is_none_or(|at| now.since(at) < LOST_TTL));
        let at = self.find(flight)?;
        let entry = &mut self.entries[at];
        (entry.lost, entry.unframed) = (Some(now), unframed);
        Some((entry.replica, entry.to_sent()))
    }

    /// The requests that are at a replica, or were lost there lately.
    pub(crate) fn at(&self, replica: EndId, now: Time) -> Vec<Sent> {
        let near =
            |e: &&Entry| e.replica == replica && e.lost.is_none_or(|at| now.since(at) < LOST_TTL);
        self.entries.iter().filter(near).map(Entry::to_sent).collect()
    }

    /// Number of requests that are at replicas, without those that were lost.
    pub(crate) fn count(&self) -> usize {
        self.entries.iter().filter(|e| e.lost.is_none()).count()
    }

    /// The replica of a request and when it was sent.
    pub(crate) fn sent(&self, flight: Flight) -> Option<(EndId, Time)> {
        let entry = &self.entries[self.find(flight)?];
        Some((entry.replica, entry.sent))
    }

    /// Whether there are lost requests of a replica.
    pub(crate) fn has_lost(&self, replica: EndId) -> bool {
        self.entries.iter().any(|e| e.replica == replica && e.lost.is_some())
    }

    /// Removes the requests that a replica lost before `alive`, since when it has shown that it
    /// runs, and returns the suspects of those whose answers are whole by that.
    pub(crate) fn outlived(&mut self, replica: EndId, alive: Time) -> Vec<Suspects> {
        let lost = |e: &Entry| e.replica == replica && e.lost.is_some_and(|at| at < alive);
        let whole = self.entries.iter().filter(|e| lost(e) && e.unframed);
        let whole = whole.map(|e| e.suspects.clone()).collect();
        self.entries.retain(|e| !lost(e));
        whole
    }

    fn find(&self, flight: Flight) -> Option<usize> {
        self.entries.binary_search_by_key(&flight, |e| e.flight).ok()
    }
}
