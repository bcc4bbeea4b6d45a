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
    launch::{ActiveGeneration, WeightsConstraint, launch_at},
    placement::place,
    problem::{Problem, ProblemKind},
    running::WorkGuard,
    save,
    sequence::{CatchUp, Delivery, Sequence, Verdict},
};

/// Maximum number of items buffered for a slow caller.
const BUFFERED_ITEMS: usize = 64;
/// How long a generation continues after its stream has ended early; the caller may resume it at
/// another instance.
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
    /// Nothing arrived for a while. The generation may just be slow.
    Silent,
    /// The stream broke or has a gap. The same generation may be resumed. Holds the cause, as a
    /// metric label.
    Broken(&'static str),
    /// The replica served another weights version. Nothing of its answer is used.
    WrongWeights,
}

impl StreamFailure {
    /// The cause, as a metric label.
    fn label(&self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Broken(cause) => cause,
            Self::WrongWeights => "weights",
        }
    }
}

impl From<CallError> for StreamFailure {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Silent => Self::Silent,
            CallError::Malformed(_) => Self::Broken("malformed"),
            _ => Self::Broken("broken"),
        }
    }
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
            Err(e) => return Err(e.into()),
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
    /// replica. Replaces it if the resume fails, if no token has arrived since the last resume, or
    /// if the weights version was wrong. If it can't be replaced, a silent generation that its
    /// replica still has is waited for until the deadline of the request.
    async fn recover(&mut self, failure: StreamFailure) -> Step {
        let core = self.core.clone();
        let cause = failure.label();
        core.metrics.retries.with_label_values(&[cause]).inc();
        let progressed = self.last_resume_offset != Some(self.sequence.next_offset());
        let may_go_on = match failure {
            StreamFailure::Silent => true,
            // A stream that breaks again without a token would be resumed without a pause.
            StreamFailure::Broken(_) => progressed,
            StreamFailure::WrongWeights => false,
        };
        let resumed = may_go_on && self.resume().await;
        if resumed && progressed {
            return Step::Continue;
        }
        let problem = match self.replace(cause).await {
            Ok(()) => return Step::Continue,
            Err(problem) => problem,
        };
        if resumed && !self.job.meta.deadline.passed(core.now()) {
            return Step::Continue;
        }
        self.active.failed(&core);
        core.record_problem(&self.job.meta, &problem);
        // The result is ignored: a caller that has gone away needs no answer.
        let _ = self.out.send(AnswerItem::Failed(problem)).await;
        if may_go_on {
            cancel_later(&core, &self.active);
        } else {
            self.active.cancel(&core);
        }
        Step::Done
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

    /// Starts the answer anew on another replica. The running generation is given up only once
    /// that has succeeded.
    async fn replace(&mut self, cause: &str) -> Result<(), Problem> {
        let core = self.core.clone();
        let held = self.catch_up.held();
        // An answer that the caller has in part keeps its weights version. One that the caller has
        // nothing of may use the current version.
        let constraint = if held.tokens > 0 {
            WeightsConstraint::Exact(self.active.weights.clone())
        } else {
            WeightsConstraint::Unconstrained
        };
        let mut failed = self.failed_replicas.clone();
        failed.push(self.active.replica.clone());
        // Placed first, so that the lack of a replica uses up no retry.
        let placement = place(&core, &self.job, &failed, &constraint).await?;
        if !core.admission.try_retry(core.now()) {
            placement.release(&core);
            return Err(Problem::after(ProblemKind::Upstream, NO_BUDGET_RETRY_DELAY));
        }
        let next = launch_at(&core, &self.job, placement, &failed, constraint).await?;
        let mut old = std::mem::replace(&mut self.active, next);
        old.failed(&core);
        old.cancel(&core);
        core.record(EventKind::Retried {
            request: self.job.meta.id,
            // `ended early` is no valid name; the event then has the replica's name as its cause.
            cause: Name::new(cause).unwrap_or_else(|_| old.replica.clone()),
            replica: old.replica,
        });
        self.failed_replicas = failed;
        self.sequence = Sequence::new(self.active.engine_request, self.active.weights.clone(), 0);
        self.catch_up = CatchUp::restarted(held);
        self.handle_prefix = sign_handle(&core, &self.job, &self.active);
        self.last_resume_offset = None;
        Ok(())
    }

    /// Handles a caller that has gone away.
    async fn abandon(self) {
        let Self { core, job, mut active, .. } = self;
        // Recorded when the caller goes away, even if the stream is resumed later.
        core.record(EventKind::Cancelled { request: job.meta.id });
        active.done(&core);
        cancel_later(&core, &active);
    }
}

/// Cancels a generation after [`RESUME_GRACE`] if no stream of it is open then: the caller may
/// resume it at another instance.
fn cancel_later(core: &Core, active: &ActiveGeneration) {
    let engine = core.backends.engine.clone();
    let (addr, request) = (active.addr, active.engine_request);
    tokio::spawn(async move {
        tokio::time::sleep(RESUME_GRACE).await;
        // The result is ignored: the engine drops the generation by itself if this call fails.
        let _ = engine.cancel(addr, request, true).await;
    });
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
