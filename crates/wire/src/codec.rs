//! Binary encoding of the messages between instances.

use conf::Change;
use ident::{Boot, Name, Rev};
use member::{MAX_UPDATES, PeerState, PeerUpdate, Ping, Pong, Status};
use serde::{Deserialize, Serialize};

use crate::{CodecError, Message, error::Field};

const LEAVING_FLAG: u8 = 1;
const FRESH_FLAG: u8 = 2;
const TABLE_FLAG: u8 = 4;

/// Most bytes that the length prefix of an encoded change takes.
const MAX_LENGTH_BYTES: usize = 3;

/// Encodes a message.
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    Ok(postcard::to_stdvec(&MessageWire::from(message))?)
}

/// Decodes a message. `boot` identifies the sender's process; it comes from the seal, since the
/// encoded message does not contain it.
pub fn decode(bytes: &[u8], boot: Boot) -> Result<Message, CodecError> {
    Message::try_from((postcard::from_bytes::<MessageWire>(bytes)?, boot))
}

/// Returns an upper bound of the encoded size of a change, in bytes.
pub(crate) fn change_bytes(change: &Change) -> usize {
    MAX_LENGTH_BYTES + change.to_json().len()
}

#[derive(Serialize, Deserialize)]
enum MessageWire {
    Ping(HeartbeatWire),
    Pong(HeartbeatWire),
    ChangesAsk(u64),
    /// Each change is encoded as JSON like a row of the change log, which other releases can
    /// read.
    Changes(Vec<Vec<u8>>),
}

/// A ping or a pong. The sender's boot is part of the seal.
#[derive(Serialize, Deserialize)]
#[serde(rename = "TalkWire")]
struct HeartbeatWire {
    incarnation: u64,
    seen: u64,
    flags: u8,
    rev: u64,
    age: Option<u32>,
    load: u16,
    news: Vec<UpdateWire>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename = "NewsWire")]
struct UpdateWire {
    name: String,
    incarnation: u64,
    state: u8,
}

impl From<&Message> for MessageWire {
    fn from(message: &Message) -> Self {
        match message {
            Message::Ping(p) => Self::Ping(HeartbeatWire::from((&p.status, p.updates.as_slice()))),
            Message::Pong(p) => Self::Pong(HeartbeatWire::from((&p.status, p.updates.as_slice()))),
            Message::ChangesAsk { after } => Self::ChangesAsk(after.0),
            Message::Changes { list } => Self::Changes(list.iter().map(Change::to_json).collect()),
        }
    }
}

impl TryFrom<(MessageWire, Boot)> for Message {
    type Error = CodecError;

    fn try_from((wire, boot): (MessageWire, Boot)) -> Result<Self, CodecError> {
        Ok(match wire {
            MessageWire::Ping(heartbeat) => {
                let (status, news) = heartbeat.into_parts(boot)?;
                Self::Ping(Ping { status, updates: news })
            }
            MessageWire::Pong(heartbeat) => {
                let (status, news) = heartbeat.into_parts(boot)?;
                Self::Pong(Pong { status, updates: news })
            }
            MessageWire::ChangesAsk(after) => Self::ChangesAsk { after: Rev(after) },
            MessageWire::Changes(list) => Self::Changes {
                list: list.iter().map(|c| Change::from_json(c)).collect::<Result<_, _>>()?,
            },
        })
    }
}

impl From<(&Status, &[PeerUpdate])> for HeartbeatWire {
    fn from((status, news): (&Status, &[PeerUpdate])) -> Self {
        let flag = |set: bool, bit: u8| if set { bit } else { 0 };
        Self {
            incarnation: status.incarnation,
            seen: status.acknowledged,
            flags: flag(status.leaving, LEAVING_FLAG)
                | flag(status.takes_work, FRESH_FLAG)
                | flag(status.table_reachable, TABLE_FLAG),
            rev: status.rev.0,
            age: status.age_ms,
            load: status.load,
            news: news.iter().map(UpdateWire::from).collect(),
        }
    }
}

impl HeartbeatWire {
    fn into_parts(self, boot: Boot) -> Result<(Status, Vec<PeerUpdate>), CodecError> {
        if self.news.len() > MAX_UPDATES {
            return Err(CodecError::TooManyUpdates(self.news.len()));
        }
        let status = Status {
            boot,
            incarnation: self.incarnation,
            acknowledged: self.seen,
            leaving: self.flags & LEAVING_FLAG != 0,
            takes_work: self.flags & FRESH_FLAG != 0,
            table_reachable: self.flags & TABLE_FLAG != 0,
            rev: Rev(self.rev),
            age_ms: self.age,
            load: self.load,
        };
        let news = self.news.into_iter().map(PeerUpdate::try_from).collect::<Result<_, _>>()?;
        Ok((status, news))
    }
}

impl From<&PeerUpdate> for UpdateWire {
    fn from(news: &PeerUpdate) -> Self {
        let state = match news.state {
            PeerState::Live => 0,
            PeerState::Suspect => 1,
            PeerState::Leaving => 2,
            PeerState::Down => 3,
        };
        Self { name: news.name.as_str().to_owned(), incarnation: news.incarnation, state }
    }
}

impl TryFrom<UpdateWire> for PeerUpdate {
    type Error = CodecError;

    fn try_from(wire: UpdateWire) -> Result<Self, CodecError> {
        let state = match wire.state {
            0 => PeerState::Live,
            1 => PeerState::Suspect,
            2 => PeerState::Leaving,
            3 => PeerState::Down,
            value => return Err(CodecError::UnknownValue { field: Field::State, value }),
        };
        Ok(Self { name: Name::new(&wire.name)?, incarnation: wire.incarnation, state })
    }
}
