//! The explored state: servers, followers and messages in flight, and the events that change it.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hash, Hasher};

use ochrewalk_distribution::messages::{Position, Resource, Update};
use ochrewalk_distribution::{
    Admission, CatchUpLimits, CompleteUpdate, Interest, NextUpdate, Received, Server, ServerLimits, Store,
    StoreLimits, SubscriberId, Subscription, SubscriptionLimits,
};

use crate::common::{deletion, quota};

/// The servers by their index.
pub const OLD_PUBLISHER: usize = 0;
pub const NEW_PUBLISHER: usize = 1;
pub const RELAY_SERVER: usize = 2;
/// The followers by their index: the relay follows a publisher, both nodes follow the relay, and the second node also
/// follows publishers.
pub const RELAY: usize = 0;
pub const FOLLOWERS: usize = 3;
pub const TOMBSTONES: StoreLimits = StoreLimits { tombstones: 1 };

/// A relay's or node's side of a stream.
#[derive(Clone, Debug)]
pub struct Follower {
    pub subscription: Subscription,
    pub store: Store,
    pub link: Option<(usize, SubscriberId)>,
}

#[derive(Clone, Debug)]
pub struct Fleet {
    /// The servers. The second publisher does not exist before it takes over.
    pub servers: [Option<Server>; 3],
    pub followers: Vec<Follower>,
    /// The parts of updates in flight, each with the index of its follower.
    pub in_flight: Vec<(usize, Update)>,
    /// The hash of the publishers' state at each position.
    pub history: BTreeMap<Position, u64>,
    pub publishes: u8,
    pub losses: u8,
    pub repeats: u8,
    pub breaks: u8,
    pub restarts: u8,
    pub moved_to_older_position: bool,
    pub has_partial_batch: bool,
}

/// Hashes the text that is written to it.
struct HashWriter<'a, H>(&'a mut H);

impl<H: Hasher> Write for HashWriter<'_, H> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let counters = (self.publishes, self.losses, self.repeats, self.breaks, self.restarts);
        (counters, self.moved_to_older_position, self.has_partial_batch).hash(state);
        self.history.hash(state);
        let mut writer = HashWriter(state);
        // The relay's store is that of its server.
        let nodes = &self.followers[RELAY + 1..];
        let relay = &self.followers[RELAY];
        write!(writer, "{:?}{nodes:?}{:?}", self.servers, self.in_flight).expect("hashing does not fail");
        write!(writer, "{:?}{:?}", relay.subscription, relay.link).expect("hashing does not fail");
    }
}

impl PartialEq for Fleet {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

/// The rule that a broken subscriber violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// The subscriber applies each part at once.
    AppliesParts,
    /// The subscriber applies differences regardless of its position.
    IgnoresBase,
}

pub fn server_limits() -> ServerLimits {
    // A part has capacity for two of the three resources.
    let catch_up = CatchUpLimits { bytes_per_second: 0, max_concurrent: 9, ..CatchUpLimits::default() };
    ServerLimits { chunk_bytes: 180, catch_up, ..ServerLimits::default() }
}

pub fn follower(index: usize) -> Follower {
    let interest = if index == RELAY { Interest::everything() } else { Interest::scopes(["a"]) };
    let limits = SubscriptionLimits { bytes_per_second: 0, ..SubscriptionLimits::default() };
    Follower {
        subscription: Subscription::new(format!("f{index}"), "north", interest, None, limits),
        store: Store::new(0, TOMBSTONES),
        link: None,
    }
}

pub fn relay_server() -> Server {
    Server::new("relay", "north", Store::new(0, TOMBSTONES), server_limits())
}

/// Returns a hash of the resources in `store`.
pub fn content(store: &Store) -> u64 {
    let mut hasher = DefaultHasher::new();
    let mut writer = HashWriter(&mut hasher);
    for resource in store.iter() {
        write!(writer, "{:?}{:?}", resource.name, resource.value).expect("hashing does not fail");
    }
    hasher.finish()
}

/// Returns changes of two quotas that always change together, and of one that is set and deleted alternately.
pub fn batch(store: &Store, number: u8) -> Vec<Resource> {
    let amount = f64::from(number);
    let alternating = match number % 2 {
        1 => quota("a", "z", amount),
        _ => deletion("a", "z"),
    };
    let is_possible = alternating.value.is_some() || store.get(&alternating.name).is_some();
    let pair = [quota("a", "x", amount), quota("a", "y", amount)];
    pair.into_iter().chain(is_possible.then_some(alternating)).collect()
}

impl Fleet {
    /// Creates a fleet whose first publisher has published once and has no followers yet.
    pub fn new() -> Self {
        let store = Store::new(1, TOMBSTONES);
        let mut fleet = Fleet {
            servers: [Some(Server::new("old", "north", store, server_limits())), None, Some(relay_server())],
            followers: (0..FOLLOWERS).map(follower).collect(),
            in_flight: Vec::new(),
            history: BTreeMap::new(),
            publishes: 0,
            losses: 0,
            repeats: 0,
            breaks: 0,
            restarts: 0,
            moved_to_older_position: false,
            has_partial_batch: false,
        };
        fleet.publish(OLD_PUBLISHER);
        fleet
    }

