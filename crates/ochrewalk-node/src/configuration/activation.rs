//! Puts the configuration in force in the listener and the upstream of the running node.

use super::agent::{PrepareError, PreparedAgent};
use super::file_configuration::FileConfiguration;
use super::node_configuration::{ConfigurationInForce, MethodsByName, NodeConfiguration};
use crate::net::ajp_ingress::{AjpIngress, ReloadableConfig};
use crate::net::ajp_upstream::AjpUpstreamClient;
use ochrewalk::deployment::{Deployment, Placement};
use ochrewalk::host::Effect;
use ochrewalk_operator_config::resources::RouteTarget;
use ochrewalk_operator_config::{OperatorConfig, UpstreamEndpoint};
use std::sync::{Arc, Mutex, PoisonError};

/// The parts of a running node that distributed configuration reaches.
struct ActivationTarget {
    listener: Option<Arc<AjpIngress>>,
    upstream: Option<AjpUpstreamClient>,
    /// The endpoints that `upstream` has.
    endpoints: Mutex<Option<Vec<UpstreamEndpoint>>>,
    /// Rules and quotas that are no longer in force, while requests still use them.
    retired: Mutex<Vec<Arc<ReloadableConfig>>>,
}

impl ActivationTarget {
    fn activate(&self, in_force: ConfigurationInForce) {
        let ConfigurationInForce { allowed_peers, rules, quotas, endpoints } = in_force;
        if let Some(listener) = &self.listener {
            let replaced = listener.replace_config(ReloadableConfig { allowed_peers, rules, quotas });
            self.retire(replaced);
        }
        self.replace_endpoints(endpoints);
    }

    /// Frees what no request uses any more. It is freed here, by the agent's thread, as that takes a while where there are
    /// many routes.
    fn retire(&self, replaced: Arc<ReloadableConfig>) {
        let mut retired = self.retired.lock().unwrap_or_else(PoisonError::into_inner);
        retired.push(replaced);
        retired.retain(|config| Arc::strong_count(config) > 1);
    }

    fn replace_endpoints(&self, newer: Option<Vec<UpstreamEndpoint>>) {
        let mut endpoints = self.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Some(upstream), Some(newer)) = (&self.upstream, &newer) {
            if endpoints.as_ref() != Some(newer) {
                upstream.set_endpoints(newer);
            }
        }
        *endpoints = newer;
    }
}

/// The agent of the control plane; none where the operators' file names no relays. What was persisted is active when this
/// returns.
///
/// # Errors
///
/// Where the agent cannot be prepared.
pub(crate) fn prepare_configuration(
    placement: &Placement,
    operators: &OperatorConfig,
    listener: Option<&Arc<AjpIngress>>,
    upstream: Option<&AjpUpstreamClient>,
) -> Result<Option<PreparedAgent>, PrepareError> {
    let Some(config) = &operators.config_agent else { return Ok(None) };
    let deployment = &placement.deployment;
    let first_tenant_id = deployment.tenants.len() as u32;
    let file = FileConfiguration::from(operators.clone());
    let target = ActivationTarget {
        listener: listener.cloned(),
        upstream: upstream.cloned(),
        endpoints: Mutex::new(file.endpoints.clone()),
        retired: Mutex::default(),
    };
    let state = NodeConfiguration::new(methods_by_name(deployment), file, first_tenant_id);
    let activate = Box::new(move |in_force| target.activate(in_force));
    let agent = PreparedAgent::new(&placement.name, config, state, placement.seed, activate)?;
    if let Some(listener) = listener {
        listener.set_configuration(agent.handle().clone());
    }
    Ok(Some(agent))
}

fn methods_by_name(deployment: &Deployment) -> MethodsByName {
    let target = |(position, effect)| RouteTarget { position, is_idempotent: effect == Effect::Idempotent };
    let targets = deployment.methods.iter().map(|method| method.effect).enumerate().map(target);
    let names = deployment.method_names.iter().map(|name| name.to_string());
    names.zip(targets).collect()
}
