//! Command line flags. Most of them can also be set by an environment variable.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use poplarspan_server::{Limits, ReplicaAddress, TlsFiles};
use poplarspan_standin::ModelVersion;

use crate::logging::LogOutput;

/// A scheduler for agent programs.
///
/// Accepts calls from agent programs and routes them to model engines and plain services. Keeps the
/// calls of each program in order, runs non-idempotent calls at most once, and shares capacity
/// fairly between teams.
///
/// To try it out, run `poplarspan dev`, which starts everything in one process.
#[derive(Debug, Parser)]
#[command(name = "poplarspan", version, max_term_width = 100)]
pub(crate) struct Flags {
    /// Log level: off, error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info", env = "POPLARSPAN_LOG_LEVEL")]
    pub(crate) log_level: log::LevelFilter,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run an instance.
    Serve(Box<ServeFlags>),
    /// Run an instance of a relay fleet.
    Node(NodeFlags),
    /// Validate object files without publishing them.
    Check(ObjectFileFlags),
    /// Show the changes that publishing object files would make.
    Diff(DiffFlags),
    /// Publish object files as the next generation.
    Publish(PublishFlags),
    /// Print the objects in force.
    Get(OperatorFlags),
    /// Print the state of instances, replicas and endpoints, and the generation in force.
    Status(StatusFlags),
    /// Create the data folder of a control replica.
    Init(InitFlags),
    /// Replace a control replica that has lost its disk.
    ReplaceVoter(ReplaceVoterFlags),
    /// Generate a key for a team or an operator.
    Keygen,
    /// Generate a certificate authority and certificates for the peer port.
    Certs(CertsFlags),
    /// Run a complete system in one process, to try it out.
    Dev(DevFlags),
    /// Run a mock endpoint, for tests.
    Endpoint(EndpointFlags),
    /// Print a shell completion script.
    Completions {
        /// Shell to generate the script for.
        shell: clap_complete::Shell,
    },
}

#[derive(Args, Clone, Debug)]
pub(crate) struct NodeFlags {
    /// Settings file in the platform's format.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_BOOT")]
    pub(crate) settings: PathBuf,
    /// TCP port that serves metrics, on the IP address in the settings file.
    #[arg(long, value_name = "PORT", default_value_t = 9464, env = "POPLARSPAN_METRICS_PORT")]
    pub(crate) metrics_port: u16,
    /// Admit programs by measured delay, where the settings state no limits of cold endpoints.
    #[arg(long, env = "POPLARSPAN_ADMIT_BY_DELAY")]
    pub(crate) admit_by_delay: bool,
    #[command(flatten)]
    pub(crate) tls: TlsFlags,
}

impl Command {
    /// Destination of the log. The platform collects logs from standard output; all other commands
    /// write their results there and log to standard error.
    pub(crate) fn log_output(&self) -> LogOutput {
        if matches!(self, Self::Node(_)) { LogOutput::Stdout } else { LogOutput::Stderr }
    }
}

/// TLS flags of the peer port.
#[derive(Args, Clone, Debug)]
pub(crate) struct TlsFlags {
    /// PEM file with the CA certificates.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_AUTHORITY")]
    tls_authority: PathBuf,
    /// PEM file with the certificate chain of this process.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_CERTIFICATE")]
    tls_certificate: PathBuf,
    /// PEM file with the private key of this process.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_KEY")]
    tls_key: PathBuf,
}

impl TlsFlags {
    pub(crate) fn files(&self) -> TlsFiles {
        TlsFiles {
            authority: self.tls_authority.clone(),
            certificate: self.tls_certificate.clone(),
            key: self.tls_key.clone(),
        }
    }
}

