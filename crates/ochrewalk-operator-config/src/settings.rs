//! What the operators' file sets, with the defaults of what it does not name.

use ochrewalk_ajp::packet::USUAL_PACKET;
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::judge::{Headers, Rules};
use ochrewalk_load_balancer::BalancingConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Of a node's descriptors, one in so many may be an AJP connection unless the file says otherwise.
const DESCRIPTORS_PER_CONNECTION: usize = 8;
/// A request may not ask for more memory than this, in KB.
const MAX_REQUEST_MEMORY_KB: f64 = 2_000.0;

/// All that the file sets. What it does not name is off.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The listener for AJP, if one is configured.
    pub ajp_listener: Option<AjpListener>,
    /// The AJP servers that upstream calls go to, if calls go by AJP.
    pub ajp_upstream: Option<AjpUpstream>,
    /// The supervisor's control socket, by which an upgrade is requested; none where upgrades are off.
    pub upgrade_control: Option<PathBuf>,
    /// The control plane that the node subscribes to.
    pub config_agent: Option<ConfigAgent>,
}

impl OperatorConfig {
    /// What cannot change while the node runs, as text: a program may hand over only to one for which it is the same. The
    /// text is hashed and compared between versions of the program, so it never changes its form.
    pub fn restart_only_settings(&self) -> String {
        let listen = self.ajp_listener.as_ref().map(|listener| listener.listen);
        format!("{listen:?} {:?} {}", self.upgrade_control, self.ajp_upstream.is_some())
    }
}

/// How the node subscribes to the control plane.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigAgent {
    /// Relays, two or more, of which the node chooses one at a time.
    pub relays: Vec<SocketAddr>,
    /// The region that the node names when it subscribes.
    pub region: String,
    /// Scopes whose resources the node subscribes to as a whole.
    pub scopes: Vec<String>,
    /// Where the configuration in force is stored for the next start.
    pub snapshot: Option<PathBuf>,
    /// The most bytes a second that the subscription may use.
    pub bytes_per_second: u64,
    /// Quotas that are cached at a time; those used least recently are fetched again when they are needed.
    pub max_tenants: usize,
}

impl Default for ConfigAgent {
    fn default() -> ConfigAgent {
        ConfigAgent {
            relays: Vec::new(),
            region: String::new(),
            scopes: Vec::new(),
            snapshot: None,
            bytes_per_second: 26 * 1024,
            max_tenants: 16 * 1024,
        }
    }
}

/// The listener that accepts AJP connections.
#[derive(Clone, Debug)]
pub struct AjpListener {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Networks that may connect.
    pub allowed_peers: AllowedPeers,
    /// What requests stand for.
    pub rules: Rules,
    /// The file with the secret, if it is in a file of its own; read when the node starts.
    pub secret_file: Option<PathBuf>,
    /// The longest packet with its header, in bytes.
    pub max_packet_bytes: usize,
    /// The most connections at a time, each with a descriptor of its own.
    pub max_connections: usize,
    /// An idle connection is closed after this time, in microseconds.
    pub idle_timeout_us: u64,
}

impl AjpListener {
    /// The defaults of a listener at `listen`, for a node with so many descriptors.
    pub(crate) fn with_defaults(listen: SocketAddr, descriptors: usize) -> AjpListener {
        let rules = Rules { most_kb: MAX_REQUEST_MEMORY_KB, headers: Headers::default(), ..Rules::default() };
        AjpListener {
            listen,
            allowed_peers: AllowedPeers::default(),
            rules,
            secret_file: None,
            max_packet_bytes: USUAL_PACKET,
            max_connections: descriptors / DESCRIPTORS_PER_CONNECTION,
            idle_timeout_us: 60_000_000,
        }
    }
}

/// A server that upstream calls go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its capacity in relation to the others'.
    pub weight: f64,
    /// It is in the zone of this node, or zones are not configured.
    pub is_in_local_zone: bool,
}

/// Upstream calls by AJP.
#[derive(Clone, Debug)]
pub struct AjpUpstream {
    /// The servers, in the order of their lines.
    pub endpoints: Vec<UpstreamEndpoint>,
    /// The zone of this node, if zones are configured.
    pub zone: Option<String>,
    /// How calls are balanced over the endpoints, and when one is ejected.
    pub balancing: BalancingConfig,
    /// The socket that reports the state of each endpoint.
    pub status_socket: Option<PathBuf>,
    /// The server name that calls carry, for servers with several names.
    pub server_name: String,
    /// The path that calls are sent to.
    pub uri: String,
    /// The secret that calls carry.
    pub secret: Option<Vec<u8>>,
    /// The file with the secret, if it is in a file of its own; read when the node starts.
    pub secret_file: Option<PathBuf>,
    /// The longest packet with its header, in bytes.
    pub max_packet_bytes: usize,
    /// The most connections at a time, over all endpoints.
    pub max_connections: usize,
    /// How long connecting may take, in microseconds.
    pub connect_timeout_us: u64,
    /// How long a reply to a ping may take, in microseconds.
    pub ping_timeout_us: u64,
    /// How long the rest of a reply may take once it has begun, in microseconds.
    pub reply_timeout_us: u64,
    /// A connection that was idle for longer is pinged before it carries a call, in microseconds.
    pub ping_after_idle_us: u64,
    /// An idle connection is closed after this time, in microseconds.
    pub max_idle_us: u64,
    /// Retries of upstream calls as a share of first attempts.
    pub retry_budget: f64,
}

impl AjpUpstream {
    /// The defaults, for a node with so many descriptors.
    pub(crate) fn with_defaults(descriptors: usize) -> AjpUpstream {
        AjpUpstream {
            endpoints: Vec::new(),
            zone: None,
            balancing: BalancingConfig::default(),
            status_socket: None,
            server_name: "localhost".into(),
            uri: "/".into(),
            secret: None,
            secret_file: None,
            max_packet_bytes: USUAL_PACKET,
            max_connections: descriptors / DESCRIPTORS_PER_CONNECTION,
            connect_timeout_us: 500_000,
            ping_timeout_us: 250_000,
            reply_timeout_us: 250_000,
            ping_after_idle_us: 50_000,
            max_idle_us: 10_000_000,
            retry_budget: 0.1,
        }
    }
}
