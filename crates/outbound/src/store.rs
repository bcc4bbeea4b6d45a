//! Client for store instances. It transfers only records; the engines and the stores transfer the
//! pieces.

use std::net::SocketAddr;

use async_trait::async_trait;
use hyper::{Method, StatusCode};
use kv::{PieceKey, Record, RecordWire};
use serde::{Deserialize, Serialize};

use crate::{CallError, Client, Connection, JsonCall, Refusal};

/// Interface of the store instances.
#[async_trait]
pub trait Store: Send + Sync {
    /// Returns the records of `keys`, from the first key up to the first one without a record. They
    /// are not verified: the store is not trusted, and [`kv::usable_prefix`] checks them.
    async fn leading_records(
        &self,
        addr: SocketAddr,
        keys: &[PieceKey],
    ) -> Result<Vec<Record>, CallError>;

    /// Writes a record. Its piece must have been written before.
    async fn put(&self, addr: SocketAddr, record: &Record) -> Result<(), CallError>;

    /// Returns the rate limit of the store's link, in bytes per second.
    async fn link_rate(&self, addr: SocketAddr) -> Result<u64, CallError>;
}

/// Implementation of [`Store`] over HTTP.
pub struct StoreClient(Client);

impl StoreClient {
    /// Creates a client that sends its calls through `client`.
    pub fn new(client: Client) -> Self {
        Self(client)
    }
}

#[async_trait]
impl Store for StoreClient {
    async fn leading_records(
        &self,
        addr: SocketAddr,
        keys: &[PieceKey],
    ) -> Result<Vec<Record>, CallError> {
        let body = RunWire { keys };
        let call = JsonCall {
            method: Method::POST,
            addr,
            path: "/records/run",
            body: Some(&body),
            connection: Connection::Pooled,
        };
        let found: FoundWire = self.0.json(call, self.0.timeouts().call, refusal).await?;
        let record = |w| Record::try_from(w).map_err(CallError::malformed);
        found.records.into_iter().map(record).collect()
    }

    async fn put(&self, addr: SocketAddr, record: &Record) -> Result<(), CallError> {
        let body = RecordWire::from(*record);
        let path = format!("/records/{}", record.receipt.key);
        let call = JsonCall {
            method: Method::PUT,
            addr,
            path: &path,
            body: Some(&body),
            connection: Connection::Pooled,
        };
        self.0.bytes(call, self.0.timeouts().call, refusal).await.map(drop)
    }

    async fn link_rate(&self, addr: SocketAddr) -> Result<u64, CallError> {
        let call = JsonCall::<()> {
            method: Method::GET,
            addr,
            path: "/load",
            body: None,
            connection: Connection::Pooled,
        };
        let load: LoadWire = self.0.json(call, self.0.timeouts().call, refusal).await?;
        Ok(load.link_bytes_per_s)
    }
}

fn refusal(status: StatusCode, _: &[u8]) -> CallError {
    let refusal = match status {
        StatusCode::INSUFFICIENT_STORAGE => Refusal::Full,
        StatusCode::NOT_FOUND => Refusal::Missing,
        status => Refusal::Status(status.as_u16()),
    };
    refusal.into()
}

#[derive(Serialize)]
struct RunWire<'a> {
    keys: &'a [PieceKey],
}

#[derive(Deserialize)]
struct LoadWire {
    link_bytes_per_s: u64,
}

#[derive(Deserialize)]
struct FoundWire {
    records: Vec<RecordWire>,
}
