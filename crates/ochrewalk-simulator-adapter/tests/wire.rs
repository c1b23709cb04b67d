//! The simulator's protocol end to end, with the real binary.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"categories":[
{"deadline-ns":8000000000,"idempotency":"free","name":"a","on-time-ns":2000000000,"worth":1.0},
{"deadline-ns":8000000000,"idempotency":"guarded","name":"b","on-time-ns":2000000000,"window-ns":9000000000,"worth":2}],
"extra":{"below":"tier","cores":2,"memory-kb":9000.0,"run-mem-factor":8.0,"key-kb":1.0,"passes-deadline":true,
"signal":"weight","stop-mode":"pause","gauges":["runnable","cpu_busy"],"unheard-of":[1],"callers":null},
"policy-limits":{"retry-after":true,"max-retry-after-ns":1000000000},"servers":4,
"rules":{"cold-from":0.24,"drain-grace-ns":2500000000,"fall-multiple":8.0,"warm-within-ns":17000000000}}"#;

fn open(i: u64) -> String {
    let options = OPTIONS.replace('\n', "");
    format!(r#"{{"i":{i},"inbox":[{{"msg":"OPEN_INSTANCE","random-seed":5,"options":{options}}}]}}"#)
}

fn line(frame: u64, parts: &[String]) -> String {
    format!(r#"{{"wall-ns":{},"frame":{frame},"parts":[{}]}}"#, frame * 1_000_000_000, parts.join(","))
}

fn event(i: u64, event: &str) -> String {
    format!(r#"{{"i":{i},"inbox":[{event}]}}"#)
}

fn submit(id: &str, more: &str) -> String {
    format!(r#"{{"msg":"SUBMIT","handle":"{id}","bits":0,"size-kb":2.5,"from":1,"standing":0.5,{more}}}"#)
}

fn run_binary(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ochrewalk-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let text = lines.iter().map(|l| format!("{l}\n")).collect::<String>();
    // The binary may have exited at an earlier line, and does not read the rest then.
    let _ = child.stdin.take().unwrap().write_all(text.as_bytes());
    child.wait_with_output().unwrap()
}

fn replies(lines: &[String]) -> Vec<String> {
    let output = run_binary(lines);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap().lines().map(String::from).collect()
}

#[test]
fn each_batch_gets_one_reply_with_its_actions() {
    let replies = replies(&[
        line(0, &[]),
        line(1, &[open(3)]),
        line(
            2,
            &[event(3, &submit("x", r#""kind":"a","expires-in-ns":4000000000,"resource":null,"repeats":0"#))],
        ),
        line(3, &[event(3, r#"{"msg":"NEEDS","handle":"x"}"#)]),
        line(4, &[event(3, r#"{"msg":"CALL_RESULT","handle":"x","state-code":100,"lag-ns":5000}"#)]),
        line(
            5,
            &[
                event(3, r#"{"msg":"SETTLED","handle":"x","state-code":100,"lag-ns":9}"#),
                event(3, r#"{"msg":"STOP"}"#),
            ],
        ),
        line(6, &[open(3), event(3, r#"{"msg":"SETTLED","handle":"x","state-code":100}"#)]),
        line(7, &[event(3, &submit("k", r#""kind":"b","expires-in-ns":0"#))]),
    ]);
    let expected_parts = [
        vec![r#"{"frame":0,"parts":[]}"#],
        vec![
            r#"{"frame":1,"parts":[{"i":3,"output":["#,
            r#"{"msg":"READINESS","on":true,"cheap":true}"#,
            r#"{"msg":"REMIND","moment-ns":"#,
        ],
        vec![r#"{"msg":"LAUNCH","handle":"x"}"#],
        vec![r#"{"msg":"GO_CALL","handle":"x","until-ns":5975000000}"#],
        vec![r#"{"frame":4,"#],
        vec![r#"{"frame":5,"#],
        vec![r#"{"frame":6,"#, "READINESS"],
        vec![
            r#"{"msg":"RECORD_KEY","handle":"k","ttl-ns":9001000000}"#,
            r#"{"msg":"OVERLOAD_REPLY","handle":"k","final":false,"stay-away-ns":0}"#,
            r#"{"msg":"DROP_KEY","handle":"k"}"#,
        ],
    ];
    assert_eq!(replies.len(), expected_parts.len());
    for (reply, expected) in replies.iter().zip(expected_parts) {
        for part in expected {
            assert!(reply.contains(part), "{part} in {reply}");
        }
        assert!(serde_json::from_str::<serde_json::Value>(reply).is_ok());
    }
}

#[test]
fn malformed_input_is_reported_in_one_line_that_names_the_message_and_the_field() {
    for (bad, message, field) in [
        ("{".to_string(), "batch", "JSON"),
        ("[1]".into(), "batch", "object"),
        (r#"{"wall-ns":1,"parts":[]}"#.into(), "batch", "frame"),
        (r#"{"frame":1,"wall-ns":1}"#.into(), "batch", "parts"),
        (r#"{"frame":1,"wall-ns":-1,"parts":[]}"#.into(), "batch", "wall-ns"),
        (line(2, &[r#"{"inbox":[]}"#.into()]), "batch part", "i"),
        (line(2, &[event(3, "{}")]), "event", "msg"),
        (line(2, &[event(3, r#"{"msg":"DANCE"}"#)]), "DANCE", "msg"),
        (line(2, &[event(4, r#"{"msg":"STOP"}"#)]), "STOP", "instance 4"),
        (line(2, &[event(3, r#"{"msg":"HANGUP"}"#)]), "HANGUP", "handle"),
        (line(2, &[event(3, r#"{"msg":"NEEDS","handle":7}"#)]), "NEEDS", "handle"),
        (line(2, &[event(3, &submit("x", r#""kind":"zzz""#))]), "SUBMIT", "kind"),
        (
            line(2, &[event(3, &submit("x", r#""kind":"a","expires-in-ns":"soon""#))]),
            "SUBMIT",
            "expires-in-ns",
        ),
        (line(2, &[event(3, r#"{"msg":"SETTLED","handle":"x","state-code":1}"#)]), "SETTLED", "state-code"),
        (line(2, &[event(3, r#"{"msg":"REMINDER"}"#)]), "REMINDER", "token"),
        (
            line(2, &[event(3, r#"{"msg":"RETIRE_SOON","expires-in-ns":null}"#)]),
            "RETIRE_SOON",
            "expires-in-ns",
        ),
        (line(2, &[open(3).replace("guarded", "maybe")]), "categories", "idempotency"),
        (line(2, &[open(3).replace(r#""cores":2"#, r#""cores":2.5"#)]), "OPEN_INSTANCE", "cores"),
        (line(2, &[open(3).replace("rules", "roles")]), "OPEN_INSTANCE", "rules"),
    ] {
        let output = run_binary(&[line(1, &[open(3)]), bad.clone(), line(3, &[])]);
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{bad}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(
            stderr.contains(message) && stderr.contains(field) && !stderr.contains("panic"),
            "{bad}: {stderr}"
        );
        assert_eq!(String::from_utf8(output.stdout).unwrap().lines().count(), 1, "no partial reply: {bad}");
    }
}

#[test]
fn instances_act_the_same_in_one_process_and_in_separate_ones() {
    let replies_of = |servers: &[u64]| -> Vec<String> {
        let mut lines = vec![line(1, &servers.iter().map(|i| open(*i)).collect::<Vec<_>>())];
        for frame in 2..30 {
            let parts = servers.iter().map(|i| {
                event(*i, &submit(&format!("{i}-{frame}"), r#""kind":"a","expires-in-ns":3000000000"#))
            });
            lines.push(line(frame, &parts.collect::<Vec<_>>()));
        }
        replies(&lines)
    };
    let (both, one, two) = (replies_of(&[1, 2]), replies_of(&[1]), replies_of(&[2]));
    for ((both, one), two) in both.iter().zip(&one).zip(&two) {
        let parts_of =
            |reply: &str| reply.split_once("\"parts\":[").unwrap().1.strip_suffix("]}").unwrap().to_string();
        let separate: Vec<String> =
            [parts_of(one), parts_of(two)].into_iter().filter(|a| !a.is_empty()).collect();
        assert_eq!(parts_of(both), separate.join(","));
    }
}
