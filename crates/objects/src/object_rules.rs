//! Rules that concern a single object.

use std::net::SocketAddr;
use std::time::Duration;

use crate::index::trim_final_slash;
use crate::kind::{MAX_NAME_BYTES, is_valid_name};
use crate::nearest::nearest;
use crate::object::{
    Budget, Endpoint, Key, Model, NonIdempotent, Object, Operator, Rate, Route, RouteKind, Serves,
    Team, Zone,
};
use crate::set_rules::{Checker, Location};
use crate::units::{ByteSize, RequestRate};

pub(crate) const MAX_PATH_BYTES: usize = 1024;
const MAX_WEIGHT: u32 = 1000;
const MAX_RATE: RequestRate = RequestRate::from_milli_per_second(1_000_000_000);
const MAX_BURST_REQUESTS: u32 = 1_000_000;
const MAX_CAPACITY_REQUESTS: u32 = 100_000;
const MAX_QUEUED_REQUESTS: u32 = 1_000_000;
const MAX_BODY: ByteSize = ByteSize::from_mib(1024);
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3600);
const MAX_RAMP: Duration = Duration::from_secs(24 * 3600);
const MAX_LIFETIME: Duration = Duration::from_secs(366 * 24 * 3600);
const MAX_CONTEXT_TOKENS: u64 = 100_000_000;
const MAX_BUDGET_TOKENS: u64 = 1_000_000_000_000;
const MAX_TURNS: u32 = 1_000_000;
const MAX_VERSION_BYTES: usize = 128;
/// HTTP methods that a route may list, sorted.
pub(crate) const HTTP_METHODS: [&str; 7] =
    ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
/// Paths that instances answer themselves, so no route may use them.
const RESERVED_PATHS: [&str; 2] = ["/v1/models", "/v1/programs"];

