//! Relays the tokens of a generation to the caller. Recovers from broken streams and failed
//! replicas.

use std::{sync::Arc, time::Duration};

use events::EventKind;
use ident::{Name, Time};
use outbound::{CallError, FinishReason, Token, Usage};
use tokio::sync::mpsc;

use crate::{
    admission::Permit,
    core::Core,
    handle::{HandlePayload, StreamPosition},
    job::Job,
    launch::{ActiveGeneration, WeightsConstraint, launch},
    problem::{Problem, ProblemKind},
    running::WorkGuard,
    save,
    sequence::{CatchUp, Delivery, Sequence, Verdict},
};

/// Maximum number of items buffered for a slow caller.
const BUFFERED_ITEMS: usize = 64;
/// How long a generation continues after its caller has gone away; the caller may resume the stream
/// at another instance.
const RESUME_GRACE: Duration = Duration::from_secs(5);
/// Retry delay sent to a caller when the retry budget is used up.
const NO_BUDGET_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Message to a caller.
#[derive(Debug)]
pub enum AnswerItem {
    /// The next token.
    Token(AnswerToken),
    /// The answer begins again: the caller must discard the tokens it has.
    Restart,
    /// The caller already has the complete answer.
    Complete,
    /// The answer cannot be completed.
    Failed(Problem),
}

/// A token as delivered to the caller.
#[derive(Debug)]
pub struct AnswerToken {
    /// Text of the token.
    pub text: Arc<str>,
    /// Handle of the stream without the position.
    pub handle_prefix: Arc<str>,
    /// Position of the caller after this token.
    pub position: StreamPosition,
    /// Reason why the generation ended; `None` except on the last token.
    pub finish: Option<FinishReason>,
    /// Token counts of the request; `None` except on the last token.
    pub usage: Option<Usage>,
    /// Weights version with which the token was computed.
    pub weights: Name,
}

/// Reason why the relay stopped reading from a stream.
enum StreamFailure {
    /// The stream broke, timed out or has a gap. The same generation may be resumed. Holds the
    /// cause, as a metric label.
    Broken(&'static str),
    /// The replica served another weights version. Nothing of its answer is used.
    WrongWeights,
}

enum Step {
    Continue,
    Done,
    CallerGone,
}

/// State of the relay of one answer.
pub struct Relay {
    core: Arc<Core>,
    job: Arc<Job>,
    active: ActiveGeneration,
    sequence: Sequence,
    catch_up: CatchUp,
    handle_prefix: Arc<str>,
    out: mpsc::Sender<AnswerItem>,
    /// Offset of the last attempt to resume this generation; `None` if there was none.
    last_resume_offset: Option<u64>,
    failed_replicas: Vec<Name>,
    last_token_at: Option<Time>,
    started_at: Time,
    _permit: Permit,
    _work: WorkGuard,
}

/// Initial state of a relay.
pub struct RelayParams {
    /// Generation to relay.
    pub active: ActiveGeneration,
    /// Offset of the first token of the stream.
    pub from: u64,
    /// Position of the caller and, after a restart, the comparison with the tokens it has.
    pub catch_up: CatchUp,
    /// Permit of the admitted request.
    pub permit: Permit,
}

impl Relay {
    /// Starts a relay in a background task and returns the channel of the items to send to the
    /// caller.
    pub fn spawn(
        core: Arc<Core>,
        job: Arc<Job>,
        params: RelayParams,
    ) -> mpsc::Receiver<AnswerItem> {
        let (out, items) = mpsc::channel(BUFFERED_ITEMS);
        let RelayParams { active, from, catch_up, permit } = params;
        let sequence = Sequence::new(active.engine_request, active.weights.clone(), from);
        let relay = Self {
            handle_prefix: sign_handle(&core, &job, &active),
            started_at: core.now(),
            _work: core.running.begin(),
            core,
            job,
            active,
            sequence,
            catch_up,
            out,
            last_resume_offset: None,
            failed_replicas: Vec::new(),
            last_token_at: None,
            _permit: permit,
        };
        tokio::spawn(relay.run());
        items
    }

