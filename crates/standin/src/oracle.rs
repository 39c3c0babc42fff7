//! The reference answers that a pipeline of engines must match.

use hemlockwind_core::engine::Token;

use crate::model;
use crate::model::Layers;

/// Returns the answer of a model with `layers` layers to `prompt`, at most `max_tokens` long.
pub fn answer(layers: u16, prompt: &str, max_tokens: u32) -> Vec<Token> {
    let mut all = Layers::new(0..layers);
    let mut input = model::prompt_input(prompt);
    let mut tokens = Vec::new();
    for _ in 0..max_tokens {
        let token = model::decode_token(all.run(input));
        input = model::token_input(token.id);
        let end = token.end;
        tokens.push(token);
        if end {
            break;
        }
    }
    tokens
}

/// Returns the text of an answer.
pub fn text(tokens: &[Token]) -> String {
    tokens.iter().map(|token| token.text.as_str()).collect()
}
