//! Interface to the platform's protocols.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Uri, request, response};
use std::time::Duration;

use crate::{
    CallHead, Forward, ListPage, Objects, OperatorRequest, ResponseHead, RolloutOrder,
    RolloutState, ValidationErrors,
};

/// A request or list page that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub String);

/// Translates between the platform's protocols and the types of this crate. Implementations hold no
/// policy.
pub trait Protocol: Send + Sync {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a required header is missing or malformed.
    fn parse_call(&self, parts: &request::Parts) -> Result<CallHead, DecodeError>;

    /// Returns the headers of the request to an endpoint: those of the caller, adjusted by
    /// `forward`.
    fn forward_headers(&self, caller: &HeaderMap, forward: &Forward) -> HeaderMap;

    /// Parses the head of an endpoint's response.
    fn parse_response(&self, parts: &response::Parts) -> ResponseHead;

    /// Header whose value an endpoint copies from the request to the response.
    fn request_id_header(&self) -> HeaderName;

    /// Header that tells a caller when to retry.
    fn retry_after_header(&self, after: Duration) -> (HeaderName, http::HeaderValue);

    /// Whether `path` is the readiness probe.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Parses a set of objects.
    ///
    /// # Errors
    ///
    /// Returns all errors of the document. A set that parses may still fail
    /// [`Publication::new`](crate::Publication::new).
    fn parse_objects(&self, body: &[u8]) -> Result<Objects, ValidationErrors>;

    /// Parses the method and path of an operator's request. Returns `None` for an unknown request.
    fn parse_operator_request(&self, method: &Method, path: &str) -> Option<OperatorRequest>;

    /// Response body that reports whether an instance is drained.
    fn retire_status_body(&self, done: bool) -> Bytes;

    /// Parses the body of [`OperatorRequest::StartRollout`].
    ///
    /// # Errors
    ///
    /// Fails when a field is missing, malformed or out of range. The message names the field.
    fn parse_rollout_order(&self, body: &[u8]) -> Result<RolloutOrder, DecodeError>;

    /// Response body that reports the state of a rollout.
    fn rollout_status_body(&self, state: RolloutState, target: &str) -> Bytes;

    /// Response body for a refused request.
    fn error_body(&self, message: &str) -> Bytes;

    /// URI of a page of the endpoint list.
    fn list_page_uri(&self, page: Option<&str>) -> Uri;

    /// Parses a page of the endpoint list. Malformed entries are counted and skipped.
    ///
    /// # Errors
    ///
    /// Fails when the page as a whole cannot be parsed.
    fn parse_list_page(&self, body: &[u8]) -> Result<ListPage, DecodeError>;
}
