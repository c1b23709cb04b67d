//! The configuration of a node as its own files say it, and the agent that adds what is distributed.

use crate::configuration::agent::{self, PreparedAgent};
use crate::configuration::file_configuration::file_configuration;
use crate::configuration::node_configuration::{ConfigurationInForce, NodeConfiguration};
use crate::net::ajp_below::AjpBelow;
use crate::net::ajp_front::{AjpFront, Open};
use ochrewalk::deployment::Placement;
use ochrewalk::host::Effect;
use ochrewalk_operators::resources::RouteTarget;
use ochrewalk_operators::OperatorConfig;
use std::sync::{Arc, Mutex, PoisonError};

/// The agent of the control plane, where the operators' file names one.
pub(crate) fn prepare_configuration(
    placement: &Placement,
    operators: &OperatorConfig,
    ajp: Option<Arc<AjpFront>>,
    by_ajp: Option<AjpBelow>,
) -> Result<Option<PreparedAgent>, String> {
    let Some(config) = &operators.config_agent else { return Ok(None) };
    let deployment = &placement.deployment;
    let effects = deployment.methods.iter().map(|method| method.effect == Effect::Idempotent);
    let names = deployment.method_names.iter().map(|name| name.to_string());
    let targets =
        effects.enumerate().map(|(position, is_idempotent)| RouteTarget { position, is_idempotent });
    let methods = names.zip(targets).collect();
    let state = NodeConfiguration::new(
        methods,
        file_configuration(operators.clone()),
        deployment.tenants.len() as u32,
    );
    let in_force_endpoints =
        Mutex::new(operators.ajp_upstream.as_ref().map(|upstream| upstream.endpoints.clone()));
    let listener = ajp.clone();
    let retired: Mutex<Vec<Arc<Open>>> = Mutex::default();
    let activate = move |in_force: ConfigurationInForce| {
        if let Some(listener) = &listener {
            let ConfigurationInForce { allowed_peers, rules, quotas, .. } = in_force;
            let before = listener.change(Open { allowed_peers, rules, quotas });
            let mut retired = retired.lock().unwrap_or_else(PoisonError::into_inner);
            retired.push(before);
            // What no request goes by any more is freed here, by the agent's thread.
            retired.retain(|open| Arc::strong_count(open) > 1);
        }
        let mut before = in_force_endpoints.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Some(by_ajp), Some(endpoints)) = (&by_ajp, &in_force.endpoints) {
            if before.as_ref() != Some(endpoints) {
                by_ajp.relist(endpoints);
            }
        }
        *before = in_force.endpoints;
    };
    let prepared = agent::prepare(&placement.name, config, state, placement.seed, Box::new(activate))?;
    if let Some(listener) = &ajp {
        listener.fetch_quotas_by(prepared.handle.clone());
    }
    Ok(Some(prepared))
}
