//! Tests the agent inside the test process: the state restored from the state file, and the updates applied and reported.

use crate::control_plane::wait_until;
use crate::helper::{file, listener, unix_ms};
use crate::node::TIMEOUT;
use crate::relay_stand_in::{accept_from_either, RelayStandIn};
use ochrewalk_control_plane::state_file::StateFile;
use ochrewalk_distribution::messages::{Body, Position, Resource, Update};
use ochrewalk_distribution::CompleteUpdate;
use ochrewalk_ingress::request_evaluation::Rules;
use ochrewalk_ingress::routes::{RouteMatch, Routes};
use ochrewalk_node::configuration::agent::PreparedAgent;
use ochrewalk_node::configuration::file_configuration::FileConfiguration;
use ochrewalk_node::configuration::node_configuration::{ConfigurationInForce, NodeConfiguration};
use ochrewalk_operator_config::resources::{quota_name, read_changes, RouteTarget};
use ochrewalk_operator_config::ConfigAgent;
use std::io::{self, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, OnceLock};
use tracing::Dispatch;

const NODE: &str = "n3";
const SEED: u64 = 7;
const MAX_TENANTS: usize = 2;
/// The age of the state files that these tests write.
const STATE_AGE_S: u64 = 100;
/// The delay after which a busy machine may read a state file.
const MAX_DELAY_S: u64 = 60;

/// A folder for a state file, which is removed when this value is dropped.
struct StateFolder(PathBuf);

impl StateFolder {
    fn new() -> StateFolder {
        let path = file("");
        std::fs::remove_file(&path).unwrap();
        std::fs::create_dir(&path).unwrap();
        StateFolder(path)
    }

    fn state(&self) -> PathBuf {
        self.0.join("state")
    }
}

impl Drop for StateFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn changes(revision: u64, text: &str) -> Vec<Resource> {
    let changes = read_changes(text, "changes").unwrap();
    changes.into_iter().map(|change| Resource { revision, ..change }).collect()
}

fn complete(revision: u64, is_snapshot: bool, text: &str) -> CompleteUpdate {
    CompleteUpdate {
        position: at(revision),
        is_snapshot,
        resources: changes(revision, text).into_iter().map(Arc::new).collect(),
        absent: Vec::new(),
        horizon: 0,
    }
}

fn at(revision: u64) -> Position {
    Position { epoch: 1, revision }
}

fn written_ms() -> u64 {
    unix_ms() - STATE_AGE_S * 1_000
}

/// Checks the age of the state file in the log, and replaces it by `AGE`.
fn without_age(log: &str) -> String {
    let (before, after) = log.split_once(" s ago").unwrap();
    let (before, age_s) = before.rsplit_once(' ').unwrap();
    let age_s: u64 = age_s.parse().unwrap();
    assert!((STATE_AGE_S..STATE_AGE_S + MAX_DELAY_S).contains(&age_s), "{log}");
    format!("{before} AGE s ago{after}")
}

/// Writes a state file with a snapshot of revision 1 and the resources of `text`.
fn written(path: &Path, text: &str) -> StateFile {
    let mut state = StateFile::new(path, NODE);
    let resources = changes(1, text);
    state.write_snapshot(at(1), resources.iter(), vec![quota_name("nobody")], written_ms()).unwrap();
    state
}

fn node_file(route: &str) -> FileConfiguration {
    let mut routes = Routes::default();
    routes.add("GET", route, 0).unwrap();
    FileConfiguration {
        rules: Rules { routes, ..Rules::default() },
        has_listener: true,
        ..FileConfiguration::default()
    }
}

fn node() -> NodeConfiguration {
    let methods = [("look".to_string(), RouteTarget { position: 0, is_idempotent: true })].into();
    NodeConfiguration::new(methods, node_file("/file"), 100)
}

