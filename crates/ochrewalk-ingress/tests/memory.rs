//! Measures the memory of a large table of routes with an instrumented allocator. This file has a single test, as the
//! allocator counts the complete process.

use ochrewalk_ingress::routes::{RouteMatch, Routes};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUTES: usize = 49_000;
/// The bound on the memory per route: a node holds two tables of that size while it reloads its files, and its complete
/// memory has to stay within 128 MB.
const MAX_BYTES_PER_ROUTE: usize = 256;

#[test]
fn tens_of_thousands_of_routes_take_few_bytes_each() {
    let region = Region::new(ALLOCATOR);
    let mut routes = Routes::default();
    for number in 0..ROUTES {
        let pattern = format!("/service-{:03}/item-{number:06}", number % 200);
        routes.add("GET", &pattern, number).unwrap();
    }
    let change = region.change();
    let allocated = change.bytes_allocated - change.bytes_deallocated;
    assert!(allocated / ROUTES <= MAX_BYTES_PER_ROUTE, "{allocated} bytes for {ROUTES} routes");
    assert_eq!(routes.find(b"GET", b"/service-199/item-048999"), Ok(RouteMatch::Method(48_999)));
}
