//! Runs an instance with mock endpoints and sample objects in one process.

use std::{
    io::{self, Write},
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use anyhow::{Context, Result, bail};
use poplarspan_objects::{ObjectSet, Secret, Source, generate_secret};
use poplarspan_proto::peer::{self, request, response};
use poplarspan_server::{
    Credentials, Instance, InstanceConfig, Limits, PeerClient, Running, TlsFiles, init_data_folder,
};
use poplarspan_standin::{Engine, EngineConfig, Service};
use tokio::net::TcpListener;

use super::{certs, serve};
use crate::flags::DevFlags;

/// The sample objects. Endpoint addresses and the key digest are replaced at run time.
const SAMPLE_OBJECTS: &str = include_str!("../../../examples/dev.toml");
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const PUBLISH_ATTEMPTS: usize = 50;
const PUBLISH_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time until the published objects are in force.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) async fn run(flags: DevFlags) -> Result<ExitCode> {
    let folder = tempfile::tempdir().context("cannot create a temporary folder")?;
    let engine = start_engine().await?;
    let orders = start_order_service().await?;
    let key = generate_secret()?;
    let objects = sample_objects(&key, engine, orders)?;
    let tls = create_certificates(folder.path())?;
    let running = start_instance(folder.path(), &tls, flags.entry_address).await?;
    publish(&running, &tls, folder.path(), &objects).await?;
    let ready = tokio::time::timeout(READY_TIMEOUT, running.ready()).await;
    ready.context("timed out waiting for the sample objects to be in force")?;
    let text = usage_text(running.entry_address, running.probe_address, &key);
    if let Err(e) = io::stdout().write_all(text.as_bytes()) {
        // The reader may close the pipe after the first lines; the instance keeps serving calls.
        let error = e.to_string();
        log::warn!(error = error.as_str(); "cannot print the sample calls");
    }
    serve::run_until_signal(running).await
}

async fn start_engine() -> Result<SocketAddr> {
    let listener = TcpListener::bind(LOOPBACK).await?;
    let address = listener.local_addr()?;
    tokio::spawn(Arc::new(Engine::new(EngineConfig::default())).serve(listener));
    Ok(address)
}

async fn start_order_service() -> Result<SocketAddr> {
    let listener = TcpListener::bind(LOOPBACK).await?;
    let address = listener.local_addr()?;
    tokio::spawn(Arc::new(Service::default()).serve(listener));
    Ok(address)
}

/// Returns the sample objects with the addresses of the mock endpoints and the digest of
/// `key`.
fn sample_objects(key: &Secret, engine: SocketAddr, orders: SocketAddr) -> Result<ObjectSet> {
    let mut document: toml::Table =
        SAMPLE_OBJECTS.parse().context("cannot parse the sample objects")?;
    let mut set = |kind: &str, name: &str, field: &str, value: String| -> Result<()> {
        let objects = document.get_mut(kind).and_then(toml::Value::as_array_mut);
        let object = objects
            .into_iter()
            .flatten()
            .find(|o| o.get("name").and_then(toml::Value::as_str) == Some(name))
            .and_then(toml::Value::as_table_mut)
            .with_context(|| format!("the sample objects contain no {kind} {name}"))?;
        object.insert(field.to_owned(), value.into());
        Ok(())
    };
    set("endpoint", "engine-1", "address", engine.to_string())?;
    set("endpoint", "orders-1", "address", orders.to_string())?;
    set("key", "demo-1", "digest", key.digest().to_string())?;
    let text = toml::to_string(&document)?;
    poplarspan_objects::check(&[Source::new("examples/dev.toml", text)])
        .map_err(|findings| anyhow::anyhow!("{findings}"))
}

fn create_certificates(folder: &Path) -> Result<TlsFiles> {
    let folder = folder.join("tls");
    std::fs::create_dir(&folder)?;
    certs::create_all(&folder)?;
    Ok(TlsFiles {
        authority: folder.join("authority.pem"),
        certificate: folder.join("instance.pem"),
        key: folder.join("instance.key"),
    })
}

async fn start_instance(folder: &Path, tls: &TlsFiles, entry: SocketAddr) -> Result<Running> {
    let data_dir = folder.join("data");
    init_data_folder(&data_dir, 1, &[1]).await?;
    let cfg = InstanceConfig {
        name: "dev".into(),
        zone: "zone-1".into(),
        entry_address: entry,
        peer_address: LOOPBACK,
        advertise_address: None,
        probe_address: LOOPBACK,
        seeds: Vec::new(),
        replicas: Vec::new(),
        data_dir: Some(data_dir),
        tls: tls.clone(),
        limits: Limits::default(),
        drain_grace: Duration::ZERO,
        drain_timeout: Duration::from_secs(5),
    };
    Instance::new(cfg)?.start().await
}

async fn publish(
    running: &Running,
    tls: &TlsFiles,
    folder: &Path,
    objects: &ObjectSet,
) -> Result<()> {
    let tls = TlsFiles {
        certificate: folder.join("tls/operator.pem"),
        key: folder.join("tls/operator.key"),
        ..tls.clone()
    };
    let client = PeerClient::new(&Credentials::load(&tls)?, LOOPBACK)?;
    let objects = ObjectSet::default().diff(objects);
    let publish = peer::Publish {
        expected_generation: 0,
        request_id: "dev".to_owned(),
        operator_key: String::new(),
        objects: objects.iter().map(super::operator::encode_change).collect(),
    };
    for _ in 0..PUBLISH_ATTEMPTS {
        let body = request::Body::Publish(publish.clone());
        match client.call(running.peer_address, body, CALL_TIMEOUT).await {
            Ok(response::Body::Publish(result)) if result.accepted => return Ok(()),
            Ok(_) => bail!("the instance did not accept the sample objects"),
            Err(e) => log::debug!("cannot publish the sample objects yet: {e}"),
        }
        tokio::time::sleep(PUBLISH_RETRY_INTERVAL).await;
    }
    bail!("timed out publishing the sample objects")
}

fn usage_text(entry: SocketAddr, probe: SocketAddr, key: &Secret) -> String {
    let key = key.expose();
    format!(
        r#"Poplarspan serves calls at http://{entry}. Try:

  # A chat call
  curl -s http://{entry}/v1/chat/completions -H 'authorization: Bearer {key}' \
    -d '{{"model":"demo-chat","max_tokens":8,"messages":[{{"role":"user","content":"hello"}}]}}'

  # The first turn of a program, as a stream
  curl -sN http://{entry}/v1/chat/completions -H 'authorization: Bearer {key}' \
    -H 'x-poplarspan-program: trip-1' -H 'x-poplarspan-turn: 1' \
    -d '{{"model":"demo-chat","stream":true,"max_tokens":8,"messages":[{{"role":"user","content":"plan a trip"}}]}}'

  # The history of the program
  curl -s http://{entry}/v1/programs/trip-1/history -H 'authorization: Bearer {key}'

  # An order that runs at most once, even if it is sent again
  curl -s http://{entry}/orders/new -H 'authorization: Bearer {key}' \
    -H 'idempotency-key: order-1' -d '{{"item":"ticket"}}'

  # Metrics
  curl -s http://{probe}/metrics

Stop with Ctrl-C.
"#
    )
}