/// Returns an agent that follows `relays`, and a receiver of the configurations that it activates.
fn prepared(
    relays: &[&TcpListener],
    snapshot: Option<PathBuf>,
) -> (PreparedAgent, Receiver<ConfigurationInForce>) {
    let config = ConfigAgent {
        relays: relays.iter().map(|relay| relay.local_addr().unwrap()).collect(),
        region: "east".into(),
        scopes: vec!["shop".into()],
        snapshot,
        max_tenants: MAX_TENANTS,
        ..ConfigAgent::default()
    };
    let (sender, applied) = channel();
    let apply = Box::new(move |in_force| drop(sender.send(in_force)));
    (PreparedAgent::new(NODE, &config, node(), SEED, apply).unwrap(), applied)
}

fn is_routed(in_force: &ConfigurationInForce, path: &str) -> bool {
    matches!(in_force.rules.routes.find(b"GET", path.as_bytes()).unwrap(), RouteMatch::Method(_))
}

/// Returns the lines that this thread logs while `run` runs.
fn logged(run: impl FnOnce()) -> String {
    // With one dispatcher in the process, `tracing` asks only the thread that reaches a log statement first whether the
    // statement is enabled, and skips it in all threads if that one has no subscriber. A second dispatcher prevents that.
    static SECOND_DISPATCHER: OnceLock<Dispatch> = OnceLock::new();
    SECOND_DISPATCHER.get_or_init(|| Dispatch::new(tracing_subscriber::fmt().with_writer(io::sink).finish()));
    #[derive(Clone, Default)]
    struct Lines(Arc<Mutex<Vec<u8>>>);
    impl Write for Lines {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().write(bytes)
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, run);
    let bytes = lines.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

fn update(revision: u64, base: Option<Position>, text: &str) -> Body {
    let resources = changes(revision, text);
    let mut hasher = crc32fast::Hasher::new();
    resources.iter().for_each(|resource| hasher.update(&prost::Message::encode_to_vec(resource)));
    let checksum = hasher.finalize();
    let is_snapshot = base.is_none();
    let position = at(revision);
    Body::Update(Update {
        position,
        is_snapshot,
        base,
        resources,
        is_last: true,
        checksum,
        ..Update::default()
    })
}

fn report(relay: &mut RelayStandIn) -> ochrewalk_distribution::messages::Report {
    loop {
        match relay.receive() {
            Body::Report(report) => return report,
            Body::Watch(_) => {}
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_line_is_captured_also_if_another_thread_was_the_first_to_reach_its_statement() {
    fn log_line() {
        tracing::info!("a line");
    }
    let log = logged(|| {
        std::thread::spawn(log_line).join().unwrap();
        log_line();
    });
    assert_eq!(log, " INFO a line\n");
}

#[test]
fn without_a_state_file_an_agent_starts_with_the_nodes_own_files() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    let log = logged(|| {
        let (agent, applied) = prepared(&[&first, &second], Some(folder.state()));
        let in_force = applied.try_recv().unwrap();
        assert!(is_routed(&in_force, "/file") && in_force.quotas.is_empty());
        assert!(applied.try_recv().is_err());
        assert_eq!(agent.handle().position(), Position::default());
    });
    assert_eq!(log, "");
}

#[test]
fn a_persisted_state_is_applied_at_once_in_one_step() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    let mut state = written(&folder.state(), "route shop GET /a look\nquota acme 5\nquota other 1\n");
    state
        .append(&complete(2, false, "delete route shop GET /a\nroute shop GET /b look\n"), unix_ms())
        .unwrap();
    state.append_forgotten(at(2), vec![quota_name("other")], written_ms()).unwrap();
    let log = logged(|| {
        let (agent, applied) = prepared(&[&first, &second], Some(folder.state()));
        let in_force = applied.try_recv().unwrap();
        assert!(is_routed(&in_force, "/file") && is_routed(&in_force, "/b") && !is_routed(&in_force, "/a"));
        assert_eq!(in_force.quotas.keys().map(|tenant| &**tenant).collect::<Vec<_>>(), ["acme", "nobody"]);
        assert!(applied.try_recv().is_err());
        assert_eq!(agent.handle().position(), at(2));
        agent.start().unwrap();
        let subscribe = accept_from_either(&first, &second).receive_subscribe();
        assert_eq!((subscribe.node.as_str(), subscribe.region.as_str()), (NODE, "east"));
        assert_eq!((subscribe.applied, subscribe.scopes), (Some(at(2)), vec!["shop".to_string()]));
        assert_eq!(subscribe.names, [quota_name("acme"), quota_name("nobody")]);
    });
    assert_eq!(without_age(&log), " INFO 1.2 was persisted AGE s ago and is restored part=\"config\"\n");
}

#[test]
fn no_more_persisted_quotas_are_watched_than_the_node_caches() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    written(&folder.state(), "quota a 1\nquota b 2\nquota c 3\n");
    let (agent, _applied) = prepared(&[&first, &second], Some(folder.state()));
    agent.start().unwrap();
    let subscribe = accept_from_either(&first, &second).receive_subscribe();
    assert_eq!(subscribe.names, [quota_name("a"), quota_name("b")]);
}

#[test]
fn a_damaged_end_of_the_state_file_leaves_the_older_state_in_force() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    let mut state = written(&folder.state(), "route shop GET /a look\n");
    let length = std::fs::metadata(folder.state()).unwrap().len();
    state.append(&complete(2, false, "route shop GET /b look\n"), written_ms()).unwrap();
    let bytes = std::fs::read(folder.state()).unwrap();
    std::fs::write(folder.state(), &bytes[..bytes.len() - 1]).unwrap();
    let damaged = bytes.len() as u64 - 1 - length;
    let log = logged(|| {
        let (agent, applied) = prepared(&[&first, &second], Some(folder.state()));
        let in_force = applied.try_recv().unwrap();
        assert!(is_routed(&in_force, "/a") && !is_routed(&in_force, "/b"));
        assert_eq!(agent.handle().position(), at(1));
    });
    let expected = format!(
        " WARN the last {damaged} bytes of the persisted state are damaged and ignored part=\"config\"\n \
         INFO 1.1 was persisted AGE s ago and is restored part=\"config\"\n"
    );
    assert_eq!(without_age(&log), expected);
}

