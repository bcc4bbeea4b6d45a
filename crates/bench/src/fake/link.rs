//! A link whose rate is shared by all transfers on it.

use std::time::Duration;

use ident::Time;

/// Less than this many bytes left counts as done.
const EPSILON: f64 = 1.0;

/// Transfers that share one rate evenly.
#[derive(Debug)]
pub(crate) struct Link {
    /// Bytes per second.
    rate: f64,
    flights: Vec<Flight>,
    at: Time,
    /// Grows with each change, so that outdated wake-ups are known.
    pub(crate) version: u64,
    /// Bytes moved.
    pub(crate) moved: f64,
}

#[derive(Debug)]
struct Flight {
    id: u64,
    left: f64,
}

impl Link {
    pub(crate) fn new(rate: f64) -> Self {
        Self { rate, flights: Vec::new(), at: Time(0), version: 0, moved: 0.0 }
    }

    /// Changes the rate.
    pub(crate) fn set_rate(&mut self, rate: f64, now: Time) {
        self.advance(now);
        self.rate = rate;
        self.version += 1;
    }

    /// Begins a transfer.
    pub(crate) fn begin(&mut self, id: u64, bytes: u64, now: Time) {
        self.advance(now);
        self.flights.push(Flight { id, left: bytes as f64 });
        self.version += 1;
    }

    /// Takes out the transfers that are done.
    pub(crate) fn done(&mut self, now: Time) -> Vec<u64> {
        self.advance(now);
        let done = self.flights.extract_if(.., |f| f.left < EPSILON).map(|f| f.id).collect();
        self.version += 1;
        done
    }

    /// When the next transfer is done.
    pub(crate) fn next(&self) -> Option<Time> {
        let least = self.flights.iter().map(|f| f.left).reduce(f64::min)?;
        let secs = least * self.flights.len() as f64 / self.rate;
        let wait = Duration::from_millis((secs * 1000.0).ceil().max(1.0) as u64);
        Some(self.at.after(wait))
    }

    fn advance(&mut self, now: Time) {
        let bytes = self.rate * now.since(self.at).as_secs_f64();
        let share = bytes / self.flights.len().max(1) as f64;
        for flight in &mut self.flights {
            let step = share.min(flight.left);
            flight.left -= step;
            self.moved += step;
        }
        self.at = now;
    }
}
