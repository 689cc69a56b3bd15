//! Parsing of the chat request fields that routing and accounting need.

use std::{borrow::Cow, collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use poplarspan_policy::route::PrefixChain;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::refusal::{Code, Refusal};
use crate::schedule::BLOCK_TOKENS;

/// Assumed prompt bytes per token, for estimates before the engine reports its count.
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

/// Parsed fields of a chat request.
#[derive(Debug)]
pub(crate) struct ChatRequest<'a> {
    pub(crate) model: Option<Cow<'a, str>>,
    pub(crate) stream: bool,
    pub(crate) max_output_tokens: Option<u64>,
    /// Estimated from the length of the messages.
    pub(crate) prompt_tokens: u64,
    messages: Vec<&'a RawValue>,
}

impl<'a> ChatRequest<'a> {
    /// Parses a body in the chat completions format.
    pub(crate) fn read(body: &'a [u8]) -> Result<Self, Refusal> {
        let bad_request = |problem: String| {
            Refusal::not_run(Code::BadRequest, format!("the body is no chat request: {problem}"))
        };
        let fields: Fields<'_> =
            serde_json::from_slice(body).map_err(|e| bad_request(e.to_string()))?;
        if fields.messages.is_empty() {
            return Err(bad_request("`messages` is missing or empty".to_owned()));
        }
        let total: usize = fields.messages.iter().map(|m| m.get().len()).sum();
        Ok(Self {
            model: fields.model,
            stream: fields.stream,
            max_output_tokens: fields.max_completion_tokens.or(fields.max_tokens),
            prompt_tokens: total.div_ceil(BYTES_PER_TOKEN) as u64,
            messages: fields.messages,
        })
    }

    /// Returns the hash chain over the blocks of the prompt. Chains of different `scope`s do not
    /// match.
    pub(crate) fn blocks(&self, scope: &str) -> Arc<[u64]> {
        let mut chain = PrefixChain::new(scope, BLOCK_TOKENS as usize * BYTES_PER_TOKEN);
        for message in &self.messages {
            chain.extend(message.get().as_bytes());
        }
        chain.blocks().into()
    }
}

/// Returns the body without the messages up to the last one of the assistant. Returns `None` if
/// there is no such message or the body has another format.
pub(crate) fn after_last_assistant_message(body: &[u8]) -> Option<Bytes> {
    #[derive(Deserialize)]
    struct Role<'a> {
        #[serde(borrow)]
        role: Cow<'a, str>,
    }
    let fields: BTreeMap<Cow<'_, str>, &RawValue> = serde_json::from_slice(body).ok()?;
    let messages: Vec<&RawValue> = serde_json::from_str(fields.get("messages")?.get()).ok()?;
    let is_assistant = |m: &&RawValue| {
        serde_json::from_str::<Role<'_>>(m.get()).is_ok_and(|r| r.role == "assistant")
    };
    let last = messages.iter().rposition(is_assistant)?;
    let tail = serde_json::value::to_raw_value(&messages[last + 1..]).ok()?;
    let mut shortened = fields;
    shortened.insert(Cow::Borrowed("messages"), &tail);
    serde_json::to_vec(&shortened).ok().map(Bytes::from)
}
