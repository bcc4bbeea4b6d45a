//! Exchanges with peers: pings, answers to pings, and configuration changes handed on.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use entry::Core;
use events::EventKind;
use ident::{Name, Rev};
use member::{Action, PeerState, Ping};
use tokio::time::{MissedTickBehavior, interval};
use wire::{Handler, Hub, Message};

use crate::follow::Follower;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(200);
/// Longest wait for a peer's answer.
const ANSWER_TERM: Duration = Duration::from_millis(1500);

/// Answers peers.
pub struct PeerHandler {
    core: Arc<Core>,
    follower: Arc<Follower>,
}

impl PeerHandler {
    /// A handler for one instance.
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

/// Pings peers, until the process ends.
pub async fn run(core: Arc<Core>, follower: Arc<Follower>, hub: Arc<Hub>) {
    let gossip = Arc::new(Gossip { core, follower, hub });
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = gossip.core.now();
        let actions = gossip.core.members.lock().tick(now, gossip.core.draws.draw());
        gossip.act(actions);
    }
}

struct Gossip {
    core: Arc<Core>,
    follower: Arc<Follower>,
    hub: Arc<Hub>,
}

impl Gossip {
    fn act(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Ping { to, addr, ping } => {
                    tokio::spawn(self.clone().ping(to, addr, ping));
                }
                Action::FetchChanges { from, addr, after } => {
                    tokio::spawn(self.clone().fetch(from, addr, after));
                }
                Action::Changed { peer, state } => self.note(peer, state),
                Action::Forget { peer } => self.hub.forget(&peer),
            }
        }
    }

    async fn ping(self: Arc<Self>, to: Name, addr: SocketAddr, ping: Ping) {
        let answer = self.hub.ask(&to, addr, Message::Ping(ping), ANSWER_TERM).await;
        let now = self.core.now();
        let actions = match answer {
            Ok(Message::Pong(pong)) => self.core.members.lock().on_pong(&to, pong, now),
            _ => {
                self.core.members.lock().on_silent(&to, now);
                return;
            }
        };
        self.act(actions);
    }

    async fn fetch(self: Arc<Self>, from: Name, addr: SocketAddr, after: Rev) {
        let ask = Message::ChangesAsk { after };
        if let Ok(Message::Changes { list }) = self.hub.ask(&from, addr, ask, ANSWER_TERM).await {
            self.follower.apply(&list);
        }
    }

    fn note(&self, peer: Name, state: PeerState) {
        tracing::info!(%peer, ?state, "peer changed");
        self.core.record(match state {
            PeerState::Live => EventKind::PeerUp { peer },
            PeerState::Suspect => EventKind::PeerSuspect { peer },
            PeerState::Leaving => EventKind::PeerLeaving { peer },
            PeerState::Down => EventKind::PeerDown { peer },
        });
    }
}
