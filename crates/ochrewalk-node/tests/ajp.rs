//! Tests the node's program on loopback with AJP at its ingress and towards its upstream, against stand-ins that do whatever a
//! peer may do.

mod helper;

use helper::*;
use ochrewalk_ajp::request::Message;
use ochrewalk_lab::ajp::{piece, plain, Answer, Call, Peer as Ajp};
use ochrewalk_lab::dependency::{CallAction, Dependency};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const READ_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

const INGRESS_DIRECTIVES: &str = "
ajp listen AJP
ajp allow 127.0.0.0/8
ajp deny 127.9.0.0/16
ajp memory 20.5
ajp secret peach
ajp health /health
ajp header token X-Sale
ajp route GET /look look
ajp route POST /sync sync
ajp route POST /sale sale
ajp route POST /once once
";

/// Starts a node with an AJP ingress and these further directives, and waits until the node is healthy.
fn start(change: impl FnOnce(&mut Value), directives: &str) -> (TestNode, Peer) {
    let node = TestNode::start_with_operators(change, &format!("{INGRESS_DIRECTIVES}{directives}"));
    let mut executor = node.executor();
    executor.send_line(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
    node.caller().wait_healthy();
    (node, executor)
}

/// Starts a node whose upstream is a dependency with a host name, which answers calls as the script says.
fn start_with_shared_dependency(
    script: impl Fn(&ochrewalk_lab::dependency::ReceivedCall) -> CallAction + Send + Sync + 'static,
) -> (TestNode, Peer, Dependency) {
    let dependency = Dependency::start("127.0.0.21:0".parse().unwrap(), IDLE_TIMEOUT, script).unwrap();
    let directives = format!(
        "host ledger.example.org 127.0.0.21\nbelow ajp ledger.example.org:{}\nbelow uri /ledger\nbelow secret pear\n\
         below reply 200ms\nbelow pause 50ms 100ms\nbelow leave-out 1000\n",
        dependency.at.port()
    );
    let (node, executor) = start(|_| (), &directives);
    (node, executor, dependency)
}

fn connect(node: &TestNode) -> Ajp {
    Ajp::connect(node.ajp.parse().unwrap(), READ_TIMEOUT).unwrap()
}

fn call<'a>(method: &'a str, uri: &'a str, number: u64, token: &str) -> Call<'a> {
    let mut headers = vec![("x-request-id", req(number))];
    if !token.is_empty() {
        headers.push(("x-sale", token.to_string()));
    }
    Call { method, uri, headers, secret: Some("peach"), body: b"ABC" }
}

fn look(number: u64) -> Call<'static> {
    call("GET", "/look", number, "")
}

fn is_served(answer: &Answer) -> bool {
    (answer.status, answer.text().as_str()) == (200, "RES")
}

/// Asserts that the node still serves both protocols.
fn assert_serves(node: &TestNode, executor: &mut Peer, number: u64, pos: u64) {
    let mut peer = connect(node);
    peer.send(&look(number).whole()).unwrap();
    executor.read_until(&exec(number, "look"));
    executor.send_line(&exit(pos, number, "complete"));
    assert!(is_served(&peer.answer().unwrap()));
    node.caller().wait_healthy();
}