#[derive(Args, Debug)]
pub(crate) struct ServeFlags {
    /// Name of the instance; must be unique in the fleet.
    #[arg(long, env = "POPLARSPAN_NAME")]
    pub(crate) name: String,
    /// Availability zone of the instance.
    #[arg(long, env = "POPLARSPAN_ZONE")]
    pub(crate) zone: String,
    /// TCP address to listen on for callers.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_ENTRY_ADDRESS")]
    pub(crate) entry_address: SocketAddr,
    /// UDP address to listen on for other instances and operators.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_PEER_ADDRESS")]
    pub(crate) peer_address: SocketAddr,
    /// Address that other instances use to connect to the peer address, if different.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_ADVERTISE_ADDRESS")]
    pub(crate) advertise_address: Option<SocketAddr>,
    /// TCP address to listen on for metrics, health and readiness probes.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_PROBE_ADDRESS")]
    pub(crate) probe_address: SocketAddr,
    /// Comma-separated peer addresses of instances that may already be running.
    #[arg(long, value_name = "IP:PORT", value_delimiter = ',', env = "POPLARSPAN_SEEDS")]
    pub(crate) seeds: Vec<SocketAddr>,
    /// Data folder created by `poplarspan init`; makes the instance a control replica.
    #[arg(long, value_name = "FOLDER", env = "POPLARSPAN_DATA_DIR")]
    pub(crate) data_dir: Option<PathBuf>,
    /// Comma-separated peer addresses of all control replicas, as number@address.
    #[arg(
        long,
        value_name = "N@IP:PORT",
        value_delimiter = ',',
        value_parser = parse_replica,
        env = "POPLARSPAN_REPLICAS"
    )]
    pub(crate) replicas: Vec<ReplicaAddress>,
    #[command(flatten)]
    pub(crate) tls: TlsFlags,
    #[command(flatten)]
    pub(crate) limits: CallerLimitFlags,
    /// Delay on shutdown between reporting "not ready" and closing the listener, so that load
    /// balancers stop sending new connections.
    #[arg(long, default_value = "2s", value_parser = humantime::parse_duration, env = "POPLARSPAN_DRAIN_GRACE")]
    pub(crate) drain_grace: Duration,
    /// Maximum time that a shutdown waits for open calls.
    #[arg(long, default_value = "10m", value_parser = humantime::parse_duration, env = "POPLARSPAN_DRAIN_TIMEOUT")]
    pub(crate) drain_timeout: Duration,
}

/// Limits on callers' requests and connections.
#[derive(Args, Clone, Debug)]
pub(crate) struct CallerLimitFlags {
    /// Maximum size of a request head, in bytes.
    #[arg(long, default_value_t = Limits::default().max_head, env = "POPLARSPAN_MAX_HEAD")]
    max_head: usize,
    /// Maximum size of a request body, in bytes.
    #[arg(long, default_value_t = Limits::default().max_body, env = "POPLARSPAN_MAX_BODY")]
    max_body: usize,
    /// Maximum number of open connections from callers.
    #[arg(long, default_value_t = Limits::default().max_connections, env = "POPLARSPAN_MAX_CONNECTIONS")]
    max_connections: usize,
    /// Maximum size of the request bodies of all open calls together, in bytes.
    #[arg(long, default_value_t = Limits::default().max_held, env = "POPLARSPAN_MAX_HELD")]
    max_held: usize,
}

impl CallerLimitFlags {
    pub(crate) fn limits(&self) -> Limits {
        Limits {
            max_head: self.max_head,
            max_body: self.max_body,
            max_connections: self.max_connections,
            max_held: self.max_held,
            ..Limits::default()
        }
    }
}

fn parse_replica(text: &str) -> Result<ReplicaAddress, String> {
    let (replica, address) =
        text.split_once('@').ok_or_else(|| "expected number@address".to_owned())?;
    let replica = replica.parse().map_err(|e| format!("invalid replica number: {e}"))?;
    let address = address.parse().map_err(|e| format!("invalid address: {e}"))?;
    if replica == 0 {
        return Err("replica numbers start at 1".to_owned());
    }
    Ok(ReplicaAddress { replica, address })
}

