//! Stand-ins of the platform's services, and the replicas.

use std::time::Duration;

use serde_json::{Map, Value, json};

use crate::{Http, Proc, Reply, RigError};

/// Longest wait for the answer to a control call of a stand-in.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// Table service, object store, instance list, and any number of replicas by name.
pub struct Platform {
    /// Stand-in of the table service.
    pub table: Proc,
    /// Stand-in of the object store.
    pub objects: Proc,
    /// Stand-in of the instance list.
    pub list: Proc,
    /// Client for the control calls of the stand-ins.
    pub http: Http,
    /// Replicas and weights stores by name, sorted.
    replicas: Vec<(String, Proc)>,
}

impl Platform {
    /// Starts the platform stand-ins without replicas.
    pub async fn start() -> Result<Self, RigError> {
        let table = Proc::start("lentilfake", &["table"]).await?;
        let objects = Proc::start("lentilfake", &["objects"]).await?;
        let list = Proc::start("lentilfake", &["list"]).await?;
        Ok(Self { table, objects, list, http: Http::new(), replicas: Vec::new() })
    }

    /// Starts an engine of `target` and adds it to the list. `args` are more options of
    /// `lentilfake engine`, at least `--model`.
    pub async fn engine(
        &mut self,
        name: &str,
        zone: &str,
        target: &str,
        args: &[&str],
    ) -> Result<&Proc, RigError> {
        let own = ["engine", "--name", name, "--target", target];
        self.start_replica(name, "engine", zone, ("target", target), &[&own, args].concat()).await
    }

    /// Starts a store for the KV cache of `org` and adds it to the list.
    pub async fn store(
        &mut self,
        name: &str,
        zone: &str,
        org: &str,
        args: &[&str],
    ) -> Result<&Proc, RigError> {
        self.start_replica(name, "store", zone, ("org", org), &[&["store"], args].concat()).await
    }

    /// Starts a service of `target` and adds it to the list.
    pub async fn service(
        &mut self,
        name: &str,
        zone: &str,
        target: &str,
        args: &[&str],
    ) -> Result<&Proc, RigError> {
        let args = [&["service"], args].concat();
        self.start_replica(name, "service", zone, ("target", target), &args).await
    }

    /// Starts a weights store, which is not in the list. Engines get its URL as an option.
    pub async fn weights(&mut self, name: &str, args: &[&str]) -> Result<&Proc, RigError> {
        let proc = Proc::start("lentilfake", &[&["weights"], args].concat()).await?;
        Ok(self.add_process(name, proc))
    }

    async fn start_replica(
        &mut self,
        name: &str,
        role: &str,
        zone: &str,
        label: (&str, &str),
        args: &[&str],
    ) -> Result<&Proc, RigError> {
        let proc = Proc::start("lentilfake", args).await?;
        let addr = proc.addr().to_string();
        self.enlist(&addr, &[("name", name), ("role", role), ("zone", zone), label]).await?;
        Ok(self.add_process(name, proc))
    }

    fn add_process(&mut self, name: &str, proc: Proc) -> &Proc {
        let at = self.replicas.partition_point(|(n, _)| n.as_str() < name);
        if self.replicas.get(at).is_some_and(|(n, _)| n == name) {
            self.replicas.remove(at);
        }
        self.replicas.insert(at, (name.to_owned(), proc));
        &self.replicas[at].1
    }

    /// Returns the process of a replica or weights store.
    pub fn proc(&self, name: &str) -> Result<&Proc, RigError> {
        let at = self.replicas.binary_search_by(|(n, _)| n.as_str().cmp(name));
        at.map(|at| &self.replicas[at].1).map_err(|_| RigError::Unknown(name.to_owned()))
    }

    /// Kills a replica. Its entry stays in the list.
    pub fn kill(&mut self, name: &str) {
        self.replicas.retain(|(n, _)| n != name);
    }

    /// Adds an entry to the instance list or replaces it; `state` is `live` unless given.
    pub async fn enlist(&self, addr: &str, labels: &[(&str, &str)]) -> Result<(), RigError> {
        let mut all = Map::new();
        all.insert("state".to_owned(), "live".into());
        all.extend(labels.iter().map(|(k, v)| ((*k).to_owned(), (*v).into())));
        let url = format!("{}/_entries", self.list.url());
        let entry = json!({"targets": [addr], "labels": all});
        check_status(with_timeout(self.http.post(&url, &entry)).await?).map(drop)
    }

    /// Removes an entry from the instance list.
    pub async fn delist(&self, name: &str) -> Result<(), RigError> {
        let url = format!("{}/_entries/{name}", self.list.url());
        check_status(with_timeout(self.http.delete(&url)).await?).map(drop)
    }

    /// Replaces all fault settings of a stand-in; `{}` turns them off.
    pub async fn faults(&self, proc: &Proc, knobs: Value) -> Result<(), RigError> {
        let url = format!("{}/_faults", proc.url());
        check_status(with_timeout(self.http.put(&url, &knobs)).await?).map(drop)
    }

    /// Reads the log of the calls that a stand-in ran, in order.
    pub async fn log(&self, proc: &Proc) -> Result<Vec<Value>, RigError> {
        let url = format!("{}/_log", proc.url());
        Ok(check_status(with_timeout(self.http.get(&url)).await?)?.json()?)
    }

    /// Reads the counters of a stand-in.
    pub async fn stats(&self, proc: &Proc) -> Result<Value, RigError> {
        let url = format!("{}/_stats", proc.url());
        Ok(check_status(with_timeout(self.http.get(&url)).await?)?.json()?)
    }
}

async fn with_timeout<R>(call: R) -> Result<Reply, crate::HttpError>
where
    R: Future<Output = Result<Reply, crate::HttpError>>,
{
    let silent = |_| crate::HttpError::Silent(CONTROL_TIMEOUT);
    tokio::time::timeout(CONTROL_TIMEOUT, call).await.map_err(silent)?
}

fn check_status(reply: Reply) -> Result<Reply, RigError> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    Err(RigError::Refused(reply.status, reply.text()))
}