#[test]
fn calls_are_answered_with_the_bytes_of_their_runs() {
    let node = TestNode::start_with_operators(|_| (), INGRESS_DIRECTIVES);
    let mut executor = node.executor();
    node.caller();
    let mut peer = connect(&node);
    // Before the executor is up each call is rejected, with a header which states that it never ran.
    let early = peer.call(&look(1)).unwrap();
    assert_eq!((early.status, early.header("x-ochrewalk-never-ran"), early.reuse), (503, Some("1"), true));
    let health = Call { method: "GET", uri: "/health", secret: Some("peach"), ..Call::default() };
    assert_eq!(peer.call(&health).unwrap().status, 503);
    executor.send_line(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
    node.caller().wait_healthy();
    assert_eq!(peer.call(&health).unwrap().text(), "takes work");
    // One connection carries several calls, each with its own result, and a ping after each.
    for number in 2..5 {
        peer.send(&look(number).whole()).unwrap();
        assert_eq!(executor.read_until("EXEC"), exec(number, "look"));
        executor.send_line(&exit(number, number, "complete"));
        let answer = peer.answer().unwrap();
        assert!(is_served(&answer) && answer.reuse, "{answer:?}");
        assert_eq!(answer.header("x-ochrewalk-signal"), Some("1"));
        peer.send(&plain(&Message::CPing)).unwrap();
        assert!(peer.message(|m| matches!(m, ochrewalk_ajp::reply::Message::CPong)).unwrap());
    }
    // A body is sent in pieces without a stated length, and the node assigns the id.
    let mut chunked = call("POST", "/sync", 0, "");
    chunked.headers = vec![("transfer-encoding", "chunked".into())];
    peer.send(&chunked.head()).unwrap();
    for part in [&b"AB"[..], b"C", b""] {
        assert!(peer.message(|m| matches!(m, ochrewalk_ajp::reply::Message::GetBodyChunk(_))).unwrap());
        peer.send(&piece(part)).unwrap();
    }
    let line: Value = serde_json::from_str(&executor.read_until("EXEC")).unwrap();
    assert_eq!((line["lane"].as_str(), line["content"].as_str()), (Some("sync"), Some("QUJD")));
    let uid = line["uid"].as_str().unwrap();
    assert_eq!(uid.len(), 16);
    executor.send_line(&format!(r#"{{"action":"EXIT","pos":9,"uid":"{uid}","code":"error","wall_ms":1}}"#));
    assert_eq!(peer.answer().unwrap().status, 500);
    // A call whose run never began is rejected.
    peer.send(&look(10).whole()).unwrap();
    executor.read_until(&exec(10, "look"));
    executor.send_line(&exit(10, 10, "unknown"));
    let answer = peer.answer().unwrap();
    assert_eq!((answer.status, answer.header("x-ochrewalk-never-ran")), (503, Some("1")));
    // A call that cannot be finished in its remaining time is rejected, with a time after which to retry.
    let mut urgent: Vec<Ajp> = (0..12).map(|_| connect(&node)).collect();
    for (index, peer) in urgent.iter_mut().enumerate() {
        let mut call = look(100 + index as u64);
        call.headers.push(("x-time-left-ms", "300".into()));
        peer.send(&call.whole()).unwrap();
    }
    std::thread::spawn(move || executor.read_to_end());
    let answers: Vec<Answer> = urgent.iter_mut().map(|peer| peer.answer().unwrap()).collect();
    let rejected = answers.iter().filter(|a| a.status == 503).count();
    assert!(rejected >= 8, "two cores can run only two of them: {rejected}");
    assert!(answers.iter().all(|a| a.status == 503 || a.status == 500));
}

#[test]
fn requests_with_one_idempotency_key_over_both_protocols_run_once() {
    let (node, mut executor) = start(|_| (), "");
    let sale = |number: u64, key: &str| rpc_with(number, "sale", unix_ms(), &format!(r#","opkey":"{key}""#));
    let json_served =
        |number: u64| format!(r#"{{"jsonrpc":"2.0","id":{number},"result":{{"body":"UkVT","signal":1}}}}"#);
    let (mut json, mut by_ajp) = (node.caller(), connect(&node));
    let mut pos = 0;
    let mut finish = |executor: &mut Peer, number: u64, code: &str| {
        pos += 1;
        executor.send_line(&exit(pos, number, code));
    };
    // The repeat arrives while the first request runs, and after it; first with AJP for the first request, then with JSON-RPC.
    by_ajp.send(&call("POST", "/sale", 1, "aa").whole()).unwrap();
    assert_eq!(executor.read_until("EXEC"), exec(1, "sale"));
    json.send_line(&sale(2, "aa"));
    assert!(json.request(r#"{"jsonrpc":"2.0","id":99,"method":"heartbeat"}"#).contains("pass"));
    finish(&mut executor, 1, "complete");
    assert!(is_served(&by_ajp.answer().unwrap()));
    assert_eq!(json.read_line(), json_served(2));
    assert_eq!(json.request(&sale(3, "aa")), json_served(3));
    json.send_line(&sale(4, "bb"));
    assert_eq!(executor.read_until("EXEC"), exec(4, "sale"));
    by_ajp.send(&call("POST", "/sale", 5, "bb").whole()).unwrap();
    let mut other = connect(&node);
    assert_eq!(
        other
            .call(&Call { method: "GET", uri: "/health", secret: Some("peach"), ..Call::default() })
            .unwrap()
            .status,
        200
    );
    finish(&mut executor, 4, "complete");
    assert_eq!(json.read_line(), json_served(4));
    assert!(is_served(&by_ajp.answer().unwrap()));
    assert!(is_served(&by_ajp.call(&call("POST", "/sale", 6, "bb")).unwrap()));
    // Both cores are busy: the request is queued, and its repeat over the other protocol waits with it.
    let mut busy = node.caller();
    for number in [7, 8] {
        busy.send_line(&rpc(number, "look"));
        executor.read_until(&exec(number, "look"));
    }
    by_ajp.send(&call("POST", "/sale", 9, "cc").whole()).unwrap();
    assert_eq!(
        other
            .call(&Call { method: "GET", uri: "/health", secret: Some("peach"), ..Call::default() })
            .unwrap()
            .status,
        200
    );
    json.send_line(&sale(10, "cc"));
    assert!(json.request(r#"{"jsonrpc":"2.0","id":98,"method":"heartbeat"}"#).contains("pass"));
    finish(&mut executor, 7, "complete");
    assert_eq!(executor.read_until("EXEC"), exec(9, "sale"));
    finish(&mut executor, 8, "complete");
    finish(&mut executor, 9, "complete");
    assert!(is_served(&by_ajp.answer().unwrap()));
    assert_eq!(json.read_line(), json_served(10));
    // A request with the same key and another body gets neither the result nor a run.
    let mut other_body = call("POST", "/sale", 11, "cc");
    other_body.body = b"ABD";
    let answer = by_ajp.call(&other_body).unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (409, "a token that stands for other work"));
    // A request whose id is in use by a request of the other protocol is rejected.
    busy.send_line(&rpc(12, "look"));
    executor.read_until(&exec(12, "look"));
    assert_eq!(by_ajp.call(&look(12)).unwrap().status, 409);
    assert_eq!(by_ajp.call(&call("POST", "/sale", 13, "")).unwrap().text(), "no token");
}

#[test]
fn a_peer_that_disconnects_loses_only_its_own_call() {
    let (node, mut executor) = start(|_| (), "");
    // Within the body: the executor has not received the request.
    let mut peer = connect(&node);
    let mut long = call("POST", "/once", 1, "");
    long.headers.push(("content-length", "6".into()));
    peer.send(&long.whole()).unwrap();
    assert!(peer.message(|m| matches!(m, ochrewalk_ajp::reply::Message::GetBodyChunk(_))).unwrap());
    peer.end();
    // Within the head.
    let mut peer = connect(&node);
    peer.send(&look(2).whole()[..20]).unwrap();
    drop(peer);
    // Between the last byte of the request and the answer: no caller waits for the run.
    let mut peer = connect(&node);
    peer.send(&call("POST", "/once", 3, "").whole()).unwrap();
    assert_eq!(executor.read_until("EXEC"), exec(3, "once"), "another request was started before it");
    drop(peer);
    executor.read_until(&format!(r#"{{"action":"KILL","uid":"{}"}}"#, req(3)));
    executor.send_line(&exit(1, 3, "cancelled"));
    // While half of the answer is unread.
    let mut peer = connect(&node);
    peer.send(&look(4).whole()).unwrap();
    executor.read_until(&exec(4, "look"));
    let result = "A".repeat(4_000);
    executor.send_line(&format!(
        r#"{{"action":"EXIT","pos":2,"uid":"{}","code":"complete","wall_ms":1,"content":"{result}"}}"#,
        req(4)
    ));
    assert!(peer.message(|m| matches!(m, ochrewalk_ajp::reply::Message::SendHeaders(_))).unwrap());
    drop(peer);
    assert_serves(&node, &mut executor, 5, 3);
    // The run of a request with an idempotency key continues after its caller has disconnected, and its repeat gets the result.
    let mut peer = connect(&node);
    peer.send(&call("POST", "/sale", 6, "zz").whole()).unwrap();
    executor.read_until(&exec(6, "sale"));
    drop(peer);
    let mut peer = connect(&node);
    peer.send(&call("POST", "/sale", 7, "zz").whole()).unwrap();
    node.caller().wait_healthy();
    executor.send_line(&exit(4, 6, "complete"));
    assert!(is_served(&peer.answer().unwrap()));
}

#[test]
fn each_fault_gets_one_answer_and_affects_its_own_connection_only() {
    let (node, mut executor) = start(|_| (), "");
    let stated = |length: &str, body: &'static [u8]| {
        let mut call = call("POST", "/once", 1, "");
        call.headers.push(("content-length", length.into()));
        call.body = body;
        call
    };
    let with = |name: &'static str, value: &str| {
        let mut call = look(1);
        call.headers.retain(|(n, _)| *n != name);
        call.headers.push((name, value.into()));
        call
    };
    let get = |uri| Call { uri, body: b"", ..look(1) };
    for (case, bytes, status, text) in [
        ("no route", get("/none").whole(), 404, "no such route"),
        (
            "other method",
            Call { method: "PUT", ..get("/look") }.whole(),
            405,
            "this path is there for other methods only",
        ),
        ("dots", get("/a/../look").whole(), 400, "a path has no '.' or '..' segments"),
        ("an id", with("x-request-id", "7").whole(), 400, "the id is not 16 hex digits"),
        ("memory", with("x-memory-kb", "1e9").whole(), 400, "the memory is missing or out of range"),
        ("secret", Call { secret: Some("pears"), ..look(1) }.whole(), 403, "the secret is missing or wrong"),
        ("no secret", Call { secret: None, ..look(1) }.whole(), 403, "the secret is missing or wrong"),
        ("large", stated("2049", b"ABC").whole(), 413, "the body is larger than any may be"),
        ("huge", stated("99999999999999999999", b"ABC").whole(), 413, "the body is larger than any may be"),
        ("negative", stated("-1", b"ABC").whole(), 400, "the body's length can't be right"),
        ("longer", stated("2", b"ABC").whole(), 400, "the body is longer than its stated length"),
        (
            "shorter",
            [stated("4", b"ABC").whole(), piece(b"")].concat(),
            400,
            "the body ends before its stated length",
        ),
        ("shutdown", plain(&Message::Shutdown), 403, "nobody ends this server by a message"),
        ("login", plain(&Message::Login), 403, "nobody logs on here"),
    ] {
        let mut peer = connect(&node);
        peer.send(&bytes).unwrap();
        let answer = peer.answer().unwrap();
        assert_eq!((answer.status, answer.text().as_str()), (status, text), "{case}");
        if answer.reuse {
            // The connection stays usable.
            assert_eq!(peer.call(&get("/none")).unwrap().status, 404, "{case}");
        } else {
            assert!(peer.is_ended(), "{case}");
        }
    }
    assert_eq!(
        connect(&node).call(&Call { method: "PUT", ..get("/look") }).unwrap().header("allow"),
        Some("GET")
    );
    // Bytes that are not AJP close their connection at once, without an answer.
    for (case, bytes) in [
        ("another protocol", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("the magic bytes of a response", b"AB\0\x01\x09".to_vec()),
        ("oversize", vec![0x12, 0x34, 0xff, 0xff]),
        ("an unknown message", vec![0x12, 0x34, 0, 1, 99]),
        ("an unknown method", vec![0x12, 0x34, 0, 2, 2, 28]),
        ("a body piece without a request", piece(b"ABC")),
    ] {
        let mut peer = connect(&node);
        peer.send(&bytes).unwrap();
        assert!(peer.is_ended(), "{case}");
    }
    // A peer that sends a request out of turn gets its outstanding answer, and then the connection is closed.
    let mut peer = connect(&node);
    peer.send(&[look(5).whole(), look(6).whole()].concat()).unwrap();
    assert_eq!(executor.read_until("EXEC"), exec(5, "look"));
    executor.send_line(&exit(1, 5, "complete"));
    let answer = peer.answer().unwrap();
    assert!(is_served(&answer) && !answer.reuse && peer.is_ended());
    // A connection is closed after eight faults.
    let mut peer = connect(&node);
    let answers: Vec<bool> = (0..8).map(|_| peer.call(&get("/none")).unwrap().reuse).collect();
    assert_eq!(answers, [true, true, true, true, true, true, true, false]);
    assert!(peer.is_ended());
    // A peer whose address is denied is disconnected.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.9.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.connect(&node.ajp.parse::<SocketAddr>().unwrap().into()).unwrap();
    let mut denied = Ajp::from_stream(TcpStream::from(socket), READ_TIMEOUT).unwrap();
    let _ = denied.send(&look(7).whole());
    assert!(denied.is_ended());
    assert_serves(&node, &mut executor, 8, 2);
}

#[test]
fn silent_and_slow_peers_are_answered_or_disconnected_on_time() {
    let (node, mut executor) = start(|_| (), "ajp idle 1s\n");
    let start_time = Instant::now();
    let mut silent = connect(&node);
    let mut half = connect(&node);
    half.send(&look(1).whole()[..9]).unwrap();
    let mut no_body = connect(&node);
    no_body.send(&call("POST", "/once", 2, "").head()).unwrap();
    let mut chunked = call("POST", "/once", 3, "");
    chunked.headers.push(("transfer-encoding", "chunked".into()));
    let mut no_piece = connect(&node);
    no_piece.send(&chunked.head()).unwrap();
    let mut idle = connect(&node);
    idle.send(&plain(&Message::CPing)).unwrap();
    idle.message(|_| ()).unwrap();
    // The slow peer sends one byte every 300 ms: each byte arrives in time, the packet does not.
    let mut slow = connect(&node);
    let bytes = look(4).whole();
    let slow_writer = std::thread::spawn(move || {
        for byte in &bytes {
            std::thread::sleep(Duration::from_millis(300));
            if slow.send(&[*byte]).is_err() {
                return true;
            }
        }
        false
    });
    assert!(idle.is_ended());
    assert!(half.is_ended());
    for peer in [&mut no_body, &mut no_piece] {
        let answer = peer.answer().unwrap();
        assert_eq!((answer.status, answer.reuse), (408, false));
    }
    assert!(slow_writer.join().unwrap(), "the slow connection was not closed");
    assert!(silent.is_ended());
    assert!(start_time.elapsed() < Duration::from_secs(9));
    assert_serves(&node, &mut executor, 5, 1);
}

#[test]
fn a_draining_node_answers_both_protocols_and_closes_each_connection() {
    let (mut node, mut executor) = start(|_| (), "");
    let (mut running, mut idle, mut json) = (connect(&node), connect(&node), node.caller());
    running.send(&look(1).whole()).unwrap();
    executor.read_until(&exec(1, "look"));
    json.send_line(&rpc(2, "look"));
    executor.read_until(&exec(2, "look"));
    idle.send(&plain(&Message::CPing)).unwrap();
    idle.message(|_| ()).unwrap();
    let mut half = connect(&node);
    let late = look(3).whole();
    half.send(&late[..12]).unwrap();
    node.terminate();
    json.read_until("noMore");
    // A request that began before the drain, and one that arrives after it, is answered as the last one of its connection.
    half.send(&late[12..]).unwrap();
    let answer = half.answer().unwrap();
    assert_eq!(
        (answer.status, answer.header("x-ochrewalk-never-ran"), answer.reuse),
        (503, Some("1"), false)
    );
    assert!(half.is_ended());
    executor.send_line(&exit(1, 1, "complete"));
    executor.send_line(&exit(2, 2, "complete"));
    let answer = running.answer().unwrap();
    assert!(is_served(&answer) && !answer.reuse);
    assert!(json.read_until(r#""id":2"#).contains("UkVT"));
    assert!(idle.is_ended());
    std::thread::spawn(move || executor.read_to_end());
    assert!(node.wait().success());
}

#[test]
fn neither_protocol_can_exhaust_the_others_connections() {
    let (node, mut executor) = start(|config| config["limits"]["sockets"] = 96.into(), "ajp connections 8\n");
    std::thread::spawn(move || executor.read_to_end());
    // More AJP connections are opened than the node has capacity for. Half of the callers are silent and half have sent a ping;
    // all stay connected.
    let mut idle: Vec<Ajp> = (0..60).map(|_| connect(&node)).collect();
    idle.iter_mut().skip(30).for_each(|peer| peer.send(&plain(&Message::CPing)).unwrap());
    node.caller().wait_healthy();
    let mut newest = connect(&node);
    let health = Call { method: "GET", uri: "/health", secret: Some("peach"), ..Call::default() };
    assert_eq!(newest.call(&health).unwrap().status, 200);
    // JSON-RPC connections do not exhaust those of AJP, either.
    let mut json: Vec<Peer> = (0..80).map(|_| node.caller()).collect();
    json.iter_mut().for_each(|peer| drop(peer.stream.set_nodelay(true)));
    assert_eq!(connect(&node).call(&health).unwrap().status, 200);
    // Calls in flight keep their connections, however many others are opened.
    let mut in_flight: Vec<Ajp> = (0..4).map(|_| connect(&node)).collect();
    for (index, peer) in in_flight.iter_mut().enumerate() {
        let mut call = look(50 + index as u64);
        call.headers.push(("x-time-left-ms", "1500".into()));
        peer.send(&call.whole()).unwrap();
    }
    let mut more: Vec<Ajp> = (0..40).map(|_| connect(&node)).collect();
    assert_eq!(more.last_mut().unwrap().call(&health).unwrap().status, 200);
    for peer in &mut in_flight {
        assert!(matches!(peer.answer().unwrap().status, 500 | 503));
    }
}

#[test]
fn sighup_loads_new_routes_and_an_invalid_file_changes_nothing() {
    let (node, mut executor) = start(|_| (), "");
    let get = |uri: &'static str| Call { uri, body: b"", ..look(1) };
    let mut peer = connect(&node);
    assert_eq!(peer.call(&get("/new")).unwrap().status, 404);
    let write = |text: &str| std::fs::write(&node.operators, text.replace("AJP", &node.ajp)).unwrap();
    write("ajp listen AJP\najp route GET /new nothing\n");
    node.signal("-HUP");
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(peer.call(&get("/new")).unwrap().status, 404);
    write(&format!("{INGRESS_DIRECTIVES}ajp route GET /new look\n"));
    node.signal("-HUP");
    let is_loaded = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        peer.send(&get("/new/").whole()).unwrap();
        // With the new route in force, the executor gets the request.
        let mut is_routed = false;
        if let Ok(status) = peer.message(|m| match m {
            ochrewalk_ajp::reply::Message::SendHeaders(head) => head.status,
            _ => 0,
        }) {
            is_routed = status != 404;
            while !peer
                .message(|m| matches!(m, ochrewalk_ajp::reply::Message::EndResponse { .. }))
                .unwrap_or(true)
            {}
        }
        if !is_routed {
            peer = connect(&node);
        }
        executor.send_line(&exit(1, 1, "unknown"));
        is_routed
    });
    assert!(is_loaded);
}

/// Sends a call, waits until the node starts its run, and lets the run request an upstream call.
fn run_to_callout(peer: &mut Ajp, executor: &mut Peer, call: &Call, method: &str, number: u64, pos: u64) {
    peer.send(&call.whole()).unwrap();
    executor.read_until(&exec(number, method));
    executor.send_line(&callout(pos, number));
}

#[test]
fn each_upstream_outcome_returns_repeats_or_aborts_the_call() {
    // The dependency's next action; after that it answers successfully.
    let next_action: Arc<Mutex<Option<CallAction>>> = Arc::default();
    let script_action = next_action.clone();
    let (node, mut executor, dependency) = start_with_shared_dependency(move |_| {
        script_action.lock().unwrap().take().unwrap_or_else(|| CallAction::ok(b"A\r\n\x01B"))
    });
    let mut peer = connect(&node);
    let mut number = 0;
    let status =
        |status, never_ran| CallAction::Answer { status, never_ran, body: vec![], after: Duration::ZERO };
    let returned = |number| format!(r#"{{"action":"RETURN","uid":"{}","content":"#, req(number));
    for (action, method, outcome) in [
        (None, "look", "returned"),
        (None, "sale", "returned"),
        (Some(status(204, false)), "look", "returned"),
        // The call was rejected unseen: it is repeated, whatever the method.
        (Some(status(503, true)), "once", "returned"),
        // The call may have run: it is repeated if it is idempotent, and aborted otherwise.
        (Some(status(503, false)), "look", "returned"),
        (Some(status(503, false)), "sale", "aborted"),
        (Some(status(500, false)), "once", "aborted"),
        (Some(status(504, false)), "sale", "aborted"),
        (Some(CallAction::Truncate(0)), "look", "returned"),
        (Some(CallAction::Truncate(0)), "sale", "aborted"),
        (Some(CallAction::Truncate(7)), "look", "returned"),
        (Some(CallAction::Truncate(7)), "once", "aborted"),
        (Some(CallAction::HalfAnswer), "look", "returned"),
        (Some(CallAction::HalfAnswer), "sale", "aborted"),
        (Some(CallAction::ShortBody), "look", "returned"),
        (Some(CallAction::ShortBody), "once", "aborted"),
        // The first of two replies is accepted; the second belongs to no call and closes its connection.
        (Some(CallAction::AnswerTwice), "sale", "returned"),
        (None, "once", "returned"),
        (Some(CallAction::AnswerAndClose), "look", "returned"),
        // The call is read and dropped before it runs, which the node cannot distinguish from a lost reply.
        (Some(CallAction::Drop), "look", "returned"),
        (Some(CallAction::Drop), "once", "aborted"),
    ] {
        number += 1;
        let case = format!("{number}: {action:?} {method}");
        *next_action.lock().unwrap() = action;
        let call = match method {
            "look" => look(number),
            "sale" => call("POST", "/sale", number, &format!("k{number}")),
            _ => call("POST", "/once", number, ""),
        };
        run_to_callout(&mut peer, &mut executor, &call, method, number, 2 * number);
        if outcome == "returned" {
            executor.read_until(&returned(number));
            executor.send_line(&exit(2 * number + 1, number, "complete"));
            assert!(is_served(&peer.answer().unwrap()), "{case}");
        } else {
            assert_eq!(peer.answer().unwrap().status, 500, "{case}");
            executor.send_line(&exit(2 * number + 1, number, "cancelled"));
        }
    }
    // No call that must not happen twice ran twice, and each of them ran on a connection that was new or proven by a ping.
    let executed = dependency.ran();
    for call in &executed {
        let runs = executed.iter().filter(|other| other.id == call.id).count();
        let number = u64::from_str_radix(&call.id, 16).unwrap();
        let is_repeatable = [1, 3, 5, 9, 11, 13, 15, 19, 20].contains(&number);
        assert!(is_repeatable || runs == 1, "{number} ran {runs} times");
        assert!(is_repeatable || call.was_pinged || call.before == 0, "{call:?}");
        assert_eq!((call.body.as_slice(), call.secret.as_deref()), (&b"\x00\x01\x02"[..], Some("pear")));
    }
    assert!(dependency.pings() > 0 && dependency.connections() > 5);
}

#[test]
fn a_call_on_an_upstream_connection_that_was_closed_is_made_once() {
    // The dependency closes idle connections after 40 ms, just as the next call is about to be written.
    let dependency = Dependency::start("127.0.0.21:0".parse().unwrap(), Duration::from_millis(40), |_| {
        CallAction::ok(b"A")
    })
    .unwrap();
    let directives = format!("below ajp 127.0.0.21:{}\nbelow trust 1s\n", dependency.at.port());
    let (node, mut executor) = start(|_| (), &directives);
    let mut peer = connect(&node);
    for number in 1..30 {
        let sale = call("POST", "/sale", number, &format!("k{number}"));
        run_to_callout(&mut peer, &mut executor, &sale, "sale", number, 2 * number);
        executor.read_until("RETURN");
        executor.send_line(&exit(2 * number + 1, number, "complete"));
        assert!(is_served(&peer.answer().unwrap()), "{number}");
        std::thread::sleep(Duration::from_millis(37 + number % 7));
    }
    assert_eq!(dependency.ran().len(), 29);
}

#[test]
fn with_one_endpoint_unreachable_the_other_gets_all_calls() {
    let reachable =
        Dependency::start("127.0.0.22:0".parse().unwrap(), IDLE_TIMEOUT, |_| CallAction::ok(b"A")).unwrap();
    let unreachable = ochrewalk_lab::node::unused_address().unwrap();
    let directives = format!("below ajp {unreachable}\nbelow ajp {}\nbelow leave-out 2\n", reachable.at);
    let (node, mut executor) = start(|_| (), &directives);
    let mut peer = connect(&node);
    for number in 1..10 {
        run_to_callout(
            &mut peer,
            &mut executor,
            &call("POST", "/once", number, ""),
            "once",
            number,
            2 * number,
        );
        executor.read_until("RETURN");
        executor.send_line(&exit(2 * number + 1, number, "complete"));
        assert!(is_served(&peer.answer().unwrap()), "{number}");
    }
    assert_eq!(reachable.ran().len(), 9);
}

#[test]
fn both_files_are_checked_and_each_fault_is_reported_on_a_line() {
    let node = TestNode::start_with_operators(|_| (), INGRESS_DIRECTIVES);
    let config = file(&node.config().to_string());
    let check = |text: &str| {
        let operators = file(text);
        let arguments = ["check", config.to_str().unwrap(), "--operators", operators.to_str().unwrap()];
        let output = program(&arguments).output().unwrap();
        let lines = [output.stdout, output.stderr].concat();
        std::fs::remove_file(&operators).unwrap();
        (output.status.success(), String::from_utf8(lines).unwrap())
    };
    let (is_valid, output) = check(&INGRESS_DIRECTIVES.replace("AJP", "127.0.0.1:8009"));
    assert!(is_valid && output.contains("AJP on 127.0.0.1:8009, 0 places below"), "{output}");
    let (is_valid, output) = check("ajp listen 127.0.0.1\najp idle 3\najp route GET /sale sale\n");
    assert!(!is_valid && output.lines().count() == 3, "{output}");
    for (line, text) in [(1, "has no port"), (2, "has no unit"), (3, "may not happen twice")] {
        assert!(output.lines().nth(line - 1).unwrap().contains(&format!(":{line}: ")), "{output}");
        assert!(output.lines().nth(line - 1).unwrap().contains(text), "{output}");
    }
    let (is_valid, output) = check(
        &INGRESS_DIRECTIVES.replace("AJP", "127.0.0.1:8009").replace("secret peach", "secret-file /none"),
    );
    assert!(!is_valid && output.contains("secret /none: "), "{output}");
    std::fs::remove_file(config).unwrap();
}

/// Guards against requests without an id that get, after an upgrade or a restart, the ids of earlier ones: the executor knows
/// those as over, and every such request was rejected.
#[test]
fn a_later_process_gives_other_ids_to_requests_without_one() {
    let first_ids = || {
        let (node, mut executor) = start(|_| (), "");
        let mut peer = connect(&node);
        peer.send(&Call { headers: Vec::new(), ..look(1) }.whole()).unwrap();
        executor.read_until("EXEC")
    };
    assert_ne!(first_ids(), first_ids());
}
