//! Carries a generation's tokens to the caller, over broken streams and lost replicas.

use std::{sync::Arc, time::Duration};

use events::EventKind;
use ident::{Name, Time};
use outbound::{CallError, Finish, Token, Usage};
use tokio::sync::mpsc;

use crate::{
    admission::Permit,
    core::Core,
    handle::{Mark, Sealed},
    job::Job,
    keep,
    launch::{Live, Pinned, launch},
    problem::{Fault, Problem},
    running::Work,
    sequence::{CatchUp, Delivery, Sequence, Verdict},
};

/// Items buffered towards a slow caller.
const BUFFERED_ITEMS: usize = 64;
/// How long a generation goes on for a caller that went away and may resume elsewhere.
const RESUME_TERM: Duration = Duration::from_secs(5);
/// Advice to a caller whose replicas all failed.
const RETRY_ADVICE: Duration = Duration::from_millis(500);

/// What a caller is sent.
#[derive(Debug)]
pub enum Item {
    /// The next token.
    Token(Delivered),
    /// The caller drops what it holds: the answer begins again.
    Restart,
    /// The caller holds the whole answer already.
    Complete,
    /// The answer cannot be finished.
    Failed(Problem),
}

/// A token as delivered.
#[derive(Debug)]
pub struct Delivered {
    /// The text.
    pub text: Arc<str>,
    /// Handle of the stream, without the mark.
    pub sealed: Arc<str>,
    /// What the caller holds with this token.
    pub mark: Mark,
    /// Set on the last token.
    pub finish: Option<Finish>,
    /// Set on the last token.
    pub usage: Option<Usage>,
    /// The weight version that computed it.
    pub weights: Name,
}

/// Why the relay stopped taking from a stream.
enum Lost {
    /// The stream broke, fell silent or has a gap: the same generation may be resumed.
    Stream(&'static str),
    /// The replica served other weights: nothing of its answer is used.
    Weights,
}

enum Step {
    More,
    Done,
    Gone,
}

/// One answer on its way.
pub struct Relay {
    core: Arc<Core>,
    job: Arc<Job>,
    live: Live,
    sequence: Sequence,
    catch_up: CatchUp,
    sealed: Arc<str>,
    out: mpsc::Sender<Item>,
    resumed: Option<u64>,
    failed: Vec<Name>,
    last: Option<Time>,
    begun: Time,
    _permit: Permit,
    _work: Work,
}

/// What a relay starts from.
pub struct Start {
    /// The generation.
    pub live: Live,
    /// Offset of its first token.
    pub from: u64,
    /// What the caller holds.
    pub catch_up: CatchUp,
    /// Admission of the request.
    pub permit: Permit,
}

impl Relay {
    /// Starts a relay and returns what the caller is to be sent.
    pub fn spawn(core: Arc<Core>, job: Arc<Job>, start: Start) -> mpsc::Receiver<Item> {
        let (out, items) = mpsc::channel(BUFFERED_ITEMS);
        let Start { live, from, catch_up, permit } = start;
        let sequence = Sequence::new(live.request, live.weights.clone(), from);
        let relay = Self {
            sealed: seal(&core, &job, &live),
            begun: core.now(),
            _work: core.running.begin(),
            core,
            job,
            live,
            sequence,
            catch_up,
            out,
            resumed: None,
            failed: Vec::new(),
            last: None,
            _permit: permit,
        };
        tokio::spawn(relay.run());
        items
    }

    async fn run(mut self) {
        loop {
            let step = match self.step().await {
                Ok(step) => step,
                Err(lost) => self.recover(lost).await,
            };
            match step {
                Step::More => {}
                Step::Done => return,
                Step::Gone => return self.abandon().await,
            }
        }
    }

    async fn step(&mut self) -> Result<Step, Lost> {
        let next = tokio::select! {
            next = self.live.source.next() => next,
            () = self.out.closed() => return Ok(Step::Gone),
        };
        let token = match next {
            Ok(Some(token)) => token,
            Ok(None) => return Err(Lost::Stream("ended early")),
            Err(e) => return Err(Lost::Stream(cause(&e))),
        };
        match self.sequence.offer(&token) {
            Verdict::Take => Ok(self.take(token).await),
            Verdict::Duplicate => Ok(self.dropped("duplicate")),
            Verdict::Crossed => Ok(self.dropped("crossed")),
            Verdict::Gap => Err(Lost::Stream("gap")),
            Verdict::Weights(_) => Err(Lost::Weights),
        }
    }

    fn dropped(&self, cause: &str) -> Step {
        self.core.metrics.dropped_events.with_label_values(&[cause]).inc();
        Step::More
    }

    async fn take(&mut self, token: Token) -> Step {
        self.measure();
        let usage = token.usage;
        let last = token.finish.is_some();
        let sent = match self.catch_up.take(token) {
            Delivery::Skip => true,
            Delivery::Complete => self.out.send(Item::Complete).await.is_ok(),
            Delivery::Token(token, mark) => self.deliver(token, mark).await,
            Delivery::Restart(tokens) => self.restart(tokens).await,
        };
        match (sent, last) {
            (false, _) => Step::Gone,
            (true, false) => Step::More,
            (true, true) => {
                self.finish(usage.unwrap_or_default());
                Step::Done
            }
        }
    }

