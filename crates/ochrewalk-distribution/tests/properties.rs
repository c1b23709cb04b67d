//! Random histories of a publisher, a relay and nodes. The state in force at a node is always exactly the publisher's
//! state at that position, and at the end all states are equal.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;

use common::*;
use ochrewalk_distribution::messages::{Position, Resource, ResourceName, Value, Watch};
use ochrewalk_distribution::{
    Admission, CatchUpLimits, Interest, NextUpdate, Received, Server, ServerLimits, Store, StoreLimits,
};
use proptest::prelude::*;

const NODES: usize = 3;
const TENANTS: u8 = 8;

#[derive(Clone, Debug)]
enum Step {
    Publish { changes: Vec<(u8, Option<u8>)> },
    NewEpoch,
    RelayPart,
    RelayReconnects,
    RelayRestarts,
    NodePart { node: usize },
    NodeConnects { node: usize, to_publisher: bool },
    NodeRestarts { node: usize },
    NodeRejects { node: usize },
    Add { node: usize, tenant: u8 },
    Remove { node: usize, tenant: u8 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let change = (0..TENANTS, proptest::option::weighted(0.6, 0..3_u8));
    let step = prop_oneof![
        6 => proptest::collection::vec(change, 1..4).prop_map(|changes| Step::Publish { changes }),
        1 => Just(Step::NewEpoch),
        12 => Just(Step::RelayPart),
        1 => Just(Step::RelayReconnects),
        1 => Just(Step::RelayRestarts),
        24 => (0..NODES).prop_map(|node| Step::NodePart { node }),
        3 => (0..NODES, any::<bool>())
            .prop_map(|(node, to_publisher)| Step::NodeConnects { node, to_publisher }),
        1 => (0..NODES).prop_map(|node| Step::NodeRestarts { node }),
        1 => (0..NODES).prop_map(|node| Step::NodeRejects { node }),
        3 => (0..NODES, 0..TENANTS).prop_map(|(node, tenant)| Step::Add { node, tenant }),
        2 => (0..NODES, 0..TENANTS).prop_map(|(node, tenant)| Step::Remove { node, tenant }),
    ];
    proptest::collection::vec(step, 1..150)
}

/// Returns the name of a tenant. Tenants with an even number are in the scope that all nodes want; the others are watched
/// individually.
fn tenant_name(tenant: u8) -> ResourceName {
    quota_name(if tenant.is_multiple_of(2) { "even" } else { "odd" }, &format!("tenant-{tenant}"))
}

type Values = BTreeMap<ResourceName, Value>;

/// A node, and whether it is connected to the publisher instead of the relay.
struct Member {
    node: Node,
    is_connected_to_publisher: bool,
}

struct Fleet {
    publisher: Server,
    relay: Server,
    upstream: Node,
    members: Vec<Member>,
    history: BTreeMap<Position, Values>,
    limits: ServerLimits,
    store_limits: StoreLimits,
}

impl Fleet {
    fn new(tombstones: usize, chunk_bytes: usize) -> Self {
        let catch_up = CatchUpLimits { bytes_per_second: 0, max_concurrent: 9, ..CatchUpLimits::default() };
        let limits = ServerLimits { chunk_bytes, catch_up, ..ServerLimits::default() };
        let store_limits = StoreLimits { tombstones };
        let member = |n| Member {
            node: Node::new(&format!("node-{n}"), Interest::scopes(["even"])),
            is_connected_to_publisher: false,
        };
        let mut fleet = Self {
            publisher: Server::new("publisher", "north", Store::new(1, store_limits), limits),
            relay: Server::new("relay", "north", Store::new(0, store_limits), limits),
            upstream: Node::new("relay", Interest::everything()),
            members: (0..NODES).map(member).collect(),
            history: BTreeMap::new(),
            limits,
            store_limits,
        };
        fleet.record();
        fleet
    }

    fn record(&mut self) {
        let store = self.publisher.store();
        self.history.insert(store.position(), values(store, &Interest::everything()));
    }

    fn publish(&mut self, changes: &[(u8, Option<u8>)]) {
        let mut batch: Vec<Resource> = Vec::new();
        for (tenant, value) in changes {
            let name = tenant_name(*tenant);
            let exists = self.publisher.store().get(&name).is_some();
            if (value.is_none() && !exists) || batch.iter().any(|change| change.name == name) {
                continue;
            }
            let value = value.map(|value| quota_value(f64::from(value)));
            batch.push(Resource { name, revision: 0, value });
        }
        if !batch.is_empty() {
            self.publisher.store_mut().publish(&batch, None).unwrap();
            self.record();
        }
    }

    fn relay_part(&mut self) -> bool {
        let Some(id) = self.upstream.id else {
            return matches!(self.upstream.try_connect(&mut self.publisher, 0), Admission::Accepted(_));
        };
        let NextUpdate::Send(part) = self.publisher.next(id, 0) else { return false };
        if let Received::Complete(update) = self.upstream.subscription.received(part).unwrap() {
            self.relay.store_mut().apply(&update).unwrap();
            self.upstream.apply(&mut self.publisher, &update);
            let everything = values(self.relay.store(), &Interest::everything());
            assert_eq!(&everything, &self.history[&update.position]);
        }
        true
    }

