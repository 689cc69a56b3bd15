//! The border to a platform's protocols.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Uri, request, response};
use std::time::Duration;

use crate::{
    CallHead, Forward, ListPage, Objects, OperatorRequest, ResponseHead, ValidationErrors,
};

/// A request that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub String);

/// Translates between a platform's protocols and the types of this crate. It decides nothing.
pub trait Protocol: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when something that every request must say is missing or cannot be read.
    fn parse_call(&self, parts: &request::Parts) -> Result<CallHead, DecodeError>;

    /// Headers of the request to an endpoint: the caller's, with what `forward` says.
    fn forward_headers(&self, caller: &HeaderMap, forward: &Forward) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn parse_response(&self, parts: &response::Parts) -> ResponseHead;

    /// Header that ties an answer to its request.
    fn request_id_header(&self) -> HeaderName;

    /// Headers that tell a caller when to come back.
    fn retry_after_header(&self, after: Duration) -> (HeaderName, http::HeaderValue);

    /// Whether a path asks for readiness.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Reads a set of objects.
    ///
    /// # Errors
    ///
    /// Returns all findings of the document; a set that can be read may still be invalid as a whole.
    fn parse_objects(&self, body: &[u8]) -> Result<Objects, ValidationErrors>;

    /// Reads the method and path of an operator's request. None when there is no such order.
    fn parse_operator_request(&self, method: &Method, path: &str) -> Option<OperatorRequest>;

    /// Body that tells how far the emptying of an instance is.
    fn retire_status_body(&self, done: bool) -> Bytes;

    /// Body of an answer that refuses an order.
    fn error_body(&self, message: &str) -> Bytes;

    /// Request for a page of the list of endpoints.
    fn list_page_uri(&self, page: Option<&str>) -> Uri;

    /// Reads a page of the list of endpoints. Entries that cannot be read are only counted.
    ///
    /// # Errors
    ///
    /// Fails when the page as a whole cannot be read.
    fn parse_list_page(&self, body: &[u8]) -> Result<ListPage, DecodeError>;
}