    async fn restart(&mut self, tokens: Vec<(Token, Mark)>) -> bool {
        if self.out.send(Item::Restart).await.is_err() {
            return false;
        }
        for (token, mark) in tokens {
            if !self.deliver(token, mark).await {
                return false;
            }
        }
        true
    }

    async fn deliver(&mut self, token: Token, mark: Mark) -> bool {
        assert_eq!(token.request, self.live.request, "a token of another request");
        assert_eq!(token.weights.as_ref(), Some(&self.live.weights), "a token of other weights");
        self.core.metrics.tokens.inc();
        let delivered = Delivered {
            text: token.text,
            sealed: self.sealed.clone(),
            mark,
            finish: token.finish,
            usage: token.usage,
            weights: self.live.weights.clone(),
        };
        self.out.send(Item::Token(delivered)).await.is_ok()
    }

    fn measure(&mut self) {
        let now = self.core.now();
        let metrics = &self.core.metrics;
        match self.last.replace(now) {
            Some(last) => metrics.token_gap.observe(now.since(last).as_secs_f64()),
            None => {
                let class = self.job.asked.class.label();
                let waited = now.since(self.begun);
                metrics.first_token.with_label_values(&[class]).observe(waited.as_secs_f64());
                self.live.first_token(&self.core, now);
            }
        }
    }

    fn finish(&mut self, usage: Usage) {
        let core = &self.core.clone();
        let recomputed = usage.prompt.saturating_sub(usage.cached);
        let tokens = &core.metrics.prompt_tokens;
        tokens.with_label_values(&["cached"]).inc_by(usage.cached.into());
        tokens.with_label_values(&["recomputed"]).inc_by(recomputed.into());
        let request = self.job.asked.id;
        core.record(EventKind::Finished { request, cached: usage.cached, prompt: usage.prompt });
        self.live.done(core);
        self.live.remember(core, &self.job, usage.cached);
        keep::spawn(core, &self.job, &self.live);
    }

    /// Goes on after a lost stream: on a new connection to the same replica once without progress,
    /// then on another replica.
    async fn recover(&mut self, lost: Lost) -> Step {
        let cause = match lost {
            Lost::Stream(cause) => cause,
            Lost::Weights => "weights",
        };
        self.core.metrics.retries.with_label_values(&[cause]).inc();
        let resumable = matches!(lost, Lost::Stream(_));
        if resumable && self.resumed != Some(self.sequence.next()) && self.resume().await {
            return Step::More;
        }
        match self.relaunch(cause).await {
            Ok(()) => Step::More,
            Err(problem) => {
                self.core.refuse(&self.job.asked, &problem);
                // A caller that is gone needs no answer.
                let _ = self.out.send(Item::Failed(problem)).await;
                Step::Done
            }
        }
    }

    async fn resume(&mut self) -> bool {
        let from = self.sequence.next();
        self.resumed = Some(from);
        let engine = &self.core.backends.engine;
        match engine.resume(self.live.addr, self.live.request, from).await {
            Ok(source) => {
                self.live.source = source;
                let offset = u32::try_from(from).unwrap_or(u32::MAX);
                self.core.record(EventKind::Resumed { request: self.job.asked.id, offset });
                true
            }
            Err(_) => false,
        }
    }

    async fn relaunch(&mut self, cause: &str) -> Result<(), Problem> {
        let core = self.core.clone();
        self.live.failed(&core);
        self.live.cancel(&core);
        self.failed.push(self.live.replica.clone());
        core.record(EventKind::Retried {
            request: self.job.asked.id,
            replica: self.live.replica.clone(),
            cause: Name::new(cause).unwrap_or_else(|_| self.live.replica.clone()),
        });
        if !core.admission.retry(core.now()) {
            return Err(Problem::after(Fault::Upstream, RETRY_ADVICE));
        }
        let held = self.catch_up.held();
        // A running answer keeps its weight version; one not begun may take the current one.
        let pinned =
            if held.tokens > 0 { Pinned::To(self.live.weights.clone()) } else { Pinned::No };
        self.live = launch(&core, &self.job, &self.failed, pinned).await?;
        self.sequence = Sequence::new(self.live.request, self.live.weights.clone(), 0);
        self.catch_up = CatchUp::anew(held);
        self.sealed = seal(&core, &self.job, &self.live);
        self.resumed = None;
        Ok(())
    }

    /// The caller went away. It may resume at another instance, so the generation is cancelled
    /// only after a while, and only if nobody reads it then.
    async fn abandon(self) {
        let Self { core, job, mut live, .. } = self;
        core.record(EventKind::Cancelled { request: job.asked.id });
        live.done(&core);
        let engine = core.backends.engine.clone();
        drop(live.source);
        tokio::spawn(async move {
            tokio::time::sleep(RESUME_TERM).await;
            // The engine drops the generation by itself if this call is lost.
            let _ = engine.cancel(live.addr, live.request, true).await;
        });
    }
}

fn cause(error: &CallError) -> &'static str {
    match error {
        CallError::Silent => "silent",
        CallError::Malformed(_) => "malformed",
        _ => "broken",
    }
}

fn seal(core: &Core, job: &Job, live: &Live) -> Arc<str> {
    let sealed = Sealed {
        request: live.request,
        team: job.asked.grant.team.clone(),
        body: job.prompt.digest,
        replica: live.replica.clone(),
        addr: live.addr,
        weights: live.weights.clone(),
    };
    sealed.seal(&core.secrets.handle).into()
}
