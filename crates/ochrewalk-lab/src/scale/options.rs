//! Options of a scale run, and the shape of the fleet, which all processes of the run share.

use clap::{Args, ValueEnum};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

const RELAY_PORT: u16 = 7100;

/// A fault that starts after a third of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    None,
    /// One relay is killed
    RelayKilled,
    /// The publisher is killed, and started again on its log after 3 s
    PublisherKilled,
    /// Both relays of a region are stopped while an hour's changes are published, then continued
    RegionCut,
    /// A third of a region's hollow nodes restart without state
    ZoneCold,
    /// 50 subscribers of a relay never read
    SlowNodes,
    /// A route to a method that nodes do not know is published, then replaced by a valid one
    BadChange,
}

/// The parameters of a fleet that all processes of a run share.
#[derive(Args, Clone, Debug)]
pub struct FleetShape {
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value_t = 410_000)]
    pub tenants: u64,
    #[arg(long, default_value_t = 49_000)]
    pub routes: u64,
    /// Scopes over which the routes are distributed
    #[arg(long, default_value_t = 3_900)]
    pub scopes: u64,
    #[arg(long, default_value_t = 11, value_parser = clap::value_parser!(u8).range(1..=100))]
    pub regions: u8,
    /// Relays of each region
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=10))]
    pub relays: u8,
    /// Tenants whose quotas each hollow node requests
    #[arg(long, default_value_t = 200)]
    pub wanted: usize,
}

impl FleetShape {
    /// Returns the region of a node.
    pub fn region_of(&self, node: u64) -> u8 {
        (node % u64::from(self.regions)) as u8
    }

    /// Returns the listen address of a relay. Each run has a separate network on loopback.
    pub fn relay_address(&self, network: u8, region: u8, relay: u8) -> SocketAddr {
        (Ipv4Addr::new(127, network, region + 1, relay + 1), RELAY_PORT).into()
    }

    /// Returns the listen addresses of the relays of a region.
    pub fn relay_addresses(&self, network: u8, region: u8) -> Vec<SocketAddr> {
        (0..self.relays).map(|relay| self.relay_address(network, region, relay)).collect()
    }
}

/// Returns the name of a region.
pub fn region_name(region: u8) -> String {
    format!("region-{region}")
}

/// The options of the command line.
#[derive(Args, Clone, Debug)]
pub struct ScaleOptions {
    #[command(flatten)]
    pub shape: FleetShape,
    /// All nodes, including the real ones
    #[arg(long, default_value_t = 2_500)]
    pub nodes: u64,
    /// Nodes that are real processes
    #[arg(long, default_value_t = 20)]
    pub real: u64,
    /// Processes over which the hollow nodes are distributed
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=16))]
    pub hollow_processes: u64,
    /// Changes per second
    #[arg(long, default_value_t = 0.8)]
    pub rate: f64,
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(3..=600))]
    pub seconds: u64,
    #[arg(long, value_enum, default_value = "none")]
    pub faults: Fault,
}

/// The options of a process of hollow nodes.
#[derive(Args, Clone, Debug)]
pub struct HollowOptions {
    #[command(flatten)]
    pub shape: FleetShape,
    /// The second byte of all addresses
    #[arg(long)]
    pub network: u8,
    /// The number of the first node of this process
    #[arg(long)]
    pub first: u64,
    #[arg(long)]
    pub count: u64,
    /// The publisher's control socket
    #[arg(long)]
    pub control: PathBuf,
}
