//! The real program and a control plane of real processes on loopback: what is published is in force in a running node,
//! what is wrong is rejected and seen, and without any relay the node serves on.

mod helper;

use helper::*;
use ochrewalk_control_plane::frame::{encode, FrameDecoder};
use ochrewalk_distribution::messages::{Body, Heartbeat, Position, Subscribe, Update, Watch};
use ochrewalk_lab::ajp::{Call, Peer as Ajp};
use ochrewalk_operators::resources::quota_name;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Output, Stdio};
use std::time::Duration;

/// Far longer than anything takes that works.
const PATIENCE: Duration = Duration::from_secs(10);
/// Looks at something until it is so, 20 ms apart: half a minute.
const LOOKS: u32 = 1_500;
const BETWEEN_LOOKS: Duration = Duration::from_millis(20);

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    for _ in 0..LOOKS {
        if is_so() {
            return;
        }
        std::thread::sleep(BETWEEN_LOOKS);
    }
    panic!("never seen: {what}");
}

/// A process of the control plane, killed at the end.
struct Process(Child);

impl Process {
    fn start(words: &[&str]) -> Process {
        Process(program(words).stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap())
    }

    fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A publisher and two relays of region east.
struct ControlPlane {
    folder: PathBuf,
    publisher_at: String,
    relays_at: [String; 2],
    publisher: Process,
    relays: Vec<Process>,
}

impl ControlPlane {
    fn start() -> ControlPlane {
        let folder = file("").with_extension("plane");
        std::fs::create_dir(&folder).unwrap();
        let (publisher_at, first, second) = (own_address(7100), own_address(7101), own_address(7102));
        let publisher = ControlPlane::publisher(&folder, &publisher_at);
        let relays_at = [first, second];
        let mut plane = ControlPlane { folder, publisher_at, relays_at, publisher, relays: Vec::new() };
        plane.start_relays();
        wait_until("the publisher answers", || plane.ask(&["status"]).status.success());
        plane
    }

    fn publisher(folder: &std::path::Path, at: &str) -> Process {
        let path = |name: &str| folder.join(name).to_str().unwrap().to_string();
        let (control, log) = (path("control"), path("log"));
        Process::start(&["config", "serve", "--listen", at, "--control", &control, "--log-file", &log])
    }

    fn start_relays(&mut self) {
        let named = ["east-1", "east-2"].iter().zip(&self.relays_at);
        let start = |(name, at): (&&str, &String)| {
            let publisher = self.publisher_at.as_str();
            let words = ["config", "relay", "--name", name, "--region", "east", "--listen", at];
            Process::start(&[&words[..], &["--publisher", publisher]].concat())
        };
        self.relays = named.map(start).collect();
    }

    fn ask(&self, words: &[&str]) -> Output {
        let control = self.folder.join("control");
        let (command, more) = words.split_first().unwrap();
        let all = [&["config", command, "--control", control.to_str().unwrap()], more].concat();
        program(&all).output().unwrap()
    }

    /// Asks for something with a file of changes, and gives what was said and whether it was done.
    fn with_changes(&self, command: &str, changes: &str) -> (String, bool) {
        let path = file(changes);
        let output = self.ask(&[command, path.to_str().unwrap()]);
        let _ = std::fs::remove_file(&path);
        let said = if output.status.success() { &output.stdout } else { &output.stderr };
        (String::from_utf8_lossy(said).into_owned(), output.status.success())
    }

    fn publish(&self, changes: &str) -> String {
        let (said, is_done) = self.with_changes("publish", changes);
        assert!(is_done, "{said}");
        said
    }

    fn status(&self) -> String {
        String::from_utf8(self.ask(&["status"]).stdout).unwrap()
    }

