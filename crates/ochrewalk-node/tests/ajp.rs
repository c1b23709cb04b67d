//! The real program on loopback with AJP in front and below, against stand-ins that do all that peers may do.

mod helper;

use helper::*;
use ochrewalk_ajp::request::Message;
use ochrewalk_lab::ajp::{piece, plain, Answer, Call, Peer as Ajp};
use ochrewalk_lab::ledger::{Act, Ledger};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(10);
const IDLE: Duration = Duration::from_secs(30);

const FRONT: &str = "
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

/// A node with the front, its executor up.
fn up(change: impl FnOnce(&mut Value), more: &str) -> (Stand, Peer) {
    let stand = Stand::with_operators(change, &format!("{FRONT}{more}"));
    let mut executor = stand.executor();
    executor.say(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
    stand.caller().wait_healthy();
    (stand, executor)
}

/// The same with a ledger at a name of its own.
fn with_ledger(
    script: impl Fn(&ochrewalk_lab::ledger::Came) -> Act + Send + Sync + 'static,
) -> (Stand, Peer, Ledger) {
    let ledger = Ledger::start("127.0.0.21:0".parse().unwrap(), IDLE, script).unwrap();
    let more = format!(
        "host ledger.example.org 127.0.0.21\nbelow ajp ledger.example.org:{}\nbelow uri /ledger\nbelow secret pear\n\
         below reply 200ms\nbelow pause 50ms 100ms\nbelow leave-out 1000\n",
        ledger.at.port()
    );
    let (stand, executor) = up(|_| (), &more);
    (stand, executor, ledger)
}

fn ajp(stand: &Stand) -> Ajp {
    Ajp::connect(stand.ajp.parse().unwrap(), PATIENCE).unwrap()
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

/// Whether the node still serves both protocols.
fn serves(stand: &Stand, executor: &mut Peer, number: u64, pos: u64) {
    let mut peer = ajp(stand);
    peer.send(&look(number).whole()).unwrap();
    executor.hear_of(&exec(number, "look"));
    executor.say(&exit(pos, number, "complete"));
    assert!(is_served(&peer.answer().unwrap()));
    stand.caller().wait_healthy();
}

#[test]
fn calls_are_answered_with_the_bytes_of_their_runs() {
    let stand = Stand::with_operators(|_| (), FRONT);
    let mut executor = stand.executor();
    stand.caller();
    let mut peer = ajp(&stand);
    // Before the executor is up nothing is taken, and that is said.
    let early = peer.call(&look(1)).unwrap();
    assert_eq!((early.status, early.header("x-ochrewalk-never-ran"), early.reuse), (503, Some("1"), true));
    let health = Call { method: "GET", uri: "/health", secret: Some("peach"), ..Call::default() };
    assert_eq!(peer.call(&health).unwrap().status, 503);
    executor.say(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
    stand.caller().wait_healthy();
    assert_eq!(peer.call(&health).unwrap().text(), "takes work");
    // One connection, many calls, each with its own result; a ping between.
    for number in 2..5 {
        peer.send(&look(number).whole()).unwrap();
        assert_eq!(executor.hear_of("EXEC"), exec(number, "look"));
        executor.say(&exit(number, number, "complete"));
        let answer = peer.answer().unwrap();
        assert!(is_served(&answer) && answer.reuse, "{answer:?}");
        assert_eq!(answer.header("x-ochrewalk-signal"), Some("1"));
        peer.send(&plain(&Message::CPing)).unwrap();
        assert!(peer.message(|m| matches!(m, ochrewalk_ajp::reply::Message::CPong)).unwrap());
    }
    // A body that comes in pieces and without a length; an id of the node's own.
    let mut pieces = call("POST", "/sync", 0, "");
    pieces.headers = vec![("transfer-encoding", "chunked".into())];
    peer.send(&pieces.head()).unwrap();
    for part in [&b"AB"[..], b"C", b""] {
        assert!(peer.message(|m| matches!(m, ochrewalk_ajp::reply::Message::GetBodyChunk(_))).unwrap());
        peer.send(&piece(part)).unwrap();
    }
    let line: Value = serde_json::from_str(&executor.hear_of("EXEC")).unwrap();
    assert_eq!((line["lane"].as_str(), line["content"].as_str()), (Some("sync"), Some("QUJD")));
    let uid = line["uid"].as_str().unwrap();
    assert_eq!(uid.len(), 16);
    executor.say(&format!(r#"{{"action":"EXIT","pos":9,"uid":"{uid}","code":"error","wall_ms":1}}"#));
    assert_eq!(peer.answer().unwrap().status, 500);
    // Runs that never began are pushed back.
    peer.send(&look(10).whole()).unwrap();
    executor.hear_of(&exec(10, "look"));
    executor.say(&exit(10, 10, "unknown"));
    let answer = peer.answer().unwrap();
    assert_eq!((answer.status, answer.header("x-ochrewalk-never-ran")), (503, Some("1")));
    // Time left: what cannot be done in it is pushed back, with a time to come back.
    let mut hurried: Vec<Ajp> = (0..12).map(|_| ajp(&stand)).collect();
    for (at, peer) in hurried.iter_mut().enumerate() {
        let mut call = look(100 + at as u64);
        call.headers.push(("x-time-left-ms", "300".into()));
        peer.send(&call.whole()).unwrap();
    }
    std::thread::spawn(move || executor.hear_out());
    let answers: Vec<Answer> = hurried.iter_mut().map(|peer| peer.answer().unwrap()).collect();
    let back = answers.iter().filter(|a| a.status == 503).count();
    assert!(back >= 8, "two cores hold two of them: {back}");
    assert!(answers.iter().all(|a| a.status == 503 || a.status == 500));
}

#[test]
fn one_token_by_both_protocols_is_one_run() {
    let (stand, mut executor) = up(|_| (), "");
    let sale =
        |number: u64, token: &str| rpc_with(number, "sale", unix_ms(), &format!(r#","opkey":"{token}""#));
    let json_served =
        |number: u64| format!(r#"{{"jsonrpc":"2.0","id":{number},"result":{{"body":"UkVT","signal":1}}}}"#);
    let (mut json, mut by_ajp) = (stand.caller(), ajp(&stand));
    let mut pos = 0;
    let mut end = |executor: &mut Peer, number: u64, code: &str| {
        pos += 1;
        executor.say(&exit(pos, number, code));
    };
    // Running, then finished: first by AJP, then the other way round.
    by_ajp.send(&call("POST", "/sale", 1, "aa").whole()).unwrap();
    assert_eq!(executor.hear_of("EXEC"), exec(1, "sale"));
    json.say(&sale(2, "aa"));
    assert!(json.ask(r#"{"jsonrpc":"2.0","id":99,"method":"heartbeat"}"#).contains("pass"));
    end(&mut executor, 1, "complete");
    assert!(is_served(&by_ajp.answer().unwrap()));
    assert_eq!(json.hear(), json_served(2));
    assert_eq!(json.ask(&sale(3, "aa")), json_served(3));
    json.say(&sale(4, "bb"));
    assert_eq!(executor.hear_of("EXEC"), exec(4, "sale"));
    by_ajp.send(&call("POST", "/sale", 5, "bb").whole()).unwrap();
    let mut other = ajp(&stand);
    assert_eq!(
        other
            .call(&Call { method: "GET", uri: "/health", secret: Some("peach"), ..Call::default() })
            .unwrap()
            .status,
        200
    );
    end(&mut executor, 4, "complete");
    assert_eq!(json.hear(), json_served(4));
    assert!(is_served(&by_ajp.answer().unwrap()));
    assert!(is_served(&by_ajp.call(&call("POST", "/sale", 6, "bb")).unwrap()));
    // Held: both cores are busy, and the repeat by the other protocol waits with it.
    let mut busy = stand.caller();
    for number in [7, 8] {
        busy.say(&rpc(number, "look"));
        executor.hear_of(&exec(number, "look"));
    }
    by_ajp.send(&call("POST", "/sale", 9, "cc").whole()).unwrap();
    assert_eq!(
        other
            .call(&Call { method: "GET", uri: "/health", secret: Some("peach"), ..Call::default() })
            .unwrap()
            .status,
        200
    );
    json.say(&sale(10, "cc"));
    assert!(json.ask(r#"{"jsonrpc":"2.0","id":98,"method":"heartbeat"}"#).contains("pass"));
    end(&mut executor, 7, "complete");
    assert_eq!(executor.hear_of("EXEC"), exec(9, "sale"));
    end(&mut executor, 8, "complete");
    end(&mut executor, 9, "complete");
    assert!(is_served(&by_ajp.answer().unwrap()));
    assert_eq!(json.hear(), json_served(10));
    // Other work under the token gets neither the result nor a run.
    let mut stranger = call("POST", "/sale", 11, "cc");
    stranger.body = b"ABD";
    let answer = by_ajp.call(&stranger).unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (409, "a token that stands for other work"));
    // An id that is open already, by the other protocol.
    busy.say(&rpc(12, "look"));
    executor.hear_of(&exec(12, "look"));
    assert_eq!(by_ajp.call(&look(12)).unwrap().status, 409);
    assert_eq!(by_ajp.call(&call("POST", "/sale", 13, "")).unwrap().text(), "no token");
}

#[test]
fn a_peer_that_goes_takes_only_its_own_call_with_it() {
    let (stand, mut executor) = up(|_| (), "");
    // Mid-body: nobody has heard of it.
    let mut peer = ajp(&stand);
    let mut long = call("POST", "/once", 1, "");
    long.headers.push(("content-length", "6".into()));
    peer.send(&long.whole()).unwrap();
    assert!(peer.message(|m| matches!(m, ochrewalk_ajp::reply::Message::GetBodyChunk(_))).unwrap());
    peer.end();
    // Mid-head.
    let mut peer = ajp(&stand);
    peer.send(&look(2).whole()[..20]).unwrap();
    drop(peer);
    // Between its last byte and the answer: the run is for nobody.
    let mut peer = ajp(&stand);
    peer.send(&call("POST", "/once", 3, "").whole()).unwrap();
    assert_eq!(executor.hear_of("EXEC"), exec(3, "once"), "and nothing before it");
    drop(peer);
    executor.hear_of(&format!(r#"{{"action":"KILL","uid":"{}"}}"#, req(3)));
    executor.say(&exit(1, 3, "cancelled"));
    // With half of the answer unread.
    let mut peer = ajp(&stand);
    peer.send(&look(4).whole()).unwrap();
    executor.hear_of(&exec(4, "look"));
    let result = "A".repeat(4_000);
    executor.say(&format!(
        r#"{{"action":"EXIT","pos":2,"uid":"{}","code":"complete","wall_ms":1,"content":"{result}"}}"#,
        req(4)
    ));
    assert!(peer.message(|m| matches!(m, ochrewalk_ajp::reply::Message::SendHeaders(_))).unwrap());
    drop(peer);
    serves(&stand, &mut executor, 5, 3);
    // The tokened run whose caller went goes on: its repeat gets the result.
    let mut peer = ajp(&stand);
    peer.send(&call("POST", "/sale", 6, "zz").whole()).unwrap();
    executor.hear_of(&exec(6, "sale"));
    drop(peer);
    let mut peer = ajp(&stand);
    peer.send(&call("POST", "/sale", 7, "zz").whole()).unwrap();
    stand.caller().wait_healthy();
    executor.say(&exit(4, 6, "complete"));
    assert!(is_served(&peer.answer().unwrap()));
}

#[test]
fn what_is_wrong_is_said_once_and_harms_its_own_connection_only() {
    let (stand, mut executor) = up(|_| (), "");
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
    for (what, bytes, status, words) in [
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
        let mut peer = ajp(&stand);
        peer.send(&bytes).unwrap();
        let answer = peer.answer().unwrap();
        assert_eq!((answer.status, answer.text().as_str()), (status, words), "{what}");
        if answer.reuse {
            // It goes on.
            assert_eq!(peer.call(&get("/none")).unwrap().status, 404, "{what}");
        } else {
            assert!(peer.is_ended(), "{what}");
        }
    }
    assert_eq!(
        ajp(&stand).call(&Call { method: "PUT", ..get("/look") }).unwrap().header("allow"),
        Some("GET")
    );
    // What is no AJP ends its connection without a word, at once.
    for (what, bytes) in [
        ("another protocol", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("the answerer's mark", b"AB\0\x01\x09".to_vec()),
        ("oversize", vec![0x12, 0x34, 0xff, 0xff]),
        ("an unknown message", vec![0x12, 0x34, 0, 1, 99]),
        ("an unknown method", vec![0x12, 0x34, 0, 2, 2, 28]),
        ("a piece of nothing", piece(b"ABC")),
    ] {
        let mut peer = ajp(&stand);
        peer.send(&bytes).unwrap();
        assert!(peer.is_ended(), "{what}");
    }
    // One that speaks out of turn still gets the answer that it is owed, and then the end.
    let mut peer = ajp(&stand);
    peer.send(&[look(5).whole(), look(6).whole()].concat()).unwrap();
    assert_eq!(executor.hear_of("EXEC"), exec(5, "look"));
    executor.say(&exit(1, 5, "complete"));
    let answer = peer.answer().unwrap();
    assert!(is_served(&answer) && !answer.reuse && peer.is_ended());
    // Who keeps sending faults is ended after eight.
    let mut peer = ajp(&stand);
    let answers: Vec<bool> = (0..8).map(|_| peer.call(&get("/none")).unwrap().reuse).collect();
    assert_eq!(answers, [true, true, true, true, true, true, true, false]);
    assert!(peer.is_ended());
    // A stranger's address is not let in.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.9.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.connect(&stand.ajp.parse::<SocketAddr>().unwrap().into()).unwrap();
    let mut stranger = Ajp::over(TcpStream::from(socket), PATIENCE).unwrap();
    let _ = stranger.send(&look(7).whole());
    assert!(stranger.is_ended());
    serves(&stand, &mut executor, 8, 2);
}

#[test]
fn silent_and_slow_peers_are_told_or_ended_in_their_time() {
    let (stand, mut executor) = up(|_| (), "ajp idle 1s\n");
    let from = Instant::now();
    let mut never = ajp(&stand);
    let mut half = ajp(&stand);
    half.send(&look(1).whole()[..9]).unwrap();
    let mut no_body = ajp(&stand);
    no_body.send(&call("POST", "/once", 2, "").head()).unwrap();
    let mut unsaid = call("POST", "/once", 3, "");
    unsaid.headers.push(("transfer-encoding", "chunked".into()));
    let mut asked = ajp(&stand);
    asked.send(&unsaid.head()).unwrap();
    let mut idle = ajp(&stand);
    idle.send(&plain(&Message::CPing)).unwrap();
    idle.message(|_| ()).unwrap();
    // A byte a while: each comes in time, the packet does not.
    let mut slow = ajp(&stand);
    let bytes = look(4).whole();
    let drip = std::thread::spawn(move || {
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
    for peer in [&mut no_body, &mut asked] {
        let answer = peer.answer().unwrap();
        assert_eq!((answer.status, answer.reuse), (408, false));
    }
    assert!(drip.join().unwrap(), "it was ended");
    assert!(never.is_ended());
    assert!(from.elapsed() < Duration::from_secs(9));
    serves(&stand, &mut executor, 5, 1);
}

#[test]
fn a_node_that_leaves_answers_both_protocols_and_takes_no_connection_further() {
    let (mut stand, mut executor) = up(|_| (), "");
    let (mut running, mut idle, mut json) = (ajp(&stand), ajp(&stand), stand.caller());
    running.send(&look(1).whole()).unwrap();
    executor.hear_of(&exec(1, "look"));
    json.say(&rpc(2, "look"));
    executor.hear_of(&exec(2, "look"));
    idle.send(&plain(&Message::CPing)).unwrap();
    idle.message(|_| ()).unwrap();
    let mut half = ajp(&stand);
    let late = look(3).whole();
    half.send(&late[..12]).unwrap();
    stand.terminate();
    json.hear_of("noMore");
    // What was begun before and what comes now is answered, each time as the last.
    half.send(&late[12..]).unwrap();
    let answer = half.answer().unwrap();
    assert_eq!(
        (answer.status, answer.header("x-ochrewalk-never-ran"), answer.reuse),
        (503, Some("1"), false)
    );
    assert!(half.is_ended());
    executor.say(&exit(1, 1, "complete"));
    executor.say(&exit(2, 2, "complete"));
    let answer = running.answer().unwrap();
    assert!(is_served(&answer) && !answer.reuse);
    assert!(json.hear_of(r#""id":2"#).contains("UkVT"));
    assert!(idle.is_ended());
    std::thread::spawn(move || executor.hear_out());
    assert!(stand.wait().success());
}

#[test]
fn neither_protocol_can_take_the_others_connections() {
    let (stand, mut executor) = up(|config| config["limits"]["sockets"] = 96.into(), "ajp connections 8\n");
    std::thread::spawn(move || executor.hear_out());
    // More AJP connections than it has room for: each a caller that asked and stays, some silent.
    let mut crowd: Vec<Ajp> = (0..60).map(|_| ajp(&stand)).collect();
    crowd.iter_mut().skip(30).for_each(|peer| peer.send(&plain(&Message::CPing)).unwrap());
    stand.caller().wait_healthy();
    let mut newest = ajp(&stand);
    let health = Call { method: "GET", uri: "/health", secret: Some("peach"), ..Call::default() };
    assert_eq!(newest.call(&health).unwrap().status, 200);
    // And the other way round.
    let mut json: Vec<Peer> = (0..80).map(|_| stand.caller()).collect();
    json.iter_mut().for_each(|peer| drop(peer.stream.set_nodelay(true)));
    assert_eq!(ajp(&stand).call(&health).unwrap().status, 200);
    // Calls in hand keep their connections, however many others come.
    let mut owed: Vec<Ajp> = (0..4).map(|_| ajp(&stand)).collect();
    for (at, peer) in owed.iter_mut().enumerate() {
        let mut call = look(50 + at as u64);
        call.headers.push(("x-time-left-ms", "1500".into()));
        peer.send(&call.whole()).unwrap();
    }
    let mut more: Vec<Ajp> = (0..40).map(|_| ajp(&stand)).collect();
    assert_eq!(more.last_mut().unwrap().call(&health).unwrap().status, 200);
    for peer in &mut owed {
        assert!(matches!(peer.answer().unwrap().status, 500 | 503));
    }
}

#[test]
fn signals_bring_new_routes_and_a_faulty_file_changes_nothing() {
    let (stand, mut executor) = up(|_| (), "");
    let gets = |uri: &'static str| Call { uri, body: b"", ..look(1) };
    let mut peer = ajp(&stand);
    assert_eq!(peer.call(&gets("/new")).unwrap().status, 404);
    let write = |text: &str| std::fs::write(&stand.operators, text.replace("AJP", &stand.ajp)).unwrap();
    write("ajp listen AJP\najp route GET /new nothing\n");
    stand.signal("-HUP");
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(peer.call(&gets("/new")).unwrap().status, 404);
    write(&format!("{FRONT}ajp route GET /new look\n"));
    stand.signal("-HUP");
    let found = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        peer.send(&gets("/new/").whole()).unwrap();
        // Once the route is there the executor hears of it.
        let mut seen = false;
        if let Ok(status) = peer.message(|m| match m {
            ochrewalk_ajp::reply::Message::SendHeaders(head) => head.status,
            _ => 0,
        }) {
            seen = status != 404;
            while !peer
                .message(|m| matches!(m, ochrewalk_ajp::reply::Message::EndResponse { .. }))
                .unwrap_or(true)
            {}
        }
        if !seen {
            peer = ajp(&stand);
        }
        executor.say(&exit(1, 1, "unknown"));
        seen
    });
    assert!(found);
}

/// A run that comes to its call; what becomes of it.
fn begin_call(peer: &mut Ajp, executor: &mut Peer, call: &Call, method: &str, number: u64, pos: u64) {
    peer.send(&call.whole()).unwrap();
    executor.hear_of(&exec(number, method));
    executor.say(&callout(pos, number));
}

#[test]
fn calls_go_to_the_ledger_and_every_ending_has_its_meaning() {
    // What the ledger does next; after that it answers.
    let next: Arc<Mutex<Option<Act>>> = Arc::default();
    let of = next.clone();
    let (stand, mut executor, ledger) =
        with_ledger(move |_| of.lock().unwrap().take().unwrap_or_else(|| Act::good(b"A\r\n\x01B")));
    let mut peer = ajp(&stand);
    let mut number = 0;
    let status = |status, never_ran| Act::Answer { status, never_ran, body: vec![], after: Duration::ZERO };
    let returned = |number| format!(r#"{{"action":"RETURN","uid":"{}","content":"#, req(number));
    for (act, method, ends) in [
        (None, "look", "returned"),
        (None, "sale", "returned"),
        (Some(status(204, false)), "look", "returned"),
        // Pushed back unseen: it is called again, whatever its kind.
        (Some(status(503, true)), "once", "returned"),
        // It may have run: again where that is harmless, else given up.
        (Some(status(503, false)), "look", "returned"),
        (Some(status(503, false)), "sale", "aborted"),
        (Some(status(500, false)), "once", "aborted"),
        (Some(status(504, false)), "sale", "aborted"),
        (Some(Act::Cut(0)), "look", "returned"),
        (Some(Act::Cut(0)), "sale", "aborted"),
        (Some(Act::Cut(7)), "look", "returned"),
        (Some(Act::Cut(7)), "once", "aborted"),
        (Some(Act::Half), "look", "returned"),
        (Some(Act::Half), "sale", "aborted"),
        (Some(Act::Short), "look", "returned"),
        (Some(Act::Short), "once", "aborted"),
        // The first one is taken; the second is nobody's, and ends its connection.
        (Some(Act::Twice), "sale", "returned"),
        (None, "once", "returned"),
        (Some(Act::Last), "look", "returned"),
        // Read and dropped before it ran: nothing tells that from a reply that was lost.
        (Some(Act::Drop), "look", "returned"),
        (Some(Act::Drop), "once", "aborted"),
    ] {
        number += 1;
        let what = format!("{number}: {act:?} {method}");
        *next.lock().unwrap() = act;
        let call = match method {
            "look" => look(number),
            "sale" => call("POST", "/sale", number, &format!("k{number}")),
            _ => call("POST", "/once", number, ""),
        };
        begin_call(&mut peer, &mut executor, &call, method, number, 2 * number);
        if ends == "returned" {
            executor.hear_of(&returned(number));
            executor.say(&exit(2 * number + 1, number, "complete"));
            assert!(is_served(&peer.answer().unwrap()), "{what}");
        } else {
            assert_eq!(peer.answer().unwrap().status, 500, "{what}");
            executor.say(&exit(2 * number + 1, number, "cancelled"));
        }
    }
    // Nothing that may not happen twice ran twice, nor on a connection that was not just made or proven.
    let ran = ledger.ran();
    for call in &ran {
        let again = ran.iter().filter(|other| other.id == call.id).count();
        let number = u64::from_str_radix(&call.id, 16).unwrap();
        let harmless = [1, 3, 5, 9, 11, 13, 15, 19, 20].contains(&number);
        assert!(harmless || again == 1, "{number} ran {again} times");
        assert!(harmless || call.proven || call.before == 0, "{call:?}");
        assert_eq!((call.body.as_slice(), call.secret.as_deref()), (&b"\x00\x01\x02"[..], Some("pear")));
    }
    assert!(ledger.pings() > 0 && ledger.connections() > 5);
}

#[test]
fn a_forgotten_connection_below_costs_no_call_its_proof() {
    // The ledger closes kept connections after a moment, as the next call is about to be written.
    let ledger =
        Ledger::start("127.0.0.21:0".parse().unwrap(), Duration::from_millis(40), |_| Act::good(b"A"))
            .unwrap();
    let more = format!("below ajp 127.0.0.21:{}\nbelow trust 1s\n", ledger.at.port());
    let (stand, mut executor) = up(|_| (), &more);
    let mut peer = ajp(&stand);
    for number in 1..30 {
        let sale = call("POST", "/sale", number, &format!("k{number}"));
        begin_call(&mut peer, &mut executor, &sale, "sale", number, 2 * number);
        executor.hear_of("RETURN");
        executor.say(&exit(2 * number + 1, number, "complete"));
        assert!(is_served(&peer.answer().unwrap()), "{number}");
        std::thread::sleep(Duration::from_millis(37 + number % 7));
    }
    assert_eq!(ledger.ran().len(), 29);
}

#[test]
fn with_one_place_gone_the_other_takes_all_calls() {
    let here = Ledger::start("127.0.0.22:0".parse().unwrap(), IDLE, |_| Act::good(b"A")).unwrap();
    let nowhere = ochrewalk_lab::node::unused_address().unwrap();
    let more = format!("below ajp {nowhere}\nbelow ajp {}\nbelow leave-out 2\n", here.at);
    let (stand, mut executor) = up(|_| (), &more);
    let mut peer = ajp(&stand);
    for number in 1..10 {
        begin_call(&mut peer, &mut executor, &call("POST", "/once", number, ""), "once", number, 2 * number);
        executor.hear_of("RETURN");
        executor.say(&exit(2 * number + 1, number, "complete"));
        assert!(is_served(&peer.answer().unwrap()), "{number}");
    }
    assert_eq!(here.ran().len(), 9);
}

#[test]
fn both_files_are_checked_and_each_fault_is_a_line() {
    let stand = Stand::with_operators(|_| (), FRONT);
    let config = file(&stand.config().to_string());
    let check = |text: &str| {
        let operators = file(text);
        let words = ["check", config.to_str().unwrap(), "--operators", operators.to_str().unwrap()];
        let output = program(&words).output().unwrap();
        let all = [output.stdout, output.stderr].concat();
        std::fs::remove_file(&operators).unwrap();
        (output.status.success(), String::from_utf8(all).unwrap())
    };
    let (good, said) = check(&FRONT.replace("AJP", "127.0.0.1:8009"));
    assert!(good && said.contains("AJP on 127.0.0.1:8009, 0 places below"), "{said}");
    let (good, said) = check("ajp listen 127.0.0.1\najp idle 3\najp route GET /sale sale\n");
    assert!(!good && said.lines().count() == 3, "{said}");
    for (line, words) in [(1, "has no port"), (2, "has no unit"), (3, "may not happen twice")] {
        assert!(said.lines().nth(line - 1).unwrap().contains(&format!(":{line}: ")), "{said}");
        assert!(said.lines().nth(line - 1).unwrap().contains(words), "{said}");
    }
    let (good, said) =
        check(&FRONT.replace("AJP", "127.0.0.1:8009").replace("secret peach", "secret-file /none"));
    assert!(!good && said.contains("secret /none: "), "{said}");
    std::fs::remove_file(config).unwrap();
}
