//! Decides what an update of the distributed configuration changes in this node: it is checked as a whole against the node's
//! methods and its own file, and either all of it is in force or nothing of it.

use super::cached_quotas::{CachedQuotaName, CachedQuotas, QuotaCache};
use super::file_configuration::FileConfiguration;
use super::update_error::UpdateError;
use ochrewalk_distribution::messages::{Position, Resource, ResourceKind, ResourceName, Value};
use ochrewalk_distribution::{CompleteUpdate, Store, StoreLimits};
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::request_evaluation::Rules;
use ochrewalk_ingress::routes::Routes;
use ochrewalk_operator_config::resources::{
    check, check_route_target, endpoint_address, quota_name, RouteTarget, LIMIT_DEFAULT_MEMORY,
};
use ochrewalk_operator_config::UpstreamEndpoint;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// A node serves no differences, so that it remembers no deletions.
const STORE_LIMITS: StoreLimits = StoreLimits { tombstones: 0 };

/// The configuration in force, which is activated as one.
#[derive(Clone, Debug)]
pub struct ConfigurationInForce {
    /// The networks whose clients may connect; distributed configuration does not change them.
    pub allowed_peers: AllowedPeers,
    /// The routes of the files and the distributed ones, and how requests are read.
    pub rules: Rules,
    /// Quotas of tenants that RPCs have named.
    pub quotas: Arc<CachedQuotas>,
    /// The endpoints of the upstream; none where it is not called by AJP.
    pub endpoints: Option<Vec<UpstreamEndpoint>>,
}

/// The node's methods by name: their positions, and whether each is idempotent.
pub type MethodsByName = HashMap<String, RouteTarget>;

/// The configuration of a node: what its files say, what was distributed to it, and what is in force of both.
///
/// The files win over a distributed route of the same HTTP method and path; a distributed endpoint or limit wins over that of
/// the files. A limit that several scopes set has the lowest of their values.
#[derive(Debug)]
pub struct NodeConfiguration {
    methods: MethodsByName,
    file: FileConfiguration,
    distributed: Store,
    /// Routes in force, of the files and distributed ones.
    routes: Routes,
    /// Distributed routes that the node's file overrides: the file's are in force.
    overridden: BTreeSet<ResourceName>,
    quotas: QuotaCache,
}

/// What a change of the node's files led to.
#[derive(Debug)]
pub struct ReplacedFile {
    /// What is in force now.
    pub in_force: ConfigurationInForce,
    /// An error for each distributed route that the files now override.
    pub overridden: Vec<UpdateError>,
}

/// An update that fits the node and is not in force yet.
#[derive(Debug)]
struct StagedUpdate {
    routes: Routes,
    quotas: QuotaCache,
}

impl NodeConfiguration {
    /// The configuration before anything was distributed. Tenants of quotas are numbered from `first_tenant_id` on; lower numbers
    /// belong to tenants of the node's file.
    pub fn new(methods: MethodsByName, file: FileConfiguration, first_tenant_id: u32) -> NodeConfiguration {
        let routes = file.rules.routes.clone();
        let distributed = Store::new(0, STORE_LIMITS);
        NodeConfiguration {
            methods,
            file,
            distributed,
            routes,
            overridden: BTreeSet::new(),
            quotas: QuotaCache::new(first_tenant_id),
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
        self.quotas.absent()
    }

    /// The names of the first `limit` cached quotas.
    pub fn cached_quotas(&self, limit: usize) -> Vec<CachedQuotaName> {
        self.quotas.names(limit)
    }

    /// Checks an update and applies it as a whole, or leaves all as it is.
    ///
    /// # Errors
    ///
    /// Where a resource does not fit this node, or the update is older than what is in force.
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
        Ok(self.in_force())
    }

    /// What is in force now.
    pub fn in_force(&self) -> ConfigurationInForce {
        let mut rules = Rules { routes: self.routes.clone(), ..self.file.rules.clone() };
        if let Some(amount) = self.limit(LIMIT_DEFAULT_MEMORY) {
            rules.default_memory_kb = Some(amount);
        }
        ConfigurationInForce {
            allowed_peers: self.file.allowed_peers.clone(),
            rules,
            quotas: self.quotas.quotas(),
            endpoints: self.endpoints(),
        }
    }

    /// Removes the quotas of these tenants, which are no longer watched and would go stale.
    pub fn forget_quotas<'a>(&mut self, tenants: impl IntoIterator<Item = &'a str>) -> ConfigurationInForce {
        for tenant in tenants {
            self.quotas.remove(tenant);
            self.distributed.forget(&quota_name(tenant));
        }
        self.in_force()
    }

    /// Replaces what the node's files say. A distributed route that the files now have, too, is overridden.
    pub fn replace_file(&mut self, file: FileConfiguration) -> ReplacedFile {
        let mut routes = file.rules.routes.clone();
        let mut errors = Vec::new();
        let mut overridden = BTreeSet::new();
        for resource in self.distributed.iter() {
            if let Err(error) = self.add_route(&mut routes, resource) {
                errors.push(error);
                overridden.insert(resource.name.clone());
            }
        }
        self.routes = routes;
        self.overridden = overridden;
        self.file = file;
        ReplacedFile { in_force: self.in_force(), overridden: errors }
    }

    /// Checks an update against this node, and builds what it leads to.
    fn stage(&self, update: &CompleteUpdate) -> Result<StagedUpdate, UpdateError> {
        for resource in &update.resources {
            self.check(resource)?;
        }
        let mut routes =
            if update.is_snapshot { self.file.rules.routes.clone() } else { self.routes.clone() };
        // Routes that are replaced or deleted are removed first: a path may move from one name to another within an update.
        if !update.is_snapshot {
            update.resources.iter().for_each(|resource| self.remove_route(&mut routes, resource));
        }
        for resource in &update.resources {
            self.add_route(&mut routes, resource)?;
        }
        Ok(StagedUpdate { routes, quotas: self.quotas.after(update) })
    }

    fn check(&self, resource: &Resource) -> Result<(), UpdateError> {
        check(resource)?;
        let name = || resource.name.clone();
        match resource.name.kind() {
            ResourceKind::Unknown => Err(UpdateError::UnknownKind { resource: name() }),
            ResourceKind::Route if !self.file.has_listener => Err(UpdateError::NoListener { route: name() }),
            ResourceKind::Endpoint if self.file.endpoints.is_none() => {
                Err(UpdateError::NoEndpoints { endpoint: name() })
            }
            _ => Ok(()),
        }
    }

    /// Removes the route that `resource` had in force until now.
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
        added.map_err(|reason| UpdateError::RouteConflict { route: resource.name.clone(), reason })
    }

    /// The lowest value that any scope sets for a limit.
    fn limit(&self, limit: &str) -> Option<f64> {
        let amount = |resource: &Resource| match &resource.value {
            Some(Value::Limit(value)) if resource.name.name == limit => Some(value.amount),
            _ => None,
        };
        self.distributed.of_kind(ResourceKind::Limit).filter_map(amount).min_by(f64::total_cmp)
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
            // A distributed endpoint replaces that of the files.
            match endpoints.iter_mut().find(|other| other.address == address) {
                Some(replaced) => *replaced = endpoint,
                None => endpoints.push(endpoint),
            }
        }
        Some(endpoints)
    }
}
