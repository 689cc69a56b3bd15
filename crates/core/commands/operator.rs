//! Commands that operators run against a fleet.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::{Context, Result, bail};
use poplarspan_objects::{Change, ObjectSet, Record};
use poplarspan_proto::peer::{self, FailureCode, request, response};
use poplarspan_server::{CallError, Credentials, PeerClient};
use tokio::time::{Instant, sleep};

use super::files;
use crate::flags::{OperatorFlags, PublishFlags, ReplaceVoterFlags, StatusFlags};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const REPLACE_TIMEOUT: Duration = Duration::from_secs(90);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Client that sends requests to the leader of group 0.
struct FleetClient {
    client: PeerClient,
    control: SocketAddr,
    target: SocketAddr,
    key: String,
    deadline: Instant,
    call_timeout: Duration,
}

impl FleetClient {
    fn open(flags: &OperatorFlags) -> Result<Self> {
        let credentials = Credentials::load(&flags.tls.files())?;
        let local: SocketAddr =
            if flags.control.is_ipv4() { "0.0.0.0:0".parse()? } else { "[::]:0".parse()? };
        let key = match &flags.operator_key_file {
            Some(path) => std::fs::read_to_string(path)
                .with_context(|| format!("cannot read {}", path.display()))?
                .trim()
                .to_owned(),
            None => String::new(),
        };
        Ok(Self {
            client: PeerClient::new(&credentials, local)?,
            control: flags.control,
            target: flags.control,
            key,
            deadline: Instant::now() + flags.timeout,
            call_timeout: CALL_TIMEOUT,
        })
    }

