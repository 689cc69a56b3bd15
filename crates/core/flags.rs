//! The command line. Every flag can also be given as an environment variable.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use poplarspan_server::{Limits, ReplicaAddress, TlsFiles};
use poplarspan_standin::ModelVersion;

use crate::logging::LogOutput;

/// A scheduler for agent programs.
///
/// It takes calls from agent programs, keeps the calls of each program in order, runs calls that
/// must not be repeated at most once, gives each team its fair share, and routes calls to model
/// engines and plain services.
///
/// Start with `poplarspan dev`, which runs everything in one process.
#[derive(Debug, Parser)]
#[command(name = "poplarspan", version, max_term_width = 100)]
pub(crate) struct Flags {
    /// Least severe level that is logged: off, error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info", env = "POPLARSPAN_LOG_LEVEL")]
    pub(crate) log_level: log::LevelFilter,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run one instance.
    Serve(Box<ServeFlags>),
    /// Run one instance of a relay fleet.
    Node(NodeFlags),
    /// Check object files without publishing them.
    Check(ObjectFileFlags),
    /// Show what publishing object files would change.
    Diff(DiffFlags),
    /// Publish object files as the next generation.
    Publish(PublishFlags),
    /// Print the objects in force.
    Get(OperatorFlags),
    /// Print instances, replicas, endpoints and the generation in force.
    Status(StatusFlags),
    /// Write a new data folder for a control replica.
    Init(InitFlags),
    /// Replace a control replica whose disk is lost.
    ReplaceVoter(ReplaceVoterFlags),
    /// Make a key for a team or an operator.
    Keygen,
    /// Make an authority and certificates for the peer port.
    Certs(CertsFlags),
    /// Run everything in one process, to try it out.
    Dev(DevFlags),
    /// Run a stand-in for an endpoint, for tests and trials.
    Endpoint(EndpointFlags),
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Flags of `node`.
#[derive(Args, Clone, Debug)]
pub(crate) struct NodeFlags {
    /// Settings file of the platform.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_BOOT")]
    pub(crate) settings: PathBuf,
    /// Port that serves metrics, on the machine's address.
    #[arg(long, value_name = "PORT", default_value_t = 9464, env = "POPLARSPAN_METRICS_PORT")]
    pub(crate) metrics_port: u16,
    #[command(flatten)]
    pub(crate) tls: TlsFlags,
}

impl Command {
    /// Where the log goes: the platform takes it from standard output, everyone else expects results
    /// there.
    pub(crate) fn log_output(&self) -> LogOutput {
        if matches!(self, Self::Node(_)) { LogOutput::Stdout } else { LogOutput::Stderr }
    }
}

/// TLS files of the peer port.
#[derive(Args, Clone, Debug)]
pub(crate) struct TlsFlags {
    /// Certificates of the authority, PEM.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_AUTHORITY")]
    tls_authority: PathBuf,
    /// Certificate chain of this process, PEM.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_CERTIFICATE")]
    tls_certificate: PathBuf,
    /// Private key of this process, PEM.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_KEY")]
    tls_key: PathBuf,
}

impl TlsFlags {
    /// The files as the library takes them.
    pub(crate) fn files(&self) -> TlsFiles {
        TlsFiles {
            authority: self.tls_authority.clone(),
            certificate: self.tls_certificate.clone(),
            key: self.tls_key.clone(),
        }
    }
}

/// Flags of `serve`.
#[derive(Args, Debug)]
pub(crate) struct ServeFlags {
    /// Name of the instance, unique in the fleet.
    #[arg(long, env = "POPLARSPAN_NAME")]
    pub(crate) name: String,
    /// Availability zone that the instance runs in.
    #[arg(long, env = "POPLARSPAN_ZONE")]
    pub(crate) zone: String,
    /// Address for callers (TCP).
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_ENTRY_ADDRESS")]
    pub(crate) entry_address: SocketAddr,
    /// Address for other instances and operators (UDP).
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_PEER_ADDRESS")]
    pub(crate) peer_address: SocketAddr,
    /// Address at which others reach the peer address, if it is another one.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_ADVERTISE_ADDRESS")]
    pub(crate) advertise_address: Option<SocketAddr>,
    /// Address for metrics, health and readiness (TCP).
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_PROBE_ADDRESS")]
    pub(crate) probe_address: SocketAddr,
    /// Peer addresses of instances that may already run, separated by commas.
    #[arg(long, value_name = "IP:PORT", value_delimiter = ',', env = "POPLARSPAN_SEEDS")]
    pub(crate) seeds: Vec<SocketAddr>,
    /// Data folder made by `poplarspan init`; makes the instance a control replica.
    #[arg(long, value_name = "FOLDER", env = "POPLARSPAN_DATA_DIR")]
    pub(crate) data_dir: Option<PathBuf>,
    /// Peer addresses of all control replicas, as number@address, separated by commas.
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
    /// Time between "not ready" and the end of accepting, for the balancer to notice.
    #[arg(long, default_value = "2s", value_parser = humantime::parse_duration, env = "POPLARSPAN_DRAIN_GRACE")]
    pub(crate) drain_grace: Duration,
    /// Longest time that a shutdown waits for open calls.
    #[arg(long, default_value = "10m", value_parser = humantime::parse_duration, env = "POPLARSPAN_DRAIN_TIMEOUT")]
    pub(crate) drain_timeout: Duration,
}

/// Bounds towards callers.
#[derive(Args, Clone, Debug)]
pub(crate) struct CallerLimitFlags {
    /// Largest head of a request, in bytes.
    #[arg(long, default_value_t = Limits::default().max_head, env = "POPLARSPAN_MAX_HEAD")]
    max_head: usize,
    /// Largest body of a request, in bytes.
    #[arg(long, default_value_t = Limits::default().max_body, env = "POPLARSPAN_MAX_BODY")]
    max_body: usize,
    /// Open connections from callers.
    #[arg(long, default_value_t = Limits::default().max_connections, env = "POPLARSPAN_MAX_CONNECTIONS")]
    max_connections: usize,
    /// Bytes of bodies that all open calls may hold together.
    #[arg(long, default_value_t = Limits::default().max_held, env = "POPLARSPAN_MAX_HELD")]
    max_held: usize,
}

impl CallerLimitFlags {
    /// The limits as the library takes them.
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
    let replica = replica.parse().map_err(|e| format!("replica number: {e}"))?;
    let address = address.parse().map_err(|e| format!("address: {e}"))?;
    if replica == 0 {
        return Err("replica numbers start at 1".to_owned());
    }
    Ok(ReplicaAddress { replica, address })
}

/// Object files.
#[derive(Args, Debug)]
pub(crate) struct ObjectFileFlags {
    /// Object files; together they form one set.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
}

/// How an operator reaches the fleet.
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
    /// Longest time to wait for an answer.
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration, env = "POPLARSPAN_TIMEOUT")]
    pub(crate) timeout: Duration,
}

