//! The platform's table service: the part of DynamoDB's JSON 1.0 protocol lentilpitch uses.

mod call;

use std::sync::Arc;

use axum::{
    Router,
    body::Bytes,
    extract::State,
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::post,
};
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::{Map, Value, json};

use self::call::{Call, GetItem, Query, Transact, Write};
use crate::{control::Control, serve::App, sorted::Sorted};

/// Most items of one transaction.
const TRANSACTION_ITEMS: usize = 100;
/// Most bytes of one page of a query's answer.
const PAGE_BYTES: usize = 1 << 20;
/// Most idempotency tokens of transactions that are remembered.
const TOKENS: usize = 10_000;

/// Limits of the table service.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableConfig {
    /// Items written per second; more are refused.
    pub writes: Option<u64>,
    /// Items read per second; more are refused.
    pub reads: Option<u64>,
}

/// A row as sent: attribute names to typed values.
type Item = Arc<Map<String, Value>>;

/// Invariant: rows are keyed by [`row_key`]; a transaction changes them under one lock, wholly or
/// not at all.
#[derive(Default)]
struct Rows {
    rows: Sorted<Arc<str>, Item>,
    /// Idempotency tokens of committed transactions, oldest first.
    tokens: Vec<String>,
}

struct Table {
    config: TableConfig,
    control: Arc<Control>,
    rows: Mutex<Rows>,
}

/// Why a call was refused, as the protocol puts it.
#[derive(Debug, thiserror::Error)]
enum Refusal {
    #[error("Rate exceeded")]
    Writes,
    #[error("The level of configured provisioned throughput for the table was exceeded")]
    Reads,
    #[error("{0}")]
    Invalid(#[from] call::CallError),
    #[error(
        "Transaction cancelled, please refer cancellation reasons for specific reasons [{}]",
        reasons(.0)
    )]
    Canceled(Vec<bool>),
}

fn reasons(held: &[bool]) -> String {
    let codes: Vec<_> = held.iter().map(|h| code(*h)).collect();
    codes.join(", ")
}

fn code(held: bool) -> &'static str {
    if held { "None" } else { "ConditionalCheckFailed" }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let name = match self {
            Self::Writes => "ThrottlingException",
            Self::Reads => "ProvisionedThroughputExceededException",
            Self::Invalid(_) => "ValidationException",
            Self::Canceled(_) => "TransactionCanceledException",
        };
        let kind = format!("com.amazonaws.dynamodb.v20120810#{name}");
        let mut body = json!({"__type": kind, "message": self.to_string()});
        if let Self::Canceled(held) = &self {
            let reason = |held: &bool| match held {
                true => json!({"Code": "None"}),
                false => json!({"Code": code(false), "Message": "The conditional request failed"}),
            };
            body["Message"] = body["message"].clone();
            body["CancellationReasons"] = held.iter().map(reason).collect();
        }
        answer(StatusCode::BAD_REQUEST, &body)
    }
}

fn answer(status: StatusCode, body: &Value) -> Response {
    let headers = [("content-type", "application/x-amz-json-1.0")];
    (status, headers, body.to_string()).into_response()
}

/// An empty table service.
pub fn table(config: TableConfig, control: Arc<Control>) -> App {
    let state = Arc::new(Table { config, control: control.clone(), rows: Mutex::default() });
    let router = Router::new().route("/", post(serve)).with_state(state);
    App::new(router, control)
}

async fn serve(State(table): State<Arc<Table>>, headers: HeaderMap, body: Bytes) -> Response {
    let target = headers.get("x-amz-target").and_then(|v| v.to_str().ok()).unwrap_or_default();
    let result = match Call::parse(target, &body) {
        Ok(Call::Get(call)) => table.get(&call),
        Ok(Call::Query(call)) => table.query(&call),
        Ok(Call::Transact(call)) => table.transact(call),
        Err(e) => Err(e.into()),
    };
    match result {
        Ok(body) => answer(StatusCode::OK, &body),
        Err(refusal) => refusal.into_response(),
    }
}

/// The order of keys is that of partition, then sort key, bytewise.
fn row_key(table: &str, part: &str, sort: &str) -> Arc<str> {
    format!("{table}\0{part}\0{sort}").into()
}

