//! HTTP client that the engine uses to transfer pieces and weights.

use std::sync::LazyLock;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::store::GENERATION_HEADER;

static CLIENT: LazyLock<Client<HttpConnector, Full<Bytes>>> =
    LazyLock::new(|| Client::builder(TokioExecutor::new()).build_http());

/// Reason why a transfer failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The request could not be built.
    #[error("malformed URL or header: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection could not be opened, or it broke.
    #[error("connection failed: {0}")]
    Connect(#[from] hyper_util::client::legacy::Error),
    /// The body of the answer ended early.
    #[error("answer broke off: {0}")]
    Body(#[from] hyper::Error),
    /// The answer had a status outside 200 to 299.
    #[error("refused with status {0}")]
    Status(StatusCode),
}

/// A piece as a store instance transfers it.
pub struct Piece {
    /// Generation of the piece, from the header `x-generation`; empty if there is none.
    pub generation: String,
    /// Content of the piece.
    pub bytes: Bytes,
}

async fn send(request: Request<Full<Bytes>>) -> Result<hyper::Response<Incoming>, ClientError> {
    let response = CLIENT.request(request).await?;
    if !response.status().is_success() {
        return Err(ClientError::Status(response.status()));
    }
    Ok(response)
}

/// Reads the piece `key` from the store instance at the base URL `store`.
pub async fn get_piece(store: &str, key: &str) -> Result<Piece, ClientError> {
    let request = Request::get(format!("{store}/pieces/{key}")).body(Full::default())?;
    let (parts, body) = send(request).await?.into_parts();
    let generation = parts.headers.get(GENERATION_HEADER).and_then(|v| v.to_str().ok());
    let generation = generation.unwrap_or_default().to_owned();
    Ok(Piece { generation, bytes: body.collect().await?.to_bytes() })
}

/// Writes the piece `key` to the store instance at the base URL `store`.
pub async fn put_piece(store: &str, key: &str, piece: Piece) -> Result<(), ClientError> {
    let request = Request::put(format!("{store}/pieces/{key}"))
        .header(GENERATION_HEADER, piece.generation)
        .body(Full::new(piece.bytes))?;
    send(request).await?.into_body().collect().await?;
    Ok(())
}

/// Downloads `url`, discards the content and returns its length in bytes.
pub async fn download(url: &str) -> Result<u64, ClientError> {
    let mut body = send(Request::get(url).body(Full::default())?).await?.into_body();
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        len += frame?.data_ref().map_or(0, |d| d.len() as u64);
    }
    Ok(len)
}
