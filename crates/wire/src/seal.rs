//! Authentication of messages.
//!
//! Each message carries a keyed BLAKE3 digest over the format version, the direction (request or
//! response), the sender, the receiver, the boot of the sender's process and the sequence number
//! of the request; the digest of a response also covers the boot of the requester. So a message
//! can't be altered, sent to another receiver, passed off as another instance's, or used as the
//! response to another request.
//!
//! Protected: a recorded response is never accepted twice, since a requester uses each sequence
//! number once per boot. A replayed ping of a boot that has answered one of our pings is rejected
//! by its sequence number, which must grow. A replayed ping of an earlier boot of its sender has no
//! effect, even after a restart of this instance, which loses all sequence numbers:
//! [`member::Members::on_ping`] trusts a boot only after it has answered a ping of ours.
//!
//! Not protected: the content is readable; a replayed request for changes is answered again; a
//! holder of the key can impersonate any instance; and once pings of more than [`MAX_BOOTS`] boots
//! of one sender were replayed, pings of its current boot can be replayed too. That can delay the
//! detection of the sender's death for as long as the recording lasts.

use ident::{Boot, Digest, Name, Secret};

use crate::{CodecError, error::Field};

/// Version of the message format. Messages of other versions are rejected.
const VERSION: u8 = 1;

/// Most boots of one sender whose sequence numbers are kept.
pub const MAX_BOOTS: usize = 8;

const MAC_BYTES: usize = 16;
const BOOT_BYTES: usize = 16;

/// Identity with which this instance seals and opens messages.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub name: Name,
    /// Boot of the instance's process.
    pub boot: Boot,
    /// The secret that all instances of the deployment share.
    pub secret: Secret,
}

/// A request whose seal was verified.
#[derive(Debug)]
pub struct OpenedRequest<'a> {
    /// Name of the sender.
    pub from: Name,
    /// Boot of the sender's process.
    pub boot: Boot,
    /// Sequence number of the request, unique per boot of the sender.
    pub seq: u64,
    /// The encoded message.
    pub body: &'a [u8],
}

/// Why a sealed message was not opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The message is truncated, has another format version or holds an invalid name.
    #[error("the message is malformed")]
    Malformed,
    /// The digest does not match the message, its sender, its receiver and the shared secret.
    #[error("the message is not authentic")]
    NotAuthentic,
}

impl From<CodecError> for OpenError {
    fn from(_: CodecError) -> Self {
        Self::Malformed
    }
}

impl Identity {
    /// Seals a request to `to`. The layout is: version, length and name of the sender, boot,
    /// sequence number, body, digest.
    pub fn seal_request(&self, to: &Name, seq: u64, body: &[u8]) -> Vec<u8> {
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

    /// Verifies and opens a request to this instance.
    pub fn open_request<'a>(&self, bytes: &'a [u8]) -> Result<OpenedRequest<'a>, OpenError> {
        let (signed, mac) = split_mac(bytes)?;
        let parts = [b"ask", self.name.as_str().as_bytes(), signed];
        if !self.secret.verify(&parts, &mac) {
            return Err(OpenError::NotAuthentic);
        }
        let (&[version, len], rest) = signed.split_first_chunk().ok_or(OpenError::Malformed)?;
        check_version(version)?;
        let (name, rest) = rest.split_at_checked(usize::from(len)).ok_or(OpenError::Malformed)?;
        let name = std::str::from_utf8(name).map_err(|_| OpenError::Malformed)?;
        let from = Name::new(name).map_err(|_| OpenError::Malformed)?;
        let (boot, rest) = split_boot(rest)?;
        let (seq, body) = rest.split_first_chunk().ok_or(OpenError::Malformed)?;
        Ok(OpenedRequest { from, boot, seq: u64::from_be_bytes(*seq), body })
    }

    /// Seals the response to the request `seq` that the process `requester` of `to` sent. The
    /// layout is: version, boot, body, digest.
    pub fn seal_response(&self, to: &Name, requester: Boot, seq: u64, body: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(1 + BOOT_BYTES + body.len() + MAC_BYTES);
        out.push(VERSION);
        out.extend(self.boot.0.to_be_bytes());
        out.extend(body);
        let mac = self.response_mac(&self.name, to, requester, seq, &out);
        out.extend(mac.0);
        out
    }

    /// Verifies and opens the response of `from` to this instance's request `seq`. Returns the
    /// boot of the sender and the encoded message.
    pub fn open_response<'a>(
        &self,
        from: &Name,
        seq: u64,
        bytes: &'a [u8],
    ) -> Result<(Boot, &'a [u8]), OpenError> {
        let (signed, mac) = split_mac(bytes)?;
        let expected = self.response_mac(from, &self.name, self.boot, seq, signed);
        let same = expected.0.iter().zip(mac.0).fold(0, |acc, (a, b)| acc | (a ^ b)) == 0;
        if !same {
            return Err(OpenError::NotAuthentic);
        }
        let (&[version], rest) = signed.split_first_chunk().ok_or(OpenError::Malformed)?;
        check_version(version)?;
        split_boot(rest)
    }

    fn response_mac(
        &self,
        from: &Name,
        to: &Name,
        requester: Boot,
        seq: u64,
        signed: &[u8],
    ) -> Digest {
        let (from, to) = (from.as_str().as_bytes(), to.as_str().as_bytes());
        let (requester, seq) = (requester.0.to_be_bytes(), seq.to_be_bytes());
        self.secret.mac(&[b"answer", from, to, &requester, &seq, signed])
    }
}

fn check_version(value: u8) -> Result<(), CodecError> {
    if value == VERSION {
        Ok(())
    } else {
        Err(CodecError::UnknownValue { field: Field::Version, value })
    }
}

fn split_mac(bytes: &[u8]) -> Result<(&[u8], Digest), OpenError> {
    let (signed, mac) = bytes.split_last_chunk().ok_or(OpenError::Malformed)?;
    Ok((signed, Digest(*mac)))
}

fn split_boot(bytes: &[u8]) -> Result<(Boot, &[u8]), OpenError> {
    let (boot, rest) = bytes.split_first_chunk().ok_or(OpenError::Malformed)?;
    Ok((Boot(u128::from_be_bytes(*boot)), rest))
}

/// Highest sequence number of one sender's pings, for each of its boots.
///
/// Invariant: at most [`MAX_BOOTS`] entries, the boot heard last at the end.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard(Vec<(Boot, u64)>);

impl ReplayGuard {
    /// Records `seq` and returns whether it is higher than any before it of that boot.
    pub(crate) fn accept(&mut self, boot: Boot, seq: u64) -> bool {
        let held = self.0.iter().position(|(b, _)| *b == boot);
        let last = held.map_or(0, |at| self.0.remove(at).1);
        if self.0.len() == MAX_BOOTS {
            self.0.remove(0);
        }
        self.0.push((boot, last.max(seq)));
        seq > last
    }
}
