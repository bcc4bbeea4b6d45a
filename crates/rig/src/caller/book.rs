//! Calls of plain services, repeated under one idempotency key.

use bytes::Bytes;
use tokio::time::Instant;

use super::{CallError, Caller, Failure, PAUSE, Problem, whereabouts::encode};
use crate::{Reply, http::JSON};

/// A call that was run.
#[derive(Debug, Clone)]
pub struct Booked {
    /// The service's answer.
    pub reply: Reply,
    /// Connections tried.
    pub attempts: u32,
}

impl Caller {
    /// Posts `body` (JSON text) to a path of a service. Every try carries the same key, so however
    /// often a connection breaks, the call runs at most once.
    pub async fn book(
        &self,
        service: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<Booked, CallError> {
        let end = Instant::now() + self.config.limit;
        let mut attempts = 0;
        loop {
            let addresses = self.addresses(service, end).await?;
            let turn = attempts as usize % addresses.len();
            attempts += 1;
            let path = path.trim_start_matches('/');
            let url = format!("http://{}/v1/call/{}/{path}", addresses[turn], encode(service));
            match self.post(&url, key, body, end).await {
                Ok(reply) => return Ok(Booked { reply, attempts }),
                Err(failure) => self.after(failure, end).await?,
            }
            if turn == addresses.len() - 1 {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    async fn post(&self, url: &str, key: &str, body: &str, end: Instant) -> Result<Reply, Failure> {
        let (http, bearer) = (self.http(), self.bearer());
        let headers = [JSON, ("authorization", &*bearer), ("idempotency-key", key)];
        let body = Bytes::from(body.to_owned());
        let call = http.send(hyper::Method::POST, url, &headers, body);
        run(self.within(self.config.patience, call, end).await?)
    }

    /// Looks the outcome of a call up by its key, at any instance.
    pub async fn outcome(&self, service: &str, key: &str) -> Result<Booked, CallError> {
        let end = Instant::now() + self.config.limit;
        let mut attempts = 0;
        loop {
            let addresses = self.addresses(service, end).await?;
            let addr = &addresses[attempts as usize % addresses.len()];
            attempts += 1;
            match self.look_up(addr, key, end).await {
                Ok(reply) => return Ok(Booked { reply, attempts }),
                Err(failure) => self.after(failure, end).await?,
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn look_up(&self, addr: &str, key: &str, end: Instant) -> Result<Reply, Failure> {
        let (http, bearer) = (self.http(), self.bearer());
        let url = format!("http://{addr}/v1/outcomes/{}", encode(key));
        let headers = [("authorization", &*bearer)];
        let call = http.send(hyper::Method::GET, &url, &headers, Bytes::new());
        run(self.within(self.config.silence, call, end).await?)
    }
}

/// A service's answer, as opposed to a problem of the system.
fn run(reply: Reply) -> Result<Reply, Failure> {
    let kind = reply.header("content-type").unwrap_or_default();
    if kind.starts_with("application/problem+json") {
        return Err(Failure::Problem(Box::new(Problem::of_reply(&reply))));
    }
    Ok(reply)
}
