//! The table service over DynamoDB's JSON protocol.

use std::{error::Error, io, sync::Arc, time::Duration};

use async_trait::async_trait;
use aws_sdk_dynamodb::{
    Client,
    config::{
        BehaviorVersion, Config, ConfigBag, Credentials, Intercept, Region, RuntimeComponents,
        interceptors::AfterDeserializationInterceptorContextRef, retry::RetryConfig,
        timeout::TimeoutConfig,
    },
    error::{BoxError, ProvideErrorMetadata, SdkError},
    operation::transact_write_items::TransactWriteItemsError,
    types::{AttributeValue, CancellationReason, Delete, Put, TransactWriteItem},
};
use aws_smithy_http_client::Builder;

use crate::{Expect, Row, Table, TableError, Write, item};

/// Region for request signatures; the platform's service ignores it.
const REGION: &str = "local";
/// Time after which an idle connection is closed. A call over a connection that broke while idle
/// times out.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest body of a row, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Most writes in one transaction.
const MAX_WRITES: usize = 100;

/// AccessKey key that requests are signed with.
#[derive(Clone)]
pub struct AccessKey {
    /// Identifier of the key.
    pub id: Arc<str>,
    /// Secret of the key.
    pub secret: Arc<str>,
}

impl Default for AccessKey {
    fn default() -> Self {
        Self { id: "lentilpitch".into(), secret: "none".into() }
    }
}

impl AccessKey {
    fn credentials(&self) -> Credentials {
        Credentials::new(&*self.id, &*self.secret, None, None, "settings")
    }
}

/// Fails a call whose answer is empty. The SDK takes that for an empty document, and so for a
/// missing row, but the answer was cut.
#[derive(Debug)]
struct RejectEmpty;

impl Intercept for RejectEmpty {
    fn name(&self) -> &'static str {
        "RejectEmpty"
    }

    fn read_after_deserialization(
        &self,
        context: &AfterDeserializationInterceptorContextRef<'_>,
        _: &RuntimeComponents,
        _: &mut ConfigBag,
    ) -> Result<(), BoxError> {
        let response = context.response();
        let empty = response.body().bytes().is_some_and(<[u8]>::is_empty);
        if empty && response.status().is_success() {
            return Err("the answer is empty".into());
        }
        Ok(())
    }
}

/// A client of the table service. The retries of the SDK are disabled, since only the caller can
/// decide whether a call may be repeated. Each commit has a new client token, so that the service
/// never treats two commits as one.
#[derive(Debug, Clone)]
pub struct Dynamo {
    client: Client,
    table: Arc<str>,
}

impl Dynamo {
    /// Creates a client of `table` at `url`, which must be plain HTTP, with a placeholder access
    /// key. `timeout` applies to each call as a whole. Fails with [`TableError::Refused`] if `url`
    /// does not start with `http://`.
    pub fn new(url: &str, table: &str, timeout: Duration) -> Result<Self, TableError> {
        Self::with_access_key(url, table, timeout, &AccessKey::default())
    }

    /// Like [`Dynamo::new`], but signs with `key`.
    pub fn with_access_key(
        url: &str,
        table: &str,
        timeout: Duration,
        key: &AccessKey,
    ) -> Result<Self, TableError> {
        if !url.starts_with("http://") {
            let text = format!("the table service's address must start with http://, got {url:?}");
            return Err(TableError::Refused(text.into()));
        }
        let timeouts = TimeoutConfig::builder()
            .operation_timeout(timeout)
            .operation_attempt_timeout(timeout)
            .connect_timeout(timeout)
            .build();
        let config = Config::builder()
            .behavior_version(BehaviorVersion::latest())
            .endpoint_url(url)
            .region(Region::from_static(REGION))
            .credentials_provider(key.credentials())
            .retry_config(RetryConfig::disabled())
            .timeout_config(timeouts)
            .interceptor(RejectEmpty)
            .http_client(Builder::new().pool_idle_timeout(IDLE_TIMEOUT).build_http())
            .build();
        Ok(Self { client: Client::from_conf(config), table: table.into() })
    }

    fn write(&self, write: &Write) -> Result<TransactWriteItem, TableError> {
        match &write.body {
            Some(body) => self.put(write, body),
            None => self.delete(write),
        }
    }

    fn put(&self, write: &Write, body: &Arc<str>) -> Result<TransactWriteItem, TableError> {
        if body.len() > MAX_BODY_BYTES {
            let text =
                format!("a row holds at most {MAX_BODY_BYTES} bytes, this one has {}", body.len());
            return Err(TableError::Refused(text.into()));
        }
        let (version, old) = match write.expect {
            Expect::Absent => (1, None),
            Expect::Version(v) => (v.number + 1, Some(v.number)),
        };
        let put = Put::builder()
            .table_name(&*self.table)
            .set_item(Some(item::item(write, version, body)))
            .condition_expression(item::condition(old))
            .set_expression_attribute_values(item::values(old))
            .build()
            .map_err(build_error)?;
        Ok(TransactWriteItem::builder().put(put).build())
    }

