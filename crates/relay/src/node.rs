//! Assembles an instance and runs it until it is told to end.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use fleet::Instance;
use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
};
use tracing::{info, warn};

use crate::{
    core::Core,
    duty, follow,
    outside::Topic,
    peers,
    serve::{Door, listen},
};

/// Pending connections that a listener holds.
const BACKLOG: i32 = 1024;
/// Pause between two sweeps of unused connections.
const SWEEP: Duration = Duration::from_millis(500);
/// The process ends this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(250);
/// How long the last bytes of answers may take to be written.
const FLUSH_TERM: Duration = Duration::from_millis(60);
/// Share of the grace in which requests are still taken: callers learn late that an instance
/// leaves, and what is taken later might not end in time.
const TAKE_SHARE: f64 = 0.33;
/// Pause between attempts to register.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(500);

/// Why an instance can't start or run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address can't be listened on.
    #[error("can't listen on {addr}: {cause}; is another process using it?")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        cause: std::io::Error,
    },
    /// Signals can't be waited for.
    #[error("can't wait for signals: {0}")]
    Signals(std::io::Error),
}

/// Runs an instance until SIGTERM, and then until its requests are done or the grace is over.
pub async fn run(core: Arc<Core>) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut reload = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    let told = async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = reload.recv() => info!("reload asked for: settings are read at each start"),
            }
        }
    };
    run_until(core, told).await
}

/// Runs an instance until `told` ends, and then until its requests are done or the grace is over.
pub async fn run_until<F>(core: Arc<Core>, told: F) -> Result<(), RunError>
where
    F: Future<Output = ()>,
{
    let at = core.settings.listen;
    let front = bind(at.front)?;
    let ready = bind(at.ready)?;
    let directory = bind(at.directory)?;
    let handed = bind(at.peer)?;
    // Requests are served without metrics too.
    let metrics = at.metrics.and_then(|addr| match bind(addr) {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(%error, "metrics have no address of their own");
            None
        }
    });
    let peer = UdpSocket::bind(at.peer).await;
    let peer = Arc::new(peer.map_err(|cause| RunError::Listen { addr: at.peer, cause })?);
    info!(instance = %core.settings.name, zone = %core.settings.zone, front = %at.front, "started");
    tokio::spawn(listen(core.clone(), front, Door::Front));
    tokio::spawn(listen(core.clone(), ready, Door::Inquiry));
    tokio::spawn(listen(core.clone(), directory, Door::Inquiry));
    if let Some(metrics) = metrics {
        tokio::spawn(listen(core.clone(), metrics, Door::Inquiry));
    }
    tokio::spawn(listen(core.clone(), handed, Door::Peer));
    tokio::spawn(peers::hear(core.clone(), peer.clone()));
    tokio::spawn(peers::tell(core.clone(), peer.clone()));
    for topic in [Topic::Operator, Topic::Replicas, Topic::Instances] {
        tokio::spawn(follow::follow(core.clone(), topic));
    }
    tokio::spawn(announce(core.clone()));
    tokio::spawn(duty::run(core.clone()));
    tokio::spawn(sweep(core.clone()));
    told.await;
    stop(&core, &peer).await;
    Ok(())
}

async fn stop(core: &Arc<Core>, socket: &UdpSocket) {
    let start = core.now();
    core.leaving.store(true, Ordering::Relaxed);
    let active = core.active.load(Ordering::Relaxed);
    info!(active, "stopping: no longer ready");
    peers::send(core, socket, &peers::addresses(core)).await;
    let withdrawn = core.clone();
    tokio::spawn(async move {
        if let Err(error) = withdrawn.outside.registry.withdraw(&withdrawn.settings.name).await {
            warn!(%error, "this instance's entry was not removed");
        }
    });
    let bounds = &core.settings.bounds;
    let end = start.after(bounds.grace.saturating_sub(GRACE_MARGIN));
    let close = start.after(bounds.grace.mul_f64(TAKE_SHARE));
    loop {
        let now = core.now();
        let idle = core.active.load(Ordering::Relaxed) == 0;
        if close.passed(now) {
            core.closing.send_replace(true);
        }
        if end.passed(now) || (idle && close.passed(now)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The last bytes of an answer are written after its end is counted.
    tokio::time::sleep(FLUSH_TERM).await;
    info!(active = core.active.load(Ordering::Relaxed), "stopped");
}

/// A listener with a long queue, whose address may be used again at once after a restart.
fn bind(addr: SocketAddr) -> Result<TcpListener, RunError> {
    let open = || {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    };
    open().map_err(|cause| RunError::Listen { addr, cause })
}

/// Registers this instance, and again where its entry is missing.
async fn announce(core: Arc<Core>) {
    let me = Instance {
        name: core.settings.name.clone(),
        front: core.settings.listen.front,
        peer: core.settings.listen.peer,
        zone: core.settings.zone.clone(),
        leaving: false,
        boot: core.now().0,
    };
    let mut told = false;
    while !core.is_leaving() {
        let snapshot = core.view.get();
        let listed = snapshot.instances.iter().any(|i| **i == me);
        if !listed && (!told || !snapshot.instances.is_empty()) {
            match core.outside.registry.announce(&me).await {
                Ok(()) => told = true,
                Err(error) => warn!(%error, "this instance could not be registered"),
            }
        }
        let pause = if told { ANNOUNCE_PAUSE * 6 } else { ANNOUNCE_PAUSE };
        tokio::time::sleep(pause).await;
    }
}

async fn sweep(core: Arc<Core>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let snapshot = core.view.get();
        core.conns.sweep(|id| snapshot.replica(id).is_some(), core.now());
    }
}
