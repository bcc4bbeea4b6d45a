//! Client for model engines. A piece is the KV cache of [`kv::PIECE_BYTES`] bytes of prompt text.

use std::net::SocketAddr;

use async_trait::async_trait;
use hyper::{Method, StatusCode};
use ident::{Digest, Fence, Name, RequestId};
use kv::{PieceKey, Receipt, ReceiptWire};
use serde::{Deserialize, Serialize};

use crate::{
    CallError, Client, Connection, JsonCall, Refusal, TokenSource, client::read,
    tokens::EventTokens,
};

/// A completion to start on a replica.
#[derive(Debug, Clone, Serialize)]
pub struct Completion {
    /// Name of the model.
    pub model: Name,
    /// Weights version that must serve the completion.
    pub weights: Name,
    /// Complete text of the prompt.
    pub prompt: std::sync::Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Seed for sampling; the same seed, prompt and weights version give the same answer.
    pub seed: u64,
    /// Salt that separates the teams in the engine's prefix cache.
    pub cache_salt: Digest,
    /// Priority; requests with a lower value run first.
    pub priority: u8,
    /// Unique identifier of the completion. The engine keeps the generated tokens under it for a
    /// while, so that a stream can be resumed.
    pub request_id: RequestId,
    /// Handle of a staged import to start from; `None` to start without one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kv_handle: Option<std::sync::Arc<str>>,
    /// Whether to stream the answer; always true.
    pub stream: bool,
}

/// Pieces to import from a store instance.
#[derive(Debug, Clone)]
pub struct Import {
    /// Identifier of the caller's request; it differs from [`Completion::request_id`].
    pub request: RequestId,
    /// Weights version that the pieces belong to.
    pub weights: Name,
    /// Cache salt of the team.
    pub salt: Digest,
    /// Socket address of the store instance.
    pub source: SocketAddr,
    /// Key and generation of each piece, in chain order. The generation is a random number that
    /// distinguishes one write of the piece from others.
    pub pieces: Vec<(PieceKey, u64)>,
}

/// A staged import. The engine does not use it until a completion names its handle.
#[derive(Debug, Clone)]
pub struct StagedImport {
    /// Handle of the staged pieces.
    pub handle: std::sync::Arc<str>,
    /// Receipts of the pieces that the engine received.
    pub receipts: Vec<Receipt>,
}

/// Pieces of a prompt to write to a store instance.
#[derive(Debug, Clone)]
pub struct Export {
    /// [`Completion::request_id`] of the completion whose prompt's pieces are written.
    pub request: RequestId,
    /// Socket address of the store instance.
    pub dest: SocketAddr,
    /// Index, key and generation of each piece, the generation as in [`Import::pieces`].
    pub pieces: Vec<(u32, PieceKey, u64)>,
}

/// A replica's load report.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Number of requests being generated.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// Weights version that the replica serves; `None` if it serves none.
    pub weights: Option<Name>,
    /// Whether the replica reports that it is leaving.
    pub leaving: bool,
}

/// The state that an order sets on a replica. It is absolute, so it does not depend on earlier
/// orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaState {
    /// Weights version to serve.
    pub weights: Name,
    /// Role of the replica: `mixed`, `prefill` or `decode`.
    pub role: Name,
}

/// State of a replica as reported by the replica itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderStatus {
    /// Highest fencing number that the replica has received.
    pub fence: Fence,
    /// State that the last order set; `None` if there was no order.
    pub wanted: Option<ReplicaState>,
    /// State in which the replica serves; `None` while it loads weights.
    pub actual: Option<ReplicaState>,
}

/// Interface of the replicas of model engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a completion and returns its token stream.
    async fn complete(
        &self,
        addr: SocketAddr,
        completion: &Completion,
        connection: Connection,
    ) -> Result<Box<dyn TokenSource>, CallError>;

    /// Resumes a stream at the token offset `from`, on a new connection.
    async fn resume(
        &self,
        addr: SocketAddr,
        request: RequestId,
        from: u64,
    ) -> Result<Box<dyn TokenSource>, CallError>;

    /// Cancels a request; with `idle`, only if no stream of it is open.
    async fn cancel(
        &self,
        addr: SocketAddr,
        request: RequestId,
        idle: bool,
    ) -> Result<(), CallError>;

    /// Imports pieces from a store instance into the replica's staging area.
    async fn import(&self, addr: SocketAddr, import: &Import) -> Result<StagedImport, CallError>;

    /// Drops a staged import.
    async fn discard(&self, addr: SocketAddr, handle: &str) -> Result<(), CallError>;

    /// Writes pieces to a store instance and returns the receipts of the written pieces.
    async fn export(&self, addr: SocketAddr, export: &Export) -> Result<Vec<Receipt>, CallError>;

    /// Reads the replica's load report, which may be out of date.
    async fn load(&self, addr: SocketAddr) -> Result<Load, CallError>;

    /// Orders a replica into a state. Fails with [`Refusal::StaleFence`] if the replica has
    /// received a higher fencing number.
    async fn order(
        &self,
        addr: SocketAddr,
        fence: Fence,
        wanted: &ReplicaState,
    ) -> Result<(), CallError>;

    /// Reads the current state of a replica.
    async fn order_status(&self, addr: SocketAddr) -> Result<OrderStatus, CallError>;
}

