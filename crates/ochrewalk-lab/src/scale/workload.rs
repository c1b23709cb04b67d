//! Decides which resources are published, which each hollow node requests and how the configuration changes, all
//! drawn from one seed.

use super::options::FleetShape;
use fastrand::Rng;
use ochrewalk_distribution::messages::{Quota, Resource, ResourceName, Route, Value};
use ochrewalk_operator_config::resources::{quota_name, route_name};
use std::collections::BTreeSet;

/// The methods that all nodes know.
pub const METHODS: [&str; 2] = ["look", "sync"];
/// A method that no node knows.
pub const UNKNOWN_METHOD: &str = "missing";
const HTTP_METHOD: &str = "POST";
/// The number of tenants per hot tenant, whose quota is requested and changed often.
const TENANTS_PER_HOT_TENANT: u64 = 200;
/// One in this many tenants that a node requests is a hot tenant.
const HOT_EVERY: usize = 4;
/// The share of changes that concern a tenant's quota.
const QUOTA_SHARE: f64 = 0.6;
/// The share of route changes that delete the route, if it exists.
const DELETION_SHARE: f64 = 0.4;
/// The exclusive upper bound of random quotas, in RPCs per second.
const MAX_QUOTA: u64 = 1_000;

impl FleetShape {
    /// Returns the name of a scope.
    pub fn scope(&self, number: u64) -> String {
        format!("service-{}", number % self.scopes)
    }

    /// Returns the name of a tenant's quota.
    pub fn tenant(&self, number: u64) -> ResourceName {
        quota_name(&format!("tenant-{number}"))
    }

    /// Returns the name of a route.
    pub fn route(&self, number: u64) -> ResourceName {
        route_name(&self.scope(number), HTTP_METHOD, &route_path(number))
    }

    /// Returns the names of all routes that a scope may have, including its probe route.
    pub fn routes_of(&self, scope: u64) -> impl Iterator<Item = ResourceName> + '_ {
        let numbers = (scope % self.scopes..self.routes).step_by(self.scopes as usize);
        numbers.map(|number| self.route(number)).chain([self.probe(scope)])
    }

    /// Returns the path of the probe routes, which show changes at real nodes.
    pub fn probe_path() -> &'static str {
        "/probe"
    }

    /// Returns the name of a scope's probe route.
    pub fn probe(&self, scope: u64) -> ResourceName {
        route_name(&self.scope(scope), HTTP_METHOD, FleetShape::probe_path())
    }

    /// Returns the resource that sets a scope's probe route.
    pub fn probe_set(&self, scope: u64) -> Resource {
        let route = Route {
            http_method: HTTP_METHOD.into(),
            path: FleetShape::probe_path().into(),
            method: METHODS[0].into(),
        };
        Resource::set(self.probe(scope), Value::Route(route))
    }

    /// Returns the one or two scopes to which a hollow node subscribes.
    pub fn scopes_of(&self, node: u64) -> BTreeSet<u64> {
        let mut random = Rng::with_seed(self.seed ^ (node << 20));
        let count = random.usize(1..=2);
        (0..count).map(|_| random.u64(0..self.scopes)).collect()
    }

    /// Returns the tenants that a hollow node requests, a quarter of which are hot tenants.
    pub fn tenants_of(&self, node: u64) -> BTreeSet<u64> {
        let mut random = Rng::with_seed(!self.seed ^ (node << 20));
        let is_hot = |index: usize| index.is_multiple_of(HOT_EVERY);
        let bound = |index: usize| if is_hot(index) { self.hot_tenants() } else { self.tenants };
        (0..self.wanted).map(|index| random.u64(0..bound(index))).collect()
    }

    /// Returns the number of tenants that are changed and requested most.
    pub fn hot_tenants(&self) -> u64 {
        (self.tenants / TENANTS_PER_HOT_TENANT).max(1)
    }

    /// Returns the resources that are published before the run: quotas first, then routes.
    pub fn initial_resources(&self) -> impl Iterator<Item = Resource> + '_ {
        let quotas = (0..self.tenants).map(|number| quota(self.tenant(number), 1 + number % MAX_QUOTA));
        quotas.chain((0..self.routes).map(|number| self.route_to(number, METHODS[0])))
    }

    /// Returns the resource that routes a path to `method`.
    pub fn route_to(&self, number: u64, method: &str) -> Resource {
        let route =
            Route { http_method: HTTP_METHOD.into(), path: route_path(number), method: method.into() };
        Resource::set(self.route(number), Value::Route(route))
    }
}

fn route_path(number: u64) -> String {
    format!("/route-{number}")
}

fn quota(name: ResourceName, per_second: u64) -> Resource {
    Resource::set(name, Value::Quota(Quota { per_second: per_second as f64 }))
}

/// A random sequence of changes: quotas, routes, deletions, and the creation of deleted routes.
pub struct ChangeSource {
    shape: FleetShape,
    random: Rng,
    deleted: BTreeSet<u64>,
}

impl ChangeSource {
    /// Creates the sequence of changes of a run.
    pub fn new(shape: &FleetShape) -> ChangeSource {
        let random = Rng::with_seed(shape.seed.rotate_left(32));
        ChangeSource { shape: shape.clone(), random, deleted: BTreeSet::new() }
    }

    /// Returns the next change.
    pub fn next_change(&mut self) -> Resource {
        if self.random.f64() < QUOTA_SHARE {
            let tenant = self.random.u64(0..self.shape.hot_tenants());
            return quota(self.shape.tenant(tenant), self.random.u64(1..MAX_QUOTA));
        }
        if let Some(number) = self.deleted.pop_first() {
            return self.shape.route_to(number, METHODS[0]);
        }
        let number = self.random.u64(0..self.shape.routes);
        if self.random.f64() < DELETION_SHARE {
            self.deleted.insert(number);
            return Resource { name: self.shape.route(number), revision: 0, value: None };
        }
        self.shape.route_to(number, METHODS[1])
    }
}