/// Flags of `diff`.
#[derive(Args, Debug)]
pub(crate) struct DiffFlags {
    #[command(flatten)]
    pub(crate) files: ObjectFileFlags,
    /// Compare with this object file instead of with the objects in force; may be repeated.
    #[arg(long, value_name = "FILE", required_unless_present = "control")]
    pub(crate) against: Vec<PathBuf>,
    /// Peer address of any instance.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_CONTROL", requires = "tls_authority")]
    pub(crate) control: Option<SocketAddr>,
    /// File that holds the operator's key.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_OPERATOR_KEY_FILE")]
    pub(crate) operator_key_file: Option<PathBuf>,
    /// Certificates of the authority, PEM.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_AUTHORITY", requires_all = ["tls_certificate", "tls_key"])]
    pub(crate) tls_authority: Option<PathBuf>,
    /// Certificate chain of the operator, PEM.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_CERTIFICATE")]
    pub(crate) tls_certificate: Option<PathBuf>,
    /// Private key of the operator, PEM.
    #[arg(long, value_name = "FILE", env = "POPLARSPAN_TLS_KEY")]
    pub(crate) tls_key: Option<PathBuf>,
}

impl DiffFlags {
    /// How to reach the fleet, if the comparison is with the objects in force.
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

/// Flags of `publish`.
#[derive(Args, Debug)]
pub(crate) struct PublishFlags {
    #[command(flatten)]
    pub(crate) files: ObjectFileFlags,
    /// Generation that the files are based on; 0 for the first publication.
    #[arg(long, value_name = "N")]
    pub(crate) expect_generation: u64,
    /// Name of this publication; a resend under the same name gets the first answer.
    #[arg(long, value_name = "ID")]
    pub(crate) request_id: String,
    #[command(flatten)]
    pub(crate) operator: OperatorFlags,
    /// Return once the publication is accepted, before it is in force everywhere.
    #[arg(long)]
    pub(crate) no_wait: bool,
}

/// Flags of `status`.
#[derive(Args, Debug)]
pub(crate) struct StatusFlags {
    #[command(flatten)]
    pub(crate) operator: OperatorFlags,
    /// Print JSON instead of a table.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Flags of `init`.
#[derive(Args, Debug)]
pub(crate) struct InitFlags {
    /// Folder to make; it must not exist or must be empty.
    #[arg(long, value_name = "FOLDER", env = "POPLARSPAN_DATA_DIR")]
    pub(crate) data_dir: PathBuf,
    /// Number of this replica. A number is never used again after its disk was lost.
    #[arg(long, value_name = "N")]
    pub(crate) replica: u64,
    /// Numbers of all first voters, separated by commas; the same list on each of them.
    #[arg(long, value_name = "N", value_delimiter = ',', required_unless_present = "join")]
    pub(crate) voters: Vec<u64>,
    /// Make a replica that joins an existing fleet, see `replace-voter`.
    #[arg(long, conflicts_with = "voters")]
    pub(crate) join: bool,
}

/// Flags of `replace-voter`.
#[derive(Args, Debug)]
pub(crate) struct ReplaceVoterFlags {
    /// Number of the replica that is lost.
    #[arg(long, value_name = "N")]
    pub(crate) old: u64,
    /// Number of the replica that takes its place.
    #[arg(long, value_name = "N")]
    pub(crate) new: u64,
    /// Peer address of the replica that takes its place.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) new_address: SocketAddr,
    #[command(flatten)]
    pub(crate) operator: OperatorFlags,
}

/// Flags of `certs`.
#[derive(Args, Debug)]
pub(crate) struct CertsFlags {
    /// Folder to write to; it must not exist or must be empty.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) out: PathBuf,
    /// Keep the certificates that are in the folder already.
    #[arg(long)]
    pub(crate) keep: bool,
}

/// Flags of `dev`.
#[derive(Args, Debug)]
pub(crate) struct DevFlags {
    /// Address for callers; port 0 takes a free one.
    #[arg(
        long,
        value_name = "IP:PORT",
        default_value = "127.0.0.1:8080",
        env = "POPLARSPAN_ENTRY_ADDRESS"
    )]
    pub(crate) entry_address: SocketAddr,
}

