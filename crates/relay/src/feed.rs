//! Knowledge of the registry and of stores that instances hand on to each other.
//!
//! Few instances read the sources; the others follow one of them. Any instance serves what it knows,
//! with the age of the source's word, so that a follower can tell a reader that has nothing newer
//! from one that is cut off.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use ::feed::{Delta, Log, Member, Readers, Role};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use ident::Time;
use parking_lot::Mutex;
use place::HeldPart;
use table::Version;
use tokio::{sync::watch, time::timeout};
use tracing::{info, warn};

use crate::{
    answer::{Body, full_body, json_response},
    conns::SendError,
    core::{Core, StoreCatalog},
    detour::Open,
    feed_wire::{self, PartsPoll, PartsWire, TopicWire, max_age},
    loads,
    services::{Batch, Topic, Update},
};

/// Path under which a peer serves a topic; its name follows.
const TOPIC_PATH: &str = "/feed/";
/// Path at which a peer serves the catalogs of stores.
const PARTS_PATH: &str = "/parts";
/// Longest wait of a poll for a change. Each answer also confirms what is known.
const FEED_WAIT: Duration = Duration::from_millis(800);
/// The same for instances, which are no matter of a few hundred ms.
const INSTANCES_WAIT: Duration = Duration::from_millis(2000);
/// Timeout of a poll, in addition to its wait.
const FEED_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an instance has to ask its sources again after the first follower's poll. Until then its
/// own polls wait longer than a word may be old.
const FIRST_ANSWER_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a follower asks for changes of the stores' catalogs.
const PARTS_INTERVAL: Duration = Duration::from_millis(250);
/// Most connections of followers' polls to a reader.
const MAX_CONNS: u32 = 64;
/// Longest answer of a reader, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Event polls at a store that are reserved for clients other than instances.
const RESERVED_POLLS: u32 = 2;
/// Event polls that a store is assumed to take where the configuration names no store.
const DEFAULT_POLLS: u32 = 12;
/// Interval at which the roles are decided anew.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time since the start within which instances count as members that were not heard yet.
const START_GRACE: Duration = Duration::from_secs(10);

/// Rows of one topic by key. The value is the encoded row; see [`feed_wire`].
struct TopicFeed {
    log: Log<Arc<str>>,
    /// The registry's clock when it last confirmed the rows, in ms.
    clock: u64,
}

/// What an instance serves to its followers, and whom it follows itself.
pub(crate) struct Feeds {
    topics: [Mutex<TopicFeed>; Topic::ALL.len()],
    /// Counts the changes of each topic.
    news: [watch::Sender<u64>; Topic::ALL.len()],
    readers: Mutex<Readers>,
    started: Time,
    /// When the first follower asked; `None` until then.
    followed_since: watch::Sender<Option<Time>>,
    /// Whether the source of each topic did not answer the last call.
    failing: [AtomicBool; Topic::ALL.len()],
}

/// An answer of a reader.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) batch: Batch,
    /// Changed rows by key as the reader sent them; `None` for removed ones.
    pub(crate) rows: Vec<(Arc<str>, Option<Arc<str>>)>,
    /// Whether the batch has all rows.
    pub(crate) full: bool,
    /// Age of the source's word at the reader.
    pub(crate) age: Duration,
    /// Whether the reader's source no longer answers it, or its word is too old.
    pub(crate) is_old: bool,
}

impl Feeds {
    pub(crate) fn new(started: Time) -> Self {
        let topic = || Mutex::new(TopicFeed { log: Log::default(), clock: 0 });
        Self {
            topics: [topic(), topic(), topic()],
            news: [(); Topic::ALL.len()].map(|()| watch::Sender::new(0)),
            readers: Mutex::default(),
            started,
            followed_since: watch::Sender::new(None),
            failing: Default::default(),
        }
    }

    /// Records rows of a topic as of `next`, confirmed at `clock` of the registry.
    pub(crate) fn record(
        &self,
        topic: Topic,
        rows: Vec<(Arc<str>, Option<Arc<str>>)>,
        full: bool,
        next: Version,
        clock: u64,
    ) {
        let mut feed = self.topics[topic as usize].lock();
        let known = feed.log.position();
        if known.is_some_and(|known| known.era == next.era) {
            feed.clock = feed.clock.max(clock);
        } else {
            feed.clock = clock;
        }
        if full {
            let rows = rows.into_iter().filter_map(|(key, row)| Some((key, row?))).collect();
            feed.log.replace(rows, next);
        } else if !feed.log.apply(rows, next) {
            feed.log.clear();
        }
        drop(feed);
        self.news[topic as usize].send_modify(|n| *n += 1);
    }

    /// Position of the rows of a topic that this instance serves.
    pub(crate) fn position(&self, topic: Topic) -> Option<Version> {
        self.topics[topic as usize].lock().log.position()
    }

