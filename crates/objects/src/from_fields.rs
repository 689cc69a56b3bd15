//! Reads each kind of object from the fields of its table.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::kind::Name;
use crate::object::{
    Budget, Endpoint, Key, Model, NonIdempotent, Object, Operator, Rate, Route, RouteKind, Serves,
    Team, Zone, ZoneState,
};
use crate::secret::{Digest, SECRET_PREFIX};
use crate::table::Fields;
use crate::units::{ByteSize, RequestRate, parse_duration};

const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_CHAT_TIMEOUT: Duration = Duration::from_secs(300);
const DEFAULT_SERVICE_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_CHAT_MAX_BODY: ByteSize = ByteSize::from_mib(8);
const DEFAULT_SERVICE_MAX_BODY: ByteSize = ByteSize::from_mib(1);
const DEFAULT_MAX_QUEUED_REQUESTS: u32 = 1024;
/// Methods that RFC 9110 does not define as idempotent.
const DEFAULT_NON_IDEMPOTENT_METHODS: [&str; 2] = ["PATCH", "POST"];

const DURATION_EXAMPLE: &str = "a duration such as \"300ms\"";
const SIZE_EXAMPLE: &str = "a size such as \"64KiB\"";

/// An object that can be read from the fields of a table.
///
/// A field with a finding gets a substitute value. It is chosen to pass the rules about the other
/// fields, so that one error in a file is not reported several times.
pub(crate) trait FromFields: Object {
    /// Names of the fields; all others are reported as unknown.
    const FIELDS: &'static [&'static str];

    /// Reads the object and reports findings to `fields`.
    fn from_fields(fields: &mut Fields<'_, '_>) -> Self;
}

impl FromFields for Team {
    const FIELDS: &'static [&'static str] = &["name", "rate", "budget", "weight"];

    fn from_fields(fields: &mut Fields<'_, '_>) -> Self {
        Self {
            name: fields.require_text("name"),
            rate: fields.require_text("rate"),
            budget: fields.optional_name("budget"),
            weight: fields.integer("weight").unwrap_or(DEFAULT_WEIGHT),
        }
    }
}

impl FromFields for Key {
    const FIELDS: &'static [&'static str] = &["name", "team", "digest"];

    fn from_fields(fields: &mut Fields<'_, '_>) -> Self {
        Self {
            name: fields.require_text("name"),
            team: fields.require_text("team"),
            digest: read_digest(fields),
        }
    }
}

/// Reads a digest. Text with the prefix of a secret is reported as a secret, and no finding quotes
/// the text.
fn read_digest(fields: &mut Fields<'_, '_>) -> Digest {
    if !fields.has("digest") {
        fields.report("digest", None, "missing field `digest`".into());
    }
    let text = fields.text("digest", "a string").unwrap_or_default();
    let substitute = Digest::from_bytes([0; 32]);
    if fields.is_invalid("digest") {
        return substitute;
    }
    text.parse().unwrap_or_else(|err| {
        let message = if text.starts_with(SECRET_PREFIX) {
            "plaintext secret in `digest`; publish only its digest".to_owned()
        } else {
            format!("`digest`: {err}")
        };
        fields.report("digest", None, message);
        substitute
    })
}

impl FromFields for Rate {
    const FIELDS: &'static [&'static str] = &["name", "rate", "burst"];

    fn from_fields(fields: &mut Fields<'_, '_>) -> Self {
        Self {
            name: fields.require_text("name"),
            rate: fields
                .require_parsed("rate", "a rate such as \"50/s\"")
                .unwrap_or(RequestRate::from_milli_per_second(1000)),
            burst: fields.require_integer("burst").unwrap_or(1),
        }
    }
}

impl FromFields for Route {
    const FIELDS: &'static [&'static str] = &[
        "name",
        "path",
        "kind",
        "model",
        "service",
        "open",
        "non_idempotent",
        "timeout",
        "max_body",
        "max_queue",
    ];

    fn from_fields(fields: &mut Fields<'_, '_>) -> Self {
        let kinds = [("chat", RouteKind::Chat), ("service", RouteKind::Service)];
        let name = fields.require_text("name");
        let path = fields.require_text("path");
        let kind = fields.keyword("kind", &kinds).unwrap_or(if fields.has("service") {
            RouteKind::Service
        } else {
            RouteKind::Chat
        });
        let (timeout, max_body) = match kind {
            RouteKind::Chat => (DEFAULT_CHAT_TIMEOUT, DEFAULT_CHAT_MAX_BODY),
            RouteKind::Service => (DEFAULT_SERVICE_TIMEOUT, DEFAULT_SERVICE_MAX_BODY),
        };
        Self {
            name,
            path,
            kind,
            model: fields.optional_name("model"),
            service: fields.optional_name("service"),
            open: fields.boolean("open"),
            non_idempotent: read_non_idempotent(fields, kind),
            timeout: fields
                .parsed_with("timeout", DURATION_EXAMPLE, parse_duration)
                .unwrap_or(timeout),
            max_body: fields.parsed("max_body", SIZE_EXAMPLE).unwrap_or(max_body),
            max_queue: fields.integer("max_queue").unwrap_or(DEFAULT_MAX_QUEUED_REQUESTS),
        }
    }
}

