//! Options of a scale run, and the shape of the fleet that all its processes agree on.

use clap::{Args, ValueEnum};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

const RELAY_PORT: u16 = 7100;

/// What goes wrong at a third of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    None,
    /// One relay is killed
    RelayKilled,
    /// The publisher is killed, and started again on its log after 3 s
    PublisherKilled,
    /// Both relays of a region stop while an hour's changes are published, then go on
    RegionCut,
    /// A third of a region's hollow nodes begin anew without state
    ZoneCold,
    /// 50 subscribers of a relay never read
    SlowNodes,
    /// A route to a method that nodes do not know, then a good one in its place
    BadChange,
}

/// What all processes of a run have to agree on.
#[derive(Args, Clone, Debug)]
pub struct FleetShape {
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value_t = 410_000)]
    pub tenants: u64,
    #[arg(long, default_value_t = 49_000)]
    pub routes: u64,
    /// Scopes that the routes are spread over
    #[arg(long, default_value_t = 3_900)]
    pub scopes: u64,
    #[arg(long, default_value_t = 11, value_parser = clap::value_parser!(u8).range(1..=100))]
    pub regions: u8,
    /// Relays of each region
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=10))]
    pub relays: u8,
    /// Tenants that each hollow node asks for
    #[arg(long, default_value_t = 200)]
    pub wanted: usize,
}

impl FleetShape {
    /// The region of a node.
    pub fn region_of(&self, node: u64) -> u8 {
        (node % u64::from(self.regions)) as u8
    }

    /// Where a relay listens. Each run has a network of its own on loopback.
    pub fn relay_address(&self, network: u8, region: u8, relay: u8) -> SocketAddr {
        (Ipv4Addr::new(127, network, region + 1, relay + 1), RELAY_PORT).into()
    }

    /// Where the relays of a region listen.
    pub fn relay_addresses(&self, network: u8, region: u8) -> Vec<SocketAddr> {
        (0..self.relays).map(|relay| self.relay_address(network, region, relay)).collect()
    }
}

/// Name of a region.
pub fn region_name(region: u8) -> String {
    format!("region-{region}")
}

/// What is asked for on the command line.
#[derive(Args, Clone, Debug)]
pub struct ScaleOptions {
    #[command(flatten)]
    pub shape: FleetShape,
    /// All nodes, the real ones among them
    #[arg(long, default_value_t = 2_500)]
    pub nodes: u64,
    /// Nodes that are real processes
    #[arg(long, default_value_t = 20)]
    pub real: u64,
    /// Processes that the hollow nodes are spread over
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=16))]
    pub hollow_processes: u64,
    /// Changes a second
    #[arg(long, default_value_t = 0.8)]
    pub rate: f64,
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(3..=600))]
    pub seconds: u64,
    #[arg(long, value_enum, default_value = "none")]
    pub faults: Fault,
}

/// What a process of hollow nodes is told.
#[derive(Args, Clone, Debug)]
pub struct HollowOptions {
    #[command(flatten)]
    pub shape: FleetShape,
    /// The second byte of all addresses
    #[arg(long)]
    pub network: u8,
    /// The number of its first node
    #[arg(long)]
    pub first: u64,
    #[arg(long)]
    pub count: u64,
    /// The publisher's control socket
    #[arg(long)]
    pub control: PathBuf,
}
