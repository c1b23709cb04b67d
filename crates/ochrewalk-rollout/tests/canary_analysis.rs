//! Tests the analysis case by case, and over many rollouts in virtual time: how often it stops a rollout
//! without harm, and how often it misses harm.

use ochrewalk_lab::judged::{changes, Case, Way, World};
use ochrewalk_rollout::{AnalysisSettings, CallCounts, CanaryAnalysis, Sample, Verdict};

fn analysis() -> CanaryAnalysis {
    CanaryAnalysis::new(AnalysisSettings::default(), vec!["look".into(), "sale".into()])
}

#[test]
fn at_most_one_in_a_hundred_harmless_rollouts_is_stopped_and_harm_of_five_points_is_found() {
    let (mut stopped, mut passed, mut missed, mut seconds) = (0, 0, 0, Vec::new());
    for seed in 0..200 {
        // Stages of 3, 15 and 30 of 60 nodes.
        let mut analysis = analysis();
        let mut world = World::new(60, 3, 4.0 + (seed % 20) as f64, seed);
        for changed in [3, 15, 30] {
            world.changed = changed;
            analysis.begin_stage();
            let (duration_s, verdict) = world.judged(&mut analysis, 900);
            seconds.push(duration_s);
            stopped += usize::from(matches!(verdict, Verdict::Harm(_)));
            passed += usize::from(verdict == Verdict::Pass);
        }
        let mut analysis = self::analysis();
        let mut world = World { harm: 0.05, ..World::new(60, 3, 4.0 + (seed % 20) as f64, !seed) };
        missed += usize::from(!matches!(world.judged(&mut analysis, 900).1, Verdict::Harm(_)));
    }
    seconds.sort_unstable();
    println!(
        "stopped {stopped} of 200, passed {passed} of 600 stages, harm missed {missed} of 200, \
              seconds per stage: median {}, max {}",
        seconds[300], seconds[599]
    );
    assert!(stopped <= 2, "{stopped}");
    assert!(missed <= 2, "{missed}");
    assert!(passed >= 590, "{passed}");
}

#[test]
fn a_comparison_of_before_and_after_stops_harmless_rollouts_and_the_sequential_test_does_not() {
    for (case, way, expected) in [
        (Case::Trouble, Way::Sequential, 0..=0),
        (Case::Trouble, Way::BeforeAfter, 20..=20),
        (Case::Harm, Way::Sequential, 20..=20),
    ] {
        let stopped = changes(way, case, 60, 20, 5).iter().filter(|ended| ended.stopped).count();
        assert!(expected.contains(&stopped), "{way:?} {case:?}: {stopped} of 20");
    }
}

#[test]
fn a_fault_on_all_nodes_makes_the_analysis_wait() {
    let mut analysis = analysis();
    let mut world = World::new(30, 6, 10.0, 1);
    for _ in 0..20 {
        assert_eq!(analysis.add_sample(&world.moment()), Verdict::Pending);
    }
    world.trouble = 0.4;
    for second in 0..100 {
        assert_eq!(analysis.add_sample(&world.moment()), Verdict::FleetUnhealthy, "{second}");
    }
    world.trouble = 0.0;
    assert_eq!(world.judged(&mut analysis, 900).1, Verdict::Pass);
}

#[test]
fn harm_that_appears_late_is_found_within_60_samples() {
    let mut analysis = analysis();
    let mut world = World { harm: 0.2, harm_from: 1_200, ..World::new(30, 6, 10.0, 2) };
    let mut verdict = Verdict::Pending;
    while world.second < 1_199 {
        verdict = analysis.add_sample(&world.moment());
        assert!(!matches!(verdict, Verdict::Harm(_)), "{} {verdict:?}", world.second);
        if verdict == Verdict::Pass {
            analysis.begin_stage();
        }
    }
    let mut late_samples = 0;
    while !matches!(verdict, Verdict::Harm(_)) {
        late_samples += 1;
        verdict = analysis.add_sample(&world.moment());
        assert!(late_samples < 60, "harm was not found within {late_samples} s");
    }
    assert!(matches!(verdict, Verdict::Harm(reason) if reason.contains("sale")));
}

