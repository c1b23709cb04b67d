//! The state that is explored: servers, followers and messages on their way, and what may happen to them.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hash, Hasher};

use ochrewalk_distribution::messages::{Position, Resource, Update};
use ochrewalk_distribution::{
    Admission, CatchUpLimits, CompleteUpdate, Interest, NextUpdate, Received, Server, ServerLimits, Store,
    StoreLimits, SubscriberId, Subscription, SubscriptionLimits,
};

use crate::common::{deletion, quota};

/// Servers by their index.
pub const OLD_PUBLISHER: usize = 0;
pub const NEW_PUBLISHER: usize = 1;
pub const RELAY_SERVER: usize = 2;
/// Followers by their index: the relay follows a publisher, both nodes follow the relay, and the second one publishers too.
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
pub struct World {
    /// There is no second publisher before it takes over.
    pub servers: [Option<Server>; 3],
    pub followers: Vec<Follower>,
    /// Parts of updates on their way, each to a follower.
    pub in_flight: Vec<(usize, Update)>,
    /// The hash of what publishers had at each position.
    pub history: BTreeMap<Position, u64>,
    pub publishes: u8,
    pub losses: u8,
    pub repeats: u8,
    pub breaks: u8,
    pub restarts: u8,
    pub moved_to_older_position: bool,
    pub has_partial_batch: bool,
}

/// Hashes what is written to it.
struct HashWriter<'a, H>(&'a mut H);

impl<H: Hasher> Write for HashWriter<'_, H> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let counters = (self.publishes, self.losses, self.repeats, self.breaks, self.restarts);
        (counters, self.moved_to_older_position, self.has_partial_batch).hash(state);
        self.history.hash(state);
        let mut writer = HashWriter(state);
        // The relay's store is its server's.
        let nodes = &self.followers[RELAY + 1..];
        let relay = &self.followers[RELAY];
        write!(writer, "{:?}{nodes:?}{:?}", self.servers, self.in_flight).expect("hashing does not fail");
        write!(writer, "{:?}{:?}", relay.subscription, relay.link).expect("hashing does not fail");
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

/// A rule that a broken subscriber does not follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// It applies each part at once.
    AppliesParts,
    /// It applies differences to whatever it has.
    IgnoresBase,
}

pub fn server_limits() -> ServerLimits {
    // A part holds two of the three resources.
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

/// A hash of all that is in `store`.
pub fn content(store: &Store) -> u64 {
    let mut hasher = DefaultHasher::new();
    let mut writer = HashWriter(&mut hasher);
    for resource in store.iter() {
        write!(writer, "{:?}{:?}", resource.name, resource.value).expect("hashing does not fail");
    }
    hasher.finish()
}

/// Two quotas that always change together, and one that comes and goes.
pub fn batch(store: &Store, number: u8) -> Vec<Resource> {
    let amount = f64::from(number);
    let comes_and_goes = match number % 2 {
        1 => quota("a", "z", amount),
        _ => deletion("a", "z"),
    };
    let is_possible = comes_and_goes.value.is_some() || store.get(&comes_and_goes.name).is_some();
    let pair = [quota("a", "x", amount), quota("a", "y", amount)];
    pair.into_iter().chain(is_possible.then_some(comes_and_goes)).collect()
}

impl World {
    /// The first publisher has published once, and nobody follows it yet.
    pub fn new() -> Self {
        let store = Store::new(1, TOMBSTONES);
        let mut world = World {
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
        world.publish(OLD_PUBLISHER);
        world
    }

    fn server(&mut self, index: usize) -> &mut Server {
        self.servers[index].as_mut().expect("it is there")
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
        // A fenced publisher refuses.
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

    /// What a follower has in force must be all that a publisher had at that position.
    fn check_state(&mut self, index: usize) {
        let store = &self.followers[index].store;
        self.has_partial_batch |= self.history.get(&store.position()) != Some(&content(store));
    }

    /// All connect, the relay to `publisher`, and take what there is.
    pub fn follow(&mut self, publisher: usize) {
        for index in 0..FOLLOWERS {
            self.connect(index, if index == RELAY { publisher } else { RELAY_SERVER });
            while self.send(index) {
                let (_, part) = self.in_flight.pop().expect("it was just sent");
                self.deliver(index, part, false, None);
            }
        }
    }

    /// Whether all end up equal to the newest publisher once messages are no longer lost or late.
    pub fn ends_equal(&self) -> bool {
        let mut world = self.clone();
        world.in_flight.clear();
        for index in 0..FOLLOWERS {
            world.disconnect(index);
        }
        let newest = if world.servers[NEW_PUBLISHER].is_some() { NEW_PUBLISHER } else { OLD_PUBLISHER };
        world.follow(newest);
        let target = world.server(newest).store().clone();
        world.followers.iter().all(|follower| {
            follower.store.position() == target.position() && content(&follower.store) == content(&target)
        }) && !world.has_partial_batch
            && !world.moved_to_older_position
    }
}
