//! Two instances, two engines, a store instance and a booking desk of one organisation.

use std::time::Duration;

use hyper::Method;
use ident::Digest;
use rig::{
    Caller, CallerConfig, Completion, Instance, Place, Platform, Proc, Signal, free_port, wait_for,
};
use serde_json::{Value, json};

pub const LIMIT: Duration = Duration::from_secs(30);
const MODEL: &str = "writer";
/// Time of a token of a fast engine, in milliseconds.
pub const FAST: &str = "2";
/// Time of a token of a slow engine, in milliseconds.
pub const SLOW: &str = "50";

pub struct Session {
    pub platform: Platform,
    pub instances: Vec<Instance>,
    admins: Vec<String>,
}

/// Four pieces and a rest, returning to `context`.
pub fn ask(context: &str, tokens: u32) -> Completion {
    Completion {
        model: MODEL.to_owned(),
        prompt: (0..420).map(|i| format!("{context} {i:04} ")).collect(),
        tokens,
        context: context.to_owned(),
        batch: false,
    }
}

impl Session {
    /// Starts everything; `decode` is the engines' time for a token, in milliseconds.
    pub async fn start(decode: &str) -> Self {
        let mut platform = Platform::start().await.unwrap();
        platform.store("s1", "regina", "inkline", &[]).await.unwrap();
        platform.service("b1", "regina", "inkline-desk", &[]).await.unwrap();
        let mut session = Self { platform, instances: Vec::new(), admins: Vec::new() };
        session.engines(decode).await;
        for (name, zone) in [("inkline-1", "regina"), ("inkline-2", "saskatoon")] {
            session.instance(name, zone).await;
        }
        session.documents().await;
        session.ready().await;
        session
    }

    async fn engines(&mut self, decode: &str) {
        let args = ["--model", MODEL, "--decode-ms", decode, "--cache-pieces", "64"];
        for (name, zone) in [("w1", "regina"), ("w2", "saskatoon")] {
            self.platform.engine(name, zone, "inkline-writer", &args).await.unwrap();
        }
    }

    async fn instance(&mut self, name: &str, zone: &str) {
        let [callers, admin, peers] =
            [(); 3].map(|()| format!("127.0.0.1:{}", free_port().unwrap()));
        let operator = Digest::of(b"operator");
        let (table, objects, list) =
            (self.platform.table.url(), self.platform.objects.url(), self.platform.list.url());
        let settings = format!(
            "name: {name}\nzone: {zone}\n\
             listen: {{ callers: '{callers}', admin: '{admin}', peers: '{peers}' }}\n\
             platform:\n  table: {{ url: '{table}', name: lentilpitch }}\n  \
             objects: {{ url: '{objects}', bucket: lentilpitch }}\n  list: {list}/sd\n\
             keys:\n  deployment: 000102030405060708090a0b0c0d0e0f\n  \
             operators: ['{operator}']\n\
             drain: {{ most: 30s }}\nlog: {{ format: text, level: info }}\n"
        );
        let place = Place { name, zone, peer: &peers };
        self.instances.push(Instance::start(&self.platform, place, &settings).await.unwrap());
        self.admins.push(admin);
    }

    async fn documents(&self) {
        let params = json!({"models": [MODEL], "targets": ["inkline-writer", "inkline-desk"],
            "limits": {"rate": 1000, "inflight": 100, "prompt": 1 << 20, "tokens": 1000},
            "weights": {"latency": 10, "recompute": 1}, "spread": 2});
        let engine = json!({"engine": {"model": MODEL, "fenced": false}});
        let docs = [
            ("models", MODEL, json!({"version": "v1"})),
            ("targets", "inkline-writer", json!({"org": "inkline", "kind": engine})),
            ("targets", "inkline-desk", json!({"org": "inkline", "kind": {"service": {}}})),
            ("templates", "artists", json!({"params": params})),
            (
                "teams",
                "gala",
                json!({"template": "artists", "org": "inkline",
                "keys": [Digest::of(b"key")]}),
            ),
        ];
        for (n, (kind, name, doc)) in docs.into_iter().enumerate() {
            self.document(n, kind, name, doc).await;
        }
    }

