//! Measures a publisher and a relay as real processes: their memory by the number of resources, and the cost of
//! changes for a relay and a node.

use super::model::Point;
use super::node_under_test::{NodeFiles, NodeUnderTest};
use super::process::{wait_until, Folder, MeasuredProcess};
use super::subscribers::SubscriberStandIn;
use super::traffic_meter::TrafficMeter;
use super::{Context, Series, SlopeError};
use crate::ajp::{Call, Peer};
use crate::node;
use ochrewalk_control_plane::control::send_request;
use ochrewalk_distribution::messages::{Body, Publish, Quota, Resource, Route, Status, StatusRequest, Value};
use ochrewalk_distribution::MAX_BATCH_CHANGES;
use ochrewalk_operator_config::resources::{quota_name, route_name};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const REGION: &str = "east";
const SCOPE: &str = "shop";
const METHOD: &str = "part-lookup";
/// A node requires the addresses of at least two relays.
const RELAY_ADDRESSES: usize = 2;
/// The number of changes while a relay is measured, each published as a separate batch.
const CHANGES_AT_RELAY: u64 = 60;
const RELAY_CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// The time for which a node is measured at each rate of changes.
const NODE_MEASUREMENT_TIME: Duration = Duration::from_secs(5);
/// Changes per second while the cost of a change is measured by the number of stored routes.
const RATE_AT_ROUTES: u64 = 10;
/// The number of the route that is changed, which is far above the numbers of the stored routes.
const CHANGED_ROUTE: usize = 900_000;
const CHANGES_UNTIL_IN_FORCE: u64 = 20;
const PROBE_INTERVAL: Duration = Duration::from_millis(2);
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
const METHOD_NOT_ALLOWED: u16 = 405;
const NOT_FOUND: u16 = 404;
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// A byte budget large enough that a measurement does not wait for a node's usual budget.
const AMPLE_BUDGET: &str = "config budget 100000k\n";

struct ControlPlane {
    control: PathBuf,
    publisher: MeasuredProcess,
    relay: MeasuredProcess,
    relay_address: SocketAddr,
    _folder: Folder,
}

impl ControlPlane {
    fn start(program: &Path) -> Result<Self, SlopeError> {
        let folder = Folder::create()?;
        let (control, log) = (folder.file("control"), folder.file("log"));
        let publisher_address = node::unused_address()?;
        let relay_address = node::unused_address()?;
        let text = |path: &Path| path.display().to_string();
        let listen = publisher_address.to_string();
        let arguments = ["config", "--log", "error", "serve", "--listen", &listen];
        let files = ["--control", &text(&control), "--log-file", &text(&log)];
        let publisher = MeasuredProcess::start(program, &[&arguments[..], &files].concat())?;
        wait_until("the publisher answers", || status(&control).is_ok())?;
        let listen = relay_address.to_string();
        let arguments = ["config", "--log", "error", "relay", "--name", "east-1", "--region", REGION];
        let addresses = ["--listen", &listen, "--publisher", &publisher_address.to_string()];
        let relay = MeasuredProcess::start(program, &[&arguments[..], &addresses].concat())?;
        Ok(Self { control, publisher, relay, relay_address, _folder: folder })
    }

    /// Publishes changes in batches of the largest size and returns the last revision.
    fn publish(&self, changes: &[Resource]) -> Result<u64, SlopeError> {
        let mut revision = 0;
        for batch in changes.chunks(MAX_BATCH_CHANGES) {
            let publish = Publish { changes: batch.to_vec(), expected: None };
            match send_request(&self.control, Body::Publish(publish))? {
                Body::Published(published) => revision = published.position.revision,
                Body::Refused(refused) => return Err(SlopeError::Refused(refused.reasons.join(", "))),
                _ => return Err(SlopeError::Lab("the publisher sent an unexpected answer".into())),
            }
        }
        Ok(revision)
    }

    /// Waits until the relay has all published resources.
    fn wait_for_relay(&self) -> Result<(), SlopeError> {
        wait_until("the relay at the published revision", || {
            status(&self.control).is_ok_and(|status| is_at_published(&status, ""))
        })
    }

    /// Waits until a node of the region has all published resources.
    fn wait_for_node(&self) -> Result<(), SlopeError> {
        wait_until("the node at the published revision", || {
            status(&self.control).is_ok_and(|status| is_at_published(&status, REGION))
        })
    }
}

