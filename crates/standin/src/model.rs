//! A deterministic model, cheap to run and wrong as soon as a layer is missing,
//! doubled, out of order or works on another history.
//!
//! Each layer keeps one number, its KV cache. For a new position it folds its
//! input into that number, and the result is also the layer's output.

use std::ops::Range;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use hemlockwind_core::engine::Token;

/// Token ids are below this number.
const VOCABULARY: u64 = 4_096;
/// One in so many tokens ends the answer.
const END_ONE_IN: u64 = 64;
const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstw";
const VOWELS: &[u8; 4] = b"aeio";
const SYLLABLES: u32 = 64;

/// The input of the first layer for a prompt.
pub fn prompt_input(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// The input of the first layer for a generated token.
pub fn token_input(id: u32) -> u64 {
    xxh3_64(&id.to_le_bytes())
}

/// The token that the last layer's output stands for.
pub fn decode_token(output: u64) -> Token {
    let id = u32::try_from(output % VOCABULARY).expect("the vocabulary is small");
    Token {
        id,
        text: word(id),
        end: (output >> 32).is_multiple_of(END_ONE_IN),
    }
}

/// `Layers` holds the KV cache of a range of layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layers {
    start: u16,
    cache: Vec<u64>,
}

impl Layers {
    /// An empty cache for the layers `range`.
    pub fn new(range: Range<u16>) -> Self {
        Self {
            start: range.start,
            cache: vec![0; range.len()],
        }
    }

    /// Runs one position through all layers of the range.
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

    /// The cache as bytes.
    pub fn export(&self) -> Vec<u8> {
        encode(&self.cache)
    }

    /// The cache of the layers `range`, when `data` has their number.
    pub fn import(range: Range<u16>, data: &[u8]) -> Option<Self> {
        let cache = decode(data)?;
        (cache.len() == range.len()).then_some(Self {
            start: range.start,
            cache,
        })
    }
}

/// Hidden states as bytes, as one stage hands them to the next.
pub fn encode(hidden: &[u64]) -> Vec<u8> {
    hidden.iter().flat_map(|x| x.to_le_bytes()).collect()
}

/// Hidden states from bytes, when their length fits.
pub fn decode(data: &[u8]) -> Option<Vec<u64>> {
    let (whole, rest) = data.as_chunks::<8>();
    let hidden = whole.iter().map(|bytes| u64::from_le_bytes(*bytes));
    rest.is_empty().then(|| hidden.collect())
}

/// Two syllables and a space, another for each id.
fn word(id: u32) -> String {
    let mut text = String::with_capacity(5);
    for syllable in [id / SYLLABLES, id % SYLLABLES] {
        text.push(CONSONANTS[syllable as usize / VOWELS.len()].into());
        text.push(VOWELS[syllable as usize % VOWELS.len()].into());
    }
    text.push(' ');
    text
}