    async fn document(&self, n: usize, kind: &str, name: &str, mut doc: Value) {
        doc["name"] = name.into();
        let id = format!("{:032x}", n + 1);
        let headers = [("authorization", "Bearer operator"), ("change-id", &*id)];
        let headers = [&headers[..], &[("if-none-match", "*")]].concat();
        let url = format!("http://{}/admin/v1/{kind}/{name}", self.admins[0]);
        let body = doc.to_string();
        let accepted = async || {
            let http = &self.platform.http;
            let reply = http.send(Method::PUT, &url, &headers, body.clone().into()).await.ok()?;
            assert!(!reply.status.is_client_error(), "{name}: {}", reply.text());
            reply.status.is_success().then_some(())
        };
        wait_for(&format!("document {name}"), LIMIT, accepted).await.unwrap();
    }

    /// Waits until each instance serves the team.
    async fn ready(&self) {
        for instance in &self.instances {
            let url = format!("{}/v1/where", instance.url());
            let headers = [("authorization", "Bearer key")];
            let both = async || {
                let http = &self.platform.http;
                let reply =
                    http.send(Method::GET, &url, &headers, Default::default()).await.ok()?;
                let named = reply.json::<Value>().ok()?["addresses"].as_array()?.len();
                let ready = http.get(&format!("{}/readyz", instance.url())).await.ok()?;
                (named == self.instances.len() && ready.status.is_success()).then_some(())
            };
            wait_for("both instances", LIMIT, both).await.unwrap();
        }
    }

    /// Empties the engines' caches: they load other weights and back again.
    pub async fn forget(&self) {
        for name in ["w1", "w2"] {
            let engine = self.platform.proc(name).unwrap();
            let http = &self.platform.http;
            for (fence, weights) in [(1, "v0"), (1, "v1")] {
                let order =
                    json!({"fence": fence, "wanted": {"weights": weights, "role": "mixed"}});
                http.put(&format!("{}/orders", engine.url()), &order).await.unwrap();
            }
        }
    }

    pub fn caller(&self, limit: Duration) -> Caller {
        Caller::new(CallerConfig {
            seeds: self.instances.iter().map(|i| i.addr().to_string()).collect(),
            key: "key".to_owned(),
            zone: Some("regina".to_owned()),
            silence: Duration::from_secs(5),
            patience: Duration::from_secs(15),
            limit,
        })
    }

    pub fn expected(&self, context: &str, tokens: u32) -> String {
        fakes::expected(MODEL, "v1", &ask(context, tokens).prompt, tokens)
    }

    /// The address that is named first for a context.
    pub async fn home(&self, context: &str) -> String {
        let url = format!("{}/v1/where?context={context}&zone=regina", self.instances[0].url());
        let headers = [("authorization", "Bearer key")];
        let http = &self.platform.http;
        let reply = http.send(Method::GET, &url, &headers, Default::default()).await.unwrap();
        reply.json::<Value>().unwrap()["addresses"][0]["addr"].as_str().unwrap().to_owned()
    }

    pub fn kill(&self, addr: &str) {
        let instance = self.instances.iter().find(|i| i.addr().to_string() == addr).unwrap();
        instance.signal(Signal::Kill).unwrap();
    }

    pub fn signal_all(&self, signal: Signal) {
        for instance in &self.instances {
            instance.signal(signal).unwrap();
        }
    }

    /// Whether an engine has begun to run something.
    pub async fn running(&self) -> bool {
        let (w1, w2) = (self.platform.proc("w1").unwrap(), self.platform.proc("w2").unwrap());
        self.runs(w1).await + self.runs(w2).await > 0
    }

    pub async fn runs(&self, proc: &Proc) -> usize {
        let log = self.platform.log(proc).await.unwrap();
        log.iter().filter(|e| e.get("order").is_none()).count()
    }
}
