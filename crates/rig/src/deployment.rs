//! A small deployment of both organisations: platform, replicas, stores, instances and
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

/// The operators' key of every rig deployment.
pub const OPERATOR_KEY: &str = "rig-operator";
/// Longest wait for a state of the deployment.
pub const STATE_LIMIT: Duration = Duration::from_secs(60);
/// Longest wait for an answer of an operators' API.
const ADMIN_LIMIT: Duration = Duration::from_secs(10);
/// Events read of each instance.
const EVENT_LIMIT: usize = 10_000;
/// Times an instance is started on other ports after losing a race for them.
const PORT_TRIES: usize = 3;

/// What a deployment consists of.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Name and zone of each instance.
    pub instances: Vec<(&'static str, &'static str)>,
    /// Replicas of each model deployment.
    pub engines: usize,
    /// Further options of each engine.
    pub engine_args: Vec<&'static str>,
    /// Whether engines check fencing numbers; the targets say so too.
    pub fenced: bool,
    /// Options of the weight store `weights-1`; without them weights load at once.
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

/// An instance and where its operators' API is.
pub struct Entry {
    /// The process.
    pub instance: Instance,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// URL of its operators' API.
    pub admin: String,
}

/// A running deployment; everything ends when it is dropped.
pub struct Deployment {
    /// The platform and all replicas.
    pub platform: Platform,
    /// The instances.
    pub entries: Vec<Entry>,
}

impl Deployment {
    /// Starts the processes, declares templates, teams, models and targets of both organisations,
    /// and waits until every instance takes work by that configuration.
    pub async fn start(spec: &Spec) -> Result<Self, RigError> {
        let platform = replicas(spec).await?;
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

    /// Starts one more instance; does not wait until it takes work.
    pub async fn add_instance(&mut self, name: &str, zone: &str) -> Result<(), RigError> {
        let mut tries = 0;
        loop {
            match self.start_instance(name, zone).await {
                Ok(entry) => break self.entries.push(entry),
                Err(error) if tries == PORT_TRIES => return Err(error),
                Err(_) => tries += 1,
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

    /// A caller of a team in a zone; team `x` has the API key `x-key`.
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

    /// Makes one attempt at a call by way of one instance, as `team`.
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

    /// How often a service ran the call with `key`, by the service's own log.
    pub async fn runs(&self, service: &str, key: &str) -> Result<usize, RigError> {
        let log = self.platform.log(self.platform.proc(service)?).await?;
        Ok(log.iter().filter(|call| call["key"] == key).count())
    }

    /// Sends a request to an instance's operators' API.
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
        let silent = |_| HttpError::Silent(ADMIN_LIMIT);
        Ok(timeout(ADMIN_LIMIT, call).await.map_err(silent)??)
    }

    /// Declares a new document at the first instance.
    pub async fn create(&self, path: &str, doc: &Value) -> Result<(), RigError> {
        let id = change_id(&format!("{path} {doc}"));
        let headers = [("if-none-match", "*"), ("change-id", &*id)];
        let reply = self.admin(&self.entries[0], Method::PUT, path, &headers, Some(doc)).await?;
        checked(reply)
    }

    /// Changes a document at an instance: `edit` gets the present one.
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
        checked(self.admin(entry, Method::PUT, path, &headers, Some(&doc)).await?)
    }

    /// An instance's status.
    pub async fn status(&self, entry: &Entry) -> Result<Value, RigError> {
        Ok(self.admin(entry, Method::GET, "status", &[], None).await?.json()?)
    }

    /// All events of one kind that the instances still hold.
    pub async fn events(&self, kind: &str) -> Result<Vec<Value>, RigError> {
        let mut out = Vec::new();
        for entry in &self.entries {
            let path = format!("events?limit={EVENT_LIMIT}");
            let page: Value = self.admin(entry, Method::GET, &path, &[], None).await?.json()?;
            let events = page["events"].as_array().cloned().unwrap_or_default();
            out.extend(events.into_iter().filter(|e| e["kind"]["kind"] == kind));
        }
        Ok(out)
    }

    /// The configuration revision in force at each instance; `None` where it does not answer.
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

    /// Waits until all instances have the same revision in force, and returns it.
    pub async fn wait_same_revision(&self) -> Result<u64, RigError> {
        let revision = wait_for("one revision everywhere", STATE_LIMIT, || async {
            let all = self.revisions().await;
            let first = (*all.first()?)?;
            all.iter().all(|r| *r == Some(first)).then_some(first)
        })
        .await?;
        Ok(revision)
    }

    /// Waits until every instance knows the weights of every replica.
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

/// The revision in a status, which writes it as a number or as `r<number>`.
fn revision(status: &Value) -> Option<u64> {
    match &status["rev"] {
        Value::String(text) => text.trim_start_matches('r').parse().ok(),
        value => value.as_u64(),
    }
}

async fn replicas(spec: &Spec) -> Result<Platform, RigError> {
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

/// The configuration of both organisations: two teams each; `fenced` as in [`Spec`].
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

fn checked(reply: Reply) -> Result<(), RigError> {
    if reply.status.is_success() {
        return Ok(());
    }
    Err(RigError::Refused(reply.status, reply.text()))
}
