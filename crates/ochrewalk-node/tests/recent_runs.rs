//! Tests the ids of recent runs that must not happen twice, also across a hand-over.

use ochrewalk::deployment::Deployment;
use ochrewalk_node::clock::Clock;
use ochrewalk_node::coordinator::{IncomingRequest, RequestCoordinator, RequestEvent, SubmitError};
use ochrewalk_node::handover::records::NodeRecord;
use ochrewalk_node::idempotency_keys::IdempotencyKeyStore;
use ochrewalk_node::recent_runs::RecentRuns;

mod helper;

const RESULT_BYTES: usize = 1_000_000;
/// The position of the method `once`, whose requests must not run twice, and of `look`, whose requests may.
const ONCE: usize = 3;
const LOOK: usize = 0;

#[test]
fn an_id_is_remembered_until_it_expires_or_too_many_follow() {
    let mut runs = RecentRuns::new(2);
    runs.insert("a".into(), 300);
    runs.insert("b".into(), 100);
    runs.insert("c".into(), 200);
    assert_eq!(
        ["a", "b", "c"].map(|id| runs.contains(id)),
        [true, false, true],
        "the first to expire is forgotten"
    );
    runs.remove_expired(200);
    assert!(runs.contains("c"));
    runs.remove_expired(201);
    runs.remove("b");
    assert_eq!(runs.iter().map(|(until_ms, _)| *until_ms).collect::<Vec<_>>(), [300]);
    runs.insert("a".into(), 400);
    runs.remove_expired(301);
    assert!(runs.contains("a"), "the later expiry counts");
    runs.remove("a");
    assert_eq!(runs.iter().count(), 0);
}

fn deployment() -> Deployment {
    let settings = serde_json::value::to_raw_value(&helper::settings()).unwrap();
    Deployment::read("settings", &settings).unwrap()
}

fn request(id: &str, method: usize) -> IncomingRequest {
    IncomingRequest {
        id: id.into(),
        method,
        memory_kb: 1.0,
        arrived_unix_ms: helper::unix_ms(),
        time_left_us: None,
        idempotency_key: None,
        tenant: None,
    }
}

/// Guards against an upgrade by which an id may run a second time.
#[test]
fn a_successor_knows_the_ids_that_have_run() {
    let clock = Clock::start();
    let (coordinator, notifications) = RequestCoordinator::new(clock, deployment(), 1, RESULT_BYTES);
    coordinator.activate(false, 5_000_000);
    for (id, method) in [("1", ONCE), ("2", LOOK)] {
        let handle = coordinator.submit(&request(id, method)).unwrap();
        coordinator.decide_when_notified(&notifications.state_changed);
        assert!(matches!(handle.wait(None), RequestEvent::Run));
        coordinator.remove(&handle);
    }
    let mut node = NodeRecord::default();
    coordinator.snapshot(&mut node, false);
    assert_eq!(node.recent_runs.iter().map(|run| run.id.as_str()).collect::<Vec<_>>(), ["1"]);
    let (keys, decisions) = (IdempotencyKeyStore::new(0), node.decisions.clone());
    let (successor, ..) =
        RequestCoordinator::resume(clock, deployment(), 1, RESULT_BYTES, &mut node, keys, &[]).unwrap();
    assert!(decisions.is_some());
    assert_eq!(successor.submit(&request("1", ONCE)).err(), Some(SubmitError::IdHasRun));
}