    /// The reader that this instance follows; `None` if it must ask the sources itself.
    pub(crate) fn reader(&self, now: Time) -> Option<Arc<str>> {
        self.readers.lock().choose(now)
    }

    /// When this process started.
    pub(crate) fn started(&self) -> Time {
        self.started
    }

    /// Whether other instances read the sources for this one.
    pub(crate) fn follows(&self) -> bool {
        self.readers.lock().follows()
    }

    /// Records whether the source of a topic answered the last call, and tells followers that wait if
    /// it no longer does.
    pub(crate) fn set_failing(&self, topic: Topic, failing: bool) {
        let was_failing = self.failing[topic as usize].swap(failing, Ordering::Relaxed);
        if failing && !was_failing {
            self.news[topic as usize].send_modify(|n| *n += 1);
        }
    }

    /// Whether other instances follow this one.
    pub(crate) fn has_followers(&self) -> bool {
        self.followed_since.borrow().is_some()
    }

    /// Completes when the first follower has asked.
    pub(crate) async fn first_follower(&self) {
        // An error means that the instance ends.
        let _ = self.followed_since.subscribe().wait_for(Option::is_some).await;
    }

    /// Records a follower's poll. Returns when the first one came. An instance that asks once, since
    /// the registry does not answer it, is no follower.
    fn note_follower(&self, query: &str, now: Time) -> Time {
        if feed_wire::is_single(query) {
            return self.followed_since.borrow().unwrap_or(now);
        }
        self.followed_since.send_if_modified(|since| since.replace(since.unwrap_or(now)).is_none());
        self.followed_since.borrow().unwrap_or(now)
    }

    /// Records that a reader did not answer.
    fn failed(&self, reader: &Arc<str>, now: Time) {
        self.readers.lock().failed(reader, now);
    }

    /// Leaves a reader whose word is too old.
    pub(crate) fn stale(&self, reader: &Arc<str>, now: Time) {
        self.readers.lock().stale(reader, now);
    }

    /// Prefers readers that are left to the registry, which did not answer.
    pub(crate) fn registry_failed(&self, now: Time) {
        self.readers.lock().source_failed(now);
    }

    /// Follows readers again that were left while the registry was away.
    pub(crate) fn registry_returned(&self) {
        self.readers.lock().source_returned();
    }
}

/// The instances among which readers are chosen.
fn members(core: &Core) -> Vec<Member> {
    let snapshot = core.view.snapshot();
    let young = core.now().since(core.feeds.started) < START_GRACE;
    let own = &core.settings.name;
    let is_member = |i: &&Arc<fleet::Instance>| {
        !i.leaving && (i.name == *own || young || core.is_heard(&i.name))
    };
    let member = |i: &Arc<fleet::Instance>| Member { name: i.name.clone(), zone: i.zone.clone() };
    let mut members: Vec<Member> =
        snapshot.instances.iter().filter(is_member).map(member).collect();
    if members.iter().all(|m| m.name != *own) {
        members.push(Member { name: own.clone(), zone: core.settings.zone.clone() });
    }
    members
}

/// Decides this instance's role, again and again.
pub(crate) async fn choose_role(core: Arc<Core>) {
    let own = Member { name: core.settings.name.clone(), zone: core.settings.zone.clone() };
    let mut known = Role::Reader;
    loop {
        let config = core.view.snapshot().config.clone();
        let managed = config.iter().flat_map(|c| &c.stores).filter(|s| s.managed);
        let polls = managed.map(|s| s.max_polls.saturating_sub(RESERVED_POLLS)).min();
        let members = members(&core);
        let polls = polls.unwrap_or(DEFAULT_POLLS) as usize;
        let role = Role::new(&own, &members, polls);
        if role != known {
            core.feeds.readers.lock().set(role.clone());
            let readers = match &role {
                Role::Reader => &[][..],
                Role::Follower(readers) => readers,
            };
            let count = members.len();
            core.metrics.follows.set(i64::from(!readers.is_empty()));
            info!(
                instances = count,
                polls,
                ?readers,
                "readers to follow chosen; none: reads itself"
            );
            known = role;
        }
        tokio::time::sleep(ROLE_INTERVAL).await;
    }
}

