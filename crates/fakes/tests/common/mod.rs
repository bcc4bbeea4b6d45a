//! Helpers for the tests of the stand-ins.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fakes::{App, Control, EngineConfig, StoreConfig};
use rig::{EventReader, Http, Reply};
use serde_json::{Value, json};

/// Longest wait for an event or a condition.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// A stand-in that runs in the test process, with a client for it.
pub struct Fake {
    pub url: String,
    pub control: Arc<Control>,
    pub http: Http,
}

impl Fake {
    pub async fn start(app: App) -> Self {
        let control = app.control.clone();
        let addr = fakes::spawn(app).await.unwrap();
        Self { url: format!("http://{addr}"), control, http: Http::new() }
    }

    pub async fn engine(weights: &str, decode_ms: u64) -> Self {
        let config = EngineConfig {
            model: "writer".to_owned(),
            weights: weights.to_owned(),
            name: "w1".to_owned(),
            prefill: 1_000_000,
            decode: Duration::from_millis(decode_ms),
            slots: 2,
            queue: 4,
            cache: 64,
            block: 4096,
            source: None,
            fenced: true,
        };
        Self::start(fakes::engine(config, Control::new(Default::default()))).await
    }

    pub async fn store() -> Self {
        let config = StoreConfig { capacity: 1 << 20, rate: 1 << 30 };
        Self::start(fakes::store(config, Control::new(Default::default()))).await
    }

    pub fn set_faults(&self, knobs: Value) {
        self.control.set_faults(serde_json::from_value(knobs).unwrap());
    }

    pub async fn get(&self, path: &str) -> Reply {
        self.http.get(&format!("{}{path}", self.url)).await.unwrap()
    }

    pub async fn post(&self, path: &str, body: &Value) -> Reply {
        self.http.post(&format!("{}{path}", self.url), body).await.unwrap()
    }

    /// Starts a completion; panics if the engine refuses it.
    pub async fn complete(&self, request: &Value) -> EventReader {
        let url = format!("{}/v1/completions", self.url);
        let body = Bytes::from(request.to_string());
        let headers = [("content-type", "application/json")];
        let answer = self.http.events("POST".parse().unwrap(), &url, &headers, body).await;
        answer.unwrap().unwrap_or_else(|reply| panic!("{}: {}", reply.status, reply.text()))
    }

    pub async fn resume(&self, id: &str, from: usize) -> EventReader {
        let url = format!("{}/v1/completions/{id}?from={from}", self.url);
        let answer = self.http.events("GET".parse().unwrap(), &url, &[], Bytes::new()).await;
        answer.unwrap().unwrap_or_else(|reply| panic!("{}: {}", reply.status, reply.text()))
    }
}

pub fn completion_request(id: &str, salt: &str, prompt: &str) -> Value {
    json!({
        "model": "writer", "prompt": prompt, "max_tokens": 8, "stream": true, "seed": 1,
        "cache_salt": salt, "priority": 0, "request_id": id, "weights": "v1",
    })
}

/// Returns a prompt of four complete pieces and a rest.
pub fn prompt() -> String {
    (0..420).map(|i| format!("guest {i:04} ")).collect()
}

/// Reads a stream to its end and returns its text and the number of cached tokens.
pub async fn text(stream: EventReader) -> (String, u64) {
    let events = stream.all(TIMEOUT).await.unwrap();
    let (last, events) = events.split_last().unwrap();
    assert_eq!(last.1, "[DONE]");
    let mut text = String::new();
    let mut cached = None;
    for (at, (id, data)) in events.iter().enumerate() {
        assert_eq!(*id, at.to_string());
        let data: Value = serde_json::from_str(data).unwrap();
        text += data["choices"][0]["text"].as_str().unwrap();
        cached = data["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
    }
    (text, cached.unwrap())
}
