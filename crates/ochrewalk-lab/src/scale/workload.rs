//! Decides what is published, what each hollow node wants and how the configuration changes, all drawn from one seed.

use super::options::FleetShape;
use fastrand::Rng;
use ochrewalk_distribution::messages::{Quota, Resource, ResourceName, Route, Value};
use ochrewalk_operator_config::resources::{quota_name, route_name};
use std::collections::BTreeSet;

/// Methods that all nodes know.
pub const METHODS: [&str; 2] = ["look", "sync"];
/// A method that no node knows.
pub const UNKNOWN_METHOD: &str = "missing";
const HTTP_METHOD: &str = "POST";
/// One in so many tenants is often wanted and often changed.
const TENANTS_PER_HOT_ONE: u64 = 200;
/// One in so many tenants that a node asks for is among those.
const HOT_EVERY: usize = 4;
/// The share of changes that concern a tenant's quota.
const QUOTA_SHARE: f64 = 0.6;
/// The share of route changes that delete the route, if it is there.
const DELETION_SHARE: f64 = 0.4;
/// A quota is drawn below this.
const MAX_QUOTA: u64 = 1_000;

impl FleetShape {
    /// The name of a scope.
    pub fn scope(&self, number: u64) -> String {
        format!("service-{}", number % self.scopes)
    }

    /// The name of a tenant's quota.
    pub fn tenant(&self, number: u64) -> ResourceName {
        quota_name(&format!("tenant-{number}"))
    }

    /// The name of a route.
    pub fn route(&self, number: u64) -> ResourceName {
        route_name(&self.scope(number), HTTP_METHOD, &route_path(number))
    }

    /// All routes that a scope may have, its probe among them.
    pub fn routes_of(&self, scope: u64) -> impl Iterator<Item = ResourceName> + '_ {
        let numbers = (scope % self.scopes..self.routes).step_by(self.scopes as usize);
        numbers.map(|number| self.route(number)).chain([self.probe(scope)])
    }

    /// The path of the route by which changes are seen at real nodes.
    pub fn probe_path() -> &'static str {
        "/probe"
    }

    /// The name of a scope's probe.
    pub fn probe(&self, scope: u64) -> ResourceName {
        route_name(&self.scope(scope), HTTP_METHOD, FleetShape::probe_path())
    }

    /// A scope's probe as a route.
    pub fn probe_set(&self, scope: u64) -> Resource {
        let route = Route {
            http_method: HTTP_METHOD.into(),
            path: FleetShape::probe_path().into(),
            method: METHODS[0].into(),
        };
        Resource::set(self.probe(scope), Value::Route(route))
    }

    /// The scopes that a hollow node subscribes to: one or two.
    pub fn scopes_of(&self, node: u64) -> BTreeSet<u64> {
        let mut random = Rng::with_seed(self.seed ^ (node << 20));
        let count = random.usize(1..=2);
        (0..count).map(|_| random.u64(0..self.scopes)).collect()
    }

    /// The tenants that a hollow node asks for, a quarter of them among those that change most.
    pub fn tenants_of(&self, node: u64) -> BTreeSet<u64> {
        let mut random = Rng::with_seed(!self.seed ^ (node << 20));
        let is_hot = |place: usize| place.is_multiple_of(HOT_EVERY);
        let bound = |place: usize| if is_hot(place) { self.hot_tenants() } else { self.tenants };
        (0..self.wanted).map(|place| random.u64(0..bound(place))).collect()
    }

    /// How many tenants change and are asked for most.
    pub fn hot_tenants(&self) -> u64 {
        (self.tenants / TENANTS_PER_HOT_ONE).max(1)
    }

    /// Everything that is published before the run: tenants first, then routes.
    pub fn initial_resources(&self) -> impl Iterator<Item = Resource> + '_ {
        let quotas = (0..self.tenants).map(|number| quota(self.tenant(number), 1 + number % MAX_QUOTA));
        quotas.chain((0..self.routes).map(|number| self.route_to(number, METHODS[0])))
    }

    /// A route that leads to `method`.
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

/// Draws one change after another: quotas, routes, deletions and the creation of what was deleted.
pub struct ChangeSource {
    shape: FleetShape,
    random: Rng,
    deleted: BTreeSet<u64>,
}

impl ChangeSource {
    /// The changes of a run.
    pub fn new(shape: &FleetShape) -> ChangeSource {
        let random = Rng::with_seed(shape.seed.rotate_left(32));
        ChangeSource { shape: shape.clone(), random, deleted: BTreeSet::new() }
    }

    /// The next change.
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
