//! Counters and latency histograms.

use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histograms' buckets, in seconds.
const BUCKETS: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.7, 1.0, 2.0, 5.0, 12.0];

/// The metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome. A relayed answer is counted twice: as `answered` when its head has
    /// come, and by how its body ended.
    pub requests: IntCounterVec,
    /// Attempts at replicas by outcome.
    pub attempts: IntCounterVec,
    /// Retries by target, and by whether the budget allowed them: `taken` or `denied`.
    pub retries: IntCounterVec,
    /// Retry budgets by target: `requests` and `retries` within the window, and retries that are
    /// `left`.
    pub retry_budget: IntGaugeVec,
    /// Seconds from the request to its first attempt, after waits for capacity.
    pub first_attempt: Histogram,
    /// Streams that were resumed at another replica.
    pub resumed: IntCounter,
    /// Answers of replicas that ended early, by cause: `silent`, `broken` (the connection),
    /// `truncated` (the stream was cut, the connection is sound) or `malformed` (the events).
    pub interrupted: IntCounterVec,
    /// Ends of relayed answers that did not fail, by what marked the end (`length`, `chunks` or
    /// `connection`) and its place: `event`, after a complete event, or `inside` one. Answers that
    /// are no event streams count as `event`.
    pub ended: IntCounterVec,
    /// Checks of replicas whose stream was silent, by outcome: `kept` or `moved` to another replica.
    pub silent: IntCounterVec,
    /// Shared prompt tokens by their expected source. `home`: cached at the chosen replica;
    /// `read`: prefilled; `replica`, `store`: fetched from there.
    pub shared_tokens: IntCounterVec,
    /// Polls of the platform's registry by outcome.
    pub platform_calls: IntCounterVec,
    /// Datagrams from and to peers: `received`; `regular` and `news`, sent at intervals and at once.
    pub datagrams: IntCounterVec,
    /// Questions to trackers of engines, by whether they were answered in time.
    pub tracker_answers: IntCounterVec,
    /// Changes of the verdict on parts and requests under which replicas end.
    pub verdict_changes: IntCounter,
    /// Seconds by which timers fire late: tasks wait for the processor.
    pub timer_delay: Histogram,
    /// Revision of the configuration in force.
    pub config_rev: IntGauge,
    /// Seconds for which a newer configuration may have been unknown when it was applied: the time
    /// since the one before was confirmed.
    pub config_delay: Histogram,
    /// Returns of the platform's registry from an older copy of its content.
    pub store_returns: IntCounter,
    /// Highest era in which the platform's registry has answered.
    pub store_era: IntGauge,
    /// Ends of replicas that this instance found while requests were there.
    pub replica_ends: IntCounter,
    /// Parts of prompts, or groups of them, under which replicas end.
    pub fatal_parts: IntGauge,
    /// Requests under which replicas end.
    pub fatal_requests: IntGauge,
    /// Targets of which this instance reaches no replica.
    pub cut_off_targets: IntGauge,
    /// Requests sent on to peers, by outcome: `taken`, `not_taken`, `unreachable`, `broken` or
    /// `silent`.
    pub detours: IntCounterVec,
    /// Replicas that name a limit on requests.
    pub limited_replicas: IntGauge,
    /// Replicas that say how many refusals they bear.
    pub brittle_replicas: IntGauge,
    /// Replicas that count as cold, of targets with a limit for cold replicas.
    pub cold_replicas: IntGauge,
    /// Zones to which no requests are sent.
    pub evacuated_zones: IntGauge,
    /// Answers in which a replica named a time for which it wants no requests.
    pub retry_after: IntCounter,
    /// Replicas that said in an answer that they are leaving.
    pub leaving_said: IntCounter,
    /// Times at which one of them was found to be full.
    pub full_replicas: IntCounter,
    /// Polls of readers by outcome: `answered`, `failed`, or `stale` where the source's word was too
    /// old.
    pub feed_polls: IntCounterVec,
    /// Replicas whose report of their load was malformed.
    pub malformed_loads: IntCounter,
    /// Engines of each target that serve short prompts, where they are or were more than a quarter.
    pub short_engines: IntGaugeVec,
    /// Answers to followers' polls.
    pub feed_answers: IntCounter,
    /// Whether this instance follows readers, 1, or reads the sources itself, 0.
    pub follows: IntGauge,
    /// What is held for requests, checks and questions to peers; see
    /// [`holdings`](crate::holdings::holdings).
    pub held: IntGaugeVec,
    /// Bytes held for request bodies.
    pub body_bytes: IntGauge,
    /// Requests and connections of clients that were given up for others, by cause: `body_stalled`
    /// (no byte for a while), `body_memory` (its body held most) or `connection_idle` (it had no
    /// request in progress), `slow_head` (its head was not complete in time) or `answer_unread` (its client took nothing of an answer).
    pub rejected_clients: IntCounterVec,
    /// Seconds from the request to the head of a replica's answer, before its body is read.
    pub first_byte: Histogram,
    /// Seconds from the request to the end of a relayed answer.
    pub answer_time: Histogram,
    /// Seconds for which requests waited in a target's queue, by priority level.
    queue_wait: HistogramVec,
    /// Requests that a target's queue rejected, by priority level and reason.
    pub rejections: IntCounterVec,
}

