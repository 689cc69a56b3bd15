//! Authentication of callers by key.

use http::{HeaderMap, header};
use poplarspan_objects::{Digest, Name, ObjectSet};

use super::refusal::{Code, Refusal};

/// Header for the key, as an alternative to `authorization`.
pub(crate) const KEY_HEADER: &str = "x-api-key";
const MAX_KEY_BYTES: usize = 256;

/// The team of a call and the digest of its key.
///
/// The digest is looked up again before each dispatch, since the key may have been withdrawn.
#[derive(Clone, Debug)]
pub(crate) struct Credential {
    pub(crate) team: Name,
    digest: Digest,
}

impl Credential {
    /// Authenticates a call by the key in its headers.
    pub(crate) fn from_headers(headers: &HeaderMap, objects: &ObjectSet) -> Result<Self, Refusal> {
        let refused = || Refusal::not_run(Code::Unauthorized, "a valid key is required");
        let secret = secret(headers).ok_or_else(refused)?;
        if secret.len() > MAX_KEY_BYTES {
            return Err(refused());
        }
        let digest = Digest::of_secret(secret);
        let key = objects.key_by_digest(&digest).ok_or_else(refused)?;
        Ok(Self { team: key.team.clone(), digest })
    }

    /// Whether the key is still published and belongs to the same team.
    pub(crate) fn is_valid(&self, objects: &ObjectSet) -> bool {
        objects.key_by_digest(&self.digest).is_some_and(|key| key.team == self.team)
    }
}

/// Returns the key in the headers if there is exactly one. Several keys would be ambiguous.
fn secret(headers: &HeaderMap) -> Option<&str> {
    let count = |name: &str| headers.get_all(name).iter().count();
    if count(header::AUTHORIZATION.as_str()) + count(KEY_HEADER) != 1 {
        return None;
    }
    if let Some(value) = headers.get(header::AUTHORIZATION) {
        let (scheme, secret) = value.to_str().ok()?.split_once(' ')?;
        return scheme.eq_ignore_ascii_case("bearer").then(|| secret.trim());
    }
    headers.get(KEY_HEADER)?.to_str().ok()
}

/// Removes all headers that may carry credentials, so that endpoints do not receive them.
pub(crate) fn remove_credentials(headers: &mut HeaderMap) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(KEY_HEADER);
    headers.remove(header::PROXY_AUTHORIZATION);
    headers.remove(header::COOKIE);
}