#[test]
fn a_persisted_state_is_restored_up_to_the_first_update_that_no_longer_fits() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    let mut state = written(&folder.state(), "route shop GET /a look\n");
    state.append(&complete(2, false, "route shop GET /file look\n"), written_ms()).unwrap();
    state.append(&complete(3, false, "route shop GET /c look\n"), written_ms()).unwrap();
    let log = logged(|| {
        let (agent, applied) = prepared(&[&first, &second], Some(folder.state()));
        let in_force = applied.try_recv().unwrap();
        assert!(is_routed(&in_force, "/a") && is_routed(&in_force, "/file") && !is_routed(&in_force, "/c"));
        assert_eq!(agent.handle().position(), at(1));
    });
    let expected = " WARN the persisted state is restored up to before this: route shop GET /file: GET /file is routed \
                  already part=\"config\"\n INFO 1.1 was persisted AGE s ago and is restored part=\"config\"\n";
    assert_eq!(without_age(&log), expected);
}

#[test]
fn a_state_file_that_cannot_be_read_is_logged_and_the_node_starts_without_it() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    std::fs::write(folder.state(), "something else").unwrap();
    let log = logged(|| {
        let (agent, applied) = prepared(&[&first, &second], Some(folder.state()));
        assert!(is_routed(&applied.try_recv().unwrap(), "/file"));
        assert_eq!(agent.handle().position(), Position::default());
    });
    let path = folder.state();
    let expected =
        format!("ERROR {}: no state of this version; beginning without it part=\"config\"\n", path.display());
    assert_eq!(log, expected);
}

#[test]
fn an_agent_without_relays_cannot_be_prepared() {
    let config = ConfigAgent::default();
    let error = PreparedAgent::new(NODE, &config, node(), SEED, Box::new(|_| ())).err().unwrap();
    assert_eq!(error.to_string(), "a node needs at least one relay");
}

