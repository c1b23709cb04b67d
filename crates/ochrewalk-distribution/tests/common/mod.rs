//! Shared helpers of the distribution's tests: names and changes, and a node that is served by a server in virtual time.
#![allow(dead_code)]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use ochrewalk_distribution::messages::{
    Endpoint, Limit, Position, Quota, Resource, ResourceKind, ResourceName, Route, Update, Value, Watch,
};
use ochrewalk_distribution::{
    Admission, CatchUpLimits, CompleteUpdate, Interest, NextUpdate, Received, Server, ServerLimits, Store,
    StoreLimits, SubscriberId, Subscription, SubscriptionLimits, UpdateError,
};

pub const SECOND_US: u64 = 1_000_000;

pub fn quota_name(scope: &str, tenant: &str) -> ResourceName {
    ResourceName::new(ResourceKind::Quota, scope, tenant)
}

pub fn quota_value(per_second: f64) -> Value {
    Value::Quota(Quota { per_second })
}

pub fn quota(scope: &str, tenant: &str, per_second: f64) -> Resource {
    Resource::set(quota_name(scope, tenant), quota_value(per_second))
}

pub fn deletion(scope: &str, tenant: &str) -> Resource {
    Resource::delete(quota_name(scope, tenant))
}

pub fn route_value() -> Value {
    Value::Route(Route { http_method: "GET".into(), path: "/orders".into(), method: "Orders.List".into() })
}

pub fn endpoint_value(weight: f64) -> Value {
    Value::Endpoint(Endpoint { weight, zone: "north-1".into() })
}

pub fn limit_value(amount: f64) -> Value {
    Value::Limit(Limit { amount })
}

pub fn position(epoch: u64, revision: u64) -> Position {
    Position { epoch, revision }
}

/// Returns a publisher whose snapshot has several parts.
pub fn filled_publisher() -> Server {
    let mut server = publisher();
    let changes: Vec<Resource> = (0..400).map(|n| quota("a", &format!("tenant-{n:03}"), 1.0)).collect();
    server.store_mut().publish(&changes, None).unwrap();
    server
}

pub fn publish(server: &mut Server, changes: &[Resource]) {
    server.store_mut().publish(changes, None).unwrap();
}

/// Returns limits under which no subscriber waits to catch up.
pub fn unbounded_limits() -> ServerLimits {
    let catch_up =
        CatchUpLimits { bytes_per_second: 0, max_concurrent: usize::MAX, ..CatchUpLimits::default() };
    ServerLimits { chunk_bytes: 4_096, catch_up, ..ServerLimits::default() }
}

pub fn publisher() -> Server {
    Server::new("publisher", "north", Store::new(1, StoreLimits::default()), unbounded_limits())
}

pub fn unpaced() -> SubscriptionLimits {
    SubscriptionLimits { bytes_per_second: 0, ..SubscriptionLimits::default() }
}

/// Returns the values of all resources that `interest` matches.
pub fn values(store: &Store, interest: &Interest) -> BTreeMap<ResourceName, Value> {
    let wanted = store.iter().filter(|resource| interest.matches(&resource.name));
    wanted
        .map(|resource| (resource.name.clone(), resource.value.clone().expect("the resource is not deleted")))
        .collect()
}

/// Returns a node that wants scope `a`.
pub fn node(name: &str) -> Node {
    Node::new(name, Interest::scopes(["a"]))
}

/// Returns a node that wants scope `a`, is connected to `server` and has caught up.
pub fn caught_up_node(server: &mut Server) -> Node {
    let mut node = node("one");
    node.connect(server);
    node.catch_up(server);
    node
}

/// A subscriber with its state, and its stream to a server.
pub struct Node {
    pub subscription: Subscription,
    pub store: Store,
    pub id: Option<SubscriberId>,
}

impl Node {
    pub fn new(name: &str, interest: Interest) -> Self {
        Self::with_limits(name, interest, unpaced())
    }

    pub fn with_limits(name: &str, interest: Interest, limits: SubscriptionLimits) -> Self {
        let subscription = Subscription::new(name, "north", interest, None, limits);
        Self { subscription, store: Store::new(0, StoreLimits::default()), id: None }
    }

    pub fn try_connect(&mut self, server: &mut Server, now_us: u64) -> Admission {
        self.subscription.reset();
        let admission = server.subscribe(now_us, self.subscription.subscribe_message());
        if let Admission::Accepted(id) = admission {
            self.id = Some(id);
            if let Some(watch) = self.subscription.unanswered_watch() {
                server.watch(id, &watch).expect("the names are valid");
            }
        }
        admission
    }

    pub fn connect(&mut self, server: &mut Server) {
        let admission = self.try_connect(server, 0);
        assert!(matches!(admission, Admission::Accepted(_)), "{admission:?}");
    }

    pub fn disconnect(&mut self, server: &mut Server) {
        if let Some(id) = self.id.take() {
            server.unsubscribe(id);
        }
        self.subscription.reset();
    }

    /// Closes the connection, connects again and applies all updates from the server.
    pub fn reconnect(&mut self, server: &mut Server) -> Vec<CompleteUpdate> {
        self.disconnect(server);
        self.connect(server);
        self.catch_up(server)
    }

    pub fn watch(&mut self, server: &mut Server, watch: &Watch) {
        self.subscription.watch(watch);
        for name in &watch.remove {
            self.store.forget(name);
        }
        if let Some(id) = self.id {
            server.watch(id, watch).expect("the names are valid");
        }
    }

    /// Returns the next part from the server, and advances the virtual time to the time for which the server waits.
    pub fn next_part(&mut self, server: &mut Server, now_us: &mut u64) -> Option<Update> {
        let id = self.id.expect("the node is connected");
        loop {
            match server.next(id, *now_us) {
                NextUpdate::Send(update) => return Some(update),
                NextUpdate::Wait { until_us } => *now_us = (*now_us).max(until_us),
                NextUpdate::Idle => return None,
            }
        }
    }

    pub fn apply(&mut self, server: &mut Server, update: &CompleteUpdate) {
        self.store.apply(update).expect("the update is newer");
        let report = self.subscription.applied(update.position);
        server.report(self.id.expect("the node is connected"), report);
    }

    pub fn receive(
        &mut self,
        server: &mut Server,
        part: Update,
    ) -> Result<Option<CompleteUpdate>, UpdateError> {
        match self.subscription.received(part)? {
            Received::More => Ok(None),
            Received::Complete(update) => {
                self.apply(server, &update);
                Ok(Some(update))
            }
        }
    }

    /// Applies all updates from the server, and returns them.
    pub fn catch_up(&mut self, server: &mut Server) -> Vec<CompleteUpdate> {
        self.catch_up_from(server, &mut 0)
    }

    pub fn catch_up_from(&mut self, server: &mut Server, now_us: &mut u64) -> Vec<CompleteUpdate> {
        let mut updates = Vec::new();
        while let Some(part) = self.next_part(server, now_us) {
            updates.extend(self.receive(server, part).expect("the part is valid"));
        }
        updates
    }

    /// Receives one complete update part by part without applying it.
    pub fn next_update(&mut self, server: &mut Server) -> CompleteUpdate {
        loop {
            let part = self.next_part(server, &mut 0).expect("there is an update");
            if let Received::Complete(update) = self.subscription.received(part).expect("the part is valid") {
                return update;
            }
        }
    }

    pub fn assert_equals(&self, server: &Store) {
        let interest = self.subscription.interest();
        assert_eq!(self.store.position(), server.position());
        assert_eq!(values(&self.store, interest), values(server, interest));
    }
}
