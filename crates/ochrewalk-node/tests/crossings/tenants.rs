//! Deployments that have nothing in common: what is set for one is nowhere in another's run.

use crate::helper::*;
use crate::WARM;
use serde_json::{json, Value};

/// A deployment of so many methods, none named as any other's, of all effects in turn.
fn deployment(methods: usize, deadline_us: u64, window_us: u64, tenants: usize) -> Value {
    let method = |at: usize| {
        let effect = ["guarded", "free", "single_shot"][at % 3];
        json!({"name": format!("m{methods}-{at}"), "idempotency": effect, "worth": 0.5 + at as f64,
               "on-time-ns": deadline_us * 500, "deadline-ns": deadline_us * 1_000, "window-ns": window_us * 1_000})
    };
    let mut settings = settings();
    settings["categories"] = (0..methods).map(method).collect();
    settings["extra"]["calls-by-class"] = (0..methods).map(|at| json!(at % 2 == 0)).collect();
    settings["extra"]["class-skip-worth"] = (0..methods).map(|at| json!((at % 3) as f64 / 4.0)).collect();
    settings["extra"]["stop-mode"] = if methods == 1 { "drop" } else { "pause" }.into();
    if tenants > 0 {
        let tenant = |at: usize| json!({"name": format!("c{at}"), "allowance-per-s": 500.0 / tenants as f64});
        settings["tenants"] = (0..tenants).map(tenant).collect();
    }
    settings
}

/// One method and twenty, tenants absent and many, a window of 50 ms, deadlines shorter than the work: every RPC has one
/// answer, those that no run answers by their deadline, too, and each start names its own method.
#[test]
fn the_rules_hold_for_deployments_with_nothing_in_common() {
    for (methods, deadline_us, window_us, tenants) in
        [(1, 200_000, 50_000, 0), (20, 150_000, 50_000, 40), (3, 8_000_000, 20_000_000, 1)]
    {
        let stand = TestNode::start_with(|config| {
            config["settings"] = deployment(methods, deadline_us, window_us, tenants);
        });
        let mut executor = stand.executor();
        executor.send_line(WARM);
        let mut caller = stand.caller();
        caller.wait_healthy();
        let lanes = std::thread::spawn(move || {
            // Work that takes longer than any deadline here, but for every fourth.
            let (mut lanes, mut pos) = (Vec::new(), 0);
            loop {
                let line = executor.read_line();
                if line.is_empty() {
                    return lanes;
                }
                let Ok(Value::Object(said)) = serde_json::from_str(&line) else { continue };
                let uid = said.get("uid").and_then(Value::as_str).unwrap_or("").to_string();
                let number = u64::from_str_radix(&uid, 16).unwrap_or(0);
                let code = match said["action"].as_str() {
                    Some("EXEC") => {
                        lanes.push((number, said["lane"].as_str().unwrap().to_string()));
                        (number % 4 == 0).then_some("complete")
                    }
                    Some("KILL") => Some("cancelled"),
                    _ => None,
                };
                if let Some(code) = code {
                    pos += 1;
                    executor.send_line(&exit(pos, number, code));
                }
            }
        });
        let rpcs = 30;
        for number in 1..=rpcs {
            let (at, more) = (number as usize % methods, format!(r#","opkey":"k{number}""#));
            caller.send_line(&rpc_with(number, &format!("m{methods}-{at}"), unix_ms(), &more));
        }
        if deadline_us > 1_000_000 {
            // These have time: they are taken back.
            (1..=rpcs).filter(|n| n % 4 > 0).for_each(|number| {
                caller.send_line(&format!(
                    r#"{{"jsonrpc":"2.0","method":"revoke","params":{{"id":{number}}}}}"#
                ));
            });
        }
        let mut answers = vec![0; rpcs as usize + 1];
        for _ in 0..rpcs {
            let line = caller.read_until("\"id\":");
            let answer: Value = serde_json::from_str(&line).unwrap();
            answers[answer["id"].as_u64().unwrap() as usize] += 1;
        }
        assert!(answers[1..].iter().all(|n| *n == 1), "{methods} methods: {answers:?}");
        drop((caller, stand));
        let lanes = lanes.join().unwrap();
        let mut begun: Vec<u64> = lanes.iter().map(|(number, _)| *number).collect();
        begun.sort_unstable();
        begun.dedup();
        assert_eq!(begun.len(), lanes.len(), "{methods} methods: begun twice");
        for (number, lane) in &lanes {
            assert_eq!(*lane, format!("m{methods}-{}", *number as usize % methods));
        }
    }
}
