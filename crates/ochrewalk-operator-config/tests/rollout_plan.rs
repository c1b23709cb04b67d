//! Checks the settings of a complete rollout plan, and the message for each error.

use ochrewalk_operator_config::RolloutPlan;

const COMPLETE: &str = "old /a\nnew /b\nrecord /c\nnode n0 /run/0 east\nnode n1 /run/1 west\nnode n2 /run/2 east\nnode n3 /run/3 west\n";

fn get(more: &str) -> Result<RolloutPlan, String> {
    let first = |diagnostics: Vec<ochrewalk_operator_config::Diagnostic>| diagnostics[0].to_string();
    RolloutPlan::parse(&format!("{COMPLETE}{more}"), "p").map_err(first)
}

#[test]
fn a_complete_plan_sets_all_settings() {
    let plan = get("stage 1\nstage 50%\nmost-out 2\nleast 2s\nmost 1m\nharm 0.1\n").unwrap();
    assert_eq!((plan.stages, plan.max_unavailable, plan.nodes.len()), (vec![1, 2, 4], 2, 4));
    assert_eq!((plan.min_stage_us, plan.max_stage_us, plan.harm), (2_000_000, 60_000_000, 0.1));
    assert_eq!(get("stage 1%\nstage 2%\nstage 100%\n").unwrap().stages, [1, 4], "one node is one stage");
}

#[test]
fn each_error_is_one_message_with_its_line() {
    for (more, message) in [
        ("stag 1", "p:8: stag is not a directive of a plan"),
        ("stage 0", "p:8: 0 is not a stage"),
        ("stage 2\nstage 2", "p:9: a stage of 2 after one of 2"),
        ("stage 5", "p:8: a stage of 5 nodes in a fleet of 4"),
        ("most-out 4", "p:8: 4 of 4 nodes may be unavailable at once"),
        ("node n0 /run/9 east", "p:8: n0 or its socket is already named"),
        ("node n9 run/9 east", "p:8: run/9 is not a path for a socket"),
        ("old /d", "p:8: old was set on line 1 already"),
        ("least 2", "p:8: 2 has no unit"),
        ("least 1h\nmost 1m", "p:9: a stage's maximum time is shorter than its minimum"),
        ("harm 2", "p:8: 2 is not a harm threshold"),
    ] {
        assert!(get(more).unwrap_err().starts_with(message), "{more}: {:?}", get(more));
    }
    assert!(RolloutPlan::parse("old /a\nnew /b\n", "p").unwrap_err()[0]
        .to_string()
        .contains("no record is named"));
}