impl Table {
    fn spend(&self, name: &'static str, limit: Option<u64>, n: u64) -> bool {
        if limit.is_some_and(|limit| self.control.this_second(name) + n > limit) {
            self.control.count("throttled", 1);
            return false;
        }
        self.control.count(name, n);
        true
    }

    fn get(&self, call: &GetItem) -> Result<Value, Refusal> {
        if !self.spend("reads", self.config.reads, 1) {
            return Err(Refusal::Reads);
        }
        let rows = self.rows.lock();
        let key = row_key(&call.table, &call.part, &call.sort);
        Ok(rows.rows.get(&*key).map_or_else(|| json!({}), |item| json!({"Item": **item})))
    }

    fn query(&self, call: &Query) -> Result<Value, Refusal> {
        if !self.spend("reads", self.config.reads, 1) {
            return Err(Refusal::Reads);
        }
        let prefix = row_key(&call.table, &call.part, "");
        let rows = self.rows.lock();
        let all = rows.rows.above(&*row_key(&call.table, &call.part, &call.after));
        let len = all.partition_point(|(key, _)| key.starts_with(&*prefix));
        let (mut items, mut bytes) = (Vec::new(), 0);
        for (_, item) in all[..len].iter().take(call.limit) {
            bytes += item.values().map(|v| v.to_string().len()).sum::<usize>();
            if bytes > PAGE_BYTES && !items.is_empty() {
                break;
            }
            items.push(json!(**item));
        }
        let mut body = json!({"Count": items.len(), "ScannedCount": items.len()});
        if let Some(last) = items.last().filter(|_| items.len() < len || items.len() == call.limit)
        {
            body["LastEvaluatedKey"] = json!({"pk": last["pk"], "sk": last["sk"]});
        }
        body["Items"] = items.into();
        Ok(body)
    }

    fn transact(&self, call: Transact) -> Result<Value, Refusal> {
        if call.writes.is_empty() || call.writes.len() > TRANSACTION_ITEMS {
            return Err(call::CallError::Items.into());
        }
        let mut rows = self.rows.lock();
        if call.token.as_ref().is_some_and(|t| rows.tokens.contains(t)) {
            return Ok(json!({}));
        }
        if !self.spend("writes", self.config.writes, call.writes.len() as u64) {
            return Err(Refusal::Writes);
        }
        self.control.count("transactions", 1);
        let held: Vec<bool> = call.writes.iter().map(|w| rows.holds(w)).collect();
        if held.contains(&false) {
            return Err(Refusal::Canceled(held));
        }
        self.control.log(&Commit { commit: call.writes.iter().map(Change::of).collect() });
        for write in call.writes {
            match write.item {
                Some(item) => drop(rows.rows.put(write.key, Arc::new(item))),
                None => drop(rows.rows.remove(&*write.key)),
            }
        }
        rows.remember(call.token);
        Ok(json!({}))
    }
}

impl Rows {
    fn holds(&self, write: &Write) -> bool {
        let row = self.rows.get(&*write.key);
        match &write.expect {
            call::Expect::Nothing => true,
            call::Expect::Absent => row.is_none(),
            call::Expect::Version(v) => row.is_some_and(|r| r.get("ver") == Some(v)),
        }
    }

    fn remember(&mut self, token: Option<String>) {
        if self.tokens.len() >= TOKENS {
            self.tokens.drain(..TOKENS / 10);
        }
        self.tokens.extend(token);
    }
}

#[derive(Serialize)]
struct Commit {
    commit: Vec<Change>,
}

#[derive(Serialize)]
struct Change {
    pk: String,
    sk: String,
    /// The version written; `None` when the row was removed.
    ver: Option<Value>,
}

impl Change {
    fn of(write: &Write) -> Self {
        let mut parts = write.key.split('\0').skip(1).map(str::to_owned);
        let mut part = || parts.next().unwrap_or_default();
        let (pk, sk) = (part(), part());
        Self { pk, sk, ver: write.item.as_ref().and_then(|i| i.get("ver").cloned()) }
    }
}
