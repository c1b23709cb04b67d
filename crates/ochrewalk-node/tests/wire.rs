//! Tests of the wire protocols, byte for byte, and of the state that needs neither socket nor clock.

use ochrewalk::deployment::Placement;
use ochrewalk::host::Outcome;
use ochrewalk_node::clock::age_us;
use ochrewalk_node::close_reason::{CallResult, CloseReason};
use ochrewalk_node::idempotency_keys::{IdempotencyKeyStore, KeyLookup, KeyState};
use ochrewalk_node::net::executor::reconnect_delay;
use ochrewalk_node::wire::calls::{self, Status};
use ochrewalk_node::wire::jsonrpc::{self, Message, RevokeTarget};
use ochrewalk_node::wire::notices::{self, Notice};
use ochrewalk_node::wire::reports;
use std::io::{Error, ErrorKind};
use std::time::Duration;

mod helper;

#[test]
fn an_rpc_is_parsed_with_its_body_unchanged() {
    let line = r#"{"jsonrpc":"2.0","id":"a\u0041","method":"look","params":{"req":"9b1f03aa5c7e2d41","ts":17,"via":4,"need":24.5,"level":0.6,"opkey":"5c0f","subject":null,"more":[{}],"body":"QU\/D"}}"#;
    let Message::Rpc(rpc) = jsonrpc::read(line.as_bytes()) else { panic!("no RPC") };
    assert_eq!((rpc.id, &*rpc.method, &*rpc.req), (r#""a\u0041""#, "look", "9b1f03aa5c7e2d41"));
    assert_eq!((rpc.ts_ms, rpc.kb, rpc.opkey.as_deref()), (17, 24.5, Some("5c0f")));
    assert_eq!(rpc.body.get(), r#""QU\/D""#);
}

#[test]
fn each_malformed_rpc_is_answered_with_its_error_code() {
    let good = helper::rpc(7, "look");
    for (line, wanted) in [
        ("not json".to_string(), "none"),
        ("[1,\"look\",{}]".into(), "none"),
        ("{}".into(), "none"),
        (r#"{"id":{"a":1},"method":"look","params":{}}"#.into(), "-32600"),
        (r#"{"id":3}"#.into(), "-32600"),
        (r#"{"id":3,"method":"look"}"#.into(), "-32602"),
        (good.replace("20.5", "0"), "-32602"),
        (good.replace("20.5", "2000"), "-32602"),
        (good.replace("\"QUJD\"", "7"), "-32602"),
        (good.replace("\"ts\"", "\"tz\""), "-32602"),
        (good.replace("0000000000000007", "has space"), "-32602"),
        (good.replace("0000000000000007", ""), "-32602"),
        (good.replace("0000000000000007", "000000000000000z"), "-32602"),
        (good.replace("\"level\":0.5", "\"level\":1"), "-32602"),
        (good.replace("\"level\":0.5", "\"level\":-0.1"), "-32602"),
        (good.replace("\"level\":0.5", "\"level\":\"x\""), "-32602"),
        (good.replace("20.5", "1e999"), "-32602"),
        (good.replace("\"via\":1", "\"via\":-1"), "-32602"),
        (good.replace("QUJD", "QUJ"), "-32602"),
        (good.replace("QUJD", "QU=D"), "-32602"),
        (good.replace("QUJD", "Q\\u0055JD"), "-32602"),
        (good.replace("QUJD", &"QUJD".repeat(684)), "-32602"),
        (good.replace("QUJD", &"QUJD".repeat(683)), "rpc"),
        (good.replace("QUJD", "QUI\\/QQ=="), "rpc"),
        (good.replace("\"id\":7", "\"id\":null"), "-32600"),
        (r#"{"method":"shout"}"#.into(), "-32600"),
        (r#"{"method":"revoke"}"#.into(), "-32602"),
        (r#"{"method":"revoke","params":{"id":7}}"#.into(), "revoke 7"),
        (r#"{"method":"revoke","params":{"req":"ab"}}"#.into(), "revoke ab"),
        (r#"{"method":"revoke","id":9}"#.into(), "revoke 9"),
        (r#"{"id":"h","method":"heartbeat","params":[1]}"#.into(), "heartbeat \"h\""),
        (good.clone(), "rpc"),
    ] {
        let read = match jsonrpc::read(line.as_bytes()) {
            Message::Rpc(_) => "rpc".into(),
            Message::Revoke(RevokeTarget::Id(id)) => format!("revoke {id}"),
            Message::Revoke(RevokeTarget::Req(req)) => format!("revoke {req}"),
            Message::Heartbeat { id } => format!("heartbeat {id}"),
            Message::Invalid { code, .. } => code.to_string(),
            Message::Malformed => "none".into(),
        };
        assert_eq!(read, wanted, "{line}");
    }
}

#[test]
fn responses_carry_only_the_fields_that_apply() {
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    for (answer, wanted) in [
        (jsonrpc::served("7", "\"QQ==\"", None), r#""id":7,"result":{"body":"QQ=="}}"#),
        (jsonrpc::served("7", "\"QQ==\"", Some(0.25)), r#""id":7,"result":{"body":"QQ==","signal":0.25}}"#),
        (jsonrpc::heartbeat("1", false, None), r#""id":1,"result":{"pass":false}}"#),
        (
            jsonrpc::rejected("2", true, 250, Some(1.0)),
            r#""id":2,"error":{"code":-32011,"message":"pushed back","data":{"holdoff":250,"nomore":1,"signal":1}}}"#,
        ),
        (
            jsonrpc::rejected("2", false, 0, None),
            r#""id":2,"error":{"code":-32011,"message":"pushed back"}}"#,
        ),
        (
            jsonrpc::failed("2", Some(0.5)),
            r#""id":2,"error":{"code":-32000,"message":"aborted","data":{"signal":0.5}}}"#,
        ),
    ] {
        assert_eq!(text(answer), format!("{{\"jsonrpc\":\"2.0\",{wanted}\n"));
    }
}

#[test]
fn notices_are_parsed_and_errors_name_the_faulty_field() {
    for (line, wanted) in [
        (r#"{"action":"WELCOME","code":"chilly","wall_ms":1.5}"#, "cold 1500"),
        (r#"{"action":"WELCOME","code":"tepid"}"#, "code"),
        (
            r#"{"action":"EXIT","pos":4,"uid":"a","code":"complete","content":"QQ=="}"#,
            "exit 4 a Complete \"QQ==\"",
        ),
        (r#"{"action":"EXIT","pos":4,"uid":"a","code":"complete"}"#, "content"),
        (r#"{"action":"EXIT","pos":4,"uid":"a","code":"error"}"#, "exit 4 a Failed -"),
        (r#"{"action":"EXIT","pos":4,"uid":"a","code":"cancelled","content":null}"#, "exit 4 a Stopped -"),
        (r#"{"action":"EXIT","pos":4,"uid":"a","code":"unknown"}"#, "exit 4 a NeverRan -"),
        (r#"{"action":"EXIT","uid":"a","code":"error"}"#, "pos"),
        (r#"{"action":"EXIT","pos":4,"code":"error"}"#, "uid"),
        (r#"{"action":"CALLOUT","pos":5,"uid":"a","content":"AA=="}"#, "callout 5 a \"AA==\""),
        (r#"{"action":"CALLOUT","pos":5,"uid":"a","content":5}"#, "content"),
        (r#"{"action":"METERS","echo":"9","meters":[0.5,3]}"#, "meters 9 [0.5, 3.0]"),
        (r#"{"action":"METERS","echo":"9"}"#, "meters"),
        (r#"{"action":"BAD","code":"EXEC","uid":"a"}"#, "bad EXEC a"),
        (r#"{"action":"LOG","pos":6,"code":"hm"}"#, "log Some(6)"),
        (r#"{"action":"DANCE"}"#, "DANCE"),
        (r#"["EXIT",1]"#, "not a JSON object"),
        ("x", "not a JSON object"),
    ] {
        let read = match notices::read(line.as_bytes()) {
            Ok(Notice::Welcome { is_cold, uptime_us }) => {
                format!("{} {uptime_us}", if is_cold { "cold" } else { "warm" })
            }
            Ok(Notice::Exit { pos, uid, end, content }) => {
                format!("exit {pos} {uid} {end:?} {}", content.map_or("-", |c| c.get()))
            }
            Ok(Notice::Callout { pos, uid, content }) => format!("callout {pos} {uid} {}", content.get()),
            Ok(Notice::Meters { echo, meters }) => format!("meters {echo} {meters:?}"),
            Ok(Notice::Bad { command, uid }) => format!("bad {command} {}", uid.unwrap_or_default()),
            Ok(Notice::Log { pos }) => format!("log {pos:?}"),
            Err(error) => {
                assert!(error.contains(wanted), "{line}: {error}");
                continue;
            }
        };
        assert_eq!(read, wanted, "{line}");
    }
}

#[test]
fn a_reply_is_parsed_only_once_it_is_complete() {
    let body = b"\r\na OK 3\r\n";
    let input = [b"a OK 10\r\n".as_slice(), body, b"\r\nb BUSY\r\n"].concat();
    for cut in 0..input.len() - 9 {
        assert_eq!(calls::read(&input[..cut.min(20)]).unwrap(), None, "cut at {cut}");
    }
    let (reply, taken) = calls::read(&input).unwrap().unwrap();
    assert_eq!((reply.id, reply.status, reply.body, taken), ("a", Status::Ok, body.as_slice(), 21));
    for (line, status) in [
        ("b BUSY\r\n", Status::Busy),
        ("b ERR\r\n", Status::Err),
        ("b LATE\r\n", Status::Late),
        ("b VOID\r\n", Status::Void),
        ("b OK 0\r\n\r\n", Status::Ok),
    ] {
        let (reply, taken) = calls::read(line.as_bytes()).unwrap().unwrap();
        assert_eq!((reply.status, taken), (status, line.len()));
    }
    for bad in
        ["b\r\n", "b WELL\r\n", "b OK\r\n", "b OK x\r\n", "b OK 999999\r\n", "b OK 1\r\nabc", "\u{1}\r\n"]
    {
        assert!(calls::read(bad.as_bytes()).is_err(), "{bad}");
    }
    assert_eq!(calls::call("ab", 250, b"x\n"), b"CALL ab 250 2\r\nx\n\r\n");
}

#[test]
fn a_connection_that_lasted_is_replaced_at_once_and_a_short_one_after_a_delay() {
    for (lasted_ms, wanted_ms) in [(0, 100), (99, 100), (100, 0), (60_000, 0)] {
        assert_eq!(reconnect_delay(Duration::from_millis(lasted_ms)).as_millis(), wanted_ms, "{lasted_ms}");
    }
}

#[test]
fn directory_responses_state_whether_the_connection_is_reusable() {
    let report = String::from_utf8(reports::report("n3", "h:1", true)).unwrap();
    assert!(report.starts_with("PUT /dir/nodes/n3 HTTP/1.1\r\nHost: h:1\r\n"));
    assert!(report.ends_with("Content-Length: 15\r\n\r\n{\"mode\":\"open\"}"));
    for (response, wanted) in [
        ("HTTP/1.1 204 No Content\r\n\r\n", Some((204, true))),
        ("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", Some((204, false))),
        ("HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nno", Some((500, true))),
        ("HTTP/1.1 200 OK\r\n\r\n", Some((200, false))),
        ("HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nn", None),
        ("HTTP/1.1 204 No Con", None),
    ] {
        let read = reports::read(response.as_bytes()).unwrap();
        assert_eq!(read.map(|r| (r.status, r.is_reusable)), wanted, "{response}");
    }
    for bad in ["SPQR\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"] {
        assert!(reports::read(bad.as_bytes()).is_err(), "{bad}");
    }
}

#[test]
fn only_a_failed_connect_proves_that_a_call_never_ran() {
    let refused = CloseReason::from_connect_error(&Error::from(ErrorKind::ConnectionRefused));
    assert_eq!(refused, CloseReason::Refused);
    assert_eq!(CloseReason::from_connect_error(&Error::from_raw_os_error(24)), CloseReason::OutOfResources);
    for (ending, proof) in [
        (refused, true),
        (CloseReason::OutOfResources, true),
        (CloseReason::from_connect_error(&Error::from(ErrorKind::TimedOut)), true),
        (CloseReason::from_io_error(&Error::from(ErrorKind::ConnectionReset)), false),
        (CloseReason::ClosedByPeer, false),
        (CloseReason::Idle, false),
        (CloseReason::TimedOut, false),
        (CloseReason::MessageTooLong, false),
        (CloseReason::Malformed("x".into()), false),
        (CloseReason::Draining, false),
    ] {
        assert_eq!(ending.outcome().never_ran(), proof, "{ending}");
        assert_eq!(CallResult::ConnectionClosed(ending).outcome().never_ran(), proof);
    }
    for (end, outcome) in [
        (CallResult::Succeeded(vec![]), Outcome::Ok),
        (CallResult::Rejected, Outcome::Rejected),
        (CallResult::Failed, Outcome::Error),
        (CallResult::DeadlineExceeded, Outcome::TimedOut),
        (CallResult::TimedOut, Outcome::TimedOut),
        (CallResult::NoLongerNeeded, Outcome::NotStarted),
        (CallResult::Unsent, Outcome::Unreachable),
    ] {
        assert_eq!(end.outcome(), outcome);
    }
}

#[test]
fn an_idempotency_key_is_found_within_its_window_and_waits_for_its_run() {
    let mut keys = IdempotencyKeyStore::new(10);
    keys.remember("k".into(), 7, "a".into(), 1_000);
    let same = || KeyLookup::SameRequest("a".into());
    for (ts, known) in [(0, same()), (1_000, same()), (1_050, same()), (1_051, KeyLookup::Unknown)] {
        assert_eq!(keys.find("k", 7, ts), known, "{ts}");
    }
    assert_eq!(keys.find("other", 7, 0), KeyLookup::Unknown);
    assert_eq!(keys.find("k", 8, 0), KeyLookup::OtherRequest { has_run: false });
    assert_eq!(keys.share(&"k".into(), &"b".into()), KeyState::Open);
    assert!(
        keys.record_outcome(&"k".into(), "not-a", KeyState::Failed).is_empty(),
        "only the holder may settle the key"
    );
    assert_eq!(keys.record_outcome(&"k".into(), "a", KeyState::Served("12345678".into())), vec!["b".into()]);
    assert_eq!(keys.share(&"k".into(), &"c".into()), KeyState::Served("12345678".into()));
    assert_eq!(keys.find("k", 8, 0), KeyLookup::OtherRequest { has_run: true });
    // Beyond the byte limit the oldest result is evicted; the fact that the RPC ran is retained.
    keys.remember("l".into(), 7, "d".into(), 2_000);
    keys.record_outcome(&"l".into(), "d", KeyState::Served("12345".into()));
    assert_eq!(keys.share(&"k".into(), &"e".into()), KeyState::Failed);
    assert_eq!(keys.share(&"l".into(), &"f".into()), KeyState::Served("12345".into()));
    // Only the holder's own id removes the key, together with the RPCs that wait for it.
    keys.remember("l".into(), 7, "g".into(), 3_000);
    keys.share(&"l".into(), &"h".into());
    assert!(keys.forget("l", "d").is_empty());
    assert_eq!(keys.forget("l", "g"), vec!["h".into()]);
    assert_eq!(keys.find("l", 7, 0), KeyLookup::Unknown);
    // A key whose run is open outlives its window; a settled key expires.
    keys.remember("m".into(), 7, "i".into(), 5_000);
    keys.remove_expired(1_000_000);
    assert_eq!(
        (keys.find("k", 7, 0), keys.find("m", 7, 0)),
        (KeyLookup::Unknown, KeyLookup::SameRequest("i".into()))
    );
}

#[test]
fn keys_transferred_ahead_and_later_changes_equal_a_full_transfer() {
    // Random operations, with chunks transferred between them.
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut keys, mut next, mut after) =
            (IdempotencyKeyStore::new(400), IdempotencyKeyStore::new(usize::MAX), None);
        let mut has_begun = false;
        for step in 0..200u64 {
            let key: std::sync::Arc<str> = format!("t{}", rng.u32(0..40)).into();
            let holder = format!("h{}", rng.u32(0..3));
            match rng.u32(0..6) {
                0 | 1 => keys.remember(key, 7, holder.as_str().into(), rng.u64(0..50) * 1_000),
                2 => drop(keys.forget(&key, &holder)),
                3 => drop(keys.share(&key, &format!("r{step}").as_str().into())),
                4 => drop(keys.record_outcome(
                    &key,
                    &holder,
                    KeyState::Served("x".repeat(rng.usize(0..30)).into()),
                )),
                _ => drop(keys.record_outcome(&key, &holder, KeyState::Failed)),
            }
            if step >= 100 && step % 5 == 0 && (after.is_some() || !has_begun) {
                has_begun = true;
                after = keys.export_batch(after.as_ref(), 3).map(|(chunk, last)| {
                    next.import(chunk, &[]);
                    last
                });
            }
        }
        while let Some(from) = after {
            after = keys.export_batch(Some(&from), 3).map(|(chunk, last)| {
                next.import(chunk, &[]);
                last
            });
        }
        let (changed, removed) = keys.export_changed();
        next.import(changed, &removed);
        next.set_max_result_bytes(400);
        let sorted = |keys: &IdempotencyKeyStore| {
            let mut all = keys.export_all();
            all.sort_by(|a, b| a.key.cmp(&b.key));
            all
        };
        assert_eq!(sorted(&next), sorted(&keys), "{seed}");
        // Both expire the same keys.
        keys.remove_expired(40_000);
        next.remove_expired(40_000);
        assert_eq!(sorted(&next), sorted(&keys), "{seed}");
    }
}

#[test]
fn time_queued_is_clamped() {
    for (now_ms, ts_ms, wanted_us) in
        [(1_500, 1_000, 500_000), (1_000, 1_500, 0), (u64::MAX, 0, 7_000_000), (9_000, 1_000, 7_000_000)]
    {
        assert_eq!(age_us(now_ms, ts_ms, 7_000_000), wanted_us);
    }
}

#[test]
fn an_error_in_the_platform_file_names_the_key() {
    let good = serde_json::json!({
        "name": "n3", "listen": "127.0.0.1:7001", "executor": "127.0.0.1:6100", "lookup": "127.0.0.1:8761",
        "seed": "8c1f30d27a5be964", "stop_ms": 3200, "new-key": 1,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": helper::settings()
    });
    let placement = Placement::read(good.to_string().as_bytes()).unwrap();
    assert_eq!((placement.seed, placement.upstream), (0x8c1f30d27a5be964, None));
    for (pointer, value, key) in [
        ("/name", "a/b".into(), "name"),
        ("/listen", "7001".into(), "listen"),
        ("/executor", 5.into(), "executor"),
        ("/lookup", "".into(), "lookup"),
        ("/seed", "xyz".into(), "seed"),
        ("/stop_ms", 0.into(), "stop_ms"),
        ("/limits/memory_mb", (-1).into(), "limits: field memory_mb"),
        ("/limits/sockets", 10.into(), "limits: field sockets"),
        ("/limits/cores", 0.into(), "limits: field cores"),
        ("/settings/extra/cores", 0.into(), "settings extra: field cores"),
        ("/settings/extra/below", "under".into(), "below"),
        ("/settings/rules/cold-from", 2.into(), "cold-from"),
        ("/settings/rules/fall-multiple", serde_json::Value::Null, "fall-multiple"),
        ("/settings/categories/1/idempotency", "maybe".into(), "categories: field idempotency"),
    ] {
        let mut bad = good.clone();
        *bad.pointer_mut(pointer).unwrap() = value;
        let error = Placement::read(bad.to_string().as_bytes()).unwrap_err().to_string();
        assert!(error.contains(key) && error.lines().count() == 1, "{pointer}: {error}");
    }
}
