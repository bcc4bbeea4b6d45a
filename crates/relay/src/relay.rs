//! Relays a long answer to the caller as it arrives, and resumes a resumable stream at another
//! replica.

use std::time::Duration;

use bytes::Bytes;
use fleet::Replica;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::{Frame, Incoming},
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use ident::Time;
use outbound::{Framing, end_with_connection};
use place::Outcome;
use tokio::{sync::mpsc, time::timeout};
use tracing::info;

use crate::{
    answer::{Body, Chunk, channel_body},
    events::{EventScanner, EventSplitter, StreamError},
    forward::{Forwarder, Step, is_stream},
    permits,
    send::{AttemptOutcome, ReplicaAnswer},
};

/// Chunks queued for a slow caller before reading from the replica's connection pauses.
const MAX_QUEUED_CHUNKS: usize = 4;
/// Silence within a resumable stream after which its replica is asked for a report.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest wait for the report of a silent replica. Shorter than the timeouts of the client that
/// fetches it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before a replica that did not respond is asked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A frame of a body, `None` at its end, or how the wait for it ended.
type NextFrame = Result<Option<hyper::Result<Frame<Bytes>>>, End>;

/// How copying a body ended.
enum End {
    Complete,
    /// The replica's answer ended early.
    Broken(Interruption),
    /// The replica does not respond, and another one continues the stream.
    Replaced(Box<ReplicaAnswer>),
    /// The caller closed the connection.
    Cancelled,
    TimedOut,
}

/// Why a replica's answer ended early.
#[derive(Debug, thiserror::Error)]
enum Interruption {
    /// The replica does not respond, and another one may have run the request since.
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
            Self::Events(StreamError::Incomplete) => "truncated",
            Self::Events(_) => "malformed",
        }
    }
}

/// Starts to relay an answer, of whose body `read` has been read. Returns its head with a body that
/// is filled as chunks arrive.
pub(crate) fn relay_answer(
    forwarder: Forwarder,
    answer: ReplicaAnswer,
    read: Bytes,
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
    let scanner = streamed.then(EventScanner::default);
    let framing = Framing::of(&forwarder.job.method, answer.status, &answer.headers);
    if framing == Framing::Connection {
        end_with_connection(&mut out);
    }
    let relay = StreamRelay {
        forwarder,
        sender,
        splitter,
        scanner,
        framing,
        sent_bytes: 0,
        read_bytes: read.len() as u64,
        is_resumed: false,
        heard_at,
    };
    tokio::spawn(relay.run(answer, read));
    out
}

/// Relays one answer to the caller.
struct StreamRelay {
    forwarder: Forwarder,
    sender: mpsc::Sender<Chunk>,
    /// Set where the stream can be resumed at another replica.
    splitter: Option<EventSplitter>,
    /// Set for event streams; follows the replica that answers.
    scanner: Option<EventScanner>,
    /// Framing of the answer of the replica that answers.
    framing: Framing,
    /// Bytes passed to the caller so far.
    sent_bytes: u64,
    /// Bytes of the answer of the replica that answers.
    read_bytes: u64,
    /// Whether that replica goes on with the stream of another one.
    is_resumed: bool,
    /// When the replica's last bytes arrived.
    heard_at: Time,
}

