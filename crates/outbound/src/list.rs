//! The platform's instance list (Prometheus HTTP service discovery).

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use hyper::Method;
use ident::Name;
use serde::Deserialize;

use crate::{CallError, Client, Connection, JsonCall, Refusal};

/// What a listed instance is.
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

/// Whether a listed instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListState {
    /// It does.
    Live,
    /// It finishes what runs.
    Leaving,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// What it is.
    pub role: Role,
    /// Its unique name.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it takes new work.
    pub state: ListState,
    /// The target it is a replica of.
    pub target: Option<Name>,
    /// For store instances: whose blocks it keeps.
    pub org: Option<Name>,
    /// For instances of lentilpitch: address of its peer socket.
    pub peer: Option<SocketAddr>,
}

/// The platform's lagging list of instances.
#[async_trait]
pub trait Instances: Send + Sync {
    /// Reads the list. Entries that cannot be understood are left out and counted.
    async fn read(&self) -> Result<(Vec<Listed>, usize), CallError>;
}

/// [`Instances`] over HTTP.
pub struct ListClient {
    client: Client,
    addr: SocketAddr,
    path: Arc<str>,
}

impl ListClient {
    /// Reads the list at `path` of `addr`.
    pub fn new(client: Client, addr: SocketAddr, path: &str) -> Self {
        Self { client, addr, path: path.into() }
    }
}

#[async_trait]
impl Instances for ListClient {
    async fn read(&self) -> Result<(Vec<Listed>, usize), CallError> {
        let call = JsonCall::<()> {
            method: Method::GET,
            addr: self.addr,
            path: &self.path,
            body: None,
            connection: Connection::Pooled,
        };
        let limit = self.client.deadlines().call;
        let refuse = |s: hyper::StatusCode, _: &[u8]| Refusal::Status(s.as_u16()).into();
        let groups: Vec<serde_json::Value> = self.client.json(call, limit, refuse).await?;
        let total = groups.len();
        let listed: Vec<_> = groups.into_iter().filter_map(parse).collect();
        let bad = total - listed.len();
        Ok((listed, bad))
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

fn parse(value: serde_json::Value) -> Option<Listed> {
    let GroupWire { targets, labels } = serde_json::from_value(value).ok()?;
    let addr = *targets.first()?;
    Some(Listed {
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