    async fn run(mut self) {
        loop {
            let step = match self.step().await {
                Ok(step) => step,
                Err(failure) => self.recover(failure).await,
            };
            match step {
                Step::Continue => {}
                Step::Done => return,
                Step::CallerGone => return self.abandon().await,
            }
        }
    }

    async fn step(&mut self) -> Result<Step, StreamFailure> {
        let next = tokio::select! {
            next = self.active.source.next() => next,
            () = self.out.closed() => return Ok(Step::CallerGone),
        };
        let token = match next {
            Ok(Some(token)) => token,
            Ok(None) => return Err(StreamFailure::Broken("ended early")),
            Err(e) => return Err(StreamFailure::Broken(stream_failure_label(&e))),
        };
        match self.sequence.check(&token) {
            Verdict::Accept => Ok(self.accept(token).await),
            Verdict::Duplicate => Ok(self.drop_event("duplicate")),
            Verdict::WrongRequest => Ok(self.drop_event("crossed")),
            Verdict::Gap => Err(StreamFailure::Broken("gap")),
            Verdict::WrongWeights(_) => Err(StreamFailure::WrongWeights),
        }
    }

    fn drop_event(&self, cause: &str) -> Step {
        self.core.metrics.dropped_events.with_label_values(&[cause]).inc();
        Step::Continue
    }

    async fn accept(&mut self, token: Token) -> Step {
        self.record_latency();
        let usage = token.usage;
        let last = token.finish.is_some();
        let sent = match self.catch_up.accept(token) {
            Delivery::Skip => true,
            Delivery::Complete => self.out.send(AnswerItem::Complete).await.is_ok(),
            Delivery::Token(token, position) => self.deliver(token, position).await,
            Delivery::Restart(tokens) => self.restart(tokens).await,
        };
        match (sent, last) {
            (false, _) => Step::CallerGone,
            (true, false) => Step::Continue,
            (true, true) => {
                self.finish(usage.unwrap_or_default());
                Step::Done
            }
        }
    }

    async fn restart(&mut self, tokens: Vec<(Token, StreamPosition)>) -> bool {
        if self.out.send(AnswerItem::Restart).await.is_err() {
            return false;
        }
        for (token, position) in tokens {
            if !self.deliver(token, position).await {
                return false;
            }
        }
        true
    }

    async fn deliver(&mut self, token: Token, position: StreamPosition) -> bool {
        assert_eq!(
            token.request, self.active.engine_request,
            "the token belongs to another request"
        );
        assert_eq!(
            token.weights.as_ref(),
            Some(&self.active.weights),
            "the token was computed with another weights version"
        );
        self.core.metrics.tokens.inc();
        let token = AnswerToken {
            text: token.text,
            handle_prefix: self.handle_prefix.clone(),
            position,
            finish: token.finish,
            usage: token.usage,
            weights: self.active.weights.clone(),
        };
        self.out.send(AnswerItem::Token(token)).await.is_ok()
    }

    fn record_latency(&mut self) {
        let now = self.core.now();
        let metrics = &self.core.metrics;
        match self.last_token_at.replace(now) {
            Some(last) => metrics.token_gap.observe(now.since(last).as_secs_f64()),
            None => {
                let class = self.job.meta.class.label();
                let waited = now.since(self.started_at);
                metrics.first_token.with_label_values(&[class]).observe(waited.as_secs_f64());
                self.active.first_token(&self.core, now);
            }
        }
    }

    fn finish(&mut self, usage: Usage) {
        let core = &self.core.clone();
        let recomputed = usage.prompt.saturating_sub(usage.cached);
        let tokens = &core.metrics.prompt_tokens;
        tokens.with_label_values(&["cached"]).inc_by(usage.cached.into());
        tokens.with_label_values(&["recomputed"]).inc_by(recomputed.into());
        let request = self.job.meta.id;
        core.record(EventKind::Finished { request, cached: usage.cached, prompt: usage.prompt });
        self.active.done(core);
        self.active.record_context(core, &self.job, usage.cached);
        save::spawn(core, &self.job, &self.active);
    }