/// Answers a follower's poll; `None` if the path is of no feed.
pub(crate) async fn answer(core: &Core, request: &Request<Incoming>) -> Option<Response<Body>> {
    let (path, query) = (request.uri().path(), request.uri().query().unwrap_or_default());
    if path == PARTS_PATH {
        return Some(parts_answer(core, query));
    }
    let name = path.strip_prefix(TOPIC_PATH)?;
    let topic = Topic::ALL.into_iter().find(|t| t.name() == name)?;
    let (position, wait) = feed_wire::parse_poll(query);
    let followed_since = core.feeds.note_follower(query, core.now());
    let end = core.now().after(wait.min(INSTANCES_WAIT));
    let mut news = core.feeds.news[topic as usize].subscribe();
    loop {
        news.borrow_and_update();
        let (delta, clock) = {
            let feed = core.feeds.topics[topic as usize].lock();
            (feed.log.since(position), feed.clock)
        };
        let now = core.now();
        let Some(delta) = delta else {
            let body = core.adapters.protocol.error_body("the topic was not read yet");
            return Some(json_response(StatusCode::SERVICE_UNAVAILABLE, body));
        };
        let known = *core.registry_clock.lock();
        let age_ms = known.to_registry(now).map_or(0, |at| at.saturating_sub(clock));
        let left = max_age(topic).saturating_sub(Duration::from_millis(age_ms));
        let failing = core.feeds.failing[topic as usize].load(Ordering::Relaxed);
        let renewal = followed_since.after(FIRST_ANSWER_DELAY).since(now);
        let is_renewed = left.is_zero() && !failing && !renewal.is_zero();
        let is_old = failing || left.is_zero();
        let is_due = !delta.is_empty() || is_old || end.passed(now) || core.is_leaving();
        if is_due && !is_renewed {
            core.metrics.feed_answers.inc();
            let wire = TopicWire::new(delta, clock, age_ms, failing);
            let bytes = serde_json::to_vec(&wire).unwrap_or_default();
            return Some(Response::new(full_body(bytes.into())));
        }
        // An error means that the instance ends. A word that gets too old is told at once.
        let longest = if is_renewed { renewal } else { end.since(now).min(left) };
        let _ = timeout(longest, news.changed()).await;
    }
}

/// Asks a reader for what follows `position` of a topic, and waits up to `longest` for a change.
/// `single` says that this instance does not follow it.
pub(crate) async fn poll(
    core: &Core,
    reader: &Arc<str>,
    topic: Topic,
    position: Option<Version>,
    longest: Duration,
    single: bool,
) -> Option<Answer> {
    let wait = match topic {
        Topic::Instances => INSTANCES_WAIT,
        Topic::Operator | Topic::Replicas => FEED_WAIT,
    };
    let wait = wait.min(longest);
    let query = feed_wire::poll_query(position, wait, single);
    let path = format!("{TOPIC_PATH}{}?{query}", topic.name());
    let bytes = fetch(core, reader, &path, wait + FEED_TIMEOUT).await?;
    let wire: TopicWire = match serde_json::from_slice(&bytes) {
        Ok(wire) => wire,
        Err(error) => {
            warn!(reader = &**reader, %error, "answer of a reader could not be decoded");
            core.feeds.failed(reader, core.now());
            return None;
        }
    };
    let Delta { full, rows, removed, next } = wire.delta();
    let mut updates: Vec<Update> = Vec::with_capacity(rows.len() + removed.len());
    for (key, row) in &rows {
        match feed_wire::decode(row, &*core.adapters.registry) {
            Ok(update) => updates.push(update),
            // Rows of later releases are handed on as they are.
            Err(error) => warn!(reader = &**reader, %key, %error, "row of a reader skipped"),
        }
    }
    updates.extend(removed.iter().filter_map(|key| feed_wire::removal(topic, key)));
    let rows = rows.into_iter().map(|(key, row)| (key, Some(row)));
    let rows = rows.chain(removed.into_iter().map(|key| (key, None))).collect();
    let batch = Batch { updates, next, clock: wire.clock };
    let age = Duration::from_millis(wire.age_ms);
    Some(Answer { batch, rows, full, age, is_old: wire.failing || age >= max_age(topic) })
}

/// Reads the answer of a reader. `None` if there is none; the reader is left for some time then, and
/// kept connections to all peers are closed, since those that are silent went so together.
async fn fetch(core: &Core, reader: &Arc<str>, path: &str, limit: Duration) -> Option<Bytes> {
    let (now, snapshot) = (core.now(), core.view.snapshot());
    let found = snapshot.instances.binary_search_by(|i| i.name.cmp(reader)).ok();
    let outcome = match found {
        Some(at) => {
            let addr = snapshot.instances[at].peer;
            let exchange = exchange(core, reader, addr, path);
            timeout(limit, exchange).await.unwrap_or(Err(SendError::Connect("no answer".into())))
        }
        None => Err(SendError::Connect("the instance is not registered".into())),
    };
    let kind = if outcome.is_ok() { "answered" } else { "failed" };
    core.metrics.feed_polls.with_label_values(&[kind]).inc();
    match outcome {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            let waited_ms = core.now().since(now).as_millis() as u64;
            info!(reader = &**reader, path, waited_ms, %error, "reader left, it did not answer");
            core.feeds.failed(reader, core.now());
            core.peer_conns.close_kept();
            None
        }
    }
}

