//! The allocated memory, counted by the allocator: of a server with subscribers that do not read, and of a relay with the
//! state of the entire fleet.

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::sync::Arc;

use common::*;
use ochrewalk_distribution::messages::{Resource, ResourceKind, ResourceName, Route, Value};
use ochrewalk_distribution::{CompleteUpdate, Interest, NextUpdate, Store, StoreLimits};

thread_local! {
    /// The bytes allocated by this thread, so that concurrent tests do not count each other's.
    static ALLOCATED_BYTES: Cell<i64> = const { Cell::new(0) };
}

struct CountingAllocator;

fn count(bytes: i64) {
    // The counter no longer exists while a thread exits.
    let _ = ALLOCATED_BYTES.try_with(|allocated| allocated.set(allocated.get() + bytes));
}

// SAFETY: all requests are forwarded to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as i64);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as i64));
        System.dealloc(pointer, layout)
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn allocated_bytes() -> i64 {
    ALLOCATED_BYTES.with(Cell::get)
}

#[test]
fn memory_for_a_subscriber_that_never_reads_stays_constant_over_ten_thousand_publishes() {
    const SUBSCRIBERS: usize = 50;
    let mut server = filled_publisher();
    let mut nodes: Vec<Node> =
        (0..SUBSCRIBERS).map(|n| Node::new(&format!("node-{n}"), Interest::scopes(["a"]))).collect();
    for node in &mut nodes {
        node.connect(&mut server);
    }
    // Half of the subscribers have stopped reading in the middle of an update.
    for node in &nodes[..SUBSCRIBERS / 2] {
        assert!(matches!(server.next(node.id.unwrap(), 0), NextUpdate::Send(_)));
    }
    let mut round = |first: usize| {
        for n in first..first + 1_000 {
            let change = quota("a", &format!("tenant-{:03}", n % 400), n as f64);
            publish(&mut server, &[change]);
        }
        allocated_bytes()
    };
    let after_first = round(0);
    for first in (1_000..10_000).step_by(1_000) {
        let grown = round(first) - after_first;
        // The trees of the store may have slightly different shapes.
        assert!(grown.abs() < 16 << 10, "{grown} bytes more after {first} publishes");
    }
}

fn tenants() -> impl Iterator<Item = Resource> {
    (0..410_000).map(|n| quota(&format!("service-{:03}", n % 200), &format!("tenant-{n:08}"), 50.0))
}

fn routes() -> impl Iterator<Item = Resource> {
    (0..49_000).map(|n| {
        let scope = format!("service-{:03}", n % 200);
        let name = ResourceName::new(ResourceKind::Route, &scope, format!("route-{n:05}"));
        let (path, method) = (format!("/v1/{scope}/items-{n:05}"), format!("{scope}.Items/Get{n:05}"));
        Resource::set(name, Value::Route(Route { http_method: "GET".into(), path, method }))
    })
}

#[test]
fn a_relay_stores_all_quotas_and_routes_of_the_fleet_in_less_than_150_mb() {
    const BOUND_BYTES: i64 = 150_000_000;
    let before = allocated_bytes();
    let mut store = Store::new(0, StoreLimits::default());
    let at_revision = |(n, resource): (u64, Resource)| Arc::new(Resource { revision: n / 100, ..resource });
    let update = CompleteUpdate {
        position: position(1, 4_590),
        is_snapshot: true,
        resources: (0..).zip(tenants().chain(routes())).map(at_revision).collect(),
        absent: Vec::new(),
        horizon: 0,
    };
    store.apply(&update).unwrap();
    println!("{} bytes while the snapshot is applied", allocated_bytes() - before);
    drop(update);
    let allocated = allocated_bytes() - before;
    println!("{} resources take {allocated} bytes, {} each", store.len(), allocated / store.len() as i64);
    assert_eq!(store.len(), 459_000);
    assert!(allocated < BOUND_BYTES, "{allocated}");
}
