//! Measures the overhead of an instance, compared with calls sent directly to the endpoint.
//!
//! One instance, two mock endpoints and this load generator run as separate processes on loopback.
//! Run with `cargo bench --bench overhead`. Each figure is printed next to that of direct calls in
//! the same run, since other load on the machine affects both.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use support::Fleet;
use tokio::{net::TcpStream, task::JoinSet, time::interval};

const RUN_TIME: Duration = Duration::from_secs(4);
const CONNECTIONS: [usize; 3] = [1, 64, 512];
const OPEN_LOOP_RATE: u32 = 3000;
const OPEN_LOOP_CONNECTIONS: u32 = 60;
const STREAMS: usize = 2000;
const STREAM_TOKENS: usize = 60;
const NANOS_PER_MICRO: f64 = 1000.0;

fn main() {
    // `cargo bench` passes `--bench`; `cargo test --benches` does not and must not measure.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("failed to start the runtime").block_on(run());
}

async fn run() {
    let mut fleet = Fleet::prepare(1, 0).await;
    fleet.objects.rate = (1_000_000, 1_000_000);
    let engine = ["--token-interval", "50ms", "--token-interval-per-call", "0ms"];
    let wide = ["--capacity", "8192", "--prefill-per-token", "0ms"];
    fleet.add_mock_endpoint("engine-1", "engine", &[&engine[..], &wide[..]].concat());
    fleet.add_mock_endpoint("orders-1", "service", &[]);
    fleet.objects.capacity = 8192;
    fleet.start_all().await;
    fleet.publish_and_wait().await;
    fleet.check_mock_endpoints();
    let target = Target {
        entry: fleet.members[0].entry,
        service: fleet.mock_endpoints[1].address,
        engine: fleet.mock_endpoints[0].address,
        key: fleet.objects.team_key().to_owned(),
        instance: fleet.members[0].process.as_ref().expect("process is not running").id(),
    };
    closed_loop(&target).await;
    open_loop(&target).await;
    streams(&target).await;
}

/// Addresses and credentials for the load.
struct Target {
    entry: SocketAddr,
    service: SocketAddr,
    engine: SocketAddr,
    key: String,
    /// Process id of the instance.
    instance: u32,
}

async fn closed_loop(target: &Target) {
    println!("closed loop, small idempotent calls:");
    println!(
        "{:>12} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>14}",
        "connections",
        "direct/s",
        "p50 us",
        "p99 us",
        "through/s",
        "p50 us",
        "p99 us",
        "us core/call"
    );
    for connections in CONNECTIONS {
        let direct = load(target.service, &target.key, connections).await;
        let before = cpu_seconds(target.instance);
        let through = load(target.entry, &target.key, connections).await;
        let cpu = cpu_seconds(target.instance) - before;
        println!(
            "{connections:>12} {:>10.0} {:>10.0} {:>10.0} {:>10.0} {:>10.0} {:>10.0} {:>14.1}",
            rate(&direct),
            micros(&direct, 0.5),
            micros(&direct, 0.99),
            rate(&through),
            micros(&through, 0.5),
            micros(&through, 0.99),
            cpu * 1e6 / through.len() as f64,
        );
    }
}

async fn open_loop(target: &Target) {
    println!("open loop, {OPEN_LOOP_RATE} calls/s on {OPEN_LOOP_CONNECTIONS} connections:");
    let direct = paced_load(target.service, &target.key).await;
    let through = paced_load(target.entry, &target.key).await;
    for (name, h) in [("direct", &direct), ("through", &through)] {
        let (p50, p99) = (micros(h, 0.5), micros(h, 0.99));
        println!("{name:>8}: {} calls, p50 {p50:.0} us, p99 {p99:.0} us", h.len());
    }
    println!("   added: p99 {:.0} us", micros(&through, 0.99) - micros(&direct, 0.99));
}

async fn streams(target: &Target) {
    println!("{STREAMS} open streams, one token every 50 ms each:");
    let direct = stream_load(target.engine, &target.key).await;
    let before = resident_kib(target.instance);
    let sampler = tokio::spawn(peak_resident(target.instance));
    let through = stream_load(target.entry, &target.key).await;
    sampler.abort();
    let peak = sampler
        .await
        .unwrap_or_else(|_| PEAK_RESIDENT_KIB.load(std::sync::atomic::Ordering::Relaxed));
    for (name, h) in [("direct", &direct), ("through", &through)] {
        let (p50, p95) = (micros(h, 0.5), micros(h, 0.95));
        println!("{name:>8}: {} gaps, p50 {p50:.0} us, p95 {p95:.0} us", h.len());
    }
    println!("   added: p95 {:.0} us", micros(&through, 0.95) - micros(&direct, 0.95));
    let per_stream = (peak.saturating_sub(before)) as f64 / STREAMS as f64;
    println!("  memory: {before} KiB before, {peak} KiB at the peak, {per_stream:.1} KiB a stream");
}

