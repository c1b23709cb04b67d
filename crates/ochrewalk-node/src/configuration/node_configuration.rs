//! Decides what an update of the distributed configuration changes in this node: it is checked as a whole against the node's
//! methods and its own file, and either all of it is in force or nothing of it.

use super::cached_quotas::{CachedQuota, CachedQuotas};
use super::file_configuration::FileConfiguration;
use super::update_error::UpdateError;
use ochrewalk_distribution::messages::ResourceName;
use ochrewalk_distribution::messages::{Position, Resource, ResourceKind, Value};
use ochrewalk_distribution::{CompleteUpdate, Store, StoreLimits};
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::judge::Rules;
use ochrewalk_ingress::routes::Routes;
use ochrewalk_operators::resources::quota_name;
use ochrewalk_operators::resources::{
    check, check_route_target, describe, endpoint_address, RouteTarget, LIMIT_USUAL_MEMORY,
};
use ochrewalk_operators::UpstreamEndpoint;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// A node serves no differences, so that it remembers no deletions.
const STORE_LIMITS: StoreLimits = StoreLimits { tombstones: 0 };

/// The configuration in force, which is activated as one.
#[derive(Clone, Debug)]
pub struct ConfigurationInForce {
    pub allowed_peers: AllowedPeers,
    pub rules: Rules,
    pub quotas: Arc<CachedQuotas>,
    pub endpoints: Option<Vec<UpstreamEndpoint>>,
}

/// The node's methods by name: their positions, and whether each may happen twice.
pub type MethodsByName = HashMap<String, RouteTarget>;

/// The configuration of a node: its files, what was distributed to it, and what both come to.
#[derive(Debug)]
pub struct NodeConfiguration {
    methods: MethodsByName,
    file: FileConfiguration,
    distributed: Store,
    routes: Routes,
    /// Distributed routes that the node's file overrides: the file's are in force.
    overridden: BTreeSet<ResourceName>,
    quotas: Arc<CachedQuotas>,
    /// The number of the next tenant: one is not given twice.
    next_tenant_id: u32,
}

/// An update that was found good and is not in force yet.
#[derive(Debug)]
pub struct StagedUpdate {
    routes: Routes,
    quotas: Arc<CachedQuotas>,
    next_tenant_id: u32,
}

impl NodeConfiguration {
    /// What the files say alone. Numbers of tenants below `first_tenant_id` are the node file's own.
    pub fn new(methods: MethodsByName, file: FileConfiguration, first_tenant_id: u32) -> NodeConfiguration {
        let routes = file.rules.routes.clone();
        let distributed = Store::new(0, STORE_LIMITS);
        NodeConfiguration {
            methods,
            file,
            distributed,
            routes,
            overridden: BTreeSet::new(),
            quotas: Arc::default(),
            next_tenant_id: first_tenant_id,
        }
    }

    /// The position in force.
    pub fn position(&self) -> Position {
        self.distributed.position()
    }