    /// The lines by which a node follows this control plane.
    fn directives(&self, more: &str) -> String {
        let [first, second] = &self.relays_at;
        format!("config relay {first}\nconfig relay {second}\nconfig region east\nconfig scope shop\n{more}")
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        self.publisher.kill();
        self.relays.iter_mut().for_each(Process::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

const FRONT: &str = "
ajp listen AJP
ajp allow 127.0.0.0/8
ajp memory 20.5
ajp header tenant X-Tenant
ajp route POST /sync sync
";

fn up(directives: &str) -> (Stand, Peer) {
    let (stand, executor, _) = Stand::up_with(|_| (), &format!("{FRONT}{directives}"));
    (stand, executor)
}

fn connect(stand: &Stand) -> Ajp {
    Ajp::connect(stand.ajp.parse().unwrap(), PATIENCE).unwrap()
}

fn request<'a>(method: &'a str, uri: &'a str, number: u64) -> Call<'a> {
    Call { method, uri, headers: vec![("x-request-id", req(number))], secret: None, body: b"" }
}

/// Whether a path is routed for GET: another HTTP method is then turned down as such, and reaches no executor.
fn is_routed(stand: &Stand, uri: &str) -> bool {
    let answer = connect(stand).call(&request("PATCH", uri, 1)).unwrap();
    assert!(matches!(answer.status, 404 | 405), "{answer:?}");
    answer.status == 405
}

#[test]
fn published_routes_come_and_go_while_rpcs_run() {
    let plane = ControlPlane::start();
    let (stand, mut executor) = up(&plane.directives(""));
    assert!(!is_routed(&stand, "/look"));
    assert_eq!(plane.publish("route shop GET /look look\n"), "published 1 changes as 1.1\n");
    wait_until("the route", || is_routed(&stand, "/look"));
    // One of another scope is not this node's.
    plane.publish("route till GET /till look\nroute shop GET /last look\n");
    wait_until("the second batch", || is_routed(&stand, "/last"));
    assert!(!is_routed(&stand, "/till"));
    // Its route goes while an RPC runs: the RPC ends well.
    let mut peer = connect(&stand);
    peer.send(&request("GET", "/look", 7).whole()).unwrap();
    executor.hear_of(r#""uid":"0000000000000007""#);
    plane.publish("delete route shop GET /look\n");
    wait_until("the route is gone", || !is_routed(&stand, "/look"));
    executor.say(&exit(1, 7, "complete"));
    let answer = peer.answer().unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "RES"));
    assert_eq!(peer.call(&request("GET", "/look", 8)).unwrap().status, 404);
    wait_until("the region is told of", || plane.status().contains("east: 1 nodes at 1.3\n"));
}

#[test]
fn what_a_node_rejects_is_seen_and_what_is_unsound_is_refused_whole() {
    let plane = ControlPlane::start();
    let (stand, _executor) = up(&plane.directives(""));
    plane.publish("route shop GET /good look\n");
    wait_until("the route", || is_routed(&stand, "/good"));
    // Unsound anywhere: nothing of it is published.
    let (said, is_done) = plane.with_changes("publish", "route shop GET /a look\nroute shop get /b look\n");
    assert!(!is_done && said.contains(":2: get is no HTTP method"), "{said}");
    // Sound, but not for this node.
    plane.publish("route shop GET /more look\nroute shop GET /bad nothing\n");
    wait_until("the rejection", || {
        plane.status().contains("rejected: 1.2 by n3: route shop GET /bad: nothing is no method here")
    });
    assert!(plane.status().contains("east: 1 nodes, 1 behind, the farthest at 1.1\n"), "{}", plane.status());
    assert!(is_routed(&stand, "/good") && !is_routed(&stand, "/more") && !is_routed(&stand, "/bad"));
    // The next batch heals it.
    plane.publish("route shop GET /bad look\n");
    wait_until("both routes", || is_routed(&stand, "/bad") && is_routed(&stand, "/more"));
    wait_until("the rejection is over", || {
        let status = plane.status();
        status.contains("east: 1 nodes at 1.3\n") && !status.contains("rejected")
    });
}

#[test]
fn a_diff_says_what_would_change_and_a_rollback_undoes_it() {
    let plane = ControlPlane::start();
    let (stand, _executor) = up(&plane.directives(""));
    plane.publish("quota acme 5\nroute shop GET /a look\n");
    let (said, _) = plane.with_changes("diff", "quota acme 7\nroute shop GET /a look\ndelete quota other\n");
    assert_eq!(said, "against 1.1:\nquota acme: 5 a second becomes 7 a second\n");
    plane.publish("quota acme 7\ndelete route shop GET /a\n");
    let output = plane.ask(&["rollback", "--to", "1.1"]);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "published as 1.3\n");
    let (said, _) = plane.with_changes("diff", "quota acme 5\nroute shop GET /a look\n");
    assert_eq!(said, "against 1.3:\n");
    wait_until("the route is back", || is_routed(&stand, "/a"));
    // Whoever took the state to be another one is refused.
    let path = file("quota acme 9\n");
    let output = plane.ask(&["publish", "--expect", "1.2", path.to_str().unwrap()]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).starts_with("refused: "));
}

#[test]
fn a_publisher_killed_and_started_again_goes_on_with_what_it_acknowledged() {
    let mut plane = ControlPlane::start();
    let (stand, _executor) = up(&plane.directives(""));
    plane.publish("route shop GET /a look\n");
    plane.publisher.kill();
    plane.publisher = ControlPlane::publisher(&plane.folder, &plane.publisher_at);
    wait_until("the publisher answers", || plane.status().starts_with("published: 1.1, 1 resources"));
    assert_eq!(plane.publish("route shop GET /b look\n"), "published 1 changes as 1.2\n");
    wait_until("both routes", || is_routed(&stand, "/a") && is_routed(&stand, "/b"));
}

#[test]
fn a_relay_that_is_killed_or_stopped_costs_no_change() {
    let mut plane = ControlPlane::start();
    let (stand, _executor) = up(&plane.directives(""));
    plane.publish("route shop GET /a look\n");
    wait_until("the first route", || is_routed(&stand, "/a"));
    // Whichever relay serves: the first is killed, then comes back and the second is stopped.
    plane.relays[0].kill();
    plane.publish("route shop GET /b look\n");
    wait_until("the second route", || is_routed(&stand, "/b"));
    let relays = plane.relays_at.clone();
    plane.relays[0] = Process::start(&[
        "config",
        "relay",
        "--name",
        "east-1",
        "--region",
        "east",
        "--listen",
        &relays[0],
        "--publisher",
        &plane.publisher_at,
    ]);
    wait_until("the relay is back", || plane.status().contains("relays: 2 nodes at 1.2\n"));
    let stopped = plane.relays[1].0.id().to_string();
    assert!(std::process::Command::new("kill").args(["-STOP", &stopped]).status().unwrap().success());
    plane.publish("route shop GET /c look\n");
    wait_until("the third route", || is_routed(&stand, "/c"));
}

#[test]
fn without_any_relay_a_node_serves_on_also_after_a_restart_and_then_catches_up() {
    let mut plane = ControlPlane::start();
    let state = plane.folder.join("state");
    let (stand, _executor) = up(&plane.directives(&format!("config snapshot {}\n", state.display())));
    plane.publish("route shop GET /a look\n");
    wait_until("the first route", || is_routed(&stand, "/a"));
    plane.publish("delete route shop GET /a\nroute shop GET /b look\n");
    wait_until("the second route", || is_routed(&stand, "/b"));
    plane.relays.clear();
    let stand = stand.again();
    stand.executor().say(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
    stand.caller().wait_healthy();
    assert!(is_routed(&stand, "/b") && !is_routed(&stand, "/a"));
    plane.publish("route shop GET /c look\n");
    plane.start_relays();
    wait_until("the third route", || is_routed(&stand, "/c"));
    assert!(is_routed(&stand, "/b"));
}

#[test]
fn a_successor_goes_on_with_what_its_predecessor_had_in_force() {
    let plane = ControlPlane::start();
    let path = |name: &str| plane.folder.join(name).to_str().unwrap().to_string();
    let (state, control) = (path("state"), path("upgrade"));
    let (stand, mut executor) =
        up(&plane.directives(&format!("config snapshot {state}\nupgrade control {control}\n")));
    std::thread::spawn(move || executor.hear_out());
    plane.publish("route shop GET /a look\n");
    wait_until("the first route", || is_routed(&stand, "/a"));
    let words = ["upgrade", "--control", &control, "--program", env!("CARGO_BIN_EXE_ochrewalk")];
    let output = program(&words).output().unwrap();
    assert_eq!(String::from_utf8_lossy(&output.stdout), "handed over\n", "{output:?}");
    assert!(is_routed(&stand, "/a"));
    plane.publish("route shop GET /b look\n");
    wait_until("the second route", || is_routed(&stand, "/b"));
    assert!(is_routed(&stand, "/a"));
}

#[test]
fn a_file_that_changes_while_updates_come_leaves_both_in_force() {
    let plane = ControlPlane::start();
    let (stand, _executor) = up(&plane.directives(""));
    for round in 0..10 {
        let own = format!("{FRONT}ajp route GET /file{round} look\n{}", plane.directives(""));
        std::fs::write(&stand.operators, own.replace("AJP", &stand.ajp)).unwrap();
        stand.signal("-HUP");
        plane.publish(&format!("route shop GET /plane{round} look\n"));
        wait_until("both", || {
            is_routed(&stand, &format!("/file{round}")) && is_routed(&stand, &format!("/plane{round}"))
        });
    }
    assert!((0..10).all(|round| is_routed(&stand, &format!("/plane{round}"))));
    assert!(!is_routed(&stand, "/file8"));
}

/// A stand-in for a relay, for one node.
struct RelayStandIn {
    stream: TcpStream,
    decoder: FrameDecoder,
}

impl RelayStandIn {
    fn say(&mut self, body: Body) {
        let mut bytes = Vec::new();
        encode(body, &mut bytes);
        self.stream.write_all(&bytes).unwrap();
    }

    fn hear(&mut self) -> Body {
        let mut chunk = [0; 4096];
        loop {
            if let Some(body) = self.decoder.next_message().unwrap() {
                return body;
            }
            let count = self.stream.read(&mut chunk).unwrap();
            assert!(count > 0, "the node has gone");
            self.decoder.push(&chunk[..count]);
        }
    }

    fn hear_subscribe(&mut self) -> Subscribe {
        match self.hear() {
            Body::Subscribe(subscribe) => subscribe,
            other => panic!("{other:?}"),
        }
    }

    /// Hears the next watch, in heartbeats meanwhile.
    fn hear_watch(&mut self) -> Watch {
        loop {
            match self.hear() {
                Body::Watch(watch) => return watch,
                Body::Report(_) => {}
                other => panic!("{other:?}"),
            }
        }
    }
}

#[test]
fn a_tenants_quota_is_fetched_on_first_use_and_known_after_a_restart() {
    let first = listener();
    let second = listener();
    let at = |listener: &TcpListener| listener.local_addr().unwrap();
    let relays: [SocketAddr; 2] = [at(&first), at(&second)];
    let state = file("").with_extension("state");
    let directives = format!(
        "config relay {}\nconfig relay {}\nconfig region east\nconfig snapshot {}\n",
        relays[0],
        relays[1],
        state.display()
    );
    let (stand, mut executor) = up(&directives);
    let mut relay = accept_from_either(&first, &second);
    assert_eq!(relay.hear_subscribe().applied, None);
    let position = Position { epoch: 1, revision: 4 };
    relay.say(Body::Update(Update { position, is_snapshot: true, is_last: true, ..Update::default() }));
    assert!(matches!(relay.hear(), Body::Report(report) if report.applied == position));
    // A tenant that was never heard of counts as within its quota, and is asked for.
    let mut peer = connect(&stand);
    let headers = vec![("x-request-id", req(1)), ("x-tenant", "acme".to_string())];
    peer.send(&Call { method: "POST", uri: "/sync", headers, secret: None, body: b"ABC" }.whole()).unwrap();
    executor.hear_of(&exec(1, "sync"));
    assert_eq!(relay.hear_watch().add, [quota_name("acme")]);
    let quota = ochrewalk_operators::resources::read_changes("quota acme 5\n", "changes").unwrap().remove(0);
    let resource = ochrewalk_distribution::messages::Resource { revision: 2, ..quota };
    let mut update = Update {
        position,
        base: Some(position),
        resources: vec![resource.clone()],
        // It answers the one watch of this stream.
        watches: 1,
        is_last: true,
        ..Update::default()
    };
    update.checksum = crc32fast::hash(&prost::Message::encode_to_vec(&resource));
    relay.say(Body::Update(update));
    assert!(matches!(relay.hear(), Body::Report(report) if report.applied == position));
    relay.say(Body::Heartbeat(Heartbeat { position, age_ms: 0 }));
    drop(relay);
    let stand = stand.again();
    let mut relay = accept_from_either(&first, &second);
    let mut subscribe = relay.hear_subscribe();
    // The process that was killed may have come back to the other relay before: that one names nothing it kept.
    if subscribe.applied.is_none() {
        relay = accept_from_either(&first, &second);
        subscribe = relay.hear_subscribe();
    }
    assert_eq!((subscribe.applied, subscribe.names), (Some(position), vec![quota_name("acme")]));
    drop(stand);
    let _ = std::fs::remove_file(state);
}

/// The node connects to one of both.
fn accept_from_either(first: &TcpListener, second: &TcpListener) -> RelayStandIn {
    first.set_nonblocking(true).unwrap();
    second.set_nonblocking(true).unwrap();
    for _ in 0..LOOKS {
        for listener in [first, second] {
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                return RelayStandIn { stream, decoder: FrameDecoder::new(1024 * 1024) };
            }
        }
        std::thread::sleep(BETWEEN_LOOKS);
    }
    panic!("the node connects to no relay");
}
