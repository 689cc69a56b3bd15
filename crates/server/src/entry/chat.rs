//! The parts of a chat request that decisions need.

use std::{borrow::Cow, sync::Arc};

use serde::Deserialize;
use serde_json::value::RawValue;

use super::refusal::{Code, Refusal};

/// Bytes of a prompt that make one token, for estimates before the engine has counted.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(borrow, default)]
    messages: Vec<&'a RawValue>,
}

/// What a chat request asks for.
#[derive(Clone, Debug)]
pub(crate) struct ChatRequest {
    pub(crate) model: Option<String>,
    pub(crate) stream: bool,
    pub(crate) max_output_tokens: Option<u64>,
    /// Estimate from the length of the messages.
    pub(crate) prompt_tokens: u64,
    /// Hash of the messages up to and including each one.
    pub(crate) prefixes: Arc<[u64]>,
}

impl ChatRequest {
    /// Reads a body in the chat completions shape.
    pub(crate) fn read(body: &[u8]) -> Result<Self, Refusal> {
        let bad = |problem: String| {
            Refusal::not_run(Code::BadRequest, format!("the body is no chat request: {problem}"))
        };
        let fields: Fields<'_> = serde_json::from_slice(body).map_err(|e| bad(e.to_string()))?;
        if fields.messages.is_empty() {
            return Err(bad("`messages` is missing or empty".to_owned()));
        }
        let total: usize = fields.messages.iter().map(|m| m.get().len()).sum();
        Ok(Self {
            model: fields.model.map(Cow::into_owned),
            stream: fields.stream,
            max_output_tokens: fields.max_completion_tokens.or(fields.max_tokens),
            prompt_tokens: total.div_ceil(BYTES_PER_TOKEN) as u64,
            prefixes: prefixes(&fields.messages),
        })
    }
}

fn prefixes(messages: &[&RawValue]) -> Arc<[u64]> {
    let mut hasher = blake3::Hasher::new();
    messages
        .iter()
        .map(|message| {
            hasher.update(message.get().as_bytes());
            let hash = hasher.finalize();
            u64::from_le_bytes(*hash.as_bytes().first_chunk().expect("32 bytes"))
        })
        .collect()
}
