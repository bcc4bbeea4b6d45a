//! Relays a long answer to the caller as it arrives, and resumes a resumable stream at another
//! replica.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, body::Incoming, header::CONTENT_LENGTH};
use ident::Time;
use place::Outcome;
use tokio::{sync::mpsc, time::timeout};
use tracing::info;

use crate::{
    answer::{Body, Chunk, channel_body},
    conns::Conn,
    events::{EventSplitter, StreamError},
    forward::Forwarder,
    send::{LoadGuard, ReplicaAnswer},
};

/// Chunks queued for a slow caller before reading from the replica's connection pauses.
const MAX_QUEUED_CHUNKS: usize = 4;
/// Longest silence within a resumable stream before it is resumed at another replica.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// How copying a body ended.
enum End {
    Complete,
    Broken(Interruption),
    /// The caller closed the connection.
    Cancelled,
    TimedOut,
}

/// Why a replica's answer ended early.
#[derive(Debug, thiserror::Error)]
enum Interruption {
    #[error("silent")]
    Silent,
    #[error(transparent)]
    Conn(hyper::Error),
    #[error(transparent)]
    Events(#[from] StreamError),
}

impl Interruption {
    /// The value of `cause` in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Conn(_) => "broken",
            Self::Events(_) => "malformed",
        }
    }
}

/// Starts to relay an answer. Returns its head with a body that is filled as chunks arrive.
pub(crate) fn relay_answer(
    forwarder: Forwarder,
    answer: ReplicaAnswer,
    streamed: bool,
) -> Response<Body> {
    let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let mut headers = answer.headers.clone();
    forwarder.core.adapters.protocol.strip_response(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut out = Response::new(channel_body(chunks));
    *out.status_mut() = answer.status;
    *out.headers_mut() = headers;
    let resumes = streamed && forwarder.job.route.resumable;
    let last = forwarder.job.meta.last_event;
    let splitter = resumes.then(|| EventSplitter::new(last));
    let heard_at = forwarder.core.now();
    let relay = StreamRelay { forwarder, sender, splitter, sent_bytes: 0, heard_at };
    tokio::spawn(relay.run(answer));
    out
}

/// Relays one answer to the caller.
struct StreamRelay {
    forwarder: Forwarder,
    sender: mpsc::Sender<Chunk>,
    /// Set where the stream can be resumed at another replica.
    splitter: Option<EventSplitter>,
    /// Bytes passed to the caller so far.
    sent_bytes: u64,
    /// When the replica's last bytes arrived.
    heard_at: Time,
}

impl StreamRelay {
    async fn run(mut self, mut answer: ReplicaAnswer) {
        let core = self.forwarder.core.clone();
        let job = self.forwarder.job.clone();
        let outcome = loop {
            let ReplicaAnswer { headers, body, conn, load, replica, .. } = answer;
            match self.copy_answer(body, load, &headers, conn).await {
                End::Complete => {
                    let _ = self.sender.send(Chunk::End).await;
                    break "complete";
                }
                End::Cancelled => break "left",
                End::TimedOut => break "late",
                End::Broken(why) => {
                    core.pool.lock().record_outcome(&replica, Outcome::NoAnswer, core.now());
                    core.metrics.interrupted.with_label_values(&[why.name()]).inc();
                    info!(
                        request = &*job.meta.id,
                        replica = &*replica,
                        %why,
                        silent_ms = core.now().since(self.heard_at).as_millis() as u64,
                        bytes = self.sent_bytes,
                        "stream interrupted"
                    );
                }
            }
            match self.resume().await {
                Some(next) => {
                    self.heard_at = core.now();
                    answer = next;
                }
                None => break "broken",
            }
        };
        let took = core.now().since(job.start);
        core.metrics.answer_time.observe(took.as_secs_f64());
        core.metrics.requests.with_label_values(&[outcome]).inc();
        let took = took.as_millis() as u64;
        info!(
            request = &*job.meta.id,
            outcome,
            took_ms = took,
            bytes = self.sent_bytes,
            "stream ended"
        );
    }

    /// Copies one replica's answer until it ends. A connection whose answer is complete returns to
    /// the pool.
    async fn copy_answer(
        &mut self,
        mut body: Incoming,
        mut load: LoadGuard,
        headers: &HeaderMap,
        conn: Conn,
    ) -> End {
        let core = self.forwarder.core.clone();
        loop {
            let left = self.forwarder.job.time_left(core.now());
            let limit =
                if self.splitter.is_some() { left.min(STREAM_SILENCE_TIMEOUT) } else { left };
            let frame = tokio::select! {
                frame = timeout(limit, body.frame()) => frame,
                () = self.sender.closed() => return End::Cancelled,
            };
            let bytes = match frame {
                Err(_) if self.forwarder.job.time_left(core.now()).is_zero() => {
                    return End::TimedOut;
                }
                Err(_) => return End::Broken(Interruption::Silent),
                Ok(Some(Err(e))) => return End::Broken(Interruption::Conn(e)),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    core.conns.keep(conn, headers, core.now());
                    return self.finish().await;
                }
            };
            load.prefill_done();
            self.heard_at = core.now();
            let events = match &mut self.splitter {
                None => Ok(Some(bytes)),
                Some(splitter) => splitter.push(&bytes),
            };
            match events {
                Ok(None) => {}
                Ok(Some(bytes)) => {
                    if !self.deliver(bytes).await {
                        return End::Cancelled;
                    }
                }
                Err(e) => return End::Broken(e.into()),
            }
        }
    }

    /// Delivers the bytes after the last event of an answer that is complete.
    async fn finish(&mut self) -> End {
        let rest = self.splitter.as_mut().map(EventSplitter::take_rest).unwrap_or_default();
        if rest.is_empty() || self.deliver(rest).await { End::Complete } else { End::Cancelled }
    }

    async fn deliver(&mut self, bytes: Bytes) -> bool {
        if bytes.is_empty() {
            return true;
        }
        self.sent_bytes += bytes.len() as u64;
        let left = self.forwarder.job.time_left(self.forwarder.core.now());
        matches!(timeout(left, self.sender.send(Chunk::Data(bytes))).await, Ok(Ok(())))
    }

    /// Requests the rest of the stream from another replica. Returns `None` where the stream can't
    /// be resumed.
    async fn resume(&mut self) -> Option<ReplicaAnswer> {
        let splitter = self.splitter.as_mut()?;
        splitter.discard();
        let last = splitter.last();
        let sender = self.sender.clone();
        let answer = tokio::select! {
            answer = self.forwarder.send_until_answered(last) => answer.ok()?,
            () = sender.closed() => return None,
        };
        if !answer.status.is_success() {
            return None;
        }
        self.forwarder.core.metrics.resumed.inc();
        info!(
            request = &*self.forwarder.job.meta.id,
            replica = &*answer.replica,
            after = last,
            "stream resumed"
        );
        Some(answer)
    }
}
