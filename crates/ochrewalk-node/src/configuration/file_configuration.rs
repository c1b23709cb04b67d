//! The part of the node's own files that distributed configuration adds to.

use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::request_evaluation::Rules;
use ochrewalk_operator_config::{OperatorConfig, UpstreamEndpoint};

/// The configuration from the node's own files, to which distributed resources are added.
#[derive(Clone, Debug, Default)]
pub struct FileConfiguration {
    /// The networks whose clients may connect.
    pub allowed_peers: AllowedPeers,
    /// The routes of the file, and the rules for parsing requests.
    pub rules: Rules,
    /// The endpoints of the upstream; none where it is not called by AJP.
    pub endpoints: Option<Vec<UpstreamEndpoint>>,
    /// The zone of this node.
    pub zone: Option<String>,
    /// Whether the node has a listener whose routes can change.
    pub has_listener: bool,
}

impl From<OperatorConfig> for FileConfiguration {
    fn from(operators: OperatorConfig) -> FileConfiguration {
        let has_listener = operators.ajp_listener.is_some();
        let (allowed_peers, rules) = operators
            .ajp_listener
            .map(|listener| (listener.allowed_peers, listener.rules))
            .unwrap_or_default();
        let zone = operators.ajp_upstream.as_ref().and_then(|upstream| upstream.zone.clone());
        let endpoints = operators.ajp_upstream.map(|upstream| upstream.endpoints);
        FileConfiguration { allowed_peers, rules, endpoints, zone, has_listener }
    }
}