#[test]
fn too_little_traffic_is_inconclusive_after_the_maximum_number_of_samples() {
    let mut analysis = analysis();
    let mut world = World { rates: vec![0.5, 0.002], ..World::new(4, 1, 1.0, 3) };
    let (seconds, verdict) = world.judged(&mut analysis, 2_000);
    assert_eq!(seconds, AnalysisSettings::default().max_samples);
    assert!(
        matches!(&verdict, Verdict::Inconclusive(reason) if reason.contains("too few calls")),
        "{verdict:?}"
    );
    // Without any calls the reason differs.
    let mut analysis = self::analysis();
    let mut world = World { rates: vec![0.0, 0.0], ..World::new(4, 1, 1.0, 3) };
    assert_eq!(world.judged(&mut analysis, 2_000).1, Verdict::Inconclusive("no calls on both sides".into()));
}

#[test]
fn silence_restarts_missing_calls_and_memory_use_are_harm_on_changed_nodes_only() {
    let outcome_with = |change: &dyn Fn(&mut Sample, u32)| {
        let (mut analysis, mut world) = (analysis(), World::new(12, 4, 10.0, 4));
        for second in 0..200 {
            let mut sample = world.moment();
            change(&mut sample, second);
            if let verdict @ (Verdict::Harm(_) | Verdict::Pass) = analysis.add_sample(&sample) {
                return format!("{verdict:?}");
            }
        }
        "nothing".to_string()
    };
    let silent = outcome_with(&|sample, second| sample.nodes.retain(|n| n.node != 2 || second < 5));
    assert!(silent.contains("node 2 has not reported"), "{silent}");
    // If as many unchanged nodes are silent, the controller cannot receive the reports.
    let silent_on_both_sides = outcome_with(&|sample, second| {
        sample.nodes.retain(|n| !(n.node == 2 || n.node > 4 && n.node % 4 == 3) || second < 5)
    });
    assert!(!silent_on_both_sides.contains("has not reported"), "{silent_on_both_sides}");
    let restarts = outcome_with(&|sample, second| sample.nodes[1].restarts = second / 10);
    assert!(restarts.contains("restarts of changed nodes"), "{restarts}");
    // A node that reports itself healthy and answers no calls is harm; a node that never had many calls is
    // not.
    let idle = outcome_with(&|sample, second| {
        sample.nodes[1].is_changed = second >= 20;
        let calls = if second < 30 { 10 } else { 0 };
        sample.nodes[1]
            .methods
            .iter_mut()
            .for_each(|counts| *counts = CallCounts { calls, ..CallCounts::default() });
    });
    assert!(idle.contains("node 1 answers hardly any calls"), "{idle}");
    let rarely_called = outcome_with(&|sample, second| {
        sample.nodes[1].is_changed = second >= 20;
        sample.nodes[1]
            .methods
            .iter_mut()
            .for_each(|counts| *counts = CallCounts { calls: 1, ..CallCounts::default() });
    });
    assert!(!rarely_called.contains("hardly"), "{rarely_called}");
    // A node that exits repeatedly and is started with the old program is harm.
    let restarts_with_old = outcome_with(&|sample, second| {
        (sample.nodes[1].restarts, sample.nodes[1].is_changed) = (second / 20, second % 20 >= 5);
    });
    assert!(restarts_with_old.contains("restarts of changed nodes"), "{restarts_with_old}");
    let restarts_of_all =
        outcome_with(&|sample, second| sample.nodes.iter_mut().for_each(|n| n.restarts = second / 40));
    assert!(!restarts_of_all.contains("starts"), "{restarts_of_all}");
    let with_memory = outcome_with(&|sample, second| {
        sample.nodes[..4].iter_mut().for_each(|n| n.memory_kb += u64::from(second) * 10_000)
    });
    assert!(with_memory.contains("memory"), "{with_memory}");
}

