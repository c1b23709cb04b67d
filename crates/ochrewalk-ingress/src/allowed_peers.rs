//! Decides whether a peer may connect, by its IP address: the rule of the most specific network that contains the address
//! applies, regardless of the order in which the rules were added.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// Allowed and denied networks.
#[derive(Clone, Debug, Default)]
pub struct AllowedPeers {
    ipv4: PrefixMap<Ipv4Net, bool>,
    ipv6: PrefixMap<Ipv6Net, bool>,
}

impl AllowedPeers {
    /// Adds a rule that allows or denies a network. Returns the previous rule for the same network, so that the caller
    /// can reject contradictory rules.
    pub fn insert(&mut self, network: IpNet, is_allowed: bool) -> Option<bool> {
        match network {
            IpNet::V4(net) => self.ipv4.insert(net.trunc(), is_allowed),
            IpNet::V6(net) => self.ipv6.insert(net.trunc(), is_allowed),
        }
    }

    /// Whether a peer with this address may connect. An address that no network contains is denied.
    ///
    /// ```
    /// use ochrewalk_ingress::allowed_peers::AllowedPeers;
    /// let mut allowed_peers = AllowedPeers::default();
    /// allowed_peers.insert("10.0.0.0/8".parse().unwrap(), true);
    /// allowed_peers.insert("10.9.0.0/16".parse().unwrap(), false);
    /// let may = |text: &str| allowed_peers.may_connect(text.parse().unwrap());
    /// assert_eq!([may("10.1.2.3"), may("10.9.2.3"), may("11.0.0.1")], [true, false, false]);
    /// ```
    pub fn may_connect(&self, address: IpAddr) -> bool {
        // An IPv4 address that is mapped to IPv6 would match no IPv4 network, so it is converted first.
        let is_allowed = match address.to_canonical() {
            IpAddr::V4(address) => {
                self.ipv4.get_lpm(&Ipv4Net::from(address)).map(|(_, is_allowed)| *is_allowed)
            }
            IpAddr::V6(address) => {
                self.ipv6.get_lpm(&Ipv6Net::from(address)).map(|(_, is_allowed)| *is_allowed)
            }
        };
        is_allowed.unwrap_or(false)
    }

    /// Whether no peer may connect.
    pub fn is_empty(&self) -> bool {
        !self.ipv4.values().chain(self.ipv6.values()).any(|is_allowed| *is_allowed)
    }
}