/// Implementation of [`Engine`] over HTTP.
pub struct EngineClient(Client);

impl EngineClient {
    /// Creates a client that sends its calls through `client`.
    pub fn new(client: Client) -> Self {
        Self(client)
    }

    async fn stream(
        &self,
        call: JsonCall<'_, Completion>,
    ) -> Result<Box<dyn TokenSource>, CallError> {
        let stream_idle = self.0.timeouts().stream_idle;
        let response = self.0.send(call.request()?, call.connection, stream_idle).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(Box::new(EventTokens::new(response, stream_idle)));
        }
        Err(refusal(status, &read(response.into_body()).await?))
    }
}

#[async_trait]
impl Engine for EngineClient {
    async fn complete(
        &self,
        addr: SocketAddr,
        completion: &Completion,
        connection: Connection,
    ) -> Result<Box<dyn TokenSource>, CallError> {
        let method = Method::POST;
        let body = Some(completion);
        self.stream(JsonCall { method, addr, path: "/v1/completions", body, connection }).await
    }

    async fn resume(
        &self,
        addr: SocketAddr,
        request: RequestId,
        from: u64,
    ) -> Result<Box<dyn TokenSource>, CallError> {
        let path = &format!("/v1/completions/{request}?from={from}");
        let (method, connection) = (Method::GET, Connection::New);
        self.stream(JsonCall { method, addr, path, body: None, connection }).await
    }

    async fn cancel(
        &self,
        addr: SocketAddr,
        request: RequestId,
        idle: bool,
    ) -> Result<(), CallError> {
        let path = &format!("/v1/completions/{request}?idle={idle}");
        let call = call_without_body(Method::DELETE, addr, path);
        self.0.bytes(call, self.0.timeouts().call, refusal).await.map(drop)
    }

    async fn import(&self, addr: SocketAddr, import: &Import) -> Result<StagedImport, CallError> {
        let body = ImportWire::from(import);
        let call = post(addr, "/kv/import", &body);
        let wire: ImportedWire = self.0.json(call, self.0.timeouts().transfer, refusal).await?;
        Ok(StagedImport { handle: wire.handle, receipts: receipts(wire.receipts)? })
    }

    async fn discard(&self, addr: SocketAddr, handle: &str) -> Result<(), CallError> {
        let path = &format!("/kv/import/{handle}");
        let call = call_without_body(Method::DELETE, addr, path);
        self.0.bytes(call, self.0.timeouts().call, refusal).await.map(drop)
    }

    async fn export(&self, addr: SocketAddr, export: &Export) -> Result<Vec<Receipt>, CallError> {
        let body = ExportWire::from(export);
        let call = post(addr, "/kv/export", &body);
        let wire: ExportedWire = self.0.json(call, self.0.timeouts().transfer, refusal).await?;
        receipts(wire.receipts)
    }

    async fn load(&self, addr: SocketAddr) -> Result<Load, CallError> {
        let call = call_without_body(Method::GET, addr, "/load");
        let wire: LoadWire = self.0.json(call, self.0.timeouts().call, refusal).await?;
        Ok(wire.into())
    }

    async fn order(
        &self,
        addr: SocketAddr,
        fence: Fence,
        wanted: &ReplicaState,
    ) -> Result<(), CallError> {
        let body = OrderWire { fence, wanted: wanted.clone() };
        let call = JsonCall {
            method: Method::PUT,
            addr,
            path: "/orders",
            body: Some(&body),
            connection: Connection::Pooled,
        };
        self.0.bytes(call, self.0.timeouts().call, refusal).await.map(drop)
    }

