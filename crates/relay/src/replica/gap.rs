//! How long a group has had no leader that may serve, as one voter sees it, and why.

use std::time::Duration;

use poplarspan_agreement::{Leadership, Role};
use tokio::time::Instant;

/// A gap of this length is logged while it lasts; several elections long.
const LONG_GAP: Duration = Duration::from_secs(3);
/// Time in milliseconds without a leader that may serve, by group and reason.
const GAP_METRIC: &str = "poplarspan_group_unserved_ms_total";

/// Why a group cannot be served.
fn reason(view: Leadership) -> Option<&'static str> {
    match view {
        Leadership { role: Role::Leader, lease: true, .. } => None,
        Leadership { role: Role::Leader, .. } => Some("this replica leads without a lease"),
        Leadership { leader: None, .. } => Some("no leader is known"),
        _ => None,
    }
}

/// Measures the gaps of one group.
#[derive(Debug)]
pub(super) struct ServiceGap {
    group: u32,
    /// Start and last reason of the current gap, and whether it was logged.
    current: Option<(Instant, &'static str, bool)>,
    checked_at: Instant,
}

impl ServiceGap {
    pub(super) fn new(group: u32) -> Self {
        Self { group, current: None, checked_at: Instant::now() }
    }

    /// Records the state of the group at this time. A replica that is no voter hears of no leader.
    pub(super) fn check(&mut self, view: Leadership, is_voter: bool) {
        let now = Instant::now();
        let elapsed = now - std::mem::replace(&mut self.checked_at, now);
        let group = self.group;
        let Some(reason) = reason(view).filter(|_| is_voter) else {
            if let Some((since, reason, true)) = self.current.take() {
                let ms = (now - since).as_millis() as u64;
                log::info!(group, ms, reason; "group has a leader that may serve again");
            }
            return;
        };
        let label = group.to_string();
        metrics::counter!(GAP_METRIC, "group" => label, "reason" => reason)
            .increment(elapsed.as_millis() as u64);
        let (since, last, is_logged) = self.current.get_or_insert((now, reason, false));
        *last = reason;
        if !*is_logged && now - *since >= LONG_GAP {
            *is_logged = true;
            let ms = (now - *since).as_millis() as u64;
            log::warn!(group, ms, reason; "group has no leader that may serve");
        }
    }
}