/// Object files to read.
#[derive(Args, Debug)]
pub(crate) struct ObjectFileFlags {
    /// Object files, which are read as one set.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
}

/// Connection and credentials of an operator.
#[derive(Args, Clone, Debug)]
pub(crate) struct OperatorFlags {
    /// Peer address of any instance.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_CONTROL")]
    pub(crate) control: SocketAddr,
    /// File that holds the operator's key.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_OPERATOR_KEY_FILE")]
    pub(crate) operator_key_file: Option<PathBuf>,
    #[command(flatten)]
    pub(crate) tls: TlsFlags,
    /// Maximum time to wait for the result.
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration, env = "POPLARSPAN_TIMEOUT")]
    pub(crate) timeout: Duration,
}

#[derive(Args, Debug)]
pub(crate) struct DiffFlags {
    #[command(flatten)]
    pub(crate) files: ObjectFileFlags,
    /// Compare with this object file instead of the objects in force; may be repeated.
    #[arg(long, value_name = "FILE", required_unless_present = "control")]
    pub(crate) against: Vec<PathBuf>,
    /// Peer address of any instance.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_CONTROL", requires = "tls_authority")]
    pub(crate) control: Option<SocketAddr>,
    /// File that holds the operator's key.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_OPERATOR_KEY_FILE")]
    pub(crate) operator_key_file: Option<PathBuf>,
    /// PEM file with the CA certificates.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_AUTHORITY", requires_all = ["tls_certificate", "tls_key"])]
    pub(crate) tls_authority: Option<PathBuf>,
    /// PEM file with the operator's certificate chain.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_CERTIFICATE")]
    pub(crate) tls_certificate: Option<PathBuf>,
    /// PEM file with the operator's private key.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_KEY")]
    pub(crate) tls_key: Option<PathBuf>,
}

impl DiffFlags {
    /// Returns the connection flags if `control` and all TLS flags are set, which means that the
    /// comparison is with the objects in force.
    pub(crate) fn operator_flags(&self) -> Option<OperatorFlags> {
        Some(OperatorFlags {
            control: self.control?,
            operator_key_file: self.operator_key_file.clone(),
            tls: TlsFlags {
                tls_authority: self.tls_authority.clone()?,
                tls_certificate: self.tls_certificate.clone()?,
                tls_key: self.tls_key.clone()?,
            },
            timeout: Duration::from_secs(10),
        })
    }
}

#[derive(Args, Debug)]
pub(crate) struct PublishFlags {
    #[command(flatten)]
    pub(crate) files: ObjectFileFlags,
    /// Generation that the files are based on; 0 for the first publication. If another generation
    /// is current, nothing is published.
    #[arg(long, value_name = "N")]
    pub(crate) expect_generation: u64,
    /// Unique id of this publication; a retry with the same id returns the first result.
    #[arg(long, value_name = "ID")]
    pub(crate) request_id: String,
    #[command(flatten)]
    pub(crate) operator: OperatorFlags,
    /// Return as soon as the publication is accepted, without waiting until it is in force on every
    /// live instance.
    #[arg(long)]
    pub(crate) no_wait: bool,
}

#[derive(Args, Debug)]
pub(crate) struct StatusFlags {
    #[command(flatten)]
    pub(crate) operator: OperatorFlags,
    /// Print JSON instead of a table.
    #[arg(long)]
    pub(crate) json: bool,
}

#[derive(Args, Debug)]
pub(crate) struct InitFlags {
    /// Folder to create; if it exists, it must be empty.
    #[arg(long, value_name = "FOLDER", env = "POPLARSPAN_DATA_DIR")]
    pub(crate) data_dir: PathBuf,
    /// Number of this replica. Never reuse the number of a replica that has lost its disk.
    #[arg(long, value_name = "N")]
    pub(crate) replica: u64,
    /// Comma-separated numbers of all initial voters; must be the same list on each of them.
    #[arg(long, value_name = "N", value_delimiter = ',', required_unless_present = "join")]
    pub(crate) voters: Vec<u64>,
    /// Create a replica that joins an existing fleet; see `replace-voter`.
    #[arg(long, conflicts_with = "voters")]
    pub(crate) join: bool,
}

