//! Calls of services, with retries under one idempotency key.

use bytes::Bytes;
use tokio::time::Instant;

use super::{CallError, Caller, Failure, Problem, RETRY_DELAY, addresses::percent_encode};
use crate::{Reply, http::JSON};

/// Reply to a call that was run.
#[derive(Debug, Clone)]
pub struct Booked {
    /// Reply of the service.
    pub reply: Reply,
    /// Number of attempts.
    pub attempts: u32,
}

impl Caller {
    /// Posts `body` (JSON text) to a path of a service. Every attempt has the same idempotency key,
    /// so the call runs at most once even if connections break.
    pub async fn book(
        &self,
        service: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<Booked, CallError> {
        let deadline = Instant::now() + self.config.limit;
        let mut attempts = 0;
        loop {
            let addresses = self.addresses(service, deadline).await?;
            let turn = attempts as usize % addresses.len();
            attempts += 1;
            let path = path.trim_start_matches('/');
            let url =
                format!("http://{}/v1/call/{}/{path}", addresses[turn], percent_encode(service));
            match self.post(&url, key, body, deadline).await {
                Ok(reply) => return Ok(Booked { reply, attempts }),
                Err(failure) => self.prepare_retry(failure, deadline).await?,
            }
            if turn == addresses.len() - 1 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn post(
        &self,
        url: &str,
        key: &str,
        body: &str,
        deadline: Instant,
    ) -> Result<Reply, Failure> {
        let (http, bearer) = (self.http(), self.bearer());
        let headers = [JSON, ("authorization", &*bearer), ("idempotency-key", key)];
        let body = Bytes::from(body.to_owned());
        let call = http.send(hyper::Method::POST, url, &headers, body);
        service_reply(self.within(self.config.patience, call, deadline).await?)
    }

    /// Looks up the outcome of a call by its idempotency key, at any instance.
    pub async fn outcome(&self, service: &str, key: &str) -> Result<Booked, CallError> {
        let deadline = Instant::now() + self.config.limit;
        let mut attempts = 0;
        loop {
            let addresses = self.addresses(service, deadline).await?;
            let addr = &addresses[attempts as usize % addresses.len()];
            attempts += 1;
            match self.look_up(addr, key, deadline).await {
                Ok(reply) => return Ok(Booked { reply, attempts }),
                Err(failure) => self.prepare_retry(failure, deadline).await?,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn look_up(&self, addr: &str, key: &str, deadline: Instant) -> Result<Reply, Failure> {
        let (http, bearer) = (self.http(), self.bearer());
        let url = format!("http://{addr}/v1/outcomes/{}", percent_encode(key));
        let headers = [("authorization", &*bearer)];
        let call = http.send(hyper::Method::GET, &url, &headers, Bytes::new());
        service_reply(self.within(self.config.silence, call, deadline).await?)
    }
}

/// Separates the reply of a service from a problem document of lentilpitch.
fn service_reply(reply: Reply) -> Result<Reply, Failure> {
    let kind = reply.header("content-type").unwrap_or_default();
    if kind.starts_with("application/problem+json") {
        return Err(Failure::Problem(Box::new(Problem::from_reply(&reply))));
    }
    Ok(reply)
}
