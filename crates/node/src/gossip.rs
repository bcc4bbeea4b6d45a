//! Exchanges messages with peers: heartbeats (pings and pongs) and configuration changes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use entry::Core;
use events::EventKind;
use ident::{Name, Rev};
use member::{Action, PeerState, Ping};
use tokio::time::{MissedTickBehavior, interval};
use wire::{Handler, Hub, Message};

use crate::follow::Follower;

/// Interval between two checks for heartbeats and state changes that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for the answer of a peer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Answers messages from peers.
pub struct PeerHandler {
    core: Arc<Core>,
    follower: Arc<Follower>,
}

impl PeerHandler {
    /// Creates the handler of an instance.
    pub fn new(core: Arc<Core>, follower: Arc<Follower>) -> Self {
        Self { core, follower }
    }
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, from: Name, message: Message) -> Option<Message> {
        match message {
            Message::Ping(ping) => {
                let now = self.core.now();
                let pong = self.core.members.lock().on_ping(&from, ping, now);
                Some(Message::Pong(pong))
            }
            Message::ChangesAsk { after } => {
                let list = wire::fit(self.follower.changes_after(after));
                Some(Message::Changes { list })
            }
            Message::Pong(_) | Message::Changes { .. } => None,
        }
    }
}

/// Sends heartbeats to peers until the process ends.
pub async fn run(core: Arc<Core>, follower: Arc<Follower>, hub: Arc<Hub>) {
    let gossip = Arc::new(Gossip { core, follower, hub });
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = gossip.core.now();
        let actions = gossip.core.members.lock().tick(now, gossip.core.random.next_u64());
        gossip.run_actions(actions);
    }
}

struct Gossip {
    core: Arc<Core>,
    follower: Arc<Follower>,
    hub: Arc<Hub>,
}

impl Gossip {
    fn run_actions(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Ping { to, addr, ping } => {
                    tokio::spawn(self.clone().ping(to, addr, ping));
                }
                Action::FetchChanges { from, addr, after } => {
                    tokio::spawn(self.clone().fetch(from, addr, after));
                }
                Action::Changed { peer, state } => self.record_change(peer, state),
                Action::Forget { peer } => self.hub.forget(&peer),
            }
        }
    }

    async fn ping(self: Arc<Self>, to: Name, addr: SocketAddr, ping: Ping) {
        let answer = self.hub.ask(&to, addr, Message::Ping(ping), ANSWER_TIMEOUT).await;
        let now = self.core.now();
        let actions = match answer {
            Ok(Message::Pong(pong)) => self.core.members.lock().on_pong(&to, pong, now),
            _ => {
                self.core.members.lock().on_ping_timeout(&to, now);
                return;
            }
        };
        self.run_actions(actions);
    }

    async fn fetch(self: Arc<Self>, from: Name, addr: SocketAddr, after: Rev) {
        let ask = Message::ChangesAsk { after };
        if let Ok(Message::Changes { list }) = self.hub.ask(&from, addr, ask, ANSWER_TIMEOUT).await
        {
            self.follower.apply(&list);
        }
    }

    /// Logs and records a change of a peer's state.
    fn record_change(&self, peer: Name, state: PeerState) {
        tracing::info!(%peer, ?state, "peer state changed");
        self.core.record(match state {
            PeerState::Live => EventKind::PeerUp { peer },
            PeerState::Suspect => EventKind::PeerSuspect { peer },
            PeerState::Leaving => EventKind::PeerLeaving { peer },
            PeerState::Down => EventKind::PeerDown { peer },
        });
    }
}
