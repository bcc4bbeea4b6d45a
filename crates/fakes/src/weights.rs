//! Stand-in for the weight store: downloads of limited rate.

use std::sync::Arc;

use axum::{
    Router,
    body::Body,
    extract::{Path, State},
    response::Response,
    routing::get,
};
use bytes::Bytes;
use futures_util::stream;
use serde::Serialize;

use crate::{control::Control, link::Link, serve::App};

/// Bytes of one chunk of a download.
const CHUNK_BYTES: u64 = 64 * 1024;

struct WeightStore {
    control: Arc<Control>,
    link: Link,
    /// Bytes of one weights version.
    size: u64,
    /// Bytes per second of all downloads together.
    rate: u64,
}

#[derive(Serialize)]
struct Download {
    model: String,
    version: String,
}

/// Creates a weight store. Each download has `size` bytes; all of them share a link of `rate` bytes
/// per second.
pub fn weights(size: u64, rate: u64, control: Arc<Control>) -> App {
    let state = Arc::new(WeightStore { control: control.clone(), link: Link::new(), size, rate });
    let router = Router::new().route("/weights/{model}/{version}", get(download)).with_state(state);
    App::new(router, control)
}

async fn download(
    State(weights): State<Arc<WeightStore>>,
    Path((model, version)): Path<(String, String)>,
) -> Response {
    weights.control.log(&Download { model, version });
    weights.control.count("downloads", 1);
    let size = weights.size;
    let chunks = stream::unfold((weights, size), |(weights, left)| async move {
        let n = left.min(CHUNK_BYTES);
        if n == 0 {
            return None;
        }
        let rate = weights.control.with_faults(|f| f.link_rate).unwrap_or(weights.rate);
        weights.link.transfer(n as usize, rate).await;
        let chunk = Bytes::from(vec![0; n as usize]);
        Some((Ok::<_, std::io::Error>(chunk), (weights, left - n)))
    });
    Response::new(Body::from_stream(chunks))
}
