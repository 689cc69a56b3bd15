//! The border to a platform's protocols.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Uri, request, response};
use std::time::Duration;

use crate::{AnswerHead, CallHead, Findings, Forward, ListPage, Objects, Order};

/// A request that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);

/// Translates between a platform's protocols and the types of this crate. It decides nothing.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when something that every request must say is missing or cannot be read.
    fn call(&self, parts: &request::Parts) -> Result<CallHead, Malformed>;

    /// Headers of the request to an endpoint: the caller's, with what `forward` says.
    fn forward(&self, caller: &HeaderMap, forward: &Forward) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn answer(&self, parts: &response::Parts) -> AnswerHead;

    /// Header that ties an answer to its request.
    fn id_header(&self) -> HeaderName;

    /// Headers that tell a caller when to come back.
    fn come_back(&self, after: Duration) -> (HeaderName, http::HeaderValue);

    /// Whether a path asks for readiness.
    fn is_readiness(&self, path: &str) -> bool;

    /// Reads a set of objects.
    ///
    /// # Errors
    ///
    /// Returns all findings of the document; a set that can be read may still be invalid as a whole.
    fn objects(&self, body: &[u8]) -> Result<Objects, Findings>;

    /// Reads the method and path of an operator's request. None when there is no such order.
    fn order(&self, method: &Method, path: &str) -> Option<Order>;

    /// Body that tells how far the emptying of an instance is.
    fn retire_state(&self, done: bool) -> Bytes;

    /// Body of an answer that refuses an order.
    fn fault(&self, message: &str) -> Bytes;

    /// Request for a page of the list of endpoints.
    fn list_request(&self, page: Option<&str>) -> Uri;

    /// Reads a page of the list of endpoints. Entries that cannot be read are only counted.
    ///
    /// # Errors
    ///
    /// Fails when the page as a whole cannot be read.
    fn list_page(&self, body: &[u8]) -> Result<ListPage, Malformed>;
}
