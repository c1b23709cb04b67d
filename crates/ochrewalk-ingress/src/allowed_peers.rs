//! Decides who may connect, by the address that a connection comes from: the narrowest network that holds it has the
//! say, whatever order the networks were named in.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;

/// Networks that are let in and networks that are kept out.
#[derive(Clone, Debug, Default)]
pub struct AllowedPeers {
    four: PrefixMap<Ipv4Net, bool>,
    six: PrefixMap<Ipv6Net, bool>,
}

impl AllowedPeers {
    /// States whether a network is let in. What was stated of the very same network before is given back, as two
    /// statements on one network are a mistake where they differ.
    pub fn state(&mut self, network: IpNet, let_in: bool) -> Option<bool> {
        match network {
            IpNet::V4(net) => self.four.insert(net.trunc(), let_in),
            IpNet::V6(net) => self.six.insert(net.trunc(), let_in),
        }
    }

    /// Whether an address may connect; one that no network holds may not.
    ///
    /// ```
    /// use ochrewalk_ingress::allowed_peers::AllowedPeers;
    /// let mut allowed_peers = AllowedPeers::default();
    /// allowed_peers.state("10.0.0.0/8".parse().unwrap(), true);
    /// allowed_peers.state("10.9.0.0/16".parse().unwrap(), false);
    /// let may = |text: &str| allowed_peers.may_connect(text.parse().unwrap());
    /// assert_eq!([may("10.1.2.3"), may("10.9.2.3"), may("11.0.0.1")], [true, false, false]);
    /// ```
    pub fn may_connect(&self, address: IpAddr) -> bool {
        // Guards against an address of one kind in the clothes of the other, which no network would hold.
        let held = match address.to_canonical() {
            IpAddr::V4(at) => self.four.get_lpm(&Ipv4Net::from(at)).map(|(_, let_in)| *let_in),
            IpAddr::V6(at) => self.six.get_lpm(&Ipv6Net::from(at)).map(|(_, let_in)| *let_in),
        };
        held.unwrap_or(false)
    }

    /// Whether nobody at all may connect.
    pub fn is_empty(&self) -> bool {
        !self.four.values().chain(self.six.values()).any(|let_in| *let_in)
    }
}