/// Rules for one kind of object that can be checked without other objects.
pub(crate) trait ObjectRules: Object {
    /// Reports the rules that the object at `at` violates.
    fn check_object(&self, at: Location, cx: &mut Checker<'_>);
}

/// Reports a name that does not match the pattern of [`crate::Name`].
pub(crate) fn check_name(name: &str, at: Location, cx: &mut Checker<'_>) {
    if !is_valid_name(name) {
        let message = format!(
            "invalid name {name:?}: a name has 1 to {MAX_NAME_BYTES} characters of a-z, 0-9, '.', \
             '_' and '-', the first of them a letter or digit"
        );
        cx.report(at, message);
    }
}

fn check_range<T>(value: T, min: T, max: T, at: Location, cx: &mut Checker<'_>)
where
    T: PartialOrd + std::fmt::Display,
{
    if value < min {
        cx.report(at, format!("`{}` is {value}, but must be at least {min}", at.field));
    } else if value > max {
        cx.report(at, format!("`{}` is {value}, but must be at most {max}", at.field));
    }
}

fn check_duration(
    value: Duration,
    min: Duration,
    max: Duration,
    at: Location,
    cx: &mut Checker<'_>,
) {
    let text = humantime::format_duration;
    if value < min {
        cx.report(at, format!("`{}` must be at least {}", at.field, text(min)));
    } else if value > max {
        cx.report(at, format!("`{}` must be at most {}", at.field, text(max)));
    }
}

/// Reports duplicate elements and elements out of order. Only records can be out of order, since
/// lists from files are sorted when they are read.
fn check_sorted<T: AsRef<str>>(elements: &[T], at: Location, cx: &mut Checker<'_>) {
    for (i, pair) in elements.windows(2).enumerate() {
        let (a, b) = (pair[0].as_ref(), pair[1].as_ref());
        if a == b {
            cx.report(at.element(i + 1), format!("{b:?} is listed twice"));
        } else if a > b {
            cx.report(at.element(i + 1), format!("`{}` is not sorted", at.field));
        }
    }
}

impl ObjectRules for Team {
    fn check_object(&self, at: Location, cx: &mut Checker<'_>) {
        check_range(self.weight, 1, MAX_WEIGHT, at.field("weight"), cx);
    }
}

impl ObjectRules for Key {
    fn check_object(&self, _: Location, _: &mut Checker<'_>) {}
}

impl ObjectRules for Rate {
    fn check_object(&self, at: Location, cx: &mut Checker<'_>) {
        let at_rate = at.field("rate");
        if self.rate.milli_per_second() == 0 {
            cx.report(at_rate, "impossible rate: a rate must be above zero".into());
        } else if self.rate > MAX_RATE {
            cx.report(at_rate, format!("impossible rate: a rate is at most {MAX_RATE}"));
        }
        let at_burst = at.field("burst");
        if self.burst < 1 {
            cx.report(at_burst, "impossible rate: `burst` must be at least 1".into());
        } else if self.burst > MAX_BURST_REQUESTS {
            cx.report(
                at_burst,
                format!("impossible rate: `burst` is at most {MAX_BURST_REQUESTS}"),
            );
        }
    }
}

impl ObjectRules for Route {
    fn check_object(&self, at: Location, cx: &mut Checker<'_>) {
        check_path(&self.path, at.field("path"), cx);
        match (self.kind, &self.model, &self.service) {
            (RouteKind::Chat, _, Some(_)) => {
                cx.report(at.field("service"), "a chat route has no `service`".into());
            }
            (RouteKind::Service, Some(_), _) => {
                cx.report(at.field("model"), "a service route has no `model`".into());
            }
            (RouteKind::Service, None, None) => {
                cx.report(at.field("service"), "missing field `service` of a service route".into());
            }
            _ => {}
        }
        if let Some(service) = &self.service {
            check_name(service, at.field("service"), cx);
        }
        if let NonIdempotent::Methods(methods) = &self.non_idempotent {
            check_methods(methods, at.field("non_idempotent"), cx);
        }
        let millisecond = Duration::from_millis(1);
        check_duration(self.timeout, millisecond, MAX_TIMEOUT, at.field("timeout"), cx);
        check_range(self.max_body, ByteSize::from_bytes(1), MAX_BODY, at.field("max_body"), cx);
        check_range(self.max_queue, 0, MAX_QUEUED_REQUESTS, at.field("max_queue"), cx);
    }
}

fn check_path(path: &str, at: Location, cx: &mut Checker<'_>) {
    let is_path_byte = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
    let is_dot_segment = |segment: &str| matches!(segment, "." | "..");
    let message = if !path.starts_with('/') {
        "a path starts with '/'".to_owned()
    } else if path.len() > MAX_PATH_BYTES {
        format!("a path has at most {MAX_PATH_BYTES} bytes")
    } else if !path.bytes().all(is_path_byte) {
        "a path has visible ASCII characters only, without '?' and '#'".to_owned()
    } else if path.contains("//") || path.split('/').any(is_dot_segment) {
        "a path has no empty segment, no \".\" and no \"..\"".to_owned()
    } else if let Some(reserved) = RESERVED_PATHS.iter().find(|reserved| is_below(path, reserved)) {
        format!("the path `{reserved}` is reserved")
    } else {
        return;
    };
    cx.report(at, message);
}

/// Whether `path` is `base` or a path below it.
fn is_below(path: &str, base: &str) -> bool {
    trim_final_slash(path)
        .strip_prefix(base)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn check_methods<T: AsRef<str>>(methods: &[T], at: Location, cx: &mut Checker<'_>) {
    check_sorted(methods, at, cx);
    for (i, method) in methods.iter().map(AsRef::as_ref).enumerate() {
        if HTTP_METHODS.contains(&method) {
            continue;
        }
        let upper = method.to_ascii_uppercase();
        let hint = nearest(&upper, HTTP_METHODS).map(|near| format!("; did you mean {near:?}?"));
        let message = format!("unknown method {method:?}{}", hint.unwrap_or_default());
        cx.report(at.element(i), message);
    }
}

impl ObjectRules for Endpoint {
    fn check_object(&self, at: Location, cx: &mut Checker<'_>) {
        check_address(self.address, at.field("address"), cx);
        match &self.serves {
            Serves::Models(models) if models.is_empty() => {
                cx.report(at.field("models"), "`models` is empty".into());
            }
            Serves::Models(models) => check_sorted(models, at.field("models"), cx),
            Serves::Service(service) => check_name(service, at.field("service"), cx),
        }
        check_range(self.capacity, 1, MAX_CAPACITY_REQUESTS, at.field("capacity"), cx);
        let at_cold = at.field("cold_capacity");
        if self.cold_capacity < 1 {
            check_range(self.cold_capacity, 1, self.capacity, at_cold, cx);
        } else if self.cold_capacity > self.capacity {
            let message = format!(
                "`cold_capacity` is {}, above `capacity` {}",
                self.cold_capacity, self.capacity
            );
            cx.report(at_cold, message);
        }
        check_duration(self.ramp, Duration::ZERO, MAX_RAMP, at.field("ramp"), cx);
    }
}

fn check_address(address: SocketAddr, at: Location, cx: &mut Checker<'_>) {
    if address.port() == 0 {
        cx.report(at, "the address has port 0".into());
    } else if address.ip().is_unspecified() || address.ip().is_multicast() {
        cx.report(at, "the address does not belong to one host".into());
    }
}

impl ObjectRules for Model {
    fn check_object(&self, at: Location, cx: &mut Checker<'_>) {
        let at_output = at.field("max_output");
        check_range(self.max_context, 1, MAX_CONTEXT_TOKENS, at.field("max_context"), cx);
        if self.max_output > self.max_context {
            let message = format!(
                "`max_output` is {}, above `max_context` {}",
                self.max_output, self.max_context
            );
            cx.report(at_output, message);
        } else {
            check_range(self.max_output, 1, MAX_CONTEXT_TOKENS, at_output, cx);
        }
        let is_version = |v: &str| !v.is_empty() && v.len() <= MAX_VERSION_BYTES;
        if !is_version(&self.version) || !self.version.bytes().all(|b| b.is_ascii_graphic()) {
            let message =
                format!("a version has 1 to {MAX_VERSION_BYTES} visible ASCII characters");
            cx.report(at.field("version"), message);
        }
        check_sorted(&self.aliases, at.field("aliases"), cx);
        for (i, alias) in self.aliases.iter().enumerate() {
            check_name(alias, at.field("aliases").element(i), cx);
        }
    }
}

impl ObjectRules for Zone {
    fn check_object(&self, _: Location, _: &mut Checker<'_>) {}
}

impl ObjectRules for Budget {
    fn check_object(&self, at: Location, cx: &mut Checker<'_>) {
        check_range(self.tokens, 1, MAX_BUDGET_TOKENS, at.field("tokens"), cx);
        check_range(self.turns, 1, MAX_TURNS, at.field("turns"), cx);
        let second = Duration::from_secs(1);
        check_duration(self.lifetime, second, MAX_LIFETIME, at.field("lifetime"), cx);
    }
}

impl ObjectRules for Operator {
    fn check_object(&self, _: Location, _: &mut Checker<'_>) {}
}
