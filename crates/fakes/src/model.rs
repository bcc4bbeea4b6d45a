//! The arithmetic of the engine's pretended model, free of I/O.
//!
//! The state of each piece of a prompt follows from the weights, the state before it and the
//! piece's text. The answer follows from the states of all pieces and the rest of the prompt, so
//! one wrong state anywhere changes every word of the answer. A state leaves the engine as a block
//! that is masked with the cache salt and the piece's index, and filled up with bytes derived from
//! its generation; a block that is read back with anything else gives another state.

use bytes::Bytes;

/// Bytes of prompt text in one piece.
pub const PIECE_TEXT: usize = 1024;
/// Bytes of prompt text in one token.
pub const TOKEN_BYTES: usize = 4;
/// Bytes of a state, which a block begins with.
pub const STATE_BYTES: usize = 32;

/// The state after a piece of a prompt.
pub type State = [u8; STATE_BYTES];

/// A digest over `parts` in which the borders between them count.
pub fn digest(parts: &[&[u8]]) -> State {
    hasher(parts).finalize().into()
}

fn hasher(parts: &[&[u8]]) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher
}

/// The pieces of a prompt and the rest after the last whole one.
pub fn pieces(prompt: &str) -> (std::slice::ChunksExact<'_, u8>, &[u8]) {
    let chunks = prompt.as_bytes().chunks_exact(PIECE_TEXT);
    let rest = chunks.remainder();
    (chunks, rest)
}

/// A model with a version of its weights.
#[derive(Debug, Clone, Copy)]
pub struct Net<'a> {
    /// The model.
    pub model: &'a str,
    /// The version.
    pub weights: &'a str,
}

impl Net<'_> {
    /// The state after a piece, given the states of all pieces before it.
    pub fn advance(&self, before: &[State], text: &[u8]) -> State {
        let last = before.last().map_or(&[][..], |s| s);
        digest(&[b"piece", self.model.as_bytes(), self.weights.as_bytes(), last, text])
    }

    /// The state after the whole prompt.
    pub fn finish(&self, states: &[State], rest: &[u8]) -> State {
        let all = states.concat();
        digest(&[b"prompt", self.model.as_bytes(), self.weights.as_bytes(), &all, rest])
    }
}

/// The text of the answer's token at `index`.
pub fn token(state: &State, index: u32) -> String {
    const SOUNDS: [&str; 16] = [
        "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu",
        "za",
    ];
    let hash = digest(&[b"token", state, &index.to_le_bytes()]);
    let mut word: String = hash[..3].iter().map(|b| SOUNDS[usize::from(b % 16)]).collect();
    word.push(' ');
    word
}

/// The answer a correct engine gives, whatever it had cached or imported.
pub fn expected(model: &str, weights: &str, prompt: &str, max_tokens: u32) -> String {
    let net = Net { model, weights };
    let (texts, rest) = pieces(prompt);
    let mut states = Vec::new();
    for text in texts {
        states.push(net.advance(&states, text));
    }
    let state = net.finish(&states, rest);
    (0..max_tokens).map(|i| token(&state, i)).collect()
}

/// What a block is bound to besides its state.
#[derive(Debug, Clone, Copy)]
pub struct Seal<'a> {
    /// The request's cache salt.
    pub salt: &'a str,
    /// Index of the piece in its prompt.
    pub index: usize,
    /// Generation of the block.
    pub generation: &'a str,
    /// Length of the block in bytes, at least [`STATE_BYTES`].
    pub len: usize,
}

impl Seal<'_> {
    fn mask(&self, state: &State) -> State {
        let mask = digest(&[b"mask", self.salt.as_bytes(), &self.index.to_le_bytes()]);
        std::array::from_fn(|i| state[i] ^ mask[i])
    }

    /// The block of `state`.
    pub fn pack(&self, state: &State) -> Bytes {
        let mut block = vec![0; self.len];
        let (head, filler) = block.split_at_mut(STATE_BYTES);
        head.copy_from_slice(&self.mask(state));
        hasher(&[b"filler", state, self.generation.as_bytes()]).finalize_xof().fill(filler);
        block.into()
    }

    /// The state a block is read as: garbage when any byte or any part of the seal differs.
    pub fn unpack(&self, block: &[u8]) -> State {
        let head = block.first_chunk::<STATE_BYTES>();
        let state = head.map(|h| self.mask(h)).filter(|s| self.pack(s) == block);
        state.unwrap_or_else(|| digest(&[b"garbage", block]))
    }
}