impl StreamRelay {
    async fn run(mut self, mut answer: ReplicaAnswer, read: Bytes) {
        let core = self.forwarder.core.clone();
        let job = self.forwarder.job.clone();
        let begun = self.deliver(read).await;
        let outcome = loop {
            if !begun {
                break "left";
            }
            let replica = answer.replica.clone();
            let why = match self.copy_answer(answer).await {
                End::Complete => {
                    let _ = self.sender.send(Chunk::End).await;
                    break "complete";
                }
                End::Cancelled => break "left",
                End::TimedOut => break "late",
                End::Replaced(next) => {
                    self.log_interruption(&replica, &Interruption::Silent);
                    answer = self.switch_to(*next);
                    continue;
                }
                End::Broken(why) => why,
            };
            core.pool.lock().record_outcome(&replica.id, Outcome::NoAnswer, core.now());
            self.log_interruption(&replica, &why);
            match self.resume().await {
                Some(next) => answer = self.switch_to(next),
                None if self.sender.is_closed() => break "left",
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
            framing = self.framing.name(),
            place = self.place(),
            "stream ended"
        );
    }

    /// Copies one replica's answer until it ends. A connection whose answer is complete returns to
    /// the pool.
    async fn copy_answer(&mut self, answer: ReplicaAnswer) -> End {
        let core = self.forwarder.core.clone();
        let sender = self.sender.clone();
        let ReplicaAnswer { status, headers, mut body, conn, mut load, flight, replica } = answer;
        self.framing = Framing::of(&self.forwarder.job.method, status, &headers);
        loop {
            let frame = tokio::select! {
                frame = self.next_frame(&mut body, &replica) => frame,
                () = sender.closed() => return End::Cancelled,
            };
            let bytes = match frame {
                Err(end) => return end,
                Ok(Some(Err(e))) => {
                    flight.lost();
                    return End::Broken(Interruption::Conn(e));
                }
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    self.count_end();
                    if self.is_cut() {
                        flight.lost();
                        return End::Broken(StreamError::Incomplete.into());
                    }
                    flight.ended(status, self.framing);
                    if self.framing != Framing::Connection {
                        core.conns.keep(conn, &headers, core.now());
                    }
                    return self.finish().await;
                }
            };
            load.prefill_done();
            self.heard_at = core.now();
            self.read_bytes += bytes.len() as u64;
            if let Some(scanner) = &mut self.scanner {
                scanner.scan(&bytes);
            }
            let events = match &mut self.splitter {
                None => Ok(Some(bytes)),
                Some(splitter) => splitter.push(&bytes),
            };
            match events {
                Ok(None) => {}
                Ok(Some(bytes)) => {
                    if self.splitter.is_some() {
                        self.forwarder.pin_to(&replica);
                    }
                    if !self.deliver(bytes).await {
                        return End::Cancelled;
                    }
                }
                Err(e) => return End::Broken(e.into()),
            }
        }
    }

    /// Waits for the next frame of a replica's answer, until the deadline. A run may pause, for
    /// example while its engine serves more urgent requests, so silence alone ends no stream: its
    /// replica must fail to respond to another call, too, and another one must take over.
    async fn next_frame(&mut self, body: &mut Incoming, replica: &Replica) -> NextFrame {
        let (core, job) = (self.forwarder.core.clone(), self.forwarder.job.clone());
        let resumable = self.splitter.is_some();
        let mut wait = STREAM_SILENCE_TIMEOUT;
        loop {
            let left = job.time_left(core.now());
            let limit = if resumable { left.min(wait) } else { left };
            if let Ok(frame) = timeout(limit, body.frame()).await {
                return Ok(frame);
            }
            let left = job.time_left(core.now());
            if left.is_zero() || !resumable {
                return Err(End::TimedOut);
            }
            let report = permits::report(&core, replica);
            let responds = tokio::select! {
                biased;
                frame = body.frame() => return Ok(frame),
                // An error is an answer as well, or connections to the replica break, which the
                // stream's own connection then shows.
                report = timeout(left.min(REPORT_TIMEOUT), report) => report.is_ok(),
            };
            if responds {
                self.log_silence(replica, "kept", "the replica responds");
                wait = STREAM_SILENCE_TIMEOUT;
                continue;
            }
            core.pool.lock().record_outcome(&replica.id, Outcome::NoAnswer, core.now());
            if let Some(next) = self.replace(body, replica).await {
                return next;
            }
            wait = RECHECK_INTERVAL;
        }
    }

    /// Asks other replicas to continue the stream of `replica`, whose connection stays open until
    /// one of them may have run the request. It is not read while one of them is asked, since
    /// whichever continues must do so after the last event that was passed on. Returns `None` if
    /// all refuse.
    async fn replace(&mut self, body: &mut Incoming, replica: &Replica) -> Option<NextFrame> {
        let last = self.splitter.as_ref().and_then(EventSplitter::last);
        loop {
            let attempt = match self.forwarder.next_step() {
                Step::Send(attempt) => attempt,
                Step::Wait(pause) => match timeout(pause, body.frame()).await {
                    Ok(frame) => return Some(Ok(frame)),
                    Err(_) => continue,
                },
                Step::Stop { why, .. } => {
                    self.log_silence(replica, "kept", why);
                    return None;
                }
                Step::Detour => {
                    self.log_silence(replica, "kept", "no replica of the target is reached");
                    return None;
                }
                Step::Bar { what, .. } => {
                    self.log_silence(replica, "kept", &format!("replicas ended under {what}"));
                    return None;
                }
            };
            match self.forwarder.attempt(attempt, last).await {
                AttemptOutcome::Answered(answer) if self.is_rest(&answer) => {
                    self.log_silence(replica, "moved", "the replica does not respond");
                    return Some(Err(End::Replaced(answer)));
                }
                AttemptOutcome::Answered(_) | AttemptOutcome::Lost => {
                    return Some(Err(End::Broken(Interruption::Silent)));
                }
                AttemptOutcome::NotRun | AttemptOutcome::Unsent => {
                    if let Some(frame) = body.frame().now_or_never() {
                        return Some(Ok(frame));
                    }
                }
            }
        }
    }