    /// Sends a request to the leader, and retries until the deadline while the leader is unknown or
    /// unavailable, or the outcome is unknown. All operator requests are safe to retry:
    /// publications are deduplicated by their request id.
    async fn call(&mut self, body: request::Body) -> Result<response::Body> {
        let mut redirected = false;
        loop {
            let error = match self.client.call(self.target, body.clone(), self.call_timeout).await {
                Ok(answer) => return Ok(answer),
                Err(e) => e,
            };
            self.target = self.control;
            match &error {
                CallError::Failed(failure) => match failure.code() {
                    FailureCode::NotLeader => {
                        if let Ok(leader) = failure.leader_address.parse() {
                            self.target = leader;
                            // Follow only the first redirect at once; replicas with outdated
                            // views may redirect to each other.
                            if !std::mem::replace(&mut redirected, true) {
                                continue;
                            }
                        }
                    }
                    FailureCode::UnknownOutcome | FailureCode::Unavailable => {}
                    _ => bail!("{}", failure.message),
                },
                CallError::Unreachable { .. } | CallError::Unknown { .. } => {}
            }
            if Instant::now() + RETRY_INTERVAL > self.deadline {
                return Err(error.into());
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    async fn status(&mut self) -> Result<peer::StatusReply> {
        let request = peer::StatusRequest { operator_key: self.key.clone() };
        match self.call(request::Body::Status(request)).await? {
            response::Body::Status(status) => Ok(status),
            _ => bail!("unexpected response type"),
        }
    }
}

/// Fetches the objects in force and their generation.
pub(crate) async fn fetch(flags: &OperatorFlags) -> Result<(u64, ObjectSet)> {
    let mut fleet = FleetClient::open(flags)?;
    let get = peer::GetObjects { operator_key: fleet.key.clone() };
    let reply = match fleet.call(request::Body::GetObjects(get)).await? {
        response::Body::Objects(reply) => reply,
        _ => bail!("unexpected response type"),
    };
    let records = reply.objects.iter().map(decode_record).collect::<Result<Vec<_>>>()?;
    let set = ObjectSet::from_records(&records).map_err(|e| anyhow::anyhow!("{e}"))?;
    Ok((reply.generation, set))
}

fn decode_record(change: &peer::Change) -> Result<Record> {
    let kind =
        change.kind.parse().with_context(|| format!("invalid object kind {}", change.kind))?;
    let body = change.body.clone().context("object has no body")?;
    Ok(Record { kind, name: change.name.as_str().into(), body })
}

pub(crate) async fn get(flags: OperatorFlags) -> Result<ExitCode> {
    let (generation, set) = fetch(&flags).await?;
    println!("generation {generation}");
    for record in set.records() {
        println!("{} {}", record.kind, String::from_utf8_lossy(&record.body));
    }
    Ok(ExitCode::SUCCESS)
}

pub(crate) async fn publish(flags: PublishFlags) -> Result<ExitCode> {
    let Some(set) = files::read_and_check(&flags.files.files)? else {
        return Ok(ExitCode::FAILURE);
    };
    let mut fleet = FleetClient::open(&flags.operator)?;
    let objects = ObjectSet::default().diff(&set).iter().map(encode_change).collect();
    let publish = peer::Publish {
        expected_generation: flags.expect_generation,
        request_id: flags.request_id,
        operator_key: fleet.key.clone(),
        objects,
    };
    let result = match fleet.call(request::Body::Publish(publish)).await? {
        response::Body::Publish(result) => result,
        _ => bail!("unexpected response type"),
    };
    if !result.accepted {
        eprintln!(
            "not published: generation {} was published by {}",
            result.generation,
            if result.winner.is_empty() { "nobody" } else { &result.winner }
        );
        return Ok(ExitCode::FAILURE);
    }
    println!("published as generation {}", result.generation);
    if !flags.no_wait {
        wait_until_in_force(&mut fleet, result.generation).await?;
        println!("in force on every live instance");
    }
    Ok(ExitCode::SUCCESS)
}

async fn wait_until_in_force(fleet: &mut FleetClient, generation: u64) -> Result<()> {
    loop {
        let status = fleet.status().await?;
        // A newer generation includes this one or replaces it.
        if status.generation >= generation && status.in_force {
            return Ok(());
        }
        if Instant::now() > fleet.deadline {
            bail!("published, but not confirmed in force everywhere yet; run `poplarspan status`");
        }
        sleep(RETRY_INTERVAL / 4).await;
    }
}

/// Encodes a change for the peer protocol.
pub(crate) fn encode_change(change: &Change) -> peer::Change {
    match change {
        Change::Upsert(record) => peer::Change {
            kind: record.kind.to_string(),
            name: record.name.to_string(),
            body: Some(record.body.clone()),
        },
        Change::Remove { kind, name } => {
            peer::Change { kind: kind.to_string(), name: name.to_string(), body: None }
        }
    }
}

pub(crate) async fn status(flags: StatusFlags) -> Result<ExitCode> {
    let mut fleet = FleetClient::open(&flags.operator)?;
    let status = fleet.status().await?;
    if flags.json {
        println!("{}", status_json(&status));
    } else {
        print_status(&status);
    }
    Ok(if status.warnings.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(3) })
}

fn print_status(status: &peer::StatusReply) {
    let in_force = if status.in_force { "in force" } else { "not in force everywhere yet" };
    println!("generation {} ({in_force}), epoch {}", status.generation, status.epoch);
    println!("leader: replica {}", status.leader);
    println!("\n{:<24} {:<12} {:>10} {:>9}  ADDRESS", "INSTANCE", "ZONE", "GENERATION", "LEASE");
    for instance in &status.instances {
        let Some(member) = &instance.member else { continue };
        println!(
            "{:<24} {:<12} {:>10} {:>6} ms  {}{}",
            member.instance,
            member.zone,
            instance.generation,
            instance.lease_remaining_ms,
            member.peer_address,
            if member.draining { " (draining)" } else { "" }
        );
    }
    println!(
        "\n{:<8} {:<6} {:<10} {:<12} {:>6} {:>10}",
        "REPLICA", "GROUP", "ROLE", "ZONE", "TERM", "COMMITTED"
    );
    for r in &status.replicas {
        println!(
            "{:<8} {:<6} {:<10} {:<12} {:>6} {:>10}",
            r.replica, r.group, r.role, r.zone, r.term, r.commit_index
        );
    }
    println!("\n{:<24} {:<12} STATE", "ENDPOINT", "ZONE");
    for e in &status.endpoints {
        println!("{:<24} {:<12} {}", e.endpoint, e.zone, e.state);
    }
    for warning in &status.warnings {
        println!("\nwarning: {warning}");
    }
}

fn status_json(status: &peer::StatusReply) -> serde_json::Value {
    let instances = status.instances.iter().map(|i| {
        let member = i.member.clone().unwrap_or_default();
        serde_json::json!({
            "instance": member.instance, "zone": member.zone, "address": member.peer_address,
            "draining": member.draining, "generation": i.generation,
            "lease_remaining_ms": i.lease_remaining_ms,
        })
    });
    let replicas = status.replicas.iter().map(|r| {
        serde_json::json!({
            "replica": r.replica, "group": r.group, "role": r.role, "zone": r.zone,
            "term": r.term, "commit_index": r.commit_index, "voter": r.voter,
        })
    });
    let endpoints = status
        .endpoints
        .iter()
        .map(|e| serde_json::json!({"endpoint": e.endpoint, "zone": e.zone, "state": e.state}));
    serde_json::json!({
        "leader": status.leader, "generation": status.generation, "epoch": status.epoch,
        "in_force": status.in_force, "instances": instances.collect::<Vec<_>>(),
        "replicas": replicas.collect::<Vec<_>>(), "endpoints": endpoints.collect::<Vec<_>>(),
        "warnings": status.warnings,
    })
}

pub(crate) async fn replace_voter(flags: ReplaceVoterFlags) -> Result<ExitCode> {
    let mut fleet = FleetClient::open(&flags.operator)?;
    let request = peer::ReplaceVoter {
        operator_key: fleet.key.clone(),
        old: flags.old,
        new: flags.new,
        new_address: flags.new_address.to_string(),
    };
    // The new replica has to catch up with the log first.
    fleet.deadline = fleet.deadline.max(Instant::now() + REPLACE_TIMEOUT);
    fleet.call_timeout = REPLACE_TIMEOUT;
    match fleet.call(request::Body::ReplaceVoter(request)).await? {
        response::Body::VoterReplaced(_) => {
            println!("replica {} has replaced replica {}", flags.new, flags.old);
            Ok(ExitCode::SUCCESS)
        }
        _ => bail!("unexpected response type"),
    }
}
