//! The part of the node's own files that distributed configuration adds to.

use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::judge::Rules;
use ochrewalk_operators::{OperatorConfig, UpstreamEndpoint};

/// What the node's own files say; distributed resources come on top of it.
#[derive(Clone, Debug, Default)]
pub struct FileConfiguration {
    pub allowed_peers: AllowedPeers,
    pub rules: Rules,
    /// Where calls go by AJP; none where they do not go by AJP.
    pub endpoints: Option<Vec<UpstreamEndpoint>>,
    /// The zone of this node.
    pub zone: Option<String>,
    /// Whether the node has a listener whose routes can change.
    pub has_listener: bool,
}

/// What of the operators' file distributed configuration comes on top of.
pub(crate) fn file_configuration(operators: OperatorConfig) -> FileConfiguration {
    let has_listener = operators.ajp_listener.is_some();
    let (allowed_peers, rules) =
        operators.ajp_listener.map(|listener| (listener.allowed_peers, listener.rules)).unwrap_or_default();
    let zone = operators.ajp_upstream.as_ref().and_then(|upstream| upstream.zone.clone());
    let endpoints = operators.ajp_upstream.map(|upstream| upstream.endpoints);
    FileConfiguration { allowed_peers, rules, endpoints, zone, has_listener }
}