    /// Resources that were distributed to this node.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.distributed.iter()
    }

    /// Tenants that are known to have no quota.
    pub fn absent_quotas(&self) -> Vec<ResourceName> {
        let absent = self.quotas.iter().filter(|(_, cached)| cached.per_second.is_none());
        absent.map(|(tenant, _)| quota_name(tenant)).collect()
    }

    /// The names of the first `limit` cached quotas, and whether there is one.
    pub fn cached_quotas(&self, limit: usize) -> Vec<(ResourceName, bool)> {
        let cached = self.quotas.iter().take(limit);
        cached.map(|(tenant, quota)| (quota_name(tenant), quota.per_second.is_some())).collect()
    }

    /// Checks an update and applies it as a whole, or leaves all as it is.
    pub fn apply(&mut self, update: &CompleteUpdate) -> Result<ConfigurationInForce, UpdateError> {
        let staged = self.stage(update)?;
        self.distributed.apply(update)?;
        self.routes = staged.routes;
        if update.is_snapshot {
            self.overridden.clear();
        }
        for resource in &update.resources {
            self.overridden.remove(&resource.name);
        }
        self.quotas = staged.quotas;
        self.next_tenant_id = staged.next_tenant_id;
        Ok(self.in_force())
    }

    /// What is in force now.
    pub fn in_force(&self) -> ConfigurationInForce {
        let mut rules = Rules { routes: self.routes.clone(), ..self.file.rules.clone() };
        if let Some(amount) = self.limit(LIMIT_USUAL_MEMORY) {
            rules.usual_kb = Some(amount);
        }
        ConfigurationInForce {
            allowed_peers: self.file.allowed_peers.clone(),
            rules,
            quotas: self.quotas.clone(),
            endpoints: self.endpoints(),
        }
    }

    /// Removes the quotas of these tenants, which are no longer watched and would go stale.
    pub fn forget_quotas<'a>(&mut self, tenants: impl IntoIterator<Item = &'a str>) -> ConfigurationInForce {
        let quotas = Arc::make_mut(&mut self.quotas);
        for tenant in tenants {
            quotas.remove(tenant);
            self.distributed.forget(&quota_name(tenant));
        }
        self.in_force()
    }

    /// The node's files have changed. Returns an error for each distributed route that the file now overrides.
    pub fn replace_file(&mut self, file: FileConfiguration) -> (ConfigurationInForce, Vec<UpdateError>) {
        let mut routes = file.rules.routes.clone();
        let mut faults = Vec::new();
        let mut overridden = BTreeSet::new();
        for resource in self.distributed.iter() {
            if let Err(fault) = self.add_route(&mut routes, resource) {
                faults.push(fault);
                overridden.insert(resource.name.clone());
            }
        }
        self.routes = routes;
        self.overridden = overridden;
        self.file = file;
        (self.in_force(), faults)
    }

    fn stage(&self, update: &CompleteUpdate) -> Result<StagedUpdate, UpdateError> {
        for resource in &update.resources {
            self.check(resource)?;
        }
        let mut routes =
            if update.is_snapshot { self.file.rules.routes.clone() } else { self.routes.clone() };
        // What goes makes room first: a path may move from one name to another within an update.
        if !update.is_snapshot {
            update.resources.iter().for_each(|resource| self.remove_route(&mut routes, resource));
        }
        for resource in &update.resources {
            self.add_route(&mut routes, resource)?;
        }
        let (quotas, next_tenant_id) = self.staged_quotas(update);
        Ok(StagedUpdate { routes, quotas, next_tenant_id })
    }

    fn check(&self, resource: &Resource) -> Result<(), UpdateError> {
        check(resource)?;
        match resource.name.kind() {
            ResourceKind::Unknown => Err(UpdateError::UnknownKind(describe(&resource.name))),
            ResourceKind::Route if !self.file.has_listener => {
                Err(UpdateError::NoListener(describe(&resource.name)))
            }
            ResourceKind::Endpoint if self.file.endpoints.is_none() => {
                Err(UpdateError::NoEndpoints(describe(&resource.name)))
            }
            _ => Ok(()),
        }
    }

    fn remove_route(&self, routes: &mut Routes, resource: &Resource) {
        let before = self.distributed.get(&resource.name).and_then(|before| before.value.as_ref());
        let is_in_force = !self.overridden.contains(&resource.name);
        if let (Some(Value::Route(route)), true) = (before, is_in_force) {
            routes.remove(&route.http_method, &route.path);
        }
    }

    fn add_route(&self, routes: &mut Routes, resource: &Resource) -> Result<(), UpdateError> {
        let Some(Value::Route(route)) = &resource.value else { return Ok(()) };
        let target = self.methods.get(&route.method).copied();
        let method = check_route_target(&resource.name, route, target)?;
        let added = routes.add(&route.http_method, &route.path, method);
        added.map_err(|reason| UpdateError::RouteConflict { route: describe(&resource.name), reason })
    }

    fn staged_quotas(&self, update: &CompleteUpdate) -> (Arc<CachedQuotas>, u32) {
        let is_quota = |name: &ResourceName| name.kind() == ResourceKind::Quota;
        let changed = update.resources.iter().filter(|resource| is_quota(&resource.name));
        let changed = changed.map(|resource| match &resource.value {
            Some(Value::Quota(quota)) => (&resource.name, Some(quota.per_second)),
            _ => (&resource.name, None),
        });
        let absent = update.absent.iter().filter(|name| is_quota(name)).map(|name| (name, None));
        let mut changed = changed.chain(absent).peekable();
        if !update.is_snapshot && changed.peek().is_none() {
            return (self.quotas.clone(), self.next_tenant_id);
        }
        let mut quotas = if update.is_snapshot { CachedQuotas::new() } else { (*self.quotas).clone() };
        let mut next_tenant_id = self.next_tenant_id;
        for (name, per_second) in changed {
            // A tenant keeps its number over a change, and with it what the module holds against its quota.
            let id = self.quotas.get(name.name.as_str()).map_or(next_tenant_id, |cached| cached.id);
            if id == next_tenant_id {
                next_tenant_id = next_tenant_id.wrapping_add(1);
            }
            quotas.insert(name.name.as_str().into(), CachedQuota { id, per_second });
        }
        (Arc::new(quotas), next_tenant_id)
    }

    fn limit(&self, limit: &str) -> Option<f64> {
        let of = |resource: &Resource| match &resource.value {
            Some(Value::Limit(value)) if resource.name.name == limit => Some(value.amount),
            _ => None,
        };
        // Where several scopes set it, the lowest holds.
        let limits = self.distributed.of_kind(ResourceKind::Limit);
        limits.filter_map(of).min_by(f64::total_cmp)
    }

    fn endpoints(&self) -> Option<Vec<UpstreamEndpoint>> {
        let mut endpoints = self.file.endpoints.clone()?;
        for resource in self.distributed.of_kind(ResourceKind::Endpoint) {
            let (Some(Value::Endpoint(endpoint)), Some(address)) =
                (&resource.value, endpoint_address(&resource.name))
            else {
                continue;
            };
            let is_in_local_zone = self.file.zone.as_ref().is_none_or(|zone| *zone == endpoint.zone);
            let endpoint = UpstreamEndpoint { address, weight: endpoint.weight, is_in_local_zone };
            // A distributed endpoint says the newer of what a file says, too.
            match endpoints.iter_mut().find(|known| known.address == address) {
                Some(known) => *known = endpoint,
                None => endpoints.push(endpoint),
            }
        }
        Some(endpoints)
    }
}