fn status(control: &Path) -> Result<Status, SlopeError> {
    match send_request(control, Body::StatusRequest(StatusRequest {}))? {
        Body::Status(status) => Ok(status),
        _ => Err(SlopeError::Lab("the publisher sent an unexpected answer".into())),
    }
}

/// Whether any node of a region has applied the published position. Relays are listed under the empty region name.
fn is_at_published(status: &Status, region: &str) -> bool {
    let of_region = status.regions.iter().filter(|entry| entry.region == region);
    let mut in_force = of_region.flat_map(|entry| &entry.in_force);
    in_force.any(|count| count.position == status.position && count.nodes > 0)
}

fn route_path(number: usize) -> String {
    format!("/service-{:03}/item-{number:06}", number % 200)
}

fn route(number: usize) -> Resource {
    let path = route_path(number);
    let name = route_name(SCOPE, "GET", &path);
    let route = Route { http_method: "GET".into(), path, method: METHOD.into() };
    Resource::set(name, Value::Route(route))
}

fn quota(number: usize, per_second: f64) -> Resource {
    Resource::set(quota_name(&format!("tenant-{number:08}")), Value::Quota(Quota { per_second }))
}

fn divided(context: &Context, full: &[usize]) -> Vec<usize> {
    let divisor = if context.is_quick { 100 } else { 1 };
    full.iter().map(|size| size / divisor).collect()
}

/// Measures the memory of the publisher and the relay by the number of quotas, and the bytes of a snapshot by the
/// number of routes.
pub fn resources(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let plane = ControlPlane::start(context.program)?;
    let (mut of_publisher, mut of_relay) = (Vec::new(), Vec::new());
    let mut published = 0;
    for count in divided(context, &[10_000, 100_000, 200_000, 410_000]) {
        let changes: Vec<Resource> = (published..count).map(|number| quota(number, 50.0)).collect();
        plane.publish(&changes)?;
        published = count;
        plane.wait_for_relay()?;
        std::thread::sleep(SETTLE_TIME);
        let size = count as f64;
        of_publisher.push(Point { size, value: plane.publisher.resident_bytes()? });
        of_relay.push(Point { size, value: plane.relay.resident_bytes()? });
    }
    let note = "VmRSS of one process that grew from size to size; the resources are quotas";
    let series = |name, points| Series {
        name,
        size_unit: "distributed resources",
        value_unit: "bytes",
        points,
        note: note.into(),
    };
    let snapshots = snapshot_bytes(context)?;
    Ok(vec![
        series("publisher-memory-by-resources", of_publisher),
        series("relay-memory-by-resources", of_relay),
        snapshots,
    ])
}

fn snapshot_bytes(context: &Context) -> Result<Series, SlopeError> {
    let plane = ControlPlane::start(context.program)?;
    let mut points = Vec::new();
    let mut published = 0;
    for count in divided(context, &[1_000, 10_000, 25_000, 49_000]) {
        let changes: Vec<Resource> = (published..count).map(route).collect();
        let revision = plane.publish(&changes)?;
        published = count;
        plane.wait_for_relay()?;
        let name = format!("cold-{count}");
        let subscriber =
            SubscriberStandIn::connect(plane.relay_address, &name, REGION, &[SCOPE.to_string()])?;
        wait_until("a complete snapshot", || subscriber.revision() == revision)?;
        points.push(Point { size: count as f64, value: subscriber.bytes() as f64 });
    }
    Ok(Series {
        name: "snapshot-bytes-by-routes",
        size_unit: "routes in the subscriber's scopes",
        value_unit: "bytes",
        points,
        note: "bytes from the relay to a stand-in subscriber that had nothing".into(),
    })
}