impl Metrics {
    /// Metrics that are all zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let family = |name: &str, help: &str, label: &str| {
            let out = IntCounterVec::new(Opts::new(name, help), &[label]);
            let out = out.expect("metric names and labels are valid");
            registry.register(Box::new(out.clone())).expect("metric names are unique");
            out
        };
        let ended = IntCounterVec::new(
            Opts::new("lentil_answers_ended_total", "Ends of relayed answers by framing and place"),
            &["framing", "place"],
        );
        let ended = ended.expect("metric names and labels are valid");
        registry.register(Box::new(ended.clone())).expect("metric names are unique");
        let held = IntGaugeVec::new(Opts::new("lentil_held", "What is held by kind"), &["kind"]);
        let held = held.expect("metric names and labels are valid");
        registry.register(Box::new(held.clone())).expect("metric names are unique");
        let opts = Opts::new("lentil_short_engines", "Engines that serve short prompts");
        let short_engines = IntGaugeVec::new(opts, &["target"]);
        let short_engines = short_engines.expect("metric names and labels are valid");
        registry.register(Box::new(short_engines.clone())).expect("metric names are unique");
        let rejections = IntCounterVec::new(
            Opts::new("lentil_queue_rejections_total", "Requests rejected by a target's queue"),
            &["level", "reason"],
        );
        let rejections = rejections.expect("metric names and labels are valid");
        registry.register(Box::new(rejections.clone())).expect("metric names are unique");
        let retries = IntCounterVec::new(
            Opts::new("lentil_retries_total", "Retries by target and by whether they were allowed"),
            &["target", "outcome"],
        );
        let retries = retries.expect("metric names and labels are valid");
        registry.register(Box::new(retries.clone())).expect("metric names are unique");
        let opts = Opts::new("lentil_retry_budget", "Retry budgets by target");
        let retry_budget = IntGaugeVec::new(opts, &["target", "kind"]);
        let retry_budget = retry_budget.expect("metric names and labels are valid");
        registry.register(Box::new(retry_budget.clone())).expect("metric names are unique");
        let opts = HistogramOpts::new("lentil_queue_wait_seconds", "Wait in a target's queue");
        let queue_wait = HistogramVec::new(opts.buckets(BUCKETS.to_vec()), &["level"]);
        let queue_wait = queue_wait.expect("metric names and labels are valid");
        registry.register(Box::new(queue_wait.clone())).expect("metric names are unique");
        let seconds = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let out = Histogram::with_opts(opts).expect("bucket bounds are in ascending order");
            registry.register(Box::new(out.clone())).expect("metric names are unique");
            out
        };
        let counter = |name: &str, help: &str| {
            let out = IntCounter::new(name, help).expect("metric names are valid");
            registry.register(Box::new(out.clone())).expect("metric names are unique");
            out
        };
        let gauge = |name: &str, help: &str| {
            let out = IntGauge::new(name, help).expect("metric names are valid");
            registry.register(Box::new(out.clone())).expect("metric names are unique");
            out
        };
        Self {
            requests: family("lentil_requests_total", "Requests by outcome", "outcome"),
            attempts: family("lentil_sends_total", "Sends to replicas by outcome", "outcome"),
            shared_tokens: family("lentil_shared_tokens_total", "Shared prompt tokens", "source"),
            platform_calls: family("lentil_platform_calls_total", "Platform calls", "outcome"),
            tracker_answers: family(
                "lentil_tracker_answers_total",
                "Questions to trackers of engines, by whether they were answered in time",
                "outcome",
            ),
            datagrams: family("lentil_datagrams_total", "Datagrams from and to peers", "kind"),
            timer_delay: seconds("lentil_timer_delay_seconds", "By which timers fire late"),
            verdict_changes: counter(
                "lentil_verdict_changes_total",
                "Changes of what counts as fatal to replicas",
            ),
            first_attempt: seconds("lentil_first_attempt_seconds", "Until the first attempt"),
            first_byte: seconds("lentil_first_byte_seconds", "Until the first byte is passed on"),
            answer_time: seconds("lentil_answer_seconds", "Until the end of an answer"),
            interrupted: family(
                "lentil_streams_interrupted_total",
                "Answers of replicas that ended early by cause",
                "cause",
            ),
            silent: family(
                "lentil_streams_silent_total",
                "Checks of replicas whose stream was silent by outcome",
                "outcome",
            ),
            resumed: counter("lentil_streams_resumed_total", "Streams resumed elsewhere"),
            config_rev: gauge("lentil_config_rev", "Revision of the configuration in force"),
            config_delay: seconds(
                "lentil_config_delay_seconds",
                "For which a newer configuration may have been unknown",
            ),
            store_returns: counter(
                "lentil_store_returns_total",
                "Returns of the platform's registry from an older copy",
            ),
            store_era: gauge("lentil_store_era", "Era of the platform's registry"),
            replica_ends: counter(
                "lentil_replica_ends_total",
                "Ends of replicas that were noticed",
            ),
            fatal_parts: gauge("lentil_fatal_parts", "Parts of prompts under which replicas end"),
            fatal_requests: gauge("lentil_fatal_requests", "Requests under which replicas end"),
            cut_off_targets: gauge(
                "lentil_cut_off_targets",
                "Targets of which no replica is reached",
            ),
            detours: family("lentil_detours_total", "Requests sent on to peers", "outcome"),
            limited_replicas: gauge(
                "lentil_limited_replicas",
                "Replicas that name a limit on requests",
            ),
            brittle_replicas: gauge(
                "lentil_brittle_replicas",
                "Replicas that say how many refusals they bear",
            ),
            cold_replicas: gauge("lentil_cold_replicas", "Replicas that count as cold"),
            evacuated_zones: gauge("lentil_evacuated_zones", "Zones to which no requests are sent"),
            retry_after: counter(
                "lentil_replica_retry_after_total",
                "Answers in which a replica named a time for which it wants no requests",
            ),
            leaving_said: counter(
                "lentil_leaving_said_total",
                "Replicas that said in an answer that they are leaving",
            ),
            full_replicas: counter(
                "lentil_full_replicas_total",
                "Times at which a replica that bears few refusals was found to be full",
            ),
            feed_polls: family("lentil_feed_polls_total", "Polls of readers by outcome", "outcome"),
            feed_answers: counter("lentil_feed_answers_total", "Answers to followers' polls"),
            malformed_loads: counter(
                "lentil_malformed_loads_total",
                "Replicas whose report of their load was malformed",
            ),
            short_engines,
            follows: gauge("lentil_follows_readers", "Whether this instance follows readers"),
            body_bytes: gauge("lentil_body_bytes", "Bytes held for request bodies"),
            rejected_clients: family(
                "lentil_clients_rejected_total",
                "Requests and connections given up for others by cause",
                "cause",
            ),
            ended,
            held,
            queue_wait,
            rejections,
            retries,
            retry_budget,
            registry,
        }
    }

    /// Records how long a request of a priority level waited in a target's queue.
    pub(crate) fn observe_wait(&self, level: u8, wait: Duration) {
        self.queue_wait.with_label_values(&[&*level.to_string()]).observe(wait.as_secs_f64());
    }

    /// The metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        // Writing to memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        out
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