/// Flags of `endpoint`.
#[derive(Args, Debug)]
pub(crate) struct EndpointFlags {
    /// Kind of stand-in.
    #[arg(long, value_enum, default_value = "engine", env = "POPLARSPAN_ENDPOINT_KIND")]
    pub(crate) kind: EndpointKind,
    /// Address to listen on.
    #[arg(long, value_name = "IP:PORT", env = "POPLARSPAN_ENDPOINT_ADDRESS")]
    pub(crate) address: SocketAddr,
    #[command(flatten)]
    pub(crate) standin: StandinFlags,
    #[command(flatten)]
    pub(crate) engine: Box<EngineFlags>,
    #[command(flatten)]
    pub(crate) service: ServiceFlags,
}

/// Kinds of stand-ins.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service that counts its executions.
    Service,
}

/// Flags of both kinds of stand-ins.
#[derive(Args, Debug)]
pub(crate) struct StandinFlags {
    /// Lag of load reports.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_LOAD_LAG")]
    pub(crate) load_lag: Duration,
    /// How long connections are refused after a crash.
    #[arg(long, default_value = "1s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_RESTART_AFTER")]
    pub(crate) restart_after: Duration,
    /// End the process at a crash, with status 70.
    #[arg(long, env = "POPLARSPAN_ENDPOINT_EXIT_ON_CRASH")]
    pub(crate) exit_on_crash: bool,
    /// Number of the first run; by default the time of the start in milliseconds.
    #[arg(long, value_name = "N", env = "POPLARSPAN_ENDPOINT_FIRST_RUN")]
    pub(crate) first_run: Option<u64>,
}

/// Flags of plain services.
#[derive(Args, Debug)]
#[command(next_help_heading = "Plain service")]
pub(crate) struct ServiceFlags {
    /// Time that an execution takes.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_DELAY")]
    pub(crate) delay: Duration,
}