/// Measures the CPU time and the sent bytes of a relay per change, and its memory, by the number of subscribers.
pub fn subscribers(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let plane = ControlPlane::start(context.program)?;
    let (mut cpu, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    let mut all: Vec<SubscriberStandIn> = Vec::new();
    let counts = if context.is_quick { [2, 4, 8, 16] } else { [25, 100, 200, 400] };
    let mut published = 0;
    for count in counts {
        let first = plane.publish(&[quota(0, 1.0 + count as f64)])?;
        while all.len() < count {
            let name = format!("node-{}", all.len());
            all.push(SubscriberStandIn::connect(plane.relay_address, &name, REGION, &[])?);
        }
        wait_until("all subscribers", || all.iter().all(|subscriber| subscriber.revision() >= first))?;
        std::thread::sleep(SETTLE_TIME);
        let (cpu_before, bytes_before) = (plane.relay.cpu_seconds()?, total_bytes(&all));
        let mut last = first;
        for _ in 0..CHANGES_AT_RELAY {
            published += 1;
            last = plane.publish(&[quota(published, 50.0)])?;
            std::thread::sleep(RELAY_CHANGE_INTERVAL);
        }
        wait_until("the last change", || all.iter().all(|subscriber| subscriber.revision() >= last))?;
        let changes = CHANGES_AT_RELAY as f64;
        let size = count as f64;
        cpu.push(Point { size, value: (plane.relay.cpu_seconds()? - cpu_before) / changes });
        let received = (total_bytes(&all) - bytes_before) as f64;
        bytes.push(Point { size, value: received / changes });
        memory.push(Point { size, value: plane.relay.resident_bytes()? });
    }
    let updates: u64 = all.iter().map(SubscriberStandIn::complete_updates).sum();
    let note = format!(
        "{CHANGES_AT_RELAY} changes of one quota each, {} ms and one publication apart, to subscribers of everything; \
         {updates} updates were taken by all together",
        RELAY_CHANGE_INTERVAL.as_millis()
    );
    let series = |name, value_unit, points| Series {
        name,
        size_unit: "subscribers of a relay",
        value_unit,
        points,
        note: note.clone(),
    };
    Ok(vec![
        series("relay-cpu-per-change-by-subscribers", "CPU seconds for a change", cpu),
        series("relay-bytes-per-change-by-subscribers", "bytes sent for a change", bytes),
        series("relay-memory-by-subscribers", "bytes", memory),
    ])
}

fn total_bytes(all: &[SubscriberStandIn]) -> u64 {
    all.iter().map(SubscriberStandIn::bytes).sum()
}

/// Returns the lines of the operators' file by which a node subscribes to a relay through the traffic meter.
fn directives(meter: &TrafficMeter) -> String {
    let relays: String = meter.addresses.iter().map(|at| format!("config relay {at}\n")).collect();
    format!("{relays}config region {REGION}\nconfig scope {SCOPE}\n{AMPLE_BUDGET}")
}

/// Measures the CPU share and the bytes per second of a node by the rate of changes to its scope, with a thousand
/// stored routes.
pub fn node_changes(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let plane = ControlPlane::start(context.program)?;
    let stored = if context.is_quick { 10 } else { 1_000 };
    let first: Vec<Resource> = (0..stored).map(route).collect();
    plane.publish(&first)?;
    let meter = TrafficMeter::start(plane.relay_address, RELAY_ADDRESSES)?;
    let node = NodeUnderTest::start(context.program, NodeFiles::default(), &directives(&meter))?;
    plane.wait_for_node()?;
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for rate in [0u64, 5, 10, 20, 40] {
        std::thread::sleep(SETTLE_TIME);
        let (bytes_before, began) = (meter.bytes(), Instant::now());
        let (share, size) = cpu_share(&plane, &node, rate)?;
        let seconds = began.elapsed().as_secs_f64();
        cpu.push(Point { size, value: share });
        bytes.push(Point { size, value: (meter.bytes() - bytes_before) as f64 / seconds });
    }
    let size_unit = "changes a second to the node's scope";
    let note =
        format!("{stored} distributed routes held; each change is a batch that sets or deletes one route");
    Ok(vec![
        Series {
            name: "node-cpu-by-change-rate",
            size_unit,
            value_unit: "share of a core",
            points: cpu,
            note: note.clone(),
        },
        Series {
            name: "node-bytes-by-change-rate",
            size_unit,
            value_unit: "bytes a second, both ways",
            points: bytes,
            note,
        },
    ])
}

/// Sets and deletes one route alternately at this rate, and returns the number of changes.
fn change_at_rate(plane: &ControlPlane, rate: u64) -> Result<u64, SlopeError> {
    let began = Instant::now();
    let total = rate * NODE_MEASUREMENT_TIME.as_secs();
    for number in 0..total {
        plane.publish(&[set_or_delete(number)])?;
        let due = Duration::from_secs_f64((number + 1) as f64 / rate as f64);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
    }
    std::thread::sleep(NODE_MEASUREMENT_TIME.saturating_sub(began.elapsed()));
    Ok(total)
}

fn set_or_delete(number: u64) -> Resource {
    let changed = route(CHANGED_ROUTE);
    let value = if number.is_multiple_of(2) { changed.value.clone() } else { None };
    Resource { value, ..changed }
}

/// Measures the memory of a node and its CPU time per change by the number of distributed routes that it stores. The
/// CPU time at rest over an equal time is subtracted.
pub fn node_routes(context: &Context) -> Result<Vec<Series>, SlopeError> {
    let (mut cpu, mut memory, mut delay) = (Vec::new(), Vec::new(), Vec::new());
    for count in divided(context, &[1_000, 10_000, 25_000, 49_000]) {
        let plane = ControlPlane::start(context.program)?;
        let stored: Vec<Resource> = (0..count).map(route).collect();
        plane.publish(&stored)?;
        plane.wait_for_relay()?;
        let meter = TrafficMeter::start(plane.relay_address, RELAY_ADDRESSES)?;
        let node = NodeUnderTest::start(context.program, NodeFiles::default(), &directives(&meter))?;
        plane.wait_for_node()?;
        std::thread::sleep(SETTLE_TIME);
        let size = count as f64;
        memory.push(Point { size, value: node.process.resident_bytes()? });
        let (at_rest, _) = cpu_share(&plane, &node, 0)?;
        let (under_changes, changes_per_second) = cpu_share(&plane, &node, RATE_AT_ROUTES)?;
        cpu.push(Point { size, value: (under_changes - at_rest) / changes_per_second });
        delay.push(Point { size, value: longest_delay(&plane, &node)?.as_secs_f64() });
    }
    let size_unit = "distributed routes that a node holds";
    Ok(vec![
        Series {
            name: "node-memory-by-distributed-routes",
            size_unit,
            value_unit: "bytes",
            points: memory,
            note: "VmRSS, settled after the first snapshot".into(),
        },
        Series {
            name: "node-cpu-per-change-by-distributed-routes",
            size_unit,
            value_unit: "CPU seconds for a change",
            points: cpu,
            note: format!(
                "{RATE_AT_ROUTES} changes of one route a second for {} s, less the CPU share at rest before; changes that \
                 come while one is applied may be applied together",
                NODE_MEASUREMENT_TIME.as_secs()
            ),
        },
        Series {
            name: "change-in-force-by-distributed-routes",
            size_unit,
            value_unit: "seconds from publication",
            points: delay,
            note: format!(
                "the longest of {CHANGES_UNTIL_IN_FORCE} changes of one route, until a request shows it at one node of one \
                 relay on loopback; looked at every {} ms",
                PROBE_INTERVAL.as_millis()
            ),
        },
    ])
}

/// Returns the longest time from the publication of a change until a node applies it.
fn longest_delay(plane: &ControlPlane, node: &NodeUnderTest) -> Result<Duration, SlopeError> {
    let mut longest = Duration::ZERO;
    for number in 0..CHANGES_UNTIL_IN_FORCE {
        let began = Instant::now();
        plane.publish(&[set_or_delete(number)])?;
        let is_set = number.is_multiple_of(2);
        while is_changed_route_known(node)? != is_set {
            if began.elapsed() > PROBE_TIMEOUT {
                return Err(SlopeError::TimedOut("a change in force".into()));
            }
            std::thread::sleep(PROBE_INTERVAL);
        }
        longest = longest.max(began.elapsed());
    }
    Ok(longest)
}

/// Whether the node knows the changed route: a request with another HTTP method is answered with 405 if the path is
/// known, and with 404 otherwise.
fn is_changed_route_known(node: &NodeUnderTest) -> Result<bool, SlopeError> {
    let path = route_path(CHANGED_ROUTE);
    let headers = vec![("x-request-id", format!("{:016x}", fastrand::u64(..)))];
    let call = Call { method: "PATCH", uri: &path, headers, secret: None, body: b"" };
    let answer = Peer::connect(node.ajp_address, PROBE_TIMEOUT)?.call(&call)?;
    match answer.status {
        METHOD_NOT_ALLOWED => Ok(true),
        NOT_FOUND => Ok(false),
        other => Err(SlopeError::Lab(format!("unexpected status {other} in answer to a probe of a route"))),
    }
}

/// Returns the share of a core that a node uses during changes at this rate, and the actual rate.
fn cpu_share(plane: &ControlPlane, node: &NodeUnderTest, rate: u64) -> Result<(f64, f64), SlopeError> {
    let before = node.process.cpu_seconds()?;
    let began = Instant::now();
    let changes = change_at_rate(plane, rate)?;
    let seconds = began.elapsed().as_secs_f64();
    Ok(((node.process.cpu_seconds()? - before) / seconds, changes as f64 / seconds))
}