    async fn order_status(&self, addr: SocketAddr) -> Result<OrderStatus, CallError> {
        let call = call_without_body(Method::GET, addr, "/orders");
        let wire: OrdersWire = self.0.json(call, self.0.timeouts().call, refusal).await?;
        let ActualWire { weights, role } = wire.actual;
        let actual = weights.map(|weights| ReplicaState { weights, role });
        Ok(OrderStatus { fence: wire.fence, wanted: wire.wanted, actual })
    }
}

fn call_without_body(method: Method, addr: SocketAddr, path: &str) -> JsonCall<'_, ()> {
    JsonCall { method, addr, path, body: None, connection: Connection::Pooled }
}

fn post<'a, A>(addr: SocketAddr, path: &'a str, body: &'a A) -> JsonCall<'a, A> {
    JsonCall { method: Method::POST, addr, path, body: Some(body), connection: Connection::Pooled }
}

fn receipts(wires: Vec<ReceiptWire>) -> Result<Vec<Receipt>, CallError> {
    wires.into_iter().map(|w| Receipt::try_from(w).map_err(CallError::malformed)).collect()
}

fn refusal(status: StatusCode, body: &[u8]) -> CallError {
    let kind = serde_json::from_slice::<ErrorWire>(body).map(|w| w.error.kind).ok();
    let refusal = match (status, kind.as_deref()) {
        (_, Some("leaving")) => Refusal::Leaving,
        (_, Some("overloaded")) => Refusal::Overloaded,
        (_, Some("wrong_weights")) => Refusal::WrongWeights,
        (_, Some("stale_fence")) => Refusal::StaleFence,
        (StatusCode::NOT_FOUND, _) => Refusal::Missing,
        (status, _) => Refusal::Status(status.as_u16()),
    };
    refusal.into()
}

#[derive(Deserialize)]
struct ErrorWire {
    error: ErrorKindWire,
}

#[derive(Deserialize)]
struct ErrorKindWire {
    #[serde(rename = "type")]
    kind: String,
}

#[derive(Serialize)]
struct ImportWire {
    request_id: RequestId,
    weights: Name,
    cache_salt: Digest,
    source: String,
    pieces: Vec<ImportPieceWire>,
}

#[derive(Serialize)]
struct ImportPieceWire {
    key: PieceKey,
    generation: u64,
}

impl From<&Import> for ImportWire {
    fn from(import: &Import) -> Self {
        let piece = |&(key, generation): &(PieceKey, u64)| ImportPieceWire { key, generation };
        Self {
            request_id: import.request,
            weights: import.weights.clone(),
            cache_salt: import.salt,
            source: format!("http://{}", import.source),
            pieces: import.pieces.iter().map(piece).collect(),
        }
    }
}

#[derive(Deserialize)]
struct ImportedWire {
    handle: std::sync::Arc<str>,
    receipts: Vec<ReceiptWire>,
}

#[derive(Serialize)]
struct ExportWire {
    request_id: RequestId,
    dest: String,
    pieces: Vec<ExportPieceWire>,
}

#[derive(Serialize)]
struct ExportPieceWire {
    index: u32,
    key: PieceKey,
    generation: u64,
}

impl From<&Export> for ExportWire {
    fn from(export: &Export) -> Self {
        let piece = |&(index, key, generation): &(u32, PieceKey, u64)| ExportPieceWire {
            index,
            key,
            generation,
        };
        Self {
            request_id: export.request,
            dest: format!("http://{}", export.dest),
            pieces: export.pieces.iter().map(piece).collect(),
        }
    }
}

#[derive(Deserialize)]
struct ExportedWire {
    receipts: Vec<ReceiptWire>,
}

#[derive(Serialize)]
struct OrderWire {
    fence: Fence,
    wanted: ReplicaState,
}

#[derive(Deserialize)]
struct OrdersWire {
    fence: Fence,
    wanted: Option<ReplicaState>,
    actual: ActualWire,
}

#[derive(Deserialize)]
struct ActualWire {
    weights: Option<Name>,
    role: Name,
}

#[derive(Deserialize)]
struct LoadWire {
    named_metrics: MetricsWire,
    weights: Option<Name>,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
struct MetricsWire {
    running: f64,
    waiting: f64,
    prefill_tokens_per_s: f64,
}

impl From<LoadWire> for Load {
    fn from(wire: LoadWire) -> Self {
        let metrics = wire.named_metrics;
        Self {
            running: metrics.running as u32,
            waiting: metrics.waiting as u32,
            prefill_rate: metrics.prefill_tokens_per_s,
            weights: wire.weights,
            leaving: wire.leaving,
        }
    }
}
