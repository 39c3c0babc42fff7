//! A deterministic toy model, whose output is wrong as soon as a layer is
//! missing, run twice, out of order or has a different history.
//!
//! The KV cache of a layer is one number. For each new position the layer hashes
//! its input into that number, and the result is also the layer's output.

use std::ops::Range;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use hemlockwind_core::engine::Token;

/// Number of token ids, which start at 0.
const VOCABULARY_SIZE: u64 = 4_096;
/// On average, one in this many tokens ends the answer.
const MEAN_ANSWER_TOKENS: u64 = 64;
const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstw";
const VOWELS: &[u8; 4] = b"aeio";
/// Number of pairs of a consonant and a vowel.
const SYLLABLE_COUNT: u32 = 64;

/// Returns the first layer's input for a prompt.
pub fn prompt_input(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the first layer's input for a generated token.
pub fn token_input(id: u32) -> u64 {
    xxh3_64(&id.to_le_bytes())
}

/// Returns the token that the last layer's output encodes.
pub fn decode_token(output: u64) -> Token {
    let id = u32::try_from(output % VOCABULARY_SIZE).expect("token ids fit in u32");
    Token {
        id,
        text: token_text(id),
        end: (output >> 32).is_multiple_of(MEAN_ANSWER_TOKENS),
    }
}

/// `Layers` holds the KV cache of a range of layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layers {
    start: u16,
    cache: Vec<u64>,
}

impl Layers {
    /// Returns an empty cache for the layers `range`.
    pub fn new(range: Range<u16>) -> Self {
        Self {
            start: range.start,
            cache: vec![0; range.len()],
        }
    }

    /// Runs one position through all layers of the range and returns the last output.
    pub fn run(&mut self, input: u64) -> u64 {
        let mut hidden = input;
        for (layer, cache) in (self.start..).zip(&mut self.cache) {
            let mut data = [0; 16];
            data[..8].copy_from_slice(&cache.to_le_bytes());
            data[8..].copy_from_slice(&hidden.to_le_bytes());
            hidden = xxh3_64_with_seed(&data, u64::from(layer));
            *cache = hidden;
        }
        hidden
    }

    /// Returns the cache as bytes.
    pub fn export(&self) -> Vec<u8> {
        encode(&self.cache)
    }

    /// Returns the cache of the layers `range`, or `None` if `data` is of another size.
    pub fn import(range: Range<u16>, data: &[u8]) -> Option<Self> {
        let cache = decode(data)?;
        (cache.len() == range.len()).then_some(Self {
            start: range.start,
            cache,
        })
    }
}

/// Encodes hidden states as the bytes that one stage sends to the next.
pub fn encode(hidden: &[u64]) -> Vec<u8> {
    hidden.iter().flat_map(|x| x.to_le_bytes()).collect()
}

/// Decodes hidden states; returns `None` if the length is not a multiple of 8 bytes.
pub fn decode(data: &[u8]) -> Option<Vec<u64>> {
    let (chunks, remainder) = data.as_chunks::<8>();
    let hidden = chunks.iter().map(|bytes| u64::from_le_bytes(*bytes));
    remainder.is_empty().then(|| hidden.collect())
}

/// Returns the text of a token: two syllables and a space, unique for each id.
fn token_text(id: u32) -> String {
    let mut text = String::with_capacity(5);
    for syllable in [id / SYLLABLE_COUNT, id % SYLLABLE_COUNT] {
        text.push(CONSONANTS[syllable as usize / VOWELS.len()].into());
        text.push(VOWELS[syllable as usize % VOWELS.len()].into());
    }
    text.push(' ');
    text
}