async fn exchange(
    core: &Core,
    reader: &Arc<str>,
    addr: SocketAddr,
    path: &str,
) -> Result<Bytes, SendError> {
    let broken = |e: &dyn std::fmt::Display| SendError::Broken(e.to_string().into());
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().map_err(|e| broken(&e))?;
    let host = hyper::header::HeaderValue::from_str(&addr.to_string());
    request.headers_mut().insert(hyper::header::HOST, host.map_err(|e| broken(&e))?);
    let sent = core.peer_conns.send(reader, addr, MAX_CONNS, request, &Open, core.now()).await;
    let (response, conn) = sent?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|e| broken(&e))?;
    core.peer_conns.keep(conn, &head.headers, core.now());
    match head.status.is_success() {
        true => Ok(body.to_bytes()),
        false => Err(SendError::Broken(head.status.as_str().into())),
    }
}

/// Answers with what changed in the catalogs of stores, and with replicas' loads.
fn parts_answer(core: &Core, query: &str) -> Response<Body> {
    let poll = PartsPoll::parse(query);
    let now = core.now();
    loads::merge(core, &poll.loads, &poll.figures, now);
    let (reports, seen) = core.pool.lock().reports_since(poll.seen, true);
    let (loads, figures) = loads::encode(reports, now);
    let mut wire = PartsWire::new(seen, loads, figures);
    for entry in core.catalogs.lock().iter() {
        let tag = feed_wire::store_tag(&entry.store.name);
        let found = poll.positions.binary_search_by_key(&tag, |(tag, _)| *tag);
        let position = found.ok().map(|at| poll.positions[at].1);
        // A catalog that is not fresh is of no use to a follower either.
        if let Some(delta) = entry.log.since(position).filter(|_| entry.catalog.is_fresh(now)) {
            let age = now.since(entry.catalog.asked_at());
            wire.push(tag, delta, entry.catalog.clock_ms(), age);
        }
    }
    core.metrics.feed_answers.inc();
    Response::new(full_body(serde_json::to_vec(&wire).unwrap_or_default().into()))
}

/// Keeps the catalogs of stores and the loads of replicas up to date from a reader, while this
/// instance is none.
pub(crate) async fn follow_parts(core: Arc<Core>) {
    // The reader that answered last, and the numbers of the last reports, its own and this
    // instance's, that went over.
    let (mut followed, mut seen, mut sent) = (None, 0, 0);
    loop {
        tokio::time::sleep(PARTS_INTERVAL).await;
        let Some(reader) = core.feeds.reader(core.now()) else { continue };
        if followed.as_ref() != Some(&reader) {
            (followed, seen) = (Some(reader.clone()), 0);
        }
        let positions: Vec<(u64, Version)> = {
            let catalogs = core.catalogs.lock();
            let position =
                |s: &StoreCatalog| Some((feed_wire::store_tag(&s.store.name), s.log.position()?));
            catalogs.iter().filter_map(position).collect()
        };
        let asked_at = core.now();
        let (reports, newest) = core.pool.lock().reports_since(sent, false);
        let (loads, figures) = loads::encode(reports, asked_at);
        let poll = PartsPoll { positions, seen, loads, figures };
        let path = format!("{PARTS_PATH}?{}", poll.query());
        let Some(bytes) = fetch(&core, &reader, &path, FEED_TIMEOUT).await else { continue };
        sent = newest;
        match serde_json::from_slice::<PartsWire>(&bytes) {
            Ok(wire) => {
                seen = wire.seen;
                loads::merge(&core, &wire.loads, &wire.figures, asked_at);
                apply_parts(&core, wire, &poll.positions, asked_at);
            }
            Err(error) => {
                warn!(reader = &*reader, %error, "catalogs of a reader could not be decoded");
                core.feeds.failed(&reader, core.now());
            }
        }
    }
}

/// Applies a reader's answer to a poll that was sent at `asked_at` with `positions`.
fn apply_parts(core: &Core, wire: PartsWire, positions: &[(u64, Version)], asked_at: Time) {
    // This instance may have become a reader meanwhile.
    if !core.feeds.follows() {
        return;
    }
    let mut catalogs = core.catalogs.lock();
    for store in wire.stores {
        let tag = store.tag;
        let found = catalogs.iter_mut().find(|s| feed_wire::store_tag(&s.store.name) == tag);
        let Some(entry) = found else { continue };
        let asked = positions.iter().find(|(known, _)| *known == tag).map(|(_, at)| *at);
        if entry.log.position() != asked {
            continue;
        }
        let as_of = asked_at.before(Duration::from_millis(store.age_ms));
        let clock = store.clock;
        let delta: Delta<HeldPart> = store.delta();
        entry.apply_delta(delta, clock, as_of);
    }
}