    fn delete(&self, write: &Write) -> Result<TransactWriteItem, TableError> {
        let old = match write.expect {
            Expect::Absent => None,
            Expect::Version(v) => Some(v.number),
        };
        let delete = Delete::builder()
            .table_name(&*self.table)
            .set_key(Some(item::key(&write.part, &write.sort)))
            .condition_expression(item::condition(old))
            .set_expression_attribute_values(item::values(old))
            .build()
            .map_err(build_error)?;
        Ok(TransactWriteItem::builder().delete(delete).build())
    }
}

#[async_trait]
impl Table for Dynamo {
    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError> {
        let call = self.client.get_item().table_name(&*self.table).consistent_read(true);
        let answer = call.set_key(Some(item::key(part, sort))).send().await.map_err(classify)?;
        answer.item.map(|i| item::row(&i)).transpose()
    }

    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        let limit = i32::try_from(limit).unwrap_or(i32::MAX).max(1);
        let call = self.client.query().table_name(&*self.table).consistent_read(true);
        let call = call
            .key_condition_expression("pk = :p AND sk > :s")
            .expression_attribute_values(":p", AttributeValue::S(part.to_owned()))
            .expression_attribute_values(":s", AttributeValue::S(after.to_owned()));
        let answer = call.limit(limit).send().await.map_err(classify)?;
        answer.items.unwrap_or_default().iter().map(item::row).collect()
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError> {
        if writes.is_empty() {
            return Ok(());
        }
        if writes.len() > MAX_WRITES {
            let text = format!("a transaction holds at most {MAX_WRITES} writes");
            return Err(TableError::Refused(text.into()));
        }
        let items = writes.iter().map(|w| self.write(w)).collect::<Result<Vec<_>, _>>()?;
        let call = self.client.transact_write_items().set_transact_items(Some(items));
        match call.send().await {
            Ok(_) => Ok(()),
            Err(e) => Err(cancelled(&e).unwrap_or_else(|| classify(e))),
        }
    }
}

/// Classifies a cancelled transaction. Returns `None` if the error is not a cancellation.
fn cancelled<R>(error: &SdkError<TransactWriteItemsError, R>) -> Option<TableError> {
    let TransactWriteItemsError::TransactionCanceledException(e) = error.as_service_error()? else {
        return None;
    };
    let throttled = |r: &CancellationReason| {
        matches!(r.code(), Some("ThrottlingError" | "ProvisionedThroughputExceeded"))
    };
    match e.cancellation_reasons().iter().find(|r| throttled(r)) {
        Some(_) => Some(TableError::Refused("the transaction was throttled; retry later".into())),
        None => Some(TableError::Conflict),
    }
}

/// Classifies a failed call. Nothing was written only if the call was throttled, the request could
/// not be built or the connection was refused.
fn classify<E, R>(error: SdkError<E, R>) -> TableError
where
    E: ProvideErrorMetadata + Error + 'static,
    R: std::fmt::Debug,
{
    match &error {
        SdkError::ConstructionFailure(_) => TableError::Refused(error_chain(&error)),
        SdkError::DispatchFailure(d) => match d.as_connector_error() {
            Some(e) if connect_refused(e) => TableError::Refused(error_chain(&error)),
            _ => TableError::Unknown(error_chain(&error)),
        },
        SdkError::ServiceError(s) if throttled(s.err().code()) => {
            TableError::Refused(error_chain(&error))
        }
        SdkError::ResponseError(_) => TableError::Malformed(error_chain(&error)),
        _ => TableError::Unknown(error_chain(&error)),
    }
}

fn throttled(code: Option<&str>) -> bool {
    let codes =
        ["ProvisionedThroughputExceededException", "ThrottlingException", "RequestLimitExceeded"];
    code.is_some_and(|c| codes.contains(&c))
}

/// Whether the peer refused the connection, so that no byte of the request was sent.
fn connect_refused(error: &(dyn Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(e) = next {
        let io = e.downcast_ref::<io::Error>();
        if io.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
        next = e.source();
    }
    false
}

/// Joins the texts of an error and all its causes in one line.
fn error_chain(error: &dyn Error) -> Arc<str> {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(e) = next {
        text = format!("{text}: {e}");
        next = e.source();
    }
    text.into()
}

/// Converts an error of a request that could not be built and so was not sent.
fn build_error<E>(error: E) -> TableError
where
    E: Error,
{
    TableError::Refused(error_chain(&error))
}
