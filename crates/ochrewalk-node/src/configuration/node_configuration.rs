//! Decides what an update of the distributed configuration changes in this node. An update is checked as a whole against the
//! node's methods and its own file, and is applied completely or not at all.

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

/// The limits of the node's store. A node serves no incremental updates, so that its store retains no deletions.
const STORE_LIMITS: StoreLimits = StoreLimits { tombstones: 0 };

/// The configuration in force, which is activated in one step.
#[derive(Clone, Debug)]
pub struct ConfigurationInForce {
    /// The networks whose clients may connect; distributed configuration does not change them.
    pub allowed_peers: AllowedPeers,
    /// The routes of the files and the distributed ones, and the rules for parsing requests.
    pub rules: Rules,
    /// The quotas of tenants that RPCs have named.
    pub quotas: Arc<CachedQuotas>,
    /// The endpoints of the upstream; none where it is not called by AJP.
    pub endpoints: Option<Vec<UpstreamEndpoint>>,
}

/// The node's methods by name: their positions, and whether each is idempotent.
pub type MethodsByName = HashMap<String, RouteTarget>;

/// The configuration of a node: that of its files, the distributed resources, and the result of both that is in force.
///
/// A route of the files overrides a distributed route of the same HTTP method and path; a distributed endpoint or limit
/// overrides that of the files. A limit that several scopes set has the lowest of their values.
#[derive(Debug)]
pub struct NodeConfiguration {
    methods: MethodsByName,
    file: FileConfiguration,
    distributed: Store,
    /// The routes in force, of the files and distributed ones.
    routes: Routes,
    /// The distributed routes that routes of the node's file override.
    overridden: BTreeSet<ResourceName>,
    quotas: QuotaCache,
}

/// The result of a change of the node's files.
#[derive(Debug)]
pub struct ReplacedFile {
    /// The configuration in force now.
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
    /// Returns the configuration before any update. Tenants of distributed quotas are numbered from `first_tenant_id` on; lower
    /// numbers belong to tenants of the node's file.
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

    /// Returns the position of the configuration in force.
    pub fn position(&self) -> Position {
        self.distributed.position()
    }

    /// Returns the resources that were distributed to this node.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.distributed.iter()
    }

    /// Returns the names of the quotas that are known not to exist.
    pub fn absent_quotas(&self) -> Vec<ResourceName> {
        self.quotas.absent()
    }

    /// Returns the names of the first `limit` cached quotas.
    pub fn cached_quotas(&self, limit: usize) -> Vec<CachedQuotaName> {
        self.quotas.names(limit)
    }

    /// Checks an update and applies it as a whole, or leaves the configuration unchanged.
    ///
    /// # Errors
    ///
    /// A resource does not fit this node, or the update is older than the configuration in force.
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

    /// Returns the configuration in force.
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

    /// Removes the quotas of these tenants, which are no longer watched and would become stale. Returns the configuration in
    /// force.
    pub fn forget_quotas<'a>(&mut self, tenants: impl IntoIterator<Item = &'a str>) -> ConfigurationInForce {
        for tenant in tenants {
            self.quotas.remove(tenant);
            self.distributed.forget(&quota_name(tenant));
        }
        self.in_force()
    }

    /// Replaces the configuration of the node's files. A distributed route that the files now also have is overridden.
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

    /// Checks an update against this node, and builds the resulting routes and quotas.
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

    /// Removes the route that the previous value of `resource` has in force.
    fn remove_route(&self, routes: &mut Routes, resource: &Resource) {
        let previous = self.distributed.get(&resource.name).and_then(|previous| previous.value.as_ref());
        let is_in_force = !self.overridden.contains(&resource.name);
        if let (Some(Value::Route(route)), true) = (previous, is_in_force) {
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

    /// Returns the lowest value that any scope sets for a limit.
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
