//! Measures, by the number of routes and tenants of a node, how long its agent's thread takes to check and apply an update,
//! and how long the exchange of the rules takes, which may delay requests.

use ochrewalk_distribution::messages::{Position, Resource};
use ochrewalk_distribution::CompleteUpdate;
use ochrewalk_ingress::request_evaluation::Rules;
use ochrewalk_node::configuration::file_configuration::FileConfiguration;
use ochrewalk_node::configuration::node_configuration::NodeConfiguration;
use ochrewalk_operator_config::resources::{read_changes, RouteTarget};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const UPDATES: u64 = 200;

fn update(revision: u64, is_snapshot: bool, changes: &str) -> CompleteUpdate {
    let changes = read_changes(changes, "changes").expect("the changes are valid").into_iter();
    CompleteUpdate {
        position: Position { epoch: 1, revision },
        is_snapshot,
        resources: changes.map(|change| Arc::new(Resource { revision, ..change })).collect(),
        absent: Vec::new(),
        horizon: 0,
    }
}

fn percentile(times: &mut [Duration], share: f64) -> Duration {
    times.sort();
    times[((times.len() - 1) as f64 * share) as usize]
}

fn main() {
    println!("routes tenants snapshot_ms update_p50_us update_max_us swap_p99_us swap_max_us");
    for (routes, tenants) in [(100, 100), (1_000, 1_000), (10_000, 16_384), (49_000, 16_384)] {
        let methods = [("look".to_string(), RouteTarget { position: 0, is_idempotent: true })].into();
        let file = FileConfiguration { has_listener: true, ..FileConfiguration::default() };
        let mut node = NodeConfiguration::new(methods, file, 0);
        let mut text = String::new();
        (0..routes).for_each(|route| text.push_str(&format!("route shop GET /shop/{route}/items look\n")));
        (0..tenants).for_each(|tenant| text.push_str(&format!("quota tenant-{tenant} 5\n")));
        let started = Instant::now();
        let first = node.apply(&update(1, true, &text)).expect("the update fits the node");
        let snapshot = started.elapsed();
        let in_force: Mutex<Arc<Rules>> = Mutex::new(Arc::new(first.rules));
        let (mut updates, mut swaps) = (Vec::new(), Vec::new());
        for revision in 2..UPDATES + 2 {
            let changes = format!(
                "delete route shop GET /shop/{}/items\nroute shop GET /new/{revision} look\nquota tenant-{} 7\n",
                revision % routes,
                revision % tenants
            );
            let update = update(revision, false, &changes);
            let started = Instant::now();
            let next = Arc::new(node.apply(&update).expect("the update fits the node").rules);
            updates.push(started.elapsed());
            let started = Instant::now();
            let before =
                std::mem::replace(&mut *in_force.lock().expect("no panic occurs under this lock"), next);
            swaps.push(started.elapsed());
            drop(before);
        }
        println!(
            "{routes} {tenants} {:.1} {} {} {} {}",
            snapshot.as_secs_f64() * 1e3,
            percentile(&mut updates, 0.5).as_micros(),
            percentile(&mut updates, 1.0).as_micros(),
            percentile(&mut swaps, 0.99).as_micros(),
            percentile(&mut swaps, 1.0).as_micros(),
        );
    }
}
