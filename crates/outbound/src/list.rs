//! Client for the platform's instance list (Prometheus HTTP service discovery). It lists processes
//! of all roles, not only instances of lentilpitch.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use hyper::Method;
use ident::Name;
use serde::Deserialize;

use crate::{CallError, Client, Connection, JsonCall, Refusal};

/// Role of a listed process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An instance of lentilpitch.
    Entry,
    /// A replica of a model engine.
    Engine,
    /// A replica of a plain service.
    Service,
    /// A store instance.
    Store,
}

/// State of a listed process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListState {
    /// The process accepts new work.
    Live,
    /// The process only finishes its running work.
    Leaving,
}

/// Entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListEntry {
    /// Role of the process.
    pub role: Role,
    /// Unique name of the process.
    pub name: Name,
    /// Availability zone of the process.
    pub zone: Name,
    /// Socket address of the process.
    pub addr: SocketAddr,
    /// Whether the process accepts new work.
    pub state: ListState,
    /// Target that the process is a replica of; `None` if the entry names none.
    pub target: Option<Name>,
    /// For store instances: organisation whose pieces the store instance keeps.
    pub org: Option<Name>,
    /// For instances of lentilpitch: address of the peer socket.
    pub peer: Option<SocketAddr>,
}

/// Interface of the platform's instance list, which may be out of date.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the list. Returns the valid entries and the number of invalid ones, which are skipped.
    async fn read(&self) -> Result<(Vec<ListEntry>, usize), CallError>;
}

/// Implementation of [`InstanceList`] over HTTP.
pub struct InstanceListClient {
    client: Client,
    addr: SocketAddr,
    path: Arc<str>,
}

impl InstanceListClient {
    /// Creates a client that reads the list at `path` of `addr`.
    pub fn new(client: Client, addr: SocketAddr, path: &str) -> Self {
        Self { client, addr, path: path.into() }
    }
}

#[async_trait]
impl InstanceList for InstanceListClient {
    async fn read(&self) -> Result<(Vec<ListEntry>, usize), CallError> {
        let call = JsonCall::<()> {
            method: Method::GET,
            addr: self.addr,
            path: &self.path,
            body: None,
            connection: Connection::Pooled,
        };
        let limit = self.client.timeouts().call;
        let refuse = |s: hyper::StatusCode, _: &[u8]| Refusal::Status(s.as_u16()).into();
        let groups: Vec<serde_json::Value> = self.client.json(call, limit, refuse).await?;
        let total = groups.len();
        let listed: Vec<_> = groups.into_iter().filter_map(parse).collect();
        let invalid = total - listed.len();
        Ok((listed, invalid))
    }
}

#[derive(Deserialize)]
struct GroupWire {
    targets: Vec<SocketAddr>,
    labels: LabelsWire,
}

#[derive(Deserialize)]
struct LabelsWire {
    role: Role,
    name: Name,
    zone: Name,
    state: ListState,
    target: Option<Name>,
    org: Option<Name>,
    peer: Option<SocketAddr>,
}

fn parse(value: serde_json::Value) -> Option<ListEntry> {
    let GroupWire { targets, labels } = serde_json::from_value(value).ok()?;
    let addr = *targets.first()?;
    Some(ListEntry {
        role: labels.role,
        name: labels.name,
        zone: labels.zone,
        addr,
        state: labels.state,
        target: labels.target,
        org: labels.org,
        peer: labels.peer,
    })
}
