//! The publisher process: one event loop for its subscribers and the requests of operators. A batch is durable before any
//! subscriber is sent it. If the write fails, the publisher refuses that batch and all later ones until it is restarted.

use crate::clock::{unix_ms, Clock};
use crate::control::{self, Request};
use crate::publisher_log::{LogError, PublisherLog};
use crate::subscriber_server::SubscriberServer;
use mio::{Events, Poll, Token, Waker};
use ochrewalk_distribution::messages::{
    Body, Fetch, Fetched, Position, Publish, Published, Refused, Resource, Rollback, Status,
};
use ochrewalk_distribution::{
    merge_region_statuses, rollback_changes, Batch, CatchUpLimits, PublishError, RollbackError, Server,
    ServerLimits, Store, StoreLimits,
};
use ochrewalk_operator_config::resources::check;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::Duration;

/// The token with which requests wake the event loop.
const WAKER: Token = Token(1);
const MAX_EVENTS: usize = 1024;
/// The bandwidth for catching up, a quarter of a gigabit per second. The publisher's subscribers are a few dozen relays
/// that each lack the complete state after a start, whereas a relay's subscribers are hundreds of nodes that lack little.
const CATCH_UP_BYTES_PER_SECOND: u64 = 32_000_000;
/// The most rejections that a status lists for each region.
const MAX_REJECTIONS: usize = 100;
/// The most reasons that a refusal lists.
const MAX_REASONS: usize = 100;

/// The addresses and files of a publisher.
#[derive(Clone, Debug)]
pub struct PublisherSettings {
    /// The address to which relays connect.
    pub listen: SocketAddr,
    /// The path of the control socket for operators.
    pub control: PathBuf,
    /// The path of the durable log.
    pub log: PathBuf,
    /// Whether the publisher takes over from another one, and therefore begins an epoch above all others.
    pub takes_over: bool,
    /// The most concurrent connections of relays.
    pub max_connections: usize,
}

