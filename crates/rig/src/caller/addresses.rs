//! Finds the addresses to use: asks any instance and caches the answer until it expires.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use super::{CallError, Caller, RETRY_DELAY};
use crate::HttpError;

/// Upper limit for the TTL of an answer.
const MAX_TTL: Duration = Duration::from_secs(3600);

/// Answer of `/v1/where`, with the best address first.
#[derive(Deserialize)]
struct WhereWire {
    addresses: Vec<AddressWire>,
    /// TTL of the answer in milliseconds.
    expires_ms: u64,
}

#[derive(Deserialize)]
struct AddressWire {
    addr: String,
}

#[derive(Debug, Clone)]
struct CacheEntry {
    context: String,
    addresses: Vec<String>,
    expires: Instant,
}

/// Addresses that instances returned. Invariant: `entries` is sorted by context, and `seen` holds
/// each address once.
#[derive(Debug, Default)]
pub(super) struct AddressCache {
    entries: Vec<CacheEntry>,
    /// Every address that was ever returned.
    seen: Vec<String>,
    /// Number of queries so far; selects the instance for the next one.
    turn: usize,
}

impl AddressCache {
    fn addresses(&self, context: &str) -> Option<Vec<String>> {
        let at = self.entries.binary_search_by(|p| p.context.as_str().cmp(context)).ok()?;
        let entry = &self.entries[at];
        (entry.expires > Instant::now()).then(|| entry.addresses.clone())
    }

    fn insert(&mut self, entry: CacheEntry) {
        for addr in &entry.addresses {
            if !self.seen.contains(addr) {
                self.seen.push(addr.clone());
            }
        }
        match self.entries.binary_search_by(|p| p.context.cmp(&entry.context)) {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
    }

    /// Selects the instance to ask next, in turn from the seeds and the returned addresses.
    fn next(&mut self, seeds: &[String]) -> Option<String> {
        let all: Vec<_> = seeds.iter().chain(&self.seen).collect();
        let at = self.turn.checked_rem(all.len())?;
        self.turn += 1;
        Some(all[at].clone())
    }
}

impl Caller {
    /// Returns the addresses for a context, best first, never empty. If there is no valid answer in
    /// the cache, asks one instance after the other until the deadline.
    pub(super) async fn addresses(
        &self,
        context: &str,
        deadline: Instant,
    ) -> Result<Vec<String>, CallError> {
        if let Some(cached) = self.addresses.lock().addresses(context) {
            return Ok(cached);
        }
        loop {
            let asked =
                self.addresses.lock().next(&self.config.seeds).ok_or(CallError::NoAddress)?;
            if let Ok(entry) = self.query(&asked, context, deadline).await
                && !entry.addresses.is_empty()
            {
                let addresses = entry.addresses.clone();
                self.addresses.lock().insert(entry);
                return Ok(addresses);
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(CallError::NoAddress);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn query(
        &self,
        asked: &str,
        context: &str,
        deadline: Instant,
    ) -> Result<CacheEntry, HttpError> {
        let mut url = format!("http://{asked}/v1/where?context={}", percent_encode(context));
        if let Some(zone) = &self.config.zone {
            url += &format!("&zone={}", percent_encode(zone));
        }
        let (http, bearer) = (self.http(), self.bearer());
        let headers = [("authorization", &*bearer)];
        let call = http.send(hyper::Method::GET, &url, &headers, bytes::Bytes::new());
        let asked_at = Instant::now();
        let reply = self.within(self.config.silence, call, deadline).await;
        if reply.is_err() {
            *self.http.lock() = crate::Http::new();
        }
        let wire: WhereWire = reply?.json()?;
        let ttl = Duration::from_millis(wire.expires_ms).min(MAX_TTL);
        let addresses = wire.addresses.into_iter().map(|a| a.addr).collect();
        // The TTL counts from the query, so the answer is never kept for too long.
        Ok(CacheEntry { context: context.to_owned(), addresses, expires: asked_at + ttl })
    }
}

/// Percent-encodes a query value or a path segment.
pub(super) fn percent_encode(text: &str) -> String {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || b"-._~".contains(b);
    let one = |b: u8| if plain(&b) { char::from(b).to_string() } else { format!("%{b:02X}") };
    text.bytes().map(one).collect()
}