    fn server(&mut self, index: usize) -> &mut Server {
        self.servers[index].as_mut().expect("the server exists")
    }

    fn record(&mut self, publisher: usize) {
        let store = self.server(publisher).store();
        let (position, content) = (store.position(), content(store));
        self.history.insert(position, content);
    }

    pub fn publish(&mut self, publisher: usize) {
        self.publishes += 1;
        let number = self.publishes;
        let store = self.server(publisher).store_mut();
        let changes = batch(store, number);
        // A fenced publisher refuses changes.
        if store.publish(&changes, None).is_ok() {
            self.record(publisher);
        }
    }

    pub fn take_over(&mut self) {
        let store = self.server(OLD_PUBLISHER).store().clone();
        let mut server = Server::new("new", "north", store, server_limits());
        server.store_mut().new_epoch();
        self.servers[NEW_PUBLISHER] = Some(server);
        self.record(NEW_PUBLISHER);
    }

    pub fn connect(&mut self, index: usize, server: usize) {
        let message = self.followers[index].subscription.subscribe_message();
        if let Admission::Accepted(id) = self.server(server).subscribe(0, message) {
            self.followers[index].link = Some((server, id));
        }
    }

    pub fn disconnect(&mut self, index: usize) {
        if let Some((server, id)) = self.followers[index].link.take() {
            self.server(server).unsubscribe(id);
        }
        self.followers[index].subscription.reset();
    }

    pub fn restart(&mut self, index: usize) {
        self.disconnect(index);
        self.followers[index] = follower(index);
        if index == RELAY {
            for node in 1..FOLLOWERS {
                if self.followers[node].link.is_some_and(|(server, _)| server == RELAY_SERVER) {
                    self.disconnect(node);
                }
            }
            self.servers[RELAY_SERVER] = Some(relay_server());
        }
    }

    pub fn send(&mut self, index: usize) -> bool {
        let Some((server, id)) = self.followers[index].link else { return false };
        let NextUpdate::Send(part) = self.server(server).next(id, 0) else { return false };
        self.in_flight.push((index, part));
        true
    }

    pub fn deliver(
        &mut self,
        index: usize,
        mut part: Update,
        is_report_lost: bool,
        broken: Option<BrokenRule>,
    ) {
        let follower = &mut self.followers[index];
        if broken == Some(BrokenRule::AppliesParts) {
            let resources = part.resources.iter().cloned().map(Into::into).collect();
            let (position, is_snapshot) = (part.position, part.is_snapshot);
            let update = CompleteUpdate { position, is_snapshot, resources, absent: Vec::new(), horizon: 0 };
            if follower.store.apply(&update).is_ok() {
                self.check_state(index);
            }
        }
        let follower = &mut self.followers[index];
        if broken == Some(BrokenRule::IgnoresBase) && part.base.is_some() {
            part.base = follower.subscription.position();
        }
        match follower.subscription.received(part) {
            Ok(Received::More) => {}
            Ok(Received::Complete(update)) => self.apply(index, &update, is_report_lost),
            Err(_) => self.disconnect(index),
        }
    }

    fn apply(&mut self, index: usize, update: &CompleteUpdate, is_report_lost: bool) {
        let follower = &mut self.followers[index];
        let before = follower.store.position();
        follower.store.apply(update).expect("the subscription has checked the position");
        self.moved_to_older_position |= follower.store.position() < before;
        let report = follower.subscription.applied(update.position);
        let link = follower.link;
        if index == RELAY {
            let store = self.followers[RELAY].store.clone();
            *self.server(RELAY_SERVER).store_mut() = store;
        }
        if let Some((server, id)) = link.filter(|_| !is_report_lost) {
            self.server(server).report(id, report);
        }
        self.check_state(index);
    }

    /// Checks that the state in force at a follower is the complete state of a publisher at that position.
    fn check_state(&mut self, index: usize) {
        let store = &self.followers[index].store;
        self.has_partial_batch |= self.history.get(&store.position()) != Some(&content(store));
    }

    /// Connects all followers, the relay to `publisher`, and applies all updates.
    pub fn follow(&mut self, publisher: usize) {
        for index in 0..FOLLOWERS {
            self.connect(index, if index == RELAY { publisher } else { RELAY_SERVER });
            while self.send(index) {
                let (_, part) = self.in_flight.pop().expect("a part was just sent");
                self.deliver(index, part, false, None);
            }
        }
    }

    /// Whether all states become equal to that of the newest publisher once messages are no longer lost or late.
    pub fn ends_equal(&self) -> bool {
        let mut fleet = self.clone();
        fleet.in_flight.clear();
        for index in 0..FOLLOWERS {
            fleet.disconnect(index);
        }
        let newest = if fleet.servers[NEW_PUBLISHER].is_some() { NEW_PUBLISHER } else { OLD_PUBLISHER };
        fleet.follow(newest);
        let target = fleet.server(newest).store().clone();
        fleet.followers.iter().all(|follower| {
            follower.store.position() == target.position() && content(&follower.store) == content(&target)
        }) && !fleet.has_partial_batch
            && !fleet.moved_to_older_position
    }
}