#[test]
fn a_rejected_update_is_reported_and_neither_applied_nor_persisted() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    let (agent, applied) = prepared(&[&first, &second], Some(folder.state()));
    let handle = agent.handle().clone();
    agent.start().unwrap();
    let mut relay = accept_from_either(&first, &second);
    relay.receive_subscribe();
    applied.recv_timeout(TIMEOUT).unwrap();
    relay.send(update(1, None, "route shop GET /a look\n"));
    assert_eq!(report(&mut relay).applied, at(1));
    assert!(is_routed(&applied.recv_timeout(TIMEOUT).unwrap(), "/a"));
    relay.send(update(2, Some(at(1)), "route shop GET /b look\nroute shop GET /file look\n"));
    let reported = report(&mut relay);
    let rejected = reported.rejected.unwrap();
    assert_eq!((reported.applied, rejected.position), (at(1), at(2)));
    assert_eq!((rejected.node.as_str()), NODE);
    assert_eq!(rejected.reason, "route shop GET /file: GET /file is routed already");
    assert!(applied.try_recv().is_err());
    assert_eq!(handle.position(), at(1));
    let (_, persisted) = StateFile::open(&folder.state(), NODE).unwrap();
    assert_eq!(persisted.steps.len(), 1);
}

#[test]
fn an_update_that_cannot_be_persisted_is_in_force() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    let (agent, applied) = prepared(&[&first, &second], Some(folder.0.join("no-folder/state")));
    agent.start().unwrap();
    let mut relay = accept_from_either(&first, &second);
    relay.receive_subscribe();
    applied.recv_timeout(TIMEOUT).unwrap();
    for (revision, path) in [(1, "/a"), (2, "/b")] {
        let base = (revision > 1).then(|| at(revision - 1));
        relay.send(update(revision, base, &format!("route shop GET {path} look\n")));
        let reported = report(&mut relay);
        assert_eq!((reported.applied, reported.rejected), (at(revision), None));
        assert!(is_routed(&applied.recv_timeout(TIMEOUT).unwrap(), path));
    }
}

#[test]
fn a_quota_that_is_replaced_in_the_cache_is_removed_in_force_and_in_the_state_file() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    written(&folder.state(), "quota a 1\nquota b 2\n");
    let (agent, applied) = prepared(&[&first, &second], Some(folder.state()));
    let handle = agent.handle().clone();
    assert_eq!(applied.recv_timeout(TIMEOUT).unwrap().quotas.len(), 3);
    agent.start().unwrap();
    let mut relay = accept_from_either(&first, &second);
    relay.receive_subscribe();
    // The state file is replaced, with a snapshot, by the first update that is applied.
    relay.send(update(2, Some(at(1)), "route shop GET /a look\n"));
    assert_eq!(report(&mut relay).applied, at(2));
    assert!(is_routed(&applied.recv_timeout(TIMEOUT).unwrap(), "/a"));
    handle.request_quota("c".into());
    let watch = relay.receive_watch();
    assert_eq!((watch.add, watch.remove.len()), (vec![quota_name("c")], 1));
    let removed = watch.remove[0].name.clone();
    let in_force = applied.recv_timeout(TIMEOUT).unwrap();
    assert!(!in_force.quotas.contains_key(removed.as_str()) && in_force.quotas.len() == 2);
    wait_until("the removal is persisted", || {
        StateFile::open(&folder.state(), NODE).unwrap().1.steps.len() == 2
    });
}

#[test]
fn a_replaced_file_is_applied_together_with_distributed_resources() {
    let (first, second) = (listener(), listener());
    let folder = StateFolder::new();
    written(&folder.state(), "route shop GET /a look\nroute shop GET /b look\n");
    let (agent, applied) = prepared(&[&first, &second], Some(folder.state()));
    assert!(is_routed(&applied.try_recv().unwrap(), "/file"));
    let faults = agent.handle().replace_file(node_file("/a"));
    let texts: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
    assert_eq!(texts, ["route shop GET /a: GET /a is routed already"]);
    let in_force = applied.try_recv().unwrap();
    assert!(is_routed(&in_force, "/a") && is_routed(&in_force, "/b") && !is_routed(&in_force, "/file"));
}
