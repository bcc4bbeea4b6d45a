//! Which address to use: asked from any instance, kept until the answer expires.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use super::{CallError, Caller, PAUSE};
use crate::HttpError;

/// Longest time an answer is kept, whatever it says.
const MAX_TERM: Duration = Duration::from_secs(3600);

/// Best address first.
#[derive(Deserialize)]
struct WhereWire {
    addresses: Vec<AddressWire>,
    /// From the answer on.
    expires_ms: u64,
}

#[derive(Deserialize)]
struct AddressWire {
    addr: String,
}

#[derive(Debug, Clone)]
struct Place {
    context: String,
    addresses: Vec<String>,
    expires: Instant,
}

/// What the caller has been told. Invariant: `places` is sorted by context and `heard` holds each
/// address once.
#[derive(Debug, Default)]
pub(super) struct Known {
    places: Vec<Place>,
    /// Every address that was ever named.
    heard: Vec<String>,
    /// Where the next question goes.
    turn: usize,
}

impl Known {
    fn addresses(&self, context: &str) -> Option<Vec<String>> {
        let at = self.places.binary_search_by(|p| p.context.as_str().cmp(context)).ok()?;
        let place = &self.places[at];
        (place.expires > Instant::now()).then(|| place.addresses.clone())
    }

    fn learn(&mut self, place: Place) {
        for addr in &place.addresses {
            if !self.heard.contains(addr) {
                self.heard.push(addr.clone());
            }
        }
        match self.places.binary_search_by(|p| p.context.cmp(&place.context)) {
            Ok(at) => self.places[at] = place,
            Err(at) => self.places.insert(at, place),
        }
    }

    /// The instance to ask next: seeds and named addresses in turn.
    fn next(&mut self, seeds: &[String]) -> Option<String> {
        let all: Vec<_> = seeds.iter().chain(&self.heard).collect();
        let at = self.turn.checked_rem(all.len())?;
        self.turn += 1;
        Some(all[at].clone())
    }
}

impl Caller {
    /// The addresses for a context, best first, never empty. Asks when the kept answer has
    /// expired, one instance after the other until the deadline.
    pub(super) async fn addresses(
        &self,
        context: &str,
        end: Instant,
    ) -> Result<Vec<String>, CallError> {
        if let Some(known) = self.known.lock().addresses(context) {
            return Ok(known);
        }
        loop {
            let asked = self.known.lock().next(&self.config.seeds).ok_or(CallError::Nowhere)?;
            if let Ok(place) = self.ask(&asked, context, end).await
                && !place.addresses.is_empty()
            {
                let addresses = place.addresses.clone();
                self.known.lock().learn(place);
                return Ok(addresses);
            }
            if Instant::now() + PAUSE >= end {
                return Err(CallError::Nowhere);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn ask(&self, asked: &str, context: &str, end: Instant) -> Result<Place, HttpError> {
        let mut url = format!("http://{asked}/v1/where?context={}", encode(context));
        if let Some(zone) = &self.config.zone {
            url += &format!("&zone={}", encode(zone));
        }
        let (http, bearer) = (self.http(), self.bearer());
        let headers = [("authorization", &*bearer)];
        let call = http.send(hyper::Method::GET, &url, &headers, bytes::Bytes::new());
        let asked_at = Instant::now();
        let reply = self.within(self.config.silence, call, end).await;
        if reply.is_err() {
            *self.http.lock() = crate::Http::new();
        }
        let wire: WhereWire = reply?.json()?;
        let term = Duration::from_millis(wire.expires_ms).min(MAX_TERM);
        let addresses = wire.addresses.into_iter().map(|a| a.addr).collect();
        // Counted from the question, so never too long.
        Ok(Place { context: context.to_owned(), addresses, expires: asked_at + term })
    }
}

/// Percent-encodes a query value or path segment.
pub(super) fn encode(text: &str) -> String {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || b"-._~".contains(b);
    let one = |b: u8| if plain(&b) { char::from(b).to_string() } else { format!("%{b:02X}") };
    text.bytes().map(one).collect()
}
