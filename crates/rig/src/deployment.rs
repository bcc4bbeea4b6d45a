//! A small deployment with two organisations: platform stand-ins, replicas, stores, instances and
//! configuration.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::{
    Caller, CallerConfig, HttpError, Instance, Place, Platform, Reply, RigError, free_addr,
    wait_for,
};

/// Operators' key of every deployment.
pub const OPERATOR_KEY: &str = "rig-operator";
/// Longest wait for a state of the deployment.
pub const STATE_LIMIT: Duration = Duration::from_secs(60);
/// Longest wait for an answer of the operators' API.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of events read from each instance.
const MAX_EVENTS: usize = 10_000;
/// How often the start of an instance is retried with other ports. Another process may take a port
/// before the instance listens.
const MAX_PORT_RETRIES: usize = 3;

/// Composition of a deployment.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Name and zone of each instance.
    pub instances: Vec<(&'static str, &'static str)>,
    /// Number of engine replicas of each model.
    pub engines: usize,
    /// Additional options of each engine.
    pub engine_args: Vec<&'static str>,
    /// Whether engines check fencing numbers; the target documents say the same.
    pub fenced: bool,
    /// Options of the weights store `weights-1`; `None` starts none, and weights load at once.
    pub weight_args: Option<Vec<&'static str>>,
    /// Options of each store instance.
    pub store_args: Vec<&'static str>,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            instances: vec![("entry-1", "regina"), ("entry-2", "saskatoon"), ("entry-3", "regina")],
            engines: 2,
            engine_args: vec!["--weights", "v1", "--decode-ms", "2"],
            fenced: true,
            weight_args: None,
            store_args: Vec::new(),
        }
    }
}

/// An instance with the URL of its operators' API.
pub struct Entry {
    /// Process of the instance.
    pub instance: Instance,
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// URL of the operators' API of the instance.
    pub admin: String,
}

/// A running deployment; all processes are killed when it is dropped.
pub struct Deployment {
    /// Platform stand-ins and all replicas.
    pub platform: Platform,
    /// All instances.
    pub entries: Vec<Entry>,
}

impl Deployment {
    /// Starts the processes, creates templates, teams, models and targets of both organisations,
    /// and waits until every instance takes work with this configuration.
    pub async fn start(spec: &Spec) -> Result<Self, RigError> {
        let platform = start_replicas(spec).await?;
        let mut deployment = Self { platform, entries: Vec::new() };
        for (name, zone) in &spec.instances {
            deployment.add_instance(name, zone).await?;
        }
        deployment.wait_ready().await?;
        for (path, doc) in documents(spec.fenced) {
            deployment.create(&path, &doc).await?;
        }
        deployment.wait_same_revision().await?;
        deployment.wait_routable().await?;
        Ok(deployment)
    }

    /// Starts an additional instance; does not wait until it takes work.
    pub async fn add_instance(&mut self, name: &str, zone: &str) -> Result<(), RigError> {
        let mut retries = 0;
        loop {
            match self.start_instance(name, zone).await {
                Ok(entry) => break self.entries.push(entry),
                Err(error) if retries == MAX_PORT_RETRIES => return Err(error),
                Err(_) => retries += 1,
            }
        }
        Ok(())
    }

    async fn start_instance(&self, name: &str, zone: &str) -> Result<Entry, RigError> {
        let addr = || free_addr().map_err(|error| RigError::Io { name: name.to_owned(), error });
        let (callers, admin, peer) = (addr()?, addr()?, addr()?.to_string());
        let settings = self.settings(name, zone, callers, admin, &peer);
        let place = Place { name, zone, peer: &peer };
        let instance = Instance::start(&self.platform, place, &settings).await?;
        let admin = format!("http://{admin}");
        Ok(Entry { instance, name: name.to_owned(), zone: zone.to_owned(), admin })
    }

    fn settings(
        &self,
        name: &str,
        zone: &str,
        callers: SocketAddr,
        admin: SocketAddr,
        peer: &str,
    ) -> String {
        let Platform { table, objects, list, .. } = &self.platform;
        let operator = ident::Digest::of(OPERATOR_KEY.as_bytes());
        format!(
            "name: {name}\nzone: {zone}\n\
             listen: {{ callers: '{callers}', admin: '{admin}', peers: '{peer}' }}\n\
             platform:\n  table: {{ url: '{}', name: lentilpitch }}\n  \
             objects: {{ url: '{}', bucket: lentilpitch }}\n  list: '{}/sd'\n\
             keys:\n  deployment: 000102030405060708090a0b0c0d0e0f\n  operators: ['{operator}']\n\
             drain: {{ most: 60s }}\nlog: {{ format: text, level: debug }}\n",
            table.url(),
            objects.url(),
            list.url(),
        )
    }