/// Flags of model engines.
#[derive(Args, Debug)]
#[command(next_help_heading = "Model engine")]
pub(crate) struct EngineFlags {
    /// Calls that run at once.
    #[arg(long, default_value_t = 8, env = "POPLARSPAN_ENDPOINT_CAPACITY")]
    pub(crate) capacity: u32,
    /// Calls that wait; further ones are answered 503.
    #[arg(long, default_value_t = 64, env = "POPLARSPAN_ENDPOINT_MAX_QUEUE")]
    pub(crate) max_queue: u32,
    /// Retry-After of these answers.
    #[arg(long, default_value = "1s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_RETRY_AFTER")]
    pub(crate) retry_after: Duration,
    /// Time per token of a call that runs alone.
    #[arg(long, default_value = "5ms", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_TOKEN_INTERVAL")]
    pub(crate) token_interval: Duration,
    /// What each further running call adds to the time per token.
    #[arg(long, default_value = "200us", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_TOKEN_INTERVAL_PER_CALL")]
    pub(crate) token_interval_per_call: Duration,
    /// Time that an uncached token of the prompt takes.
    #[arg(long, default_value = "20us", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_PREFILL_PER_TOKEN")]
    pub(crate) prefill_per_token: Duration,
    /// Tokens of an answer when the request names no limit.
    #[arg(long, default_value_t = 16, env = "POPLARSPAN_ENDPOINT_DEFAULT_TOKENS")]
    pub(crate) default_tokens: u64,
    /// Memory of the prefix cache, in blocks of 256 bytes.
    #[arg(long, default_value_t = 4096, env = "POPLARSPAN_ENDPOINT_CACHE_BLOCKS")]
    pub(crate) cache_blocks: u32,
    /// Calls at once that a cold engine bears before it slows down; the capacity by default.
    #[arg(long, value_name = "N", env = "POPLARSPAN_ENDPOINT_COLD_CAPACITY")]
    pub(crate) cold_capacity: Option<u32>,
    /// Calls at once above which a cold engine crashes; never by default.
    #[arg(long, value_name = "N", env = "POPLARSPAN_ENDPOINT_COLD_CRASH_ABOVE")]
    pub(crate) cold_crash_above: Option<u32>,
    /// Factor by which a cold engine with too many calls slows down.
    #[arg(long, default_value_t = 4.0, env = "POPLARSPAN_ENDPOINT_COLD_SLOWDOWN")]
    pub(crate) cold_slowdown: f64,
    /// How long the engine is cold after a start.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_RAMP")]
    pub(crate) ramp: Duration,
    /// How the calls that a cold engine bears grow during the ramp.
    #[arg(long, value_enum, default_value = "step", env = "POPLARSPAN_ENDPOINT_RAMP_SHAPE")]
    pub(crate) ramp_shape: RampShapeFlag,
    /// Time after which cache events are published.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration, env = "POPLARSPAN_ENDPOINT_EVENT_DELAY")]
    pub(crate) event_delay: Duration,
    /// Share of cache events that are lost, 0 to 1.
    #[arg(long, default_value_t = 0.0, env = "POPLARSPAN_ENDPOINT_EVENT_GAP_RATE")]
    pub(crate) event_gap_rate: f64,
    /// What is done with the fencing numbers of orders.
    #[arg(long, value_enum, default_value = "check", env = "POPLARSPAN_ENDPOINT_FENCING")]
    pub(crate) fencing: FencingFlag,
    /// Models that are loaded at the start, as model@version, separated by commas; by default the
    /// engine serves every model.
    #[arg(
        long,
        value_name = "MODEL@VERSION",
        value_delimiter = ',',
        env = "POPLARSPAN_ENDPOINT_MODELS"
    )]
    pub(crate) models: Vec<ModelVersion>,
    /// Size of a model's weights, in bytes.
    #[arg(long, default_value_t = 1 << 30, env = "POPLARSPAN_ENDPOINT_WEIGHT_BYTES")]
    pub(crate) weight_bytes: u64,
    /// Rate of the weight store, in bytes per second.
    #[arg(long, default_value_t = 1 << 30, env = "POPLARSPAN_ENDPOINT_WEIGHT_RATE")]
    pub(crate) weight_rate: u64,
    /// Seed of random numbers.
    #[arg(long, default_value_t = 0, env = "POPLARSPAN_ENDPOINT_SEED")]
    pub(crate) seed: u64,
}

/// Shapes of the ramp.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum RampShapeFlag {
    /// The cold capacity for the whole ramp.
    Step,
    /// Linearly from the cold capacity to the capacity.
    Linear,
}

/// Ways to treat fencing numbers.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum FencingFlag {
    /// Refuse stale orders.
    Check,
    /// Carry out every order.
    Ignore,
}
