//! Conversion between rate messages of the protocol and of the policy.

use std::time::Duration;

use poplarspan_objects::Name;
use poplarspan_policy::rate::{Claim, Grant, GrantId, Report, TokenRequest, Transfer};
use poplarspan_proto::peer;

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

pub(super) fn encode_ask(ask: &TokenRequest) -> peer::RateAsk {
    let report = |r: &Report| peer::RateReport {
        session: r.grant.session,
        number: r.grant.number,
        used: r.used,
        returned: r.returned,
    };
    peer::RateAsk {
        id: ask.id,
        instance: ask.instance.to_string(),
        waiting: ask.waiting,
        spare: ask.prefetch,
        reports: ask.reports.iter().map(report).collect(),
    }
}

pub(super) fn decode_ask(ask: peer::RateAsk) -> TokenRequest {
    let report = |r: peer::RateReport| Report {
        grant: GrantId { session: r.session, number: r.number },
        used: r.used,
        returned: r.returned,
    };
    TokenRequest {
        id: ask.id,
        instance: ask.instance.into(),
        waiting: ask.waiting,
        prefetch: ask.spare,
        reports: ask.reports.into_iter().map(report).collect(),
    }
}

pub(super) fn encode_grant(grant: &Grant) -> peer::RateGrant {
    peer::RateGrant {
        session: grant.id.session,
        number: grant.id.number,
        tokens: grant.tokens,
        // Rounded down: the token must not be valid longer at the requester than at the owner.
        valid_for_us: micros(grant.valid_for),
        retry_after_us: micros(grant.retry_after),
        backlog: grant.backlog,
    }
}

pub(super) fn decode_grant(grant: &peer::RateGrant) -> Grant {
    Grant {
        id: GrantId { session: grant.session, number: grant.number },
        tokens: grant.tokens,
        valid_for: Duration::from_micros(grant.valid_for_us),
        retry_after: Duration::from_micros(grant.retry_after_us),
        backlog: grant.backlog,
    }
}

pub(super) fn encode_claim(claim: &Claim) -> peer::RateClaim {
    peer::RateClaim { to: claim.to.to_string(), session: claim.session, epoch: claim.epoch }
}

pub(super) fn decode_claim(team: &Name, claim: peer::RateClaim) -> Claim {
    let (session, epoch) = (claim.session, claim.epoch);
    Claim { team: team.clone(), to: claim.to.into(), session, epoch }
}

pub(super) fn encode_transfer(transfer: &Transfer) -> peer::RateTransfer {
    peer::RateTransfer {
        level_nano: transfer.level_nano,
        outstanding: transfer.outstanding,
        // Rounded up: the new owner must count grants for at least as long as the previous one.
        valid_for_us: micros(transfer.valid_for).saturating_add(1),
    }
}

pub(super) fn decode_transfer(claim: Claim, transfer: &peer::RateTransfer) -> Transfer {
    Transfer {
        claim,
        level_nano: transfer.level_nano,
        outstanding: transfer.outstanding,
        valid_for: Duration::from_micros(transfer.valid_for_us),
    }
}