    /// Creates a caller of a team in a zone; team `x` has the API key `x-key`.
    pub fn caller(&self, team: &str, zone: &str) -> Caller {
        Caller::new(CallerConfig {
            seeds: self.entries.iter().map(|e| e.instance.addr().to_string()).collect(),
            key: format!("{team}-key"),
            zone: Some(zone.to_owned()),
            silence: Duration::from_secs(4),
            patience: Duration::from_secs(8),
            limit: Duration::from_secs(60),
        })
    }

    /// Calls a service through one instance as `team`, without retries.
    pub async fn call(
        &self,
        entry: &Entry,
        team: &str,
        target: &str,
        key: &str,
        body: &str,
    ) -> Result<Reply, HttpError> {
        let bearer = format!("Bearer {team}-key");
        let headers = [
            ("authorization", &*bearer),
            ("content-type", "application/json"),
            ("idempotency-key", key),
        ];
        let url = format!("{}/v1/call/{target}/deposits", entry.instance.url());
        let body = Bytes::from(body.to_owned());
        let call = self.platform.http.send(Method::POST, &url, &headers, body);
        timeout(STATE_LIMIT, call).await.map_err(|_| HttpError::Silent(STATE_LIMIT))?
    }

    /// How often a service ran the call with the idempotency key `key`, according to its log.
    pub async fn runs(&self, service: &str, key: &str) -> Result<usize, RigError> {
        let log = self.platform.log(self.platform.proc(service)?).await?;
        Ok(log.iter().filter(|call| call["key"] == key).count())
    }

