//! The operators' own file, for what the platform's file does not know: one directive a line, in the manner of
//! classic daemons. It is read and checked here and nowhere else; every fault is named as
//! `file:line: what is wrong; what would be right`, all of them at once.
//!
//! ```
//! use ochrewalk_operators::{read, Node};
//! let node = Node { methods: &[("look".into(), true)], descriptors: 512, calls: false };
//! let text = "ajp listen 127.0.0.1:8009\najp allow 127.0.0.0/8\najp route GET /look lok\n";
//! let faults = read(text, "my.conf", &node).unwrap_err();
//! assert_eq!(faults[0].to_string(), "my.conf:3: lok is no method here; did you mean look?");
//! ```

mod changes;
mod plan;
mod read;
pub mod resources;
mod units;
mod words;

pub use changes::{changes, Change, Needs};
pub use plan::{Plan as Rollout, PlannedNode, Subject};
pub use read::{read, Fault, Node};

use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::judge::Rules;
use ochrewalk_spread::Plan;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What the file sets. What it does not name is off.
#[derive(Clone, Debug, Default)]
pub struct Operators {
    pub ajp: Option<AjpFront>,
    pub below: Option<AjpBelow>,
    /// The socket by which the running program is asked to let another take over.
    pub upgrade_control: Option<PathBuf>,
    /// The control plane that the node hears from.
    pub config: Option<ConfigAgent>,
}

/// How the node hears from the control plane.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigAgent {
    pub relays: Vec<SocketAddr>,
    pub region: String,
    /// Scopes whose resources it wants all of.
    pub scopes: Vec<String>,
    /// Where what is in force is kept for the next start.
    pub snapshot: Option<PathBuf>,
    pub bytes_per_second: u64,
    /// Quotas that are held at a time; those used least recently are fetched again when they are needed.
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

impl Operators {
    /// What cannot be changed while the node runs, as text: programs that agree in it may follow one another.
    pub fn lasting(&self) -> String {
        let listens = self.ajp.as_ref().map(|front| front.listen);
        format!("{listens:?} {:?} {}", self.upgrade_control, self.below.is_some())
    }
}

/// The front that takes AJP.
#[derive(Clone, Debug)]
pub struct AjpFront {
    pub listen: SocketAddr,
    pub allowed_peers: AllowedPeers,
    pub rules: Rules,
    /// Where the secret stands, if in a file of its own; read when the node starts.
    pub secret_file: Option<PathBuf>,
    /// The longest packet with its header.
    pub packet: usize,
    /// Descriptors that are its own.
    pub connections: usize,
    pub idle_us: u64,
}

/// One place that calls below go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceBelow {
    pub at: SocketAddr,
    /// What it can do, over the others.
    pub weight: f64,
    /// In the zone of this node, or zones are not told apart.
    pub is_near: bool,
}

/// Calls below by AJP.
#[derive(Clone, Debug)]
pub struct AjpBelow {
    pub places: Vec<PlaceBelow>,
    /// The zone of this node, where zones are told apart.
    pub here: Option<String>,
    /// How calls are spread over them, and when one is left out.
    pub spread: Plan,
    /// The socket by which operators see how places stand.
    pub status: Option<PathBuf>,
    /// The name that calls are sent to, which servers with several names go by.
    pub server_name: String,
    pub uri: String,
    pub secret: Option<Vec<u8>>,
    pub secret_file: Option<PathBuf>,
    pub packet: usize,
    pub connections: usize,
    pub connect_us: u64,
    pub pong_us: u64,
    pub reply_us: u64,
    /// How long a connection that carries nothing is trusted without a ping.
    pub trust_us: u64,
    /// How long it is kept.
    pub keep_us: u64,
    /// Repeated calls as a share of first ones.
    pub repeats: f64,
}
