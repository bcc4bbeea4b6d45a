//! Computes the states and answers of the simulated model, without I/O.
//!
//! The state of each piece of a prompt follows from the weights, the state before it and the
//! piece's text. The answer follows from the states of all pieces and the rest of the prompt, so
//! one wrong state changes every word of the answer. The engine exports a state as a block: the
//! state masked with the cache salt and the piece's index, then filler bytes derived from the state
//! and the generation. A block that is decoded with another salt, index or generation gives a wrong
//! state.

use bytes::Bytes;

/// Bytes of prompt text in one piece.
pub const PIECE_TEXT_BYTES: usize = 1024;
/// Bytes of prompt text that count as one token.
pub const TOKEN_BYTES: usize = 4;
/// Bytes of a state; a block begins with the masked state.
pub const STATE_BYTES: usize = 32;

/// State of the model after a piece of a prompt.
pub type State = [u8; STATE_BYTES];

/// Digest over `parts` and their lengths, so that the borders between the parts count.
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

/// Splits a prompt into its complete pieces and the rest after the last one.
pub fn pieces(prompt: &str) -> (std::slice::ChunksExact<'_, u8>, &[u8]) {
    let chunks = prompt.as_bytes().chunks_exact(PIECE_TEXT_BYTES);
    let rest = chunks.remainder();
    (chunks, rest)
}

/// A model and the version of its weights.
#[derive(Debug, Clone, Copy)]
pub struct ModelVersion<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Version of the weights.
    pub weights: &'a str,
}

impl ModelVersion<'_> {
    /// State after the piece `text`, given the states of all pieces before it.
    pub fn next_state(&self, before: &[State], text: &[u8]) -> State {
        let last = before.last().map_or(&[][..], |s| s);
        digest(&[b"piece", self.model.as_bytes(), self.weights.as_bytes(), last, text])
    }

    /// State after the whole prompt, given the states of its pieces and the rest of its text.
    pub fn final_state(&self, states: &[State], rest: &[u8]) -> State {
        let all = states.concat();
        digest(&[b"prompt", self.model.as_bytes(), self.weights.as_bytes(), &all, rest])
    }
}

/// Text of the answer's token at `index`, for the final state of the prompt.
pub fn token_text(state: &State, index: u32) -> String {
    const SYLLABLES: [&str; 16] = [
        "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu",
        "za",
    ];
    let hash = digest(&[b"token", state, &index.to_le_bytes()]);
    let mut word: String = hash[..3].iter().map(|b| SYLLABLES[usize::from(b % 16)]).collect();
    word.push(' ');
    word
}

/// Answer that a correct engine gives, whether or not it uses cached or imported pieces.
pub fn expected(model: &str, weights: &str, prompt: &str, max_tokens: u32) -> String {
    let model_version = ModelVersion { model, weights };
    let (texts, rest) = pieces(prompt);
    let mut states = Vec::new();
    for text in texts {
        states.push(model_version.next_state(&states, text));
    }
    let state = model_version.final_state(&states, rest);
    (0..max_tokens).map(|i| token_text(&state, i)).collect()
}

/// Encodes and decodes the block of one piece with the values that the block is bound to.
#[derive(Debug, Clone, Copy)]
pub struct BlockCodec<'a> {
    /// Cache salt of the request.
    pub salt: &'a str,
    /// Index of the piece in its prompt, from 0.
    pub index: usize,
    /// Generation of the block.
    pub generation: &'a str,
    /// Length of the block in bytes, at least [`STATE_BYTES`].
    pub len: usize,
}

impl BlockCodec<'_> {
    fn mask(&self, state: &State) -> State {
        let mask = digest(&[b"mask", self.salt.as_bytes(), &self.index.to_le_bytes()]);
        std::array::from_fn(|i| state[i] ^ mask[i])
    }

    /// Encodes `state` as a block.
    pub fn encode(&self, state: &State) -> Bytes {
        let mut block = vec![0; self.len];
        let (head, filler) = block.split_at_mut(STATE_BYTES);
        head.copy_from_slice(&self.mask(state));
        hasher(&[b"filler", state, self.generation.as_bytes()]).finalize_xof().fill(filler);
        block.into()
    }

    /// Decodes a block into its state. The result is garbage if any byte of the block, the salt,
    /// the index, the generation or the length differs.
    pub fn decode(&self, block: &[u8]) -> State {
        let head = block.first_chunk::<STATE_BYTES>();
        let state = head.map(|h| self.mask(h)).filter(|s| self.encode(s) == block);
        state.unwrap_or_else(|| digest(&[b"garbage", block]))
    }
}
