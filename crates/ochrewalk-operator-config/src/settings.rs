//! The settings of the operators' file, with the defaults of those that the file does not name.

use ochrewalk_ajp::packet::DEFAULT_PACKET_BYTES;
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::request_evaluation::{HeaderNames, Rules};
use ochrewalk_load_balancer::BalancingConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The default limit on AJP connections is the node's number of descriptors divided by this.
const DESCRIPTORS_PER_CONNECTION: usize = 8;
/// The bound on the memory that a request may state, in KB.
const MAX_REQUEST_MEMORY_KB: f64 = 2_000.0;

/// All settings of the operators' file. A feature that the file does not name is off.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// The AJP listener, if one is configured.
    pub ajp_listener: Option<AjpListener>,
    /// The AJP servers that receive upstream calls; `None` if upstream calls use another protocol.
    pub ajp_upstream: Option<AjpUpstream>,
    /// The supervisor's control socket, which accepts requests for an upgrade; `None` if upgrades are off.
    pub upgrade_control: Option<PathBuf>,
    /// The subscription to the control plane, if one is configured.
    pub config_agent: Option<ConfigAgent>,
}

impl OperatorConfig {
    /// Returns the settings that cannot change while the node runs, as text: a process may hand over only to a
    /// successor for which this text is the same. The text is hashed and compared between versions of the program, so
    /// its format must not change.
    pub fn restart_only_settings(&self) -> String {
        let listen = self.ajp_listener.as_ref().map(|listener| listener.listen);
        format!("{listen:?} {:?} {}", self.upgrade_control, self.ajp_upstream.is_some())
    }
}

/// The node's subscription to the control plane.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigAgent {
    /// The relays, two or more, of which the node uses one at a time.
    pub relays: Vec<SocketAddr>,
    /// The region that the node sends when it subscribes.
    pub region: String,
    /// The scopes of which the node subscribes to all resources.
    pub scopes: Vec<String>,
    /// The path at which the configuration in force is stored for the next start.
    pub snapshot: Option<PathBuf>,
    /// The maximum bandwidth of the subscription, in bytes per second.
    pub bytes_per_second: u64,
    /// The maximum number of cached quotas; the least recently used ones are evicted and fetched again on demand.
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

/// The settings of the listener that accepts AJP connections.
#[derive(Clone, Debug)]
pub struct AjpListener {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The networks whose peers may connect.
    pub allowed_peers: AllowedPeers,
    /// The rules by which requests are mapped to methods.
    pub rules: Rules,
    /// The file with the secret, if the secret is in a separate file; the file is read when the node starts.
    pub secret_file: Option<PathBuf>,
    /// The maximum size of a packet with its header, in bytes.
    pub max_packet_bytes: usize,
    /// The maximum number of concurrent connections; each takes one descriptor.
    pub max_connections: usize,
    /// The time after which an idle connection is closed, in microseconds.
    pub idle_timeout_us: u64,
}

impl AjpListener {
    /// Returns the defaults of a listener at `listen`, for a node with this number of descriptors.
    pub(crate) fn with_defaults(listen: SocketAddr, descriptors: usize) -> AjpListener {
        let rules = Rules {
            memory_limit_kb: MAX_REQUEST_MEMORY_KB,
            headers: HeaderNames::default(),
            ..Rules::default()
        };
        AjpListener {
            listen,
            allowed_peers: AllowedPeers::default(),
            rules,
            secret_file: None,
            max_packet_bytes: DEFAULT_PACKET_BYTES,
            max_connections: descriptors / DESCRIPTORS_PER_CONNECTION,
            idle_timeout_us: 60_000_000,
        }
    }
}

/// A server that receives upstream calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamEndpoint {
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The capacity of the server in relation to the other servers.
    pub weight: f64,
    /// Whether the server is in the zone of this node; true if zones are not configured.
    pub is_in_local_zone: bool,
}

/// The settings of upstream calls over AJP.
#[derive(Clone, Debug)]
pub struct AjpUpstream {
    /// The servers, in the order of their lines.
    pub endpoints: Vec<UpstreamEndpoint>,
    /// The zone of this node, if zones are configured.
    pub zone: Option<String>,
    /// The load balancing policy and the rules of outlier ejection.
    pub balancing: BalancingConfig,
    /// The socket that reports the state of each endpoint.
    pub status_socket: Option<PathBuf>,
    /// The server name sent with calls, for servers with several names.
    pub server_name: String,
    /// The path that calls are sent to.
    pub uri: String,
    /// The secret sent with calls.
    pub secret: Option<Vec<u8>>,
    /// The file with the secret, if the secret is in a separate file; the file is read when the node starts.
    pub secret_file: Option<PathBuf>,
    /// The maximum size of a packet with its header, in bytes.
    pub max_packet_bytes: usize,
    /// The maximum number of concurrent connections, over all endpoints.
    pub max_connections: usize,
    /// The timeout for connecting, in microseconds.
    pub connect_timeout_us: u64,
    /// The timeout for the CPong reply to a CPing, in microseconds.
    pub ping_timeout_us: u64,
    /// The timeout for the rest of a reply, from its first byte, in microseconds.
    pub reply_timeout_us: u64,
    /// The idle time after which a connection is checked by a CPing before it is used for a call, in microseconds.
    pub ping_after_idle_us: u64,
    /// The time after which an idle connection is closed, in microseconds.
    pub max_idle_us: u64,
    /// The maximum number of retries of upstream calls, as a share of first attempts.
    pub retry_budget: f64,
}

impl AjpUpstream {
    /// Returns the defaults for a node with this number of descriptors.
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
            max_packet_bytes: DEFAULT_PACKET_BYTES,
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
