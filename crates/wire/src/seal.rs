//! Authentication of messages.
//!
//! Each message carries a keyed BLAKE3 digest over the format's version, its direction, the
//! sender, the receiver, the life of the sender's process and the question's number; an answer's
//! digest also covers the life of the asker. So a message can't be changed, sent to somebody else,
//! passed off as another instance's, or used as the answer to another question.
//!
//! Covered: a recorded answer is never taken twice, since a question's number is used once in an
//! asker's life. A recorded ping of a life that has answered a ping of ours is refused by its
//! number, which must grow. A recorded ping of an earlier life of its sender, also when we were
//! started anew and remember nothing, changes nothing: [`member::Members::on_ping`] believes a
//! life only once it has answered our own question.
//!
//! Not covered: the content is readable; a recorded question for changes is answered again; who
//! holds the key can speak for any instance; and after recordings of more than
//! [`LIVES`] lives of one sender were played, pings of its present life can be played again, which
//! can delay the detection of its death while the recording lasts.

use ident::{Boot, Digest, Name, Secret};

use crate::{CodecError, error::Field};

/// Version of the format; instances talk only to their own.
const VERSION: u8 = 1;

/// Lives of one sender whose numbers are remembered.
pub const LIVES: usize = 8;

const MAC_BYTES: usize = 16;
const BOOT_BYTES: usize = 16;

/// This end of every conversation.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub name: Name,
    /// The life of its process.
    pub boot: Boot,
    /// The deployment's secret for peers.
    pub secret: Secret,
}

/// A question that was opened.
#[derive(Debug)]
pub struct Question<'a> {
    /// The sender.
    pub from: Name,
    /// The life of the sender's process.
    pub boot: Boot,
    /// The question's number.
    pub seq: u64,
    /// The encoded message.
    pub body: &'a [u8],
}

/// Why a sealed message was not opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// It is cut short, of another version or holds a bad name.
    #[error("the message is garbled")]
    Garbled,
    /// The digest does not fit.
    #[error("the message is not authentic")]
    Forged,
}

impl From<CodecError> for OpenError {
    fn from(_: CodecError) -> Self {
        Self::Garbled
    }
}

impl Identity {
    /// Seals a question to `to`: version, length and name of the sender, boot, number, body, digest.
    pub fn ask(&self, to: &Name, seq: u64, body: &[u8]) -> Vec<u8> {
        let name = self.name.as_str().as_bytes();
        let len = u8::try_from(name.len()).expect("a name has at most 64 bytes");
        let mut out = Vec::with_capacity(2 + name.len() + 24 + body.len() + MAC_BYTES);
        out.extend([VERSION, len]);
        out.extend(name);
        out.extend(self.boot.0.to_be_bytes());
        out.extend(seq.to_be_bytes());
        out.extend(body);
        let mac = self.secret.mac(&[b"ask", to.as_str().as_bytes(), &out]);
        out.extend(mac.0);
        out
    }

    /// Opens a question to this instance.
    pub fn open_ask<'a>(&self, bytes: &'a [u8]) -> Result<Question<'a>, OpenError> {
        let (signed, mac) = split_mac(bytes)?;
        let parts = [b"ask", self.name.as_str().as_bytes(), signed];
        if !self.secret.verify(&parts, &mac) {
            return Err(OpenError::Forged);
        }
        let (&[version, len], rest) = signed.split_first_chunk().ok_or(OpenError::Garbled)?;
        check_version(version)?;
        let (name, rest) = rest.split_at_checked(usize::from(len)).ok_or(OpenError::Garbled)?;
        let name = std::str::from_utf8(name).map_err(|_| OpenError::Garbled)?;
        let from = Name::new(name).map_err(|_| OpenError::Garbled)?;
        let (boot, rest) = split_boot(rest)?;
        let (seq, body) = rest.split_first_chunk().ok_or(OpenError::Garbled)?;
        Ok(Question { from, boot, seq: u64::from_be_bytes(*seq), body })
    }

    /// Seals the answer to a question: version, boot, body, digest.
    pub fn answer(&self, to: &Name, asker: Boot, seq: u64, body: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(1 + BOOT_BYTES + body.len() + MAC_BYTES);
        out.push(VERSION);
        out.extend(self.boot.0.to_be_bytes());
        out.extend(body);
        let mac = self.answer_mac(&self.name, to, asker, seq, &out);
        out.extend(mac.0);
        out
    }

    /// Opens the answer of `from` to this instance's question `seq`.
    pub fn open_answer<'a>(
        &self,
        from: &Name,
        seq: u64,
        bytes: &'a [u8],
    ) -> Result<(Boot, &'a [u8]), OpenError> {
        let (signed, mac) = split_mac(bytes)?;
        let own = self.answer_mac(from, &self.name, self.boot, seq, signed);
        let same = own.0.iter().zip(mac.0).fold(0, |acc, (a, b)| acc | (a ^ b)) == 0;
        if !same {
            return Err(OpenError::Forged);
        }
        let (&[version], rest) = signed.split_first_chunk().ok_or(OpenError::Garbled)?;
        check_version(version)?;
        split_boot(rest)
    }

    fn answer_mac(&self, from: &Name, to: &Name, asker: Boot, seq: u64, signed: &[u8]) -> Digest {
        let (from, to) = (from.as_str().as_bytes(), to.as_str().as_bytes());
        let (asker, seq) = (asker.0.to_be_bytes(), seq.to_be_bytes());
        self.secret.mac(&[b"answer", from, to, &asker, &seq, signed])
    }
}

fn check_version(got: u8) -> Result<(), CodecError> {
    if got == VERSION { Ok(()) } else { Err(CodecError::Unknown { what: Field::Version, got }) }
}

fn split_mac(bytes: &[u8]) -> Result<(&[u8], Digest), OpenError> {
    let (signed, mac) = bytes.split_last_chunk().ok_or(OpenError::Garbled)?;
    Ok((signed, Digest(*mac)))
}

fn split_boot(bytes: &[u8]) -> Result<(Boot, &[u8]), OpenError> {
    let (boot, rest) = bytes.split_first_chunk().ok_or(OpenError::Garbled)?;
    Ok((Boot(u128::from_be_bytes(*boot)), rest))
}

/// The numbers of one sender's pings.
///
/// Invariant: at most [`LIVES`] lives, the one heard last at the end.
#[derive(Debug, Default)]
pub(crate) struct Numbers(Vec<(Boot, u64)>);

impl Numbers {
    /// Whether `seq` is higher than any before it in that life; it is remembered.
    pub(crate) fn take(&mut self, boot: Boot, seq: u64) -> bool {
        let held = self.0.iter().position(|(b, _)| *b == boot);
        let last = held.map_or(0, |at| self.0.remove(at).1);
        if self.0.len() == LIVES {
            self.0.remove(0);
        }
        self.0.push((boot, last.max(seq)));
        seq > last
    }
}
