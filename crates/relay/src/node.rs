//! Starts the tasks of an instance and runs it until it is told to stop.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use fleet::{Instance, Replica};
use ident::Time;
use rand::Rng;
use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    time::timeout,
};
use tracing::{info, warn};

use crate::{
    core::{Core, Listen},
    duty, feed, follow, holdings, links, origins, peers, retries,
    serve::{ListenerKind, listen},
    services::Topic,
    unacked::unacked_bytes,
    verdicts, zones,
};

/// Length of a listener's queue of pending connections.
const BACKLOG: i32 = 1024;
/// Pause between two sweeps that close unused connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the delay of timers is measured.
const TIMER_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a timer that is logged: half of the time within which a caller's leaving must reach the
/// replica.
const LONG_TIMER_DELAY: Duration = Duration::from_millis(250);
/// The process ends this long before the platform would kill it.
const GRACE_MARGIN: Duration = Duration::from_millis(250);
/// Requests without an answer are given up this long before the process ends, so that their callers
/// are told.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Interval at which a stopping instance checks whether its answers are written and acknowledged.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the grace period in which new requests are still accepted. Callers learn late that an
/// instance is stopping, and a request accepted later might not finish in time.
const ACCEPT_SHARE: f64 = 0.33;
/// Pause between attempts to register the instance. Once it is registered, its entry is checked at
/// six times this interval.
const REGISTER_INTERVAL: Duration = Duration::from_millis(500);
/// The instance registers again at a random moment within this time after the registry returned
/// from an older copy, so that the instances don't write all at once.
const RETURN_SPREAD: Duration = Duration::from_secs(2);

/// An error that keeps an instance from starting or running.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The instance can't listen on an address.
    #[error("can't listen on {addr}: {cause}; is another process using it?")]
    Listen {
        /// Address that could not be bound.
        addr: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The handler of a signal can't be installed.
    #[error("can't wait for signals: {0}")]
    Signals(std::io::Error),
}

/// Runs an instance until SIGTERM, then until its requests are complete or the grace period is
/// over.
pub async fn run(core: Arc<Core>) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut reload = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    let shutdown = async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = reload.recv() => info!("SIGHUP ignored: settings are read only at start"),
            }
        }
    };
    run_until(core, shutdown).await
}

/// Runs an instance until `shutdown` completes, then until its requests are complete or the grace
/// period is over.
pub async fn run_until<F>(core: Arc<Core>, shutdown: F) -> Result<(), RunError>
where
    F: Future<Output = ()>,
{
    let at = core.settings.listen;
    let front = bind(at.front)?;
    let ready = bind(at.ready)?;
    let directory = bind(at.directory)?;
    let peer_listener = bind(at.peer)?;
    // Requests can be served without the listener for metrics.
    let metrics = at.metrics.and_then(|addr| match bind(addr) {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(%error, "metrics listener could not be opened; running without it");
            None
        }
    });
    let socket = UdpSocket::bind(at.peer).await;
    let socket = Arc::new(socket.map_err(|cause| RunError::Listen { addr: at.peer, cause })?);
    core.peer_socket.get_or_init(|| socket.clone());
    info!(
        instance = %core.settings.name,
        zone = %core.settings.zone,
        front = %at.front,
        "instance started"
    );
    tokio::spawn(listen(core.clone(), front, ListenerKind::Front));
    tokio::spawn(listen(core.clone(), ready, ListenerKind::Info));
    tokio::spawn(listen(core.clone(), directory, ListenerKind::Info));
    if let Some(metrics) = metrics {
        tokio::spawn(listen(core.clone(), metrics, ListenerKind::Info));
    }
    tokio::spawn(listen(core.clone(), peer_listener, ListenerKind::Peer));
    tokio::spawn(peers::receive_loop(core.clone(), socket.clone()));
    tokio::spawn(peers::send_loop(core.clone(), socket.clone()));
    tokio::spawn(peers::evidence_loop(core.clone(), socket.clone()));
    for topic in Topic::ALL {
        tokio::spawn(follow::follow(core.clone(), topic));
    }
    tokio::spawn(feed::choose_role(core.clone()));
    tokio::spawn(feed::follow_parts(core.clone()));
    tokio::spawn(register(core.clone()));
    tokio::spawn(verdicts::load(core.clone()));
    tokio::spawn(origins::keep(core.clone()));
    tokio::spawn(duty::run(core.clone()));
    tokio::spawn(sweep(core.clone()));
    tokio::spawn(links::probe_loop(core.clone()));
    tokio::spawn(watch_timers(core.clone()));
    shutdown.await;
    stop(&core, &socket).await;
    Ok(())
}

