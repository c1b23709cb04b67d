//! Tests deployments that have no setting in common: the settings of one must not affect another.

use crate::helper::*;
use crate::WARM_WELCOME;
use serde_json::{json, Value};
use std::io::Write;

/// Returns the settings of a deployment with this many methods, whose names are unique to the deployment and whose idempotency
/// takes each value in turn.
fn deployment(methods: usize, deadline_us: u64, window_us: u64, tenants: usize) -> Value {
    let method = |index: usize| {
        let idempotency = ["guarded", "free", "single_shot"][index % 3];
        json!({"name": format!("m{methods}-{index}"), "idempotency": idempotency, "worth": 0.5 + index as f64,
               "on-time-ns": deadline_us * 500, "deadline-ns": deadline_us * 1_000, "window-ns": window_us * 1_000})
    };
    let mut settings = settings();
    settings["categories"] = (0..methods).map(method).collect();
    settings["extra"]["calls-by-class"] = (0..methods).map(|index| json!(index % 2 == 0)).collect();
    settings["extra"]["class-skip-worth"] =
        (0..methods).map(|index| json!((index % 3) as f64 / 4.0)).collect();
    settings["extra"]["stop-mode"] = if methods == 1 { "drop" } else { "pause" }.into();
    if tenants > 0 {
        let tenant =
            |index: usize| json!({"name": format!("c{index}"), "allowance-per-s": 500.0 / tenants as f64});
        settings["tenants"] = (0..tenants).map(tenant).collect();
    }
    settings
}

/// The deployments have one method and twenty, no tenants and many, a window of 50 ms, and deadlines shorter than the work. Every
/// RPC gets one answer, also if no run answers it by its deadline, and each start names its RPC's own method.
#[test]
fn the_rules_hold_for_deployments_without_common_settings() {
    for (methods, deadline_us, window_us, tenants) in
        [(1, 200_000, 50_000, 0), (20, 150_000, 50_000, 40), (3, 8_000_000, 20_000_000, 1)]
    {
        let node = TestNode::start_with(|config| {
            config["settings"] = deployment(methods, deadline_us, window_us, tenants);
        });
        let mut executor = node.executor();
        executor.send_line(WARM_WELCOME);
        let mut caller = node.caller();
        caller.wait_healthy();
        let starts = std::thread::spawn(move || {
            // Every fourth run completes at once; the others take longer than any deadline here.
            let (mut starts, mut pos) = (Vec::new(), 0);
            loop {
                let line = executor.read_line();
                if line.is_empty() {
                    return starts;
                }
                let Ok(Value::Object(command)) = serde_json::from_str(&line) else { continue };
                let uid = command.get("uid").and_then(Value::as_str).unwrap_or("").to_string();
                let number = u64::from_str_radix(&uid, 16).unwrap_or(0);
                let code = match command["action"].as_str() {
                    Some("EXEC") => {
                        starts.push((number, command["lane"].as_str().unwrap().to_string()));
                        (number % 4 == 0).then_some("complete")
                    }
                    Some("KILL") => Some("cancelled"),
                    _ => None,
                };
                if let Some(code) = code {
                    pos += 1;
                    // Fails once the node has been killed; what the node wrote before that is still read.
                    let _ = executor.stream.write_all((exit(pos, number, code) + "\n").as_bytes());
                }
            }
        });
        let rpcs = 30;
        for number in 1..=rpcs {
            let (method, key) = (number as usize % methods, format!(r#","opkey":"k{number}""#));
            caller.send_line(&rpc_with(number, &format!("m{methods}-{method}"), unix_ms(), &key));
        }
        if deadline_us > 1_000_000 {
            // These RPCs have long deadlines, so they are revoked.
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
        drop((caller, node));
        let starts = starts.join().unwrap();
        let mut started: Vec<u64> = starts.iter().map(|(number, _)| *number).collect();
        started.sort_unstable();
        started.dedup();
        assert_eq!(started.len(), starts.len(), "{methods} methods: an RPC was started twice");
        for (number, method) in &starts {
            assert_eq!(*method, format!("m{methods}-{}", *number as usize % methods));
        }
    }
}
