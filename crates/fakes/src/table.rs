//! Stand-in for the platform's table service: the operations of DynamoDB's JSON 1.0 protocol that
//! lentilpitch uses.

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
use crate::{control::Control, serve::App, sorted::SortedMap};

/// Maximum number of items in one transaction.
const MAX_TRANSACTION_ITEMS: usize = 100;
/// Maximum bytes of the items in one page of a query's answer, unless a single item is larger.
const MAX_PAGE_BYTES: usize = 1 << 20;
/// Maximum number of idempotency tokens kept. When it is reached, the oldest tenth is dropped.
const MAX_IDEMPOTENCY_TOKENS: usize = 10_000;

/// Rate limits of the table service.
#[derive(Debug, Clone, Copy, Default)]
pub struct TableConfig {
    /// Maximum number of items written per second; `None` means no limit.
    pub write_rate: Option<u64>,
    /// Maximum number of read calls per second; `None` means no limit.
    pub read_rate: Option<u64>,
}

/// A row as the caller sent it: attribute names with typed values.
type Item = Arc<Map<String, Value>>;

/// Rows of all tables, by `row_key`.
///
/// Invariant: a transaction changes either all of its rows or none, under one lock.
#[derive(Default)]
struct Rows {
    rows: SortedMap<Arc<str>, Item>,
    /// Idempotency tokens of committed transactions, oldest first.
    tokens: Vec<String>,
}

struct Table {
    config: TableConfig,
    control: Arc<Control>,
    rows: Mutex<Rows>,
}

/// Reason why a call is refused, with the error message of the protocol.
#[derive(Debug, thiserror::Error)]
enum Refusal {
    #[error("Rate exceeded")]
    WriteRate,
    #[error("The level of configured provisioned throughput for the table was exceeded")]
    ReadRate,
    #[error("{0}")]
    Invalid(#[from] call::CallError),
    #[error(
        "Transaction cancelled, please refer cancellation reasons for specific reasons [{}]",
        reason_codes(.0)
    )]
    Canceled(Vec<bool>),
}

fn reason_codes(met: &[bool]) -> String {
    let codes: Vec<_> = met.iter().map(|h| reason_code(*h)).collect();
    codes.join(", ")
}

fn reason_code(met: bool) -> &'static str {
    if met { "None" } else { "ConditionalCheckFailed" }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let name = match self {
            Self::WriteRate => "ThrottlingException",
            Self::ReadRate => "ProvisionedThroughputExceededException",
            Self::Invalid(_) => "ValidationException",
            Self::Canceled(_) => "TransactionCanceledException",
        };
        let kind = format!("com.amazonaws.dynamodb.v20120810#{name}");
        let mut body = json!({"__type": kind, "message": self.to_string()});
        if let Self::Canceled(met) = &self {
            let reason = |met: &bool| match met {
                true => json!({"Code": "None"}),
                false => {
                    json!({"Code": reason_code(false), "Message": "The conditional request failed"})
                }
            };
            body["Message"] = body["message"].clone();
            body["CancellationReasons"] = met.iter().map(reason).collect();
        }
        answer(StatusCode::BAD_REQUEST, &body)
    }
}

fn answer(status: StatusCode, body: &Value) -> Response {
    let headers = [("content-type", "application/x-amz-json-1.0")];
    (status, headers, body.to_string()).into_response()
}

/// Creates an empty table service.
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

/// Returns the key of a row. Keys are ordered bytewise by table, partition and sort key.
fn row_key(table: &str, partition: &str, sort: &str) -> Arc<str> {
    format!("{table}\0{partition}\0{sort}").into()
}

impl Table {
    fn take_capacity(&self, name: &'static str, limit: Option<u64>, n: u64) -> bool {
        if limit.is_some_and(|limit| self.control.count_this_second(name) + n > limit) {
            self.control.count("throttled", 1);
            return false;
        }
        self.control.count(name, n);
        true
    }

    fn get(&self, call: &GetItem) -> Result<Value, Refusal> {
        if !self.take_capacity("reads", self.config.read_rate, 1) {
            return Err(Refusal::ReadRate);
        }
        let rows = self.rows.lock();
        let key = row_key(&call.table, &call.partition, &call.sort);
        Ok(rows.rows.get(&*key).map_or_else(|| json!({}), |item| json!({"Item": **item})))
    }

    fn query(&self, call: &Query) -> Result<Value, Refusal> {
        if self.control.with_faults(|f| f.refuse_ranges) {
            return Err(Refusal::ReadRate);
        }
        if !self.take_capacity("reads", self.config.read_rate, 1) {
            return Err(Refusal::ReadRate);
        }
        let prefix = row_key(&call.table, &call.partition, "");
        let rows = self.rows.lock();
        let all = rows.rows.entries_after(&*row_key(&call.table, &call.partition, &call.after));
        let len = all.partition_point(|(key, _)| key.starts_with(&*prefix));
        let (mut items, mut bytes) = (Vec::new(), 0);
        for (_, item) in all[..len].iter().take(call.limit) {
            bytes += item.values().map(|v| v.to_string().len()).sum::<usize>();
            if bytes > MAX_PAGE_BYTES && !items.is_empty() {
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
        if call.writes.is_empty() || call.writes.len() > MAX_TRANSACTION_ITEMS {
            return Err(call::CallError::ItemCount.into());
        }
        let mut rows = self.rows.lock();
        if call.token.as_ref().is_some_and(|t| rows.tokens.contains(t)) {
            return Ok(json!({}));
        }
        if !self.take_capacity("writes", self.config.write_rate, call.writes.len() as u64) {
            return Err(Refusal::WriteRate);
        }
        self.control.count("transactions", 1);
        let met: Vec<bool> = call.writes.iter().map(|w| rows.condition_met(w)).collect();
        if met.contains(&false) {
            return Err(Refusal::Canceled(met));
        }
        self.control.log(&CommitLog { commit: call.writes.iter().map(Change::of).collect() });
        for write in call.writes {
            match write.item {
                Some(item) => drop(rows.rows.put(write.key, Arc::new(item))),
                None => drop(rows.rows.remove(&*write.key)),
            }
        }
        rows.remember_token(call.token);
        Ok(json!({}))
    }
}

impl Rows {
    fn condition_met(&self, write: &Write) -> bool {
        let row = self.rows.get(&*write.key);
        match &write.condition {
            call::Condition::Always => true,
            call::Condition::Absent => row.is_none(),
            call::Condition::Version(v) => row.is_some_and(|r| r.get("ver") == Some(v)),
        }
    }

    fn remember_token(&mut self, token: Option<String>) {
        if self.tokens.len() >= MAX_IDEMPOTENCY_TOKENS {
            self.tokens.drain(..MAX_IDEMPOTENCY_TOKENS / 10);
        }
        self.tokens.extend(token);
    }
}

#[derive(Serialize)]
struct CommitLog {
    commit: Vec<Change>,
}

#[derive(Serialize)]
struct Change {
    pk: String,
    sk: String,
    /// Version that was written; `None` if the row was removed.
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
