//! Passes a long answer on as it arrives, and lets a resumable stream go on at another replica.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, body::Incoming, header::CONTENT_LENGTH};
use place::Outcome;
use tokio::{sync::mpsc, time::timeout};
use tracing::info;

use crate::{
    answer::{Body, Piece, piped},
    conns::Conn,
    events::Splitter,
    forward::Course,
    send::{Begun, Load},
};

/// Pieces that wait for a slow client before the replica's connection is left unread.
const QUEUE: usize = 4;
/// Silence within a stream after which a resumable one goes on elsewhere.
const SILENCE: Duration = Duration::from_millis(2500);

/// How a body ended.
enum End {
    Complete,
    Broke(Arc<str>),
    /// The client went away.
    Left,
    Late,
}

/// Starts passing on an answer and returns its head with a body that is filled as it arrives.
pub(crate) fn pass_on(course: Course, begun: Begun, streamed: bool) -> Response<Body> {
    let (send, pieces) = mpsc::channel(QUEUE);
    let mut headers = begun.headers.clone();
    course.core.outside.dialect.strip_reply(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut out = Response::new(piped(pieces));
    *out.status_mut() = begun.status;
    *out.headers_mut() = headers;
    let resumes = streamed && course.job.route.resumable;
    let last = course.job.told.last;
    let splitter = resumes.then(|| Splitter::new(last));
    let pump = Pump { course, send, splitter, sent: 0 };
    tokio::spawn(pump.run(begun));
    out
}

/// One answer on its way to the client.
struct Pump {
    course: Course,
    send: mpsc::Sender<Piece>,
    /// Set where the stream may go on elsewhere.
    splitter: Option<Splitter>,
    /// Bytes passed on.
    sent: u64,
}

impl Pump {
    async fn run(mut self, mut begun: Begun) {
        let core = self.course.core.clone();
        let job = self.course.job.clone();
        let outcome = loop {
            let Begun { headers, body, conn, load, replica, .. } = begun;
            match self.copy(body, load, &headers, conn).await {
                End::Complete => {
                    let _ = self.send.send(Piece::End).await;
                    break "complete";
                }
                End::Left => break "left",
                End::Late => break "late",
                End::Broke(why) => {
                    core.pool.lock().outcome(&replica, Outcome::Silent, core.now());
                    info!(
                        request = &*job.told.id,
                        replica = &*replica,
                        why = &*why,
                        bytes = self.sent,
                        "stream broke off"
                    );
                }
            }
            match self.resume().await {
                Some(next) => begun = next,
                None => break "broken",
            }
        };
        let took = core.now().since(job.start);
        core.metrics.whole.observe(took.as_secs_f64());
        core.metrics.requests.with_label_values(&[outcome]).inc();
        let took = took.as_millis() as u64;
        info!(request = &*job.told.id, outcome, took_ms = took, bytes = self.sent, "stream ended");
    }

    /// Copies one replica's answer until it ends. A connection that ended well is kept.
    async fn copy(
        &mut self,
        mut body: Incoming,
        mut load: Load,
        headers: &HeaderMap,
        conn: Conn,
    ) -> End {
        let core = self.course.core.clone();
        loop {
            let left = self.course.job.left(core.now());
            let limit = if self.splitter.is_some() { left.min(SILENCE) } else { left };
            let frame = tokio::select! {
                frame = timeout(limit, body.frame()) => frame,
                () = self.send.closed() => return End::Left,
            };
            let bytes = match frame {
                Err(_) if self.course.job.left(core.now()).is_zero() => return End::Late,
                Err(_) => return End::Broke("silent".into()),
                Ok(Some(Err(e))) => return End::Broke(e.to_string().into()),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    core.conns.keep(conn, headers, core.now());
                    return self.finish().await;
                }
            };
            load.begun();
            let whole = match &mut self.splitter {
                None => Ok(Some(bytes)),
                Some(splitter) => splitter.push(&bytes),
            };
            match whole {
                Ok(None) => {}
                Ok(Some(bytes)) => {
                    if !self.deliver(bytes).await {
                        return End::Left;
                    }
                }
                Err(e) => return End::Broke(e.to_string().into()),
            }
        }
    }

    /// Passes on what follows the last event of an answer that ended well.
    async fn finish(&mut self) -> End {
        let rest = self.splitter.as_mut().map(Splitter::take_rest).unwrap_or_default();
        if rest.is_empty() || self.deliver(rest).await { End::Complete } else { End::Left }
    }

    async fn deliver(&mut self, bytes: Bytes) -> bool {
        if bytes.is_empty() {
            return true;
        }
        self.sent += bytes.len() as u64;
        let left = self.course.job.left(self.course.core.now());
        matches!(timeout(left, self.send.send(Piece::Data(bytes))).await, Ok(Ok(())))
    }

    /// Begins the rest of a stream at another replica.
    async fn resume(&mut self) -> Option<Begun> {
        let splitter = self.splitter.as_mut()?;
        splitter.discard();
        let last = splitter.last();
        let closed = self.send.clone();
        let begun = tokio::select! {
            begun = self.course.begin(last) => begun.ok()?,
            () = closed.closed() => return None,
        };
        if !begun.status.is_success() {
            return None;
        }
        self.course.core.metrics.resumed.inc();
        info!(
            request = &*self.course.job.told.id,
            replica = &*begun.replica,
            after = last,
            "stream resumed"
        );
        Some(begun)
    }
}