static PEAK_RESIDENT_KIB: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// Samples the resident memory of a process into [`PEAK_RESIDENT_KIB`] until it is aborted.
async fn peak_resident(pid: u32) -> u64 {
    loop {
        PEAK_RESIDENT_KIB.fetch_max(resident_kib(pid), std::sync::atomic::Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

type Sender = http1::SendRequest<Full<Bytes>>;

async fn connect(address: SocketAddr) -> Sender {
    let stream = TcpStream::connect(address).await.expect("failed to connect");
    stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.expect("HTTP handshake failed");
    tokio::spawn(connection);
    sender
}

fn small_call(address: SocketAddr, key: &str) -> Request<Full<Bytes>> {
    Request::get("/orders")
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {key}"))
        .body(Full::default())
        .expect("invalid request")
}

async fn call(sender: &mut Sender, request: Request<Full<Bytes>>) -> Duration {
    let started = Instant::now();
    let response = sender.send_request(request).await.expect("no response");
    assert!(response.status().is_success(), "status {}", response.status());
    response.into_body().collect().await.expect("incomplete response");
    started.elapsed()
}

fn record(h: &mut Histogram<u64>, elapsed: Duration) {
    h.saturating_record(elapsed.as_nanos() as u64);
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(100, 60_000_000_000, 3).expect("invalid bounds")
}

async fn merge(mut workers: JoinSet<Histogram<u64>>) -> Histogram<u64> {
    let mut all = new_histogram();
    while let Some(h) = workers.join_next().await {
        all.add(h.expect("task panicked")).expect("bounds differ");
    }
    all
}

/// Closed loop: each connection sends its next call when the previous one has completed.
async fn load(address: SocketAddr, key: &str, connections: usize) -> Histogram<u64> {
    let until = Instant::now() + RUN_TIME;
    let key: Arc<str> = key.into();
    let mut workers = JoinSet::new();
    for _ in 0..connections {
        let key = key.clone();
        workers.spawn(async move {
            let mut h = new_histogram();
            let mut sender = connect(address).await;
            while Instant::now() < until {
                sender.ready().await.expect("connection was closed");
                record(&mut h, call(&mut sender, small_call(address, &key)).await);
            }
            h
        });
    }
    merge(workers).await
}

/// Open loop: calls at a fixed rate. Latency is measured from when a call is sent, not from when it
/// was due.
async fn paced_load(address: SocketAddr, key: &str) -> Histogram<u64> {
    let until = Instant::now() + RUN_TIME;
    let key: Arc<str> = key.into();
    let mut workers = JoinSet::new();
    let period = Duration::from_secs(1) * OPEN_LOOP_CONNECTIONS / OPEN_LOOP_RATE;
    for worker in 0..OPEN_LOOP_CONNECTIONS {
        let key = key.clone();
        workers.spawn(async move {
            let mut h = new_histogram();
            let mut sender = connect(address).await;
            tokio::time::sleep(period * worker / OPEN_LOOP_CONNECTIONS).await;
            let mut due = Instant::now();
            while due < until {
                tokio::time::sleep_until(due.into()).await;
                let started = Instant::now();
                sender.ready().await.expect("connection was closed");
                call(&mut sender, small_call(address, &key)).await;
                record(&mut h, started.elapsed());
                due += period;
            }
            h
        });
    }
    merge(workers).await
}

/// Opens [`STREAMS`] streams and records the time between their events.
async fn stream_load(address: SocketAddr, key: &str) -> Histogram<u64> {
    let key: Arc<str> = key.into();
    let mut workers = JoinSet::new();
    let mut starts = interval(Duration::from_millis(1));
    for _ in 0..STREAMS {
        starts.tick().await;
        let key = key.clone();
        workers.spawn(async move { stream_gaps(address, &key).await });
    }
    merge(workers).await
}

async fn stream_gaps(address: SocketAddr, key: &str) -> Histogram<u64> {
    let mut h = new_histogram();
    let mut sender = connect(address).await;
    let body = serde_json::json!({
        "model": "chat-model", "max_tokens": STREAM_TOKENS, "stream": true,
        "messages": [{"role": "user", "content": "hello"}],
    });
    let request = Request::post("/v1/chat/completions")
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {key}"))
        .body(Full::from(body.to_string()))
        .expect("invalid request");
    let response = sender.send_request(request).await.expect("no response");
    assert!(response.status().is_success(), "status {}", response.status());
    let mut body = response.into_body();
    let mut last: Option<Instant> = None;
    while let Some(frame) = body.frame().await {
        frame.expect("stream was cut");
        let now = Instant::now();
        if let Some(last) = last {
            record(&mut h, now - last);
        }
        last = Some(now);
    }
    h
}

fn micros(h: &Histogram<u64>, quantile: f64) -> f64 {
    h.value_at_quantile(quantile) as f64 / NANOS_PER_MICRO
}

fn rate(h: &Histogram<u64>) -> f64 {
    h.len() as f64 / RUN_TIME.as_secs_f64()
}

/// User and system time of a process in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat =
        std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("cannot read from /proc");
    let after_name = stat.rsplit_once(") ").expect("no process name in brackets").1;
    let field = |n: usize| after_name.split(' ').nth(n).and_then(|f| f.parse::<f64>().ok());
    (field(11).expect("no user time") + field(12).expect("no system time")) / TICKS_PER_SECOND
}

/// Resident memory of a process in KiB (`VmRSS`).
fn resident_kib(pid: u32) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{pid}/status")).expect("cannot read from /proc");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("no VmRSS line");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("not a number")
}