/// The reason why a publisher cannot start or continue.
#[derive(Debug, thiserror::Error)]
pub enum PublisherError {
    /// The log cannot be used.
    #[error("{path}: {source}")]
    Log {
        /// The path of the log.
        path: PathBuf,
        /// The error of the log.
        source: LogError,
    },
    /// The listener for relays cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The control socket cannot be opened.
    #[error("{path}: {source}")]
    Control {
        /// The path of the socket.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The event loop failed.
    #[error("the event loop failed: {0}")]
    EventLoop(#[from] io::Error),
}

/// The reason why a request of an operator is refused.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error("{}", .0.join("; "))]
    Invalid(Vec<String>),
    #[error(transparent)]
    Publish(#[from] PublishError),
    #[error(transparent)]
    Rollback(#[from] RollbackError),
    #[error("not accepted: {0}")]
    Log(#[from] LogError),
    #[error("not a request of an operator")]
    Unknown,
}

impl RequestError {
    fn reasons(&self) -> Vec<String> {
        match self {
            RequestError::Invalid(reasons) => reasons.clone(),
            RequestError::Publish(refused) => refused.texts(),
            other => vec![other.to_string()],
        }
    }
}

/// A publisher that is ready to run.
pub struct Publisher {
    poll: Poll,
    subscribers: SubscriberServer,
    log: PublisherLog,
    requests: Receiver<Request>,
    waker: Arc<Waker>,
    clock: Clock,
    /// The highest epoch that the log contains.
    logged_epoch: u64,
}

impl Publisher {
    /// Opens the log and both listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if the log, a listener or the event loop cannot be opened.
    pub fn open(settings: &PublisherSettings) -> Result<Publisher, PublisherError> {
        let log_error = |source| PublisherError::Log { path: settings.log.clone(), source };
        let (mut log, recovered) = PublisherLog::open(&settings.log).map_err(log_error)?;
        let names = recovered.resources.len();
        let mut store = recovered_store(recovered, &mut log).map_err(log_error)?;
        // An empty log begins the first epoch; a publisher that takes over begins the next one.
        if store.position().epoch == 0 || settings.takes_over {
            let epoch_batch = store.new_epoch();
            log.append(&epoch_batch, &store.order(), unix_ms()).map_err(log_error)?;
        }
        let (position, logged_epoch) = (store.position(), store.highest_epoch());
        tracing::info!(part = "config", "restored {names} names at {}.{}", position.epoch, position.revision);
        let poll = Poll::new()?;
        let catch_up =
            CatchUpLimits { bytes_per_second: CATCH_UP_BYTES_PER_SECOND, ..CatchUpLimits::default() };
        let limits =
            ServerLimits { max_subscribers: settings.max_connections, catch_up, ..ServerLimits::default() };
        let server = Server::new("publisher", "", store, limits);
        let listen_error = |source| PublisherError::Listen { address: settings.listen, source };
        let subscribers =
            SubscriberServer::listen(settings.listen, server, settings.max_connections, poll.registry())
                .map_err(listen_error)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let control_error = |source| PublisherError::Control { path: settings.control.clone(), source };
        let requests = control::listen(&settings.control, waker.clone()).map_err(control_error)?;
        Ok(Publisher { poll, subscribers, log, requests, waker, clock: Clock::start(), logged_epoch })
    }

    /// Returns the address to which relays connect.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.subscribers.address()
    }

    /// Returns the waker of the event loop, which makes the loop check `stop`.
    pub fn waker(&self) -> Arc<Waker> {
        self.waker.clone()
    }

    /// Serves until `stop` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop fails.
    pub fn run(&mut self, stop: &AtomicBool) -> Result<(), PublisherError> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !stop.load(Ordering::Relaxed) {
            let now_us = self.clock.now_us();
            let due_us = self.subscribers.drive(self.poll.registry(), now_us, 0);
            let wait = (due_us != u64::MAX).then(|| Duration::from_micros(due_us.saturating_sub(now_us)));
            match self.poll.poll(&mut events, wait) {
                Err(err) if err.kind() == io::ErrorKind::Interrupted => continue,
                polled => polled?,
            }
            let now_us = self.clock.now_us();
            for event in &events {
                self.subscribers.on_event(event.token(), self.poll.registry(), now_us);
            }
            self.persist_fence();
            while let Ok(request) = self.requests.try_recv() {
                let reply = self.reply_to(request.body);
                let _ = request.reply.send(reply);
            }
        }
        Ok(())
    }

    /// Persists a later epoch that was observed, so that a fenced publisher remains fenced after a restart.
    fn persist_fence(&mut self) {
        let store = self.subscribers.server.store();
        if store.highest_epoch() == self.logged_epoch {
            return;
        }
        self.logged_epoch = store.highest_epoch();
        tracing::warn!(part = "config", "fenced: another publisher has begun epoch {}", self.logged_epoch);
        let empty_batch = Batch { position: store.position(), resources: Vec::new(), previous: Vec::new() };
        if let Err(error) = self.log.append(&empty_batch, &store.order(), unix_ms()) {
            tracing::error!(part = "config", "cannot persist the observed epoch: {error}");
        }
    }

    fn reply_to(&mut self, body: Body) -> Body {
        let reply = match body {
            Body::Publish(publish) => self.publish(&publish).map(published),
            Body::Rollback(rollback) => self.roll_back(&rollback).map(published),
            Body::StatusRequest(_) => Ok(Body::Status(self.status())),
            Body::Fetch(fetch) => Ok(Body::Fetched(self.fetch(&fetch))),
            _ => Err(RequestError::Unknown),
        };
        reply.unwrap_or_else(|error| {
            let reasons: Vec<String> = error.reasons().into_iter().take(MAX_REASONS).collect();
            tracing::warn!(part = "config", "request refused: {}", reasons.join("; "));
            Body::Refused(Refused { reasons })
        })
    }

    fn publish(&mut self, publish: &Publish) -> Result<Position, RequestError> {
        let invalid: Vec<String> = publish
            .changes
            .iter()
            .filter_map(|change| check(change).err())
            .map(|error| error.to_string())
            .collect();
        if !invalid.is_empty() {
            return Err(RequestError::Invalid(invalid));
        }
        self.accept(&publish.changes, publish.expected)
    }

    fn roll_back(&mut self, rollback: &Rollback) -> Result<Position, RequestError> {
        let history = self.log.batches_after(rollback.to.revision)?;
        let changes = rollback_changes(&history, rollback.to)?;
        self.accept(&changes, None)
    }

    /// Makes the batch durable, then serves it to subscribers.
    fn accept(&mut self, changes: &[Resource], expected: Option<Position>) -> Result<Position, RequestError> {
        let store = self.subscribers.server.store_mut();
        let batch = store.prepare(changes, expected)?;
        let order =
            ochrewalk_distribution::ChangeOrder { revision: batch.position.revision, ..store.order() };
        self.log.append(&batch, &order, unix_ms())?;
        self.apply_durable(&batch);
        let Position { epoch, revision } = batch.position;
        tracing::info!(part = "config", "accepted {} changes as {epoch}.{revision}", changes.len());
        Ok(batch.position)
    }

    fn apply_durable(&mut self, batch: &Batch) {
        let replayed = self.subscribers.server.store_mut().replay(batch);
        // The batch was prepared from exactly this state.
        debug_assert!(replayed.is_ok());
        self.subscribers.state_changed();
    }

    fn status(&self) -> Status {
        let store = self.subscribers.server.store();
        // The relays themselves are listed as the publisher's subscribers, in the region without a name.
        let relays = self.subscribers.server.status();
        let regions =
            merge_region_statuses(self.subscribers.regions().cloned().chain([relays]), MAX_REJECTIONS);
        Status { position: store.position(), resources: store.len() as u64, regions }
    }

    fn fetch(&self, fetch: &Fetch) -> Fetched {
        let store = self.subscribers.server.store();
        let resources = fetch.names.iter().filter_map(|name| store.get(name).cloned()).collect();
        Fetched { position: store.position(), resources }
    }
}

fn published(position: Position) -> Body {
    Body::Published(Published { position })
}

/// Restores the persisted state. Deletions whose tombstones the state dropped are also removed from the log.
fn recovered_store(
    recovered: crate::publisher_log::Recovered,
    log: &mut PublisherLog,
) -> Result<Store, LogError> {
    let deleted: Vec<_> = recovered
        .resources
        .iter()
        .filter(|resource| resource.value.is_none())
        .map(|resource| resource.name.clone())
        .collect();
    let store = Store::restore(&recovered.order, recovered.resources, StoreLimits::default());
    let forgotten: Vec<_> = deleted.into_iter().filter(|name| store.newest(name).is_none()).collect();
    if !forgotten.is_empty() {
        log.forget(&forgotten)?;
    }
    Ok(store)
}