fn read_non_idempotent(fields: &mut Fields<'_, '_>, kind: RouteKind) -> NonIdempotent {
    match (fields.boolean_or_list("non_idempotent"), kind) {
        (Some(Ok(true)), _) => NonIdempotent::All,
        (Some(Ok(false)), _) | (None, RouteKind::Chat) => NonIdempotent::None,
        (Some(Err(methods)), _) if methods.is_empty() => NonIdempotent::None,
        (Some(Err(methods)), _) => NonIdempotent::Methods(methods),
        (None, RouteKind::Service) => {
            NonIdempotent::Methods(DEFAULT_NON_IDEMPOTENT_METHODS.map(Into::into).into())
        }
    }
}

impl FromFields for Endpoint {
    const FIELDS: &'static [&'static str] = &[
        "name",
        "zone",
        "address",
        "models",
        "service",
        "capacity",
        "cold_capacity",
        "ramp",
        "fencing",
        "leaving",
    ];

    fn from_fields(fields: &mut Fields<'_, '_>) -> Self {
        let name = fields.require_text("name");
        let zone = fields.require_text("zone");
        let address = read_address(fields);
        let serves = read_serves(fields);
        let capacity = fields.require_integer("capacity");
        let cold_capacity = fields.integer("cold_capacity");
        Self {
            name,
            zone,
            address,
            serves,
            capacity: capacity.unwrap_or(u32::MAX),
            cold_capacity: cold_capacity.or(capacity).unwrap_or(1),
            ramp: fields.parsed_with("ramp", DURATION_EXAMPLE, parse_duration).unwrap_or_default(),
            fencing: fields.boolean("fencing"),
            leaving: fields.boolean("leaving"),
        }
    }
}

fn read_address(fields: &mut Fields<'_, '_>) -> SocketAddr {
    const ADDRESS_EXAMPLE: &str = "an address such as \"127.0.0.1:9000\"";
    if !fields.has("address") {
        fields.report("address", None, "missing field `address`".into());
    }
    let parse =
        |text: &str| SocketAddr::from_str(text).map_err(|_| format!("expected {ADDRESS_EXAMPLE}"));
    let address = fields.parsed_with("address", ADDRESS_EXAMPLE, parse);
    address.unwrap_or_else(|| ([127, 0, 0, 1], 1).into())
}

fn read_serves(fields: &mut Fields<'_, '_>) -> Serves {
    let has_models = fields.has("models");
    let models: Vec<Name> = fields.list("models").unwrap_or_default();
    match (has_models, fields.optional_name("service")) {
        (false, Some(service)) => Serves::Service(service),
        (true, None) => Serves::Models(models),
        (true, Some(_)) => {
            let message = "an endpoint has either `models` or `service`, not both".into();
            fields.report("service", None, message);
            Serves::Models(models)
        }
        (false, None) => {
            fields.report("models", None, "missing field `models` or `service`".into());
            Serves::Models(models)
        }
    }
}

impl FromFields for Model {
    const FIELDS: &'static [&'static str] =
        &["name", "max_context", "max_output", "version", "aliases"];

    fn from_fields(fields: &mut Fields<'_, '_>) -> Self {
        Self {
            name: fields.require_text("name"),
            max_context: fields.require_integer("max_context").unwrap_or(u64::MAX),
            max_output: fields.require_integer("max_output").unwrap_or(1),
            version: fields.require_text("version"),
            aliases: fields.list("aliases").unwrap_or_default(),
        }
    }
}

impl FromFields for Zone {
    const FIELDS: &'static [&'static str] = &["name", "state"];

    fn from_fields(fields: &mut Fields<'_, '_>) -> Self {
        let states = [("in", ZoneState::In), ("out", ZoneState::Out)];
        Self {
            name: fields.require_text("name"),
            state: fields.keyword("state", &states).unwrap_or(ZoneState::In),
        }
    }
}

impl FromFields for Budget {
    const FIELDS: &'static [&'static str] = &["name", "tokens", "turns", "lifetime"];

    fn from_fields(fields: &mut Fields<'_, '_>) -> Self {
        let name = fields.require_text("name");
        let tokens = fields.require_integer("tokens").unwrap_or(1);
        let turns = fields.require_integer("turns").unwrap_or(1);
        if !fields.has("lifetime") {
            fields.report("lifetime", None, "missing field `lifetime`".into());
        }
        let lifetime = fields.parsed_with("lifetime", DURATION_EXAMPLE, parse_duration);
        Self { name, tokens, turns, lifetime: lifetime.unwrap_or(Duration::from_secs(1)) }
    }
}

impl FromFields for Operator {
    const FIELDS: &'static [&'static str] = &["name", "digest"];

    fn from_fields(fields: &mut Fields<'_, '_>) -> Self {
        Self { name: fields.require_text("name"), digest: read_digest(fields) }
    }
}