    fn relay_restarts(&mut self) {
        self.upstream.disconnect(&mut self.publisher);
        self.upstream = Node::new("relay", Interest::everything());
        for node in 0..NODES {
            if !self.members[node].is_connected_to_publisher {
                self.disconnect(node);
            }
        }
        self.relay = Server::new("relay", "north", Store::new(0, self.store_limits), self.limits);
    }

    fn disconnect(&mut self, node: usize) {
        let member = &mut self.members[node];
        let server = if member.is_connected_to_publisher { &mut self.publisher } else { &mut self.relay };
        member.node.disconnect(server);
    }

    fn connect(&mut self, node: usize, to_publisher: bool) -> bool {
        self.disconnect(node);
        let member = &mut self.members[node];
        member.is_connected_to_publisher = to_publisher;
        let server = if to_publisher { &mut self.publisher } else { &mut self.relay };
        matches!(member.node.try_connect(server, 0), Admission::Accepted(_))
    }

    /// Sends a part to a node, which rejects the update if it is complete and `rejects` is set.
    fn node_part(&mut self, index: usize, rejects: bool) -> bool {
        let member = &mut self.members[index];
        let server = if member.is_connected_to_publisher { &mut self.publisher } else { &mut self.relay };
        let node = &mut member.node;
        let Some(id) = node.id else { return false };
        let part = match server.next(id, 0) {
            NextUpdate::Send(part) => part,
            NextUpdate::Wait { .. } => return true,
            NextUpdate::Idle => return false,
        };
        let Received::Complete(update) = node.subscription.received(part).unwrap() else { return true };
        if rejects {
            let report = node.subscription.rejected(update.position, "not now");
            server.report(id, report);
            return true;
        }
        let before = node.store.position();
        node.apply(server, &update);
        assert!(node.store.position() >= before);
        self.assert_is_a_published_state(index);
        true
    }

    /// Checks that the state in force at a node is the publisher's state at its position, restricted to the resources
    /// that the node wants and that have been answered.
    fn assert_is_a_published_state(&self, node: usize) {
        let node = &self.members[node].node;
        let answered = Interest::from(&node.subscription.subscribe_message());
        let mut expected = self.history[&node.store.position()].clone();
        expected.retain(|name, _| answered.matches(name));
        assert_eq!(values(&node.store, &Interest::everything()), expected);
    }

    fn watch(&mut self, node: usize, watch: &Watch) {
        let member = &mut self.members[node];
        let server = if member.is_connected_to_publisher { &mut self.publisher } else { &mut self.relay };
        member.node.watch(server, watch);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Publish { changes } => self.publish(&changes),
            Step::NewEpoch => {
                self.publisher.store_mut().new_epoch();
                self.record();
            }
            Step::RelayPart => drop(self.relay_part()),
            Step::RelayReconnects => self.upstream.disconnect(&mut self.publisher),
            Step::RelayRestarts => self.relay_restarts(),
            Step::NodePart { node } => drop(self.node_part(node, false)),
            Step::NodeConnects { node, to_publisher } => drop(self.connect(node, to_publisher)),
            Step::NodeRestarts { node } => {
                self.disconnect(node);
                self.members[node].node = Node::new(&format!("node-{node}"), Interest::scopes(["even"]));
            }
            Step::NodeRejects { node } => drop(self.node_part(node, true)),
            Step::Add { node, tenant } => {
                self.watch(node, &Watch { add: vec![tenant_name(tenant)], remove: Vec::new() })
            }
            Step::Remove { node, tenant } if !tenant.is_multiple_of(2) => {
                self.watch(node, &Watch { add: Vec::new(), remove: vec![tenant_name(tenant)] })
            }
            Step::Remove { .. } => {}
        }
    }

    /// Publishes one more change and keeps all connections open until every node has it.
    fn settle(&mut self) {
        self.publish(&[(0, Some(9))]);
        let mut steps = 0;
        while self.relay_part() {
            steps += 1;
            assert!(steps < 1_000, "the relay does not converge");
        }
        for node in 0..NODES {
            if self.members[node].node.id.is_none() {
                assert!(self.connect(node, false));
            }
            while self.node_part(node, false) {
                steps += 1;
                assert!(steps < 1_000, "a node does not converge");
            }
            self.members[node].node.assert_equals(self.publisher.store());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]
    #[test]
    fn each_state_in_force_is_a_complete_state_of_the_publisher_and_all_converge(
        steps in steps(),
        tombstones in 0..4_usize,
        chunk_bytes in prop_oneof![Just(1_usize), Just(200), Just(4_096)],
    ) {
        let mut fleet = Fleet::new(tombstones, chunk_bytes);
        for step in steps {
            fleet.apply(step);
        }
        fleet.settle();
    }
}