    /// Recovers from a failed stream. Resumes the generation on a new connection to the same
    /// replica. Restarts it on another replica if the resume fails, if no token has arrived since
    /// the last resume, or if the weights version was wrong.
    async fn recover(&mut self, failure: StreamFailure) -> Step {
        let cause = match failure {
            StreamFailure::Broken(cause) => cause,
            StreamFailure::WrongWeights => "weights",
        };
        self.core.metrics.retries.with_label_values(&[cause]).inc();
        let resumable = matches!(failure, StreamFailure::Broken(_));
        if resumable
            && self.last_resume_offset != Some(self.sequence.next_offset())
            && self.resume().await
        {
            return Step::Continue;
        }
        match self.relaunch(cause).await {
            Ok(()) => Step::Continue,
            Err(problem) => {
                self.core.record_problem(&self.job.meta, &problem);
                // The result is ignored: a caller that has gone away needs no answer.
                let _ = self.out.send(AnswerItem::Failed(problem)).await;
                Step::Done
            }
        }
    }

    async fn resume(&mut self) -> bool {
        let from = self.sequence.next_offset();
        self.last_resume_offset = Some(from);
        let engine = &self.core.backends.engine;
        match engine.resume(self.active.addr, self.active.engine_request, from).await {
            Ok(source) => {
                self.active.source = source;
                let offset = u32::try_from(from).unwrap_or(u32::MAX);
                self.core.record(EventKind::Resumed { request: self.job.meta.id, offset });
                true
            }
            Err(_) => false,
        }
    }

    async fn relaunch(&mut self, cause: &str) -> Result<(), Problem> {
        let core = self.core.clone();
        self.active.failed(&core);
        self.active.cancel(&core);
        self.failed_replicas.push(self.active.replica.clone());
        core.record(EventKind::Retried {
            request: self.job.meta.id,
            replica: self.active.replica.clone(),
            // `ended early` is no valid name; the event then has the replica's name as its cause.
            cause: Name::new(cause).unwrap_or_else(|_| self.active.replica.clone()),
        });
        if !core.admission.try_retry(core.now()) {
            return Err(Problem::after(ProblemKind::Upstream, NO_BUDGET_RETRY_DELAY));
        }
        let held = self.catch_up.held();
        // An answer that the caller has in part keeps its weights version. One that the caller has
        // nothing of may use the current version.
        let constraint = if held.tokens > 0 {
            WeightsConstraint::Exact(self.active.weights.clone())
        } else {
            WeightsConstraint::Unconstrained
        };
        self.active = launch(&core, &self.job, &self.failed_replicas, constraint).await?;
        self.sequence = Sequence::new(self.active.engine_request, self.active.weights.clone(), 0);
        self.catch_up = CatchUp::restarted(held);
        self.handle_prefix = sign_handle(&core, &self.job, &self.active);
        self.last_resume_offset = None;
        Ok(())
    }

    /// Handles a caller that has gone away. It may resume at another instance, so the generation is
    /// only cancelled after [`RESUME_GRACE`], and only if no stream of it is open then.
    async fn abandon(self) {
        let Self { core, job, mut active, .. } = self;
        // Recorded when the caller goes away, even if the stream is resumed later.
        core.record(EventKind::Cancelled { request: job.meta.id });
        active.done(&core);
        let engine = core.backends.engine.clone();
        drop(active.source);
        tokio::spawn(async move {
            tokio::time::sleep(RESUME_GRACE).await;
            // The result is ignored: the engine drops the generation by itself if this call fails.
            let _ = engine.cancel(active.addr, active.engine_request, true).await;
        });
    }
}

fn stream_failure_label(error: &CallError) -> &'static str {
    match error {
        CallError::Silent => "silent",
        CallError::Malformed(_) => "malformed",
        _ => "broken",
    }
}

fn sign_handle(core: &Core, job: &Job, active: &ActiveGeneration) -> Arc<str> {
    let payload = HandlePayload {
        request: active.engine_request,
        team: job.meta.grant.team.clone(),
        body: job.prompt.digest,
        replica: active.replica.clone(),
        addr: active.addr,
        weights: active.weights.clone(),
    };
    payload.sign(&core.secrets.handle).into()
}
