//! Requests and grants of rate tokens.

use std::{collections::VecDeque, time::Duration};

use poplarspan_policy::{
    Name,
    rate::{
        Admission, Answer, Grant, GrantId, InstanceBucket, InstanceBucketConfig, Limit,
        MIN_VALIDITY, OwnedBuckets, OwnerBucket, TokenRequest, View,
    },
};
use poplarspan_proto::peer::{self, rate_answer, rate_request, request, response};
use prost::Message;

use crate::{resident, timed};

const ONE_WAY: Duration = Duration::from_millis(1);
const RUN: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_micros(100);

fn ask_bytes(ask: &TokenRequest) -> usize {
    let report = |r: &poplarspan_policy::rate::Report| peer::RateReport {
        session: r.grant.session,
        number: r.grant.number,
        used: r.used,
        returned: r.returned,
    };
    let ask = peer::RateAsk {
        id: ask.id,
        instance: ask.instance.to_string(),
        waiting: ask.waiting,
        spare: ask.prefetch,
        reports: ask.reports.iter().map(report).collect(),
    };
    let body = Some(rate_request::Body::Ask(ask));
    let rate = peer::RateRequest { team: "team-00007".into(), body };
    peer::Request { body: Some(request::Body::Rate(rate)) }.encoded_len()
}

fn grant_bytes(grant: &Grant) -> usize {
    let grant = peer::RateGrant {
        session: grant.id.session,
        number: grant.id.number,
        tokens: grant.tokens,
        valid_for_us: grant.valid_for.as_micros() as u64,
        retry_after_us: grant.retry_after.as_micros() as u64,
        backlog: grant.backlog,
    };
    let rate = peer::RateAnswer { body: Some(rate_answer::Body::Grant(grant)) };
    peer::Response { body: Some(response::Body::Rate(rate)) }.encoded_len()
}

/// Simulates one instance with evenly spaced calls of one team, at 90% of the team's rate, in
/// virtual time.
pub(crate) fn asks(calls_per_second: u64, burst: u64) {
    let limit = Limit::new(calls_per_second as f64 / 0.9, burst as u32);
    let mut share =
        InstanceBucket::new("instance-100".into(), limit, InstanceBucketConfig::default());
    let mut owner = OwnerBucket::new(limit, MIN_VALIDITY, burst as f64, Duration::ZERO);
    let mut requests: VecDeque<(Duration, TokenRequest)> = VecDeque::new();
    let mut replies: VecDeque<(Duration, u64, Grant)> = VecDeque::new();
    let (mut now, mut calls, mut waited, mut refused) = (Duration::ZERO, 0u64, 0u64, 0u64);
    let (mut sent, mut ask_total, mut grant_total, mut number) = (0u64, 0, 0, 0);
    while now < RUN {
        now += STEP;
        while calls < (now.as_secs_f64() * calls_per_second as f64) as u64 {
            calls += 1;
            match share.acquire(now + Duration::from_secs(1), now) {
                Admission::Granted(_) => {}
                Admission::Wait(_) => waited += 1,
                Admission::Refused { .. } => refused += 1,
            }
        }
        share.expire(now);
        if let Some(ask) = share.poll(now) {
            sent += 1;
            ask_total += ask_bytes(&ask);
            requests.push_back((now + ONE_WAY, ask));
        }
        while requests.front().is_some_and(|(at, _)| *at <= now) {
            let (_, ask) = requests.pop_front().expect("not empty");
            number += 1;
            let id = GrantId { session: 1_780_000_000_000_000, number };
            let grant = owner.request(id, &ask, now);
            grant_total += grant_bytes(&grant);
            replies.push_back((now + ONE_WAY, ask.id, grant));
        }
        while replies.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, ask, grant) = replies.pop_front().expect("not empty");
            share.on_grant(ask, &grant, now);
        }
    }
    println!(
        "{calls_per_second} calls/s, burst {burst}: {:.2} asks/s, {:.3} asks a call, ask {} bytes, \
         grant {} bytes, {waited} of {calls} calls waited, {refused} refused",
        sent as f64 / RUN.as_secs_f64(),
        sent as f64 / calls as f64,
        ask_total as u64 / sent.max(1),
        grant_total as u64 / number.max(1),
    );
}

/// Measures memory and time of an owner of `teams` buckets, none of which is full.
pub(crate) fn owner(teams: u64) {
    let me: Name = "instance-100".into();
    let mut owners = OwnedBuckets::new(me.clone(), 1, Duration::from_secs(2), MIN_VALIDITY);
    let view = View { epoch: 1, instances: vec![me.clone()] };
    owners.observe_view(&view, Duration::ZERO);
    let names: Vec<Name> = (0..teams).map(|i| format!("team-{i:05}").into()).collect();
    let limit = Limit::new(5.0, 50);
    let base = resident();
    let ask = |id| TokenRequest {
        id,
        instance: me.clone(),
        waiting: 1,
        prefetch: 0,
        reports: Vec::new(),
    };
    let now = Duration::from_secs(100);
    let all = |owners: &mut OwnedBuckets, id| {
        for name in &names {
            let answer = owners.request(name, limit, &ask(id), now);
            assert!(matches!(answer, Answer::Granted(_)));
        }
    };
    timed("first ask of a team", teams, || all(&mut owners, 1));
    println!("{teams} teams: {} bytes resident a team", (resident() - base) / teams);
    timed("later ask of a team", teams, || all(&mut owners, 2));
    timed("prune", 1, || owners.prune(now));
    let instances: Vec<Name> = (0..360).map(|i| format!("instance-{i:03}").into()).collect();
    timed("rendezvous hash of a team over 360 instances", teams, || {
        for name in &names {
            std::hint::black_box(poplarspan_policy::rate::owner_of(name, &instances));
        }
    });
    let view = View { epoch: 2, instances: vec![me.clone(), "instance-101".into()] };
    timed("change of the view", 1, || owners.observe_view(&view, now));
}