async fn stop(core: &Arc<Core>, socket: &UdpSocket) {
    let start = core.now();
    core.leaving.store(true, Ordering::Relaxed);
    let active = core.active.load(Ordering::Relaxed);
    info!(active, "instance stopping, no longer ready");
    peers::send(core, socket, &peers::peer_addresses(core), "regular").await;
    let stopping = core.clone();
    tokio::spawn(async move {
        if let Err(error) = stopping.adapters.registry.deregister(&stopping.settings.name).await {
            warn!(%error, "registry entry of this instance could not be removed");
        }
    });
    let bounds = &core.settings.bounds;
    let end = start.after(bounds.grace.saturating_sub(GRACE_MARGIN));
    let close = start.after(bounds.grace.mul_f64(ACCEPT_SHARE));
    loop {
        let now = core.now();
        let idle = core.active.load(Ordering::Relaxed) == 0;
        if close.passed(now) {
            core.closing.send_replace(true);
        }
        if end.before(ANSWER_MARGIN).passed(now) {
            core.ending.send_replace(true);
        }
        if end.passed(now) || (idle && close.passed(now)) {
            break;
        }
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    let unacked = wait_for_acks(core, end).await;
    info!(active = core.active.load(Ordering::Relaxed), unacked, "instance stopped");
}

/// Waits until the other ends have acknowledged all that was written to connections, or until `end`.
/// What the kernel holds is lost if the machine goes away with the process. Returns the number of
/// bytes that are left; `None` if the kernel does not tell.
async fn wait_for_acks(core: &Core, end: Time) -> Option<u64> {
    let Listen { front, ready, directory, peer, .. } = core.settings.listen;
    loop {
        match unacked_bytes(&[front, ready, directory, peer]).await {
            Ok(bytes) if bytes == 0 || end.passed(core.now()) => return Some(bytes),
            Ok(_) => tokio::time::sleep(STOP_CHECK_INTERVAL).await,
            Err(error) => {
                warn!(%error, "the kernel does not tell which bytes are acknowledged");
                return None;
            }
        }
    }
}

/// Opens a listener with a long queue. Its address can be bound again at once after a restart.
fn bind(addr: SocketAddr) -> Result<TcpListener, RunError> {
    let listener = || {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    };
    listener().map_err(|cause| RunError::Listen { addr, cause })
}

/// Registers this instance, and registers it again when its entry is missing, and once when the
/// registry has returned from an older copy.
async fn register(core: Arc<Core>) {
    let me = Instance {
        name: core.settings.name.clone(),
        front: core.settings.listen.front,
        peer: core.settings.listen.peer,
        zone: core.settings.zone.clone(),
        leaving: false,
        boot: core.now().0,
    };
    let mut rises = core.returns.subscribe();
    // Era in which the entry was last written.
    let mut registered = None;
    while !core.is_leaving() {
        if core.returns.era().is_some() {
            core.observe_era();
        }
        let era = core.returns.era();
        let listed = core.view.snapshot().instances.iter().any(|i| **i == me);
        let missing = !listed && core.returns.is_read(Topic::Instances);
        if registered.is_none() || registered < era || missing {
            match core.adapters.registry.register(&me).await {
                Ok(()) => {
                    // The answer may be of a later era than the write.
                    let era = era.unwrap_or_else(|| core.adapters.registry.era());
                    registered = Some(era);
                    core.returns.note_own_row(era, core.now());
                }
                Err(error) => warn!(%error, "instance could not be registered"),
            }
        }
        let Some(known) = registered.filter(|r| Some(*r) >= core.returns.era()) else {
            tokio::time::sleep(REGISTER_INTERVAL).await;
            continue;
        };
        let rise = async { rises.wait_for(|era| *era > known).await.is_ok() };
        if timeout(REGISTER_INTERVAL * 6, rise).await == Ok(true) {
            let spread = rand::rng().random_range(0.0..1.0);
            tokio::time::sleep(RETURN_SPREAD.mul_f64(spread)).await;
        }
    }
}

/// Measures by how much timers fire late, logs long delays, and tells the retry budgets that the process
/// runs.
async fn watch_timers(core: Arc<Core>) {
    loop {
        let due = core.now().after(TIMER_INTERVAL);
        tokio::time::sleep(TIMER_INTERVAL).await;
        let delay = core.now().since(due);
        core.budgets.lock().record_running(core.now());
        core.metrics.timer_delay.observe(delay.as_secs_f64());
        if delay >= LONG_TIMER_DELAY {
            let active = core.active.load(Ordering::Relaxed);
            warn!(delay_ms = delay.as_millis() as u64, active, "timer fired late");
        }
    }
}

async fn sweep(core: Arc<Core>) {
    loop {
        let peers = core.limit_peers();
        core.limits.lock().set_peers(peers.clone());
        *core.tracker_peers.lock() = peers.clone();
        core.refusals.lock().set_peers(peers);
        zones::sweep(&core);
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let snapshot = core.view.snapshot();
        let now = core.now();
        let same = |r: &Replica, started_ms: u64| r.started_ms == started_ms;
        core.tracker.lock().expire(now);
        let mut limits = core.limits.lock();
        limits.retain(|id, started_ms| snapshot.replica(id).is_some_and(|r| same(r, started_ms)));
        core.metrics.limited_replicas.set(limits.count() as i64);
        drop(limits);
        let mut refusals = core.refusals.lock();
        refusals.retain(|id, started_ms| snapshot.replica(id).is_some_and(|r| same(r, started_ms)));
        core.metrics.brittle_replicas.set(refusals.count(now) as i64);
        drop(refusals);
        core.conns.sweep(|id| snapshot.replica(id).is_some(), now);
        core.peer_conns.sweep(|name| snapshot.instances.iter().any(|i| *i.name == *name), now);
        retries::record(&core);
        holdings::record(&core);
    }
}