    /// Logs a check of a replica whose stream is silent.
    fn log_silence(&self, replica: &Replica, outcome: &str, why: &str) {
        self.forwarder.core.metrics.silent.with_label_values(&[outcome]).inc();
        info!(
            request = &*self.forwarder.job.meta.id,
            replica = &*replica.id,
            silent_ms = self.silence().as_millis() as u64,
            outcome,
            why,
            "stream silent"
        );
    }

    /// Whether a stream whose replica's answer has ended was cut: within an event, or, where only the
    /// connection has ended, before its first one. A caller that asks for what follows an event may
    /// have had all.
    fn is_cut(&self) -> bool {
        let Some(scanner) = &self.scanner else { return false };
        let taken_up = !self.is_resumed && self.forwarder.job.meta.last_event.is_some();
        let begun = self.read_bytes > 0 || taken_up;
        scanner.is_inside() || (self.framing == Framing::Connection && !begun)
    }

    /// Counts the normal end of a replica's answer.
    fn count_end(&self) {
        let ended = &self.forwarder.core.metrics.ended;
        ended.with_label_values(&[self.framing.name(), self.place()]).inc();
    }

    /// Where the bytes from the replica that answers end: `inside` an event, or after an `event`.
    fn place(&self) -> &'static str {
        if self.scanner.is_some_and(|s| s.is_inside()) { "inside" } else { "event" }
    }

    fn log_interruption(&self, replica: &Replica, why: &Interruption) {
        self.forwarder.core.metrics.interrupted.with_label_values(&[why.name()]).inc();
        info!(
            request = &*self.forwarder.job.meta.id,
            replica = &*replica.id,
            software = replica.software.as_deref(),
            %why,
            silent_ms = self.silence().as_millis() as u64,
            bytes = self.sent_bytes,
            framing = self.framing.name(),
            place = self.place(),
            parts = self.forwarder.job.prompt().map(tracing::field::display),
            "stream interrupted"
        );
    }

    /// Continues the stream with the answer of another replica.
    fn switch_to(&mut self, answer: ReplicaAnswer) -> ReplicaAnswer {
        let core = &self.forwarder.core;
        let splitter = self.splitter.as_mut().expect("only resumable streams are continued");
        splitter.discard();
        self.scanner = Some(EventScanner::default());
        (self.heard_at, self.read_bytes, self.is_resumed) = (core.now(), 0, true);
        core.metrics.resumed.inc();
        info!(
            request = &*self.forwarder.job.meta.id,
            replica = &*answer.replica.id,
            software = answer.replica.software.as_deref(),
            after = splitter.last(),
            "stream resumed"
        );
        answer
    }

    /// The time since the replica's last bytes arrived.
    fn silence(&self) -> Duration {
        self.forwarder.core.now().since(self.heard_at)
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

    /// Whether an answer to a request for the rest of the stream is that rest: an event stream with
    /// status 200. Anything else, such as an error's text, is a failed attempt.
    fn is_rest(&self, answer: &ReplicaAnswer) -> bool {
        let Forwarder { core, job, .. } = &self.forwarder;
        let is_rest = answer.status == StatusCode::OK && is_stream(&job.route, &answer.headers);
        if !is_rest {
            core.pool.lock().record_outcome(&answer.replica.id, Outcome::Failed, core.now());
            core.metrics.attempts.with_label_values(&["no_rest"]).inc();
            info!(
                request = &*job.meta.id,
                replica = &*answer.replica.id,
                status = answer.status.as_u16(),
                kind = answer.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok()),
                "answer is not the rest of the stream"
            );
        }
        is_rest
    }

    /// Requests the rest of the stream from another replica. Returns `None` where the stream can't
    /// be resumed.
    async fn resume(&mut self) -> Option<ReplicaAnswer> {
        let last = self.splitter.as_ref()?.last();
        let sender = self.sender.clone();
        loop {
            let answer = tokio::select! {
                answer = self.forwarder.send_until_answered(last) => answer.ok()?,
                () = sender.closed() => return None,
            };
            if self.is_rest(&answer) {
                return Some(answer);
            }
        }
    }
}