#[derive(Args, Debug)]
pub(crate) struct ReplaceVoterFlags {
    /// Number of the replica to replace.
    #[arg(long, value_name = "N")]
    pub(crate) old: u64,
    /// Number of the new replica.
    #[arg(long, value_name = "N")]
    pub(crate) new: u64,
    /// Peer address of the new replica.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) new_address: SocketAddr,
    #[command(flatten)]
    pub(crate) operator: OperatorFlags,
}

#[derive(Args, Debug)]
pub(crate) struct CertsFlags {
    /// Output folder, created if missing. Existing files are not overwritten.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) out: PathBuf,
    /// Do nothing if the folder already holds a complete set of certificates.
    #[arg(long)]
    pub(crate) keep: bool,
}

#[derive(Args, Debug)]
pub(crate) struct DevFlags {
    /// TCP address to listen on for callers; port 0 selects a free port.
    #[arg(
        long,
        value_name = "IP:PORT",
        default_value = "127.0.0.1:8080",
        env = "POPLARSPAN_ENTRY_ADDRESS"
    )]
    pub(crate) entry_address: SocketAddr,
}

#[derive(Args, Debug)]
pub(crate) struct EndpointFlags {
    /// Kind of mock endpoint.
    #[arg(long, value_enum, default_value = "engine", env = "POPLARSPAN_ENDPOINT_KIND")]
    pub(crate) kind: EndpointKind,
    /// TCP address to listen on.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_ENDPOINT_ADDRESS")]
    pub(crate) address: SocketAddr,
    #[command(flatten)]
    pub(crate) mock: MockFlags,
    #[command(flatten)]
    pub(crate) engine: Box<EngineFlags>,
    #[command(flatten)]
    pub(crate) service: ServiceFlags,
}

/// Kinds of mock endpoints.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum EndpointKind {
    /// Model engine.
    Engine,
    /// Plain service that counts its executions.
    Service,
}

/// Flags of all mock endpoints.
#[derive(Args, Debug)]
pub(crate) struct MockFlags {
    /// Age of the load that is reported.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_LOAD_LAG")]
    pub(crate) load_lag: Duration,
    /// How long connections are refused after a simulated crash.
    #[arg(long, default_value = "1s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_RESTART_AFTER")]
    pub(crate) restart_after: Duration,
    /// Exit with status 70 on a simulated crash.
    #[arg(long, env = "POPLARSPAN_ENDPOINT_EXIT_ON_CRASH")]
    pub(crate) exit_on_crash: bool,
    /// Number of the first run [default: Unix time in milliseconds].
    #[arg(long, value_name = "N", env = "POPLARSPAN_ENDPOINT_FIRST_RUN")]
    pub(crate) first_run: Option<u64>,
}

/// Flags of mock plain services.
#[derive(Args, Debug)]
#[command(next_help_heading = "Plain service")]
pub(crate) struct ServiceFlags {
    /// Duration of an execution.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_DELAY")]
    pub(crate) delay: Duration,
}