    /// Sends a request to the operators' API of an instance.
    pub async fn admin(
        &self,
        entry: &Entry,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Reply, RigError> {
        let bearer = format!("Bearer {OPERATOR_KEY}");
        let own = [("authorization", &*bearer), ("content-type", "application/json")];
        let body = body.map_or_else(Bytes::new, |b| Bytes::from(b.to_string()));
        let url = format!("{}/admin/v1/{path}", entry.admin);
        let headers = [&own, headers].concat();
        let call = self.platform.http.send(method, &url, &headers, body);
        let silent = |_| HttpError::Silent(ADMIN_TIMEOUT);
        Ok(timeout(ADMIN_TIMEOUT, call).await.map_err(silent)??)
    }

    /// Creates a document through the first instance.
    pub async fn create(&self, path: &str, doc: &Value) -> Result<(), RigError> {
        let id = change_id(&format!("{path} {doc}"));
        let headers = [("if-none-match", "*"), ("change-id", &*id)];
        let reply = self.admin(&self.entries[0], Method::PUT, path, &headers, Some(doc)).await?;
        check_status(reply)
    }

    /// Reads a document through an instance, passes it to `edit` and writes it back.
    pub async fn change<F>(&self, entry: &Entry, path: &str, edit: F) -> Result<(), RigError>
    where
        F: FnOnce(&mut Value),
    {
        let reply = self.admin(entry, Method::GET, path, &[], None).await?;
        let etag = reply.header("etag").unwrap_or_default().to_owned();
        let mut doc: Value = reply.json()?;
        edit(&mut doc);
        let id = change_id(&format!("{path} {etag} {doc}"));
        let headers = [("if-match", &*etag), ("change-id", &*id)];
        check_status(self.admin(entry, Method::PUT, path, &headers, Some(&doc)).await?)
    }

    /// Reads the status of an instance.
    pub async fn status(&self, entry: &Entry) -> Result<Value, RigError> {
        Ok(self.admin(entry, Method::GET, "status", &[], None).await?.json()?)
    }

    /// Reads all events of one kind that the instances still have.
    pub async fn events(&self, kind: &str) -> Result<Vec<Value>, RigError> {
        let mut out = Vec::new();
        for entry in &self.entries {
            let path = format!("events?limit={MAX_EVENTS}");
            let page: Value = self.admin(entry, Method::GET, &path, &[], None).await?.json()?;
            let events = page["events"].as_array().cloned().unwrap_or_default();
            out.extend(events.into_iter().filter(|e| e["kind"]["kind"] == kind));
        }
        Ok(out)
    }

    /// Configuration revision in force at each instance; `None` if the instance does not answer.
    pub async fn revisions(&self) -> Vec<Option<u64>> {
        let mut out = Vec::new();
        for entry in &self.entries {
            let status = self.status(entry).await.ok();
            out.push(status.and_then(|s| revision(&s)));
        }
        out
    }

    /// Waits until all instances take work.
    pub async fn wait_ready(&self) -> Result<(), RigError> {
        wait_for("all instances to be ready", STATE_LIMIT, || async {
            for entry in &self.entries {
                let url = format!("{}/readyz", entry.instance.url());
                let reply = self.platform.http.get(&url).await.ok()?;
                reply.status.is_success().then_some(())?;
            }
            Some(())
        })
        .await?;
        Ok(())
    }

    /// Waits until all instances have the same revision in force. Returns the revision.
    pub async fn wait_same_revision(&self) -> Result<u64, RigError> {
        let revision = wait_for("all instances to have the same revision", STATE_LIMIT, || async {
            let all = self.revisions().await;
            let first = (*all.first()?)?;
            all.iter().all(|r| *r == Some(first)).then_some(first)
        })
        .await?;
        Ok(revision)
    }

    /// Waits until every instance lists replicas and knows the weights version of each one.
    pub async fn wait_routable(&self) -> Result<(), RigError> {
        wait_for("all replicas to be known", STATE_LIMIT, || async {
            for entry in &self.entries {
                let status = self.status(entry).await.ok()?;
                let replicas = status["replicas"].as_array()?;
                let known =
                    !replicas.is_empty() && replicas.iter().all(|r| r["weights"].is_string());
                known.then_some(())?;
            }
            Some(())
        })
        .await?;
        Ok(())
    }
}

/// Parses the revision in a status, which is a number or `r<number>`.
fn revision(status: &Value) -> Option<u64> {
    match &status["rev"] {
        Value::String(text) => text.trim_start_matches('r').parse().ok(),
        value => value.as_u64(),
    }
}

async fn start_replicas(spec: &Spec) -> Result<Platform, RigError> {
    let mut platform = Platform::start().await?;
    let zones = ["regina", "saskatoon"];
    let mut common = spec.engine_args.clone();
    common.extend(spec.fenced.then_some("--fenced"));
    let source = match &spec.weight_args {
        Some(args) => Some(platform.weights("weights-1", args).await?.url()),
        None => None,
    };
    let source: Vec<&str> = source.iter().flat_map(|url| ["--weight-store", url]).collect();
    for (org, model, target) in
        [("inkline", "writer", "inkline-writer"), ("umthombo", "assistant", "umthombo-assistant")]
    {
        for i in 0..spec.engines {
            let args = [&["--model", model], &common[..], &source[..]].concat();
            let name = format!("{target}-{}", i + 1);
            platform.engine(&name, zones[i % zones.len()], target, &args).await?;
        }
        let store = format!("{org}-store-1");
        platform.store(&store, zones[0], org, &spec.store_args).await?;
    }
    platform.service("inkline-desk-1", zones[0], "inkline-desk", &[]).await?;
    platform.service("umthombo-bookings-1", zones[0], "umthombo-bookings", &[]).await?;
    Ok(platform)
}

/// Documents of both organisations, with two teams each; `fenced` as in [`Spec::fenced`].
fn documents(fenced: bool) -> Vec<(String, Value)> {
    let limits = json!({"rate": 500, "inflight": 200, "prompt": 1_000_000, "tokens": 4096});
    let mut out = Vec::new();
    for (org, model, engine, service, weights, teams) in [
        (
            "inkline",
            "writer",
            "inkline-writer",
            "inkline-desk",
            json!({"latency": 10, "recompute": 1}),
            ["weddings", "fairs"],
        ),
        (
            "umthombo",
            "assistant",
            "umthombo-assistant",
            "umthombo-bookings",
            json!({"latency": 1, "recompute": 10}),
            ["parish-east", "parish-west"],
        ),
    ] {
        out.push((format!("models/{model}"), json!({"name": model, "version": "v1"})));
        let kind = json!({"engine": {"model": model, "fenced": fenced}});
        out.push((format!("targets/{engine}"), json!({"name": engine, "org": org, "kind": kind})));
        let kind = json!({"service": {"idempotent": ["/quotes"]}});
        out.push((
            format!("targets/{service}"),
            json!({"name": service, "org": org, "kind": kind}),
        ));
        let params = json!({
            "models": [model], "targets": [service, engine], "limits": limits,
            "weights": weights, "spread": 2,
        });
        out.push((format!("templates/{org}"), json!({"name": org, "params": params})));
        for team in teams {
            let digest = ident::Digest::of(format!("{team}-key").as_bytes()).to_string();
            let doc = json!({"name": team, "template": org, "org": org, "keys": [digest]});
            out.push((format!("teams/{team}"), doc));
        }
    }
    out
}

fn change_id(text: &str) -> String {
    ident::Digest::of(text.as_bytes()).to_string()
}

fn check_status(reply: Reply) -> Result<(), RigError> {
    if reply.status.is_success() {
        return Ok(());
    }
    Err(RigError::Refused(reply.status, reply.text()))
}