#[test]
fn nodes_that_warm_up_are_compared_separately_and_a_completely_changed_fleet_passes() {
    let (mut analysis, mut world) = (analysis(), World { harm: 0.3, ..World::new(30, 6, 10.0, 5) });
    // Nodes that are warming up miss the target more often for a while, which alone is not harm.
    for _ in 0..20 {
        let mut sample = world.moment();
        for node in sample.nodes.iter_mut().filter(|node| node.is_changed) {
            node.is_warming_up = true;
            node.methods.iter_mut().for_each(|counts| counts.failed = 0);
        }
        assert_eq!(analysis.add_sample(&sample), Verdict::Pending);
    }
    // The same is harm once the nodes should be warm.
    assert!(matches!(world.judged(&mut analysis, 60).1, Verdict::Harm(_)));
    let (mut analysis, mut world) = (self::analysis(), World::new(6, 6, 10.0, 6));
    assert_eq!(world.judged(&mut analysis, 60), (AnalysisSettings::default().min_samples, Verdict::Pass));
}

#[test]
fn nodes_that_report_their_counts_at_other_times_than_the_rest_are_not_idle() {
    // Unchanged nodes report their counts with every second sample, changed nodes with the samples in
    // between.
    for (answered_share, expected) in [(1.0, None), (0.1, Some("node 1 answers hardly any calls"))] {
        let (mut world, mut analysis) = (World::new(8, 0, 10.0, 3), analysis());
        let mut verdict = Verdict::Pending;
        for sample in 0..120 {
            world.changed = if sample < 8 { 0 } else { 4 };
            let mut current = world.moment();
            for node in &mut current.nodes {
                let reports = (sample + usize::from(node.is_changed)) % 2 == 0;
                let share = if node.is_changed && node.node == 1 { answered_share } else { 1.0 };
                let count = |n: u32| if reports { (f64::from(n) * 2.0 * share) as u32 } else { 0 };
                for counts in &mut node.methods {
                    *counts = CallCounts {
                        calls: count(counts.calls),
                        missed: count(counts.missed),
                        failed: count(counts.failed),
                    };
                }
            }
            verdict = analysis.add_sample(&current);
            if matches!(verdict, Verdict::Harm(_)) {
                break;
            }
        }
        match expected {
            None => assert!(!matches!(verdict, Verdict::Harm(_)), "{verdict:?}"),
            Some(reason) => assert_eq!(verdict, Verdict::Harm(reason.into())),
        }
    }
}

/// Returns the number of samples and the verdict of each stage of a rollout with this harm, where all nodes
/// have this fault at the beginning of each stage.
fn stage_verdicts(seed: u64, harm: f64, fault_share: f64) -> Vec<(u32, String)> {
    let mut analysis = analysis();
    let mut world = World { harm, ..World::new(24, 2, 2.0 + (seed % 7) as f64, seed) };
    let mut stage_verdicts = Vec::new();
    for changed in [2, 8, 24] {
        world.changed = changed;
        analysis.begin_stage();
        world.trouble = fault_share;
        for _ in 0..5 {
            analysis.add_sample(&world.moment());
        }
        world.trouble = 0.0;
        let (samples, verdict) = world.judged(&mut analysis, 900);
        stage_verdicts.push((samples, verdict.to_string()));
        if matches!(verdict, Verdict::Harm(_)) {
            break;
        }
    }
    stage_verdicts
}

#[test]
fn seeded_rollouts_have_exactly_these_verdicts() {
    let harm = |share: &str| {
        format!(
            "Harm(\"share of sale calls that miss the latency target is {share} higher on changed nodes\")"
        )
    };
    let pass = || "Good".to_string();
    for (seed, harm_share, fault_share, expected) in [
        (1, 0.0, 0.0, vec![(696, pass()), (158, pass()), (25, pass())]),
        (2, 0.0, 0.3, vec![(326, pass()), (149, pass()), (25, pass())]),
        (3, 0.04, 0.0, vec![(503, harm("0.032"))]),
        (4, 0.1, 0.3, vec![(37, harm("0.177"))]),
        (5, 0.3, 0.0, vec![(8, harm("0.332"))]),
        (6, 0.0, 0.1, vec![(192, pass()), (63, pass()), (25, pass())]),
    ] {
        assert_eq!(stage_verdicts(seed, harm_share, fault_share), expected, "seed {seed}");
    }
}