/// Flags of mock model engines.
#[derive(Args, Debug)]
#[command(next_help_heading = "Model engine")]
pub(crate) struct EngineFlags {
    /// Maximum number of concurrent calls.
    #[arg(long, default_value_t = 8, env = "POPLARSPAN_ENDPOINT_CAPACITY")]
    pub(crate) capacity: u32,
    /// Maximum number of queued calls; further calls get a 503 response.
    #[arg(long, default_value_t = 64, env = "POPLARSPAN_ENDPOINT_MAX_QUEUE")]
    pub(crate) max_queue: u32,
    /// Retry-After value of these 503 responses.
    #[arg(long, default_value = "1s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_RETRY_AFTER")]
    pub(crate) retry_after: Duration,
    /// Time per output token when one call is running.
    #[arg(long, default_value = "5ms", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_TOKEN_INTERVAL")]
    pub(crate) token_interval: Duration,
    /// Increase of the time per output token for each further concurrent call.
    #[arg(long, default_value = "200us", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_TOKEN_INTERVAL_PER_CALL")]
    pub(crate) token_interval_per_call: Duration,
    /// Prefill time per uncached prompt token.
    #[arg(long, default_value = "20us", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_PREFILL_PER_TOKEN")]
    pub(crate) prefill_per_token: Duration,
    /// Number of output tokens if the request sets no limit.
    #[arg(long, default_value_t = 16, env = "POPLARSPAN_ENDPOINT_DEFAULT_TOKENS")]
    pub(crate) default_tokens: u64,
    /// Capacity of the prefix cache, in blocks of 256 bytes.
    #[arg(long, default_value_t = 4096, env = "POPLARSPAN_ENDPOINT_CACHE_BLOCKS")]
    pub(crate) cache_blocks: u32,
    /// Number of concurrent calls above which a cold engine slows down [default: the capacity].
    #[arg(long, value_name = "N", env = "POPLARSPAN_ENDPOINT_COLD_CAPACITY")]
    pub(crate) cold_capacity: Option<u32>,
    /// Number of concurrent calls above which a cold engine crashes [default: no limit].
    #[arg(long, value_name = "N", env = "POPLARSPAN_ENDPOINT_COLD_CRASH_ABOVE")]
    pub(crate) cold_crash_above: Option<u32>,
    /// Slowdown factor of a cold engine above its cold capacity.
    #[arg(long, default_value_t = 4.0, env = "POPLARSPAN_ENDPOINT_COLD_SLOWDOWN")]
    pub(crate) cold_slowdown: f64,
    /// How long an engine is cold after a start.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_RAMP")]
    pub(crate) ramp: Duration,
    /// How the cold capacity changes during the ramp.
    #[arg(long, value_enum, default_value = "step", env = "POPLARSPAN_ENDPOINT_RAMP_SHAPE")]
    pub(crate) ramp_shape: RampShapeFlag,
    /// Delay before cache events are published.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_EVENT_DELAY")]
    pub(crate) event_delay: Duration,
    /// Fraction of cache events that are lost, from 0 to 1.
    #[arg(long, default_value_t = 0.0, env = "POPLARSPAN_ENDPOINT_EVENT_GAP_RATE")]
    pub(crate) event_gap_rate: f64,
    /// How to treat the fencing numbers of orders.
    #[arg(long, value_enum, default_value = "check", env = "POPLARSPAN_ENDPOINT_FENCING")]
    pub(crate) fencing: FencingFlag,
    /// Comma-separated models that are loaded at the start, as model@version [default: serve all
    /// models].
    #[arg(
        long,
        value_name = "MODEL@VERSION",
        value_delimiter = ',',
        env = "POPLARSPAN_ENDPOINT_MODELS"
    )]
    pub(crate) models: Vec<ModelVersion>,
    /// Size of the weights of a model, in bytes.
    #[arg(long, default_value_t = 1 << 30, env = "POPLARSPAN_ENDPOINT_WEIGHT_BYTES")]
    pub(crate) weight_bytes: u64,
    /// Throughput of the weight store, in bytes per second.
    #[arg(long, default_value_t = 1 << 30, env = "POPLARSPAN_ENDPOINT_WEIGHT_RATE")]
    pub(crate) weight_rate: u64,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 0, env = "POPLARSPAN_ENDPOINT_SEED")]
    pub(crate) seed: u64,
}

/// Shapes of the cold start ramp.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum RampShapeFlag {
    /// Keep the cold capacity until the end of the ramp.
    Step,
    /// Grow linearly from the cold capacity to the capacity.
    Linear,
}

/// Treatment of fencing numbers.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum FencingFlag {
    /// Reject stale orders.
    Check,
    /// Execute all orders.
    Ignore,
}
