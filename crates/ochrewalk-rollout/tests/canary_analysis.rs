//! The analysis case by case, and over many rollouts in virtual time: how often it stops one without harm, and lets harm pass.

use ochrewalk_lab::judged::{changes, Case, Way, World};
use ochrewalk_rollout::{AnalysisSettings, CallCounts, CanaryAnalysis, Sample, Verdict};

fn analysis() -> CanaryAnalysis {
    CanaryAnalysis::new(AnalysisSettings::default(), vec!["look".into(), "sale".into()])
}

#[test]
fn no_more_than_one_in_a_hundred_rollouts_without_harm_is_stopped_and_harm_of_five_points_is_found() {
    let (mut stopped, mut passed, mut missed, mut seconds) = (0, 0, 0, Vec::new());
    for seed in 0..200 {
        // Stages of 3, 15 and 30 nodes of 60.
        let mut analysis = analysis();
        let mut world = World::new(60, 3, 4.0 + (seed % 20) as f64, seed);
        for changed in [3, 15, 30] {
            world.changed = changed;
            analysis.begin_stage();
            let (took, verdict) = world.judged(&mut analysis, 900);
            seconds.push(took);
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
              seconds a stage: median {}, most {}",
        seconds[300], seconds[599]
    );
    assert!(stopped <= 2, "{stopped}");
    assert!(missed <= 2, "{missed}");
    assert!(passed >= 590, "{passed}");
}

#[test]
fn simpler_methods_stop_rollouts_without_harm_and_this_one_does_not() {
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
fn a_fault_that_strikes_all_nodes_makes_it_wait() {
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
fn harm_that_comes_late_is_found_soon() {
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
    let mut late = 0;
    while !matches!(verdict, Verdict::Harm(_)) {
        late += 1;
        verdict = analysis.add_sample(&world.moment());
        assert!(late < 60, "found after {late} s at the earliest");
    }
    assert!(matches!(verdict, Verdict::Harm(reason) if reason.contains("sale")));
}

#[test]
fn too_little_traffic_gives_no_verdict_and_is_inconclusive_in_the_end() {
    let mut analysis = analysis();
    let mut world = World { rates: vec![0.5, 0.002], ..World::new(4, 1, 1.0, 3) };
    let (seconds, verdict) = world.judged(&mut analysis, 2_000);
    assert_eq!(seconds, AnalysisSettings::default().max_samples);
    assert!(
        matches!(&verdict, Verdict::Inconclusive(reason) if reason.contains("too few calls")),
        "{verdict:?}"
    );
    // No calls at all.
    let mut analysis = self::analysis();
    let mut world = World { rates: vec![0.0, 0.0], ..World::new(4, 1, 1.0, 3) };
    assert_eq!(world.judged(&mut analysis, 2_000).1, Verdict::Inconclusive("no calls on both sides".into()));
}

#[test]
fn silence_restarts_and_memory_are_harm_where_the_others_have_none() {
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
    assert!(silent.contains("node 2 has said nothing"), "{silent}");
    // As many of the others are silent: it is the controller that does not hear them.
    let both = outcome_with(&|sample, second| {
        sample.nodes.retain(|n| !(n.node == 2 || n.node > 4 && n.node % 4 == 3) || second < 5)
    });
    assert!(!both.contains("said nothing"), "{both}");
    let restarts = outcome_with(&|sample, second| sample.nodes[1].restarts = second / 10);
    assert!(restarts.contains("starts of changed nodes"), "{restarts}");
    // A node that says it is healthy and serves nobody; one that never had many calls is none of those.
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
    // A node that ends and comes back with the old program, again and again.
    let restarts_with_old = outcome_with(&|sample, second| {
        (sample.nodes[1].restarts, sample.nodes[1].is_changed) = (second / 20, second % 20 >= 5);
    });
    assert!(restarts_with_old.contains("starts of changed nodes"), "{restarts_with_old}");
    let all = outcome_with(&|sample, second| sample.nodes.iter_mut().for_each(|n| n.restarts = second / 40));
    assert!(!all.contains("starts"), "{all}");
    let with_memory = outcome_with(&|sample, second| {
        sample.nodes[..4].iter_mut().for_each(|n| n.memory_kb += u64::from(second) * 10_000)
    });
    assert!(with_memory.contains("memory"), "{with_memory}");
}

#[test]
fn nodes_that_warm_up_are_compared_apart_and_a_fleet_all_changed_has_none_to_compare_with() {
    let (mut analysis, mut world) = (analysis(), World { harm: 0.3, ..World::new(30, 6, 10.0, 5) });
    // Cold nodes miss more for a while; that alone is no harm.
    for _ in 0..20 {
        let mut sample = world.moment();
        for node in sample.nodes.iter_mut().filter(|node| node.is_changed) {
            node.is_warming_up = true;
            node.methods.iter_mut().for_each(|counts| counts.failed = 0);
        }
        assert_eq!(analysis.add_sample(&sample), Verdict::Pending);
    }
    // Once they should be warm it is harm.
    assert!(matches!(world.judged(&mut analysis, 60).1, Verdict::Harm(_)));
    let (mut analysis, mut world) = (self::analysis(), World::new(6, 6, 10.0, 6));
    assert_eq!(world.judged(&mut analysis, 60), (AnalysisSettings::default().min_samples, Verdict::Pass));
}

#[test]
fn nodes_that_report_their_counts_at_other_times_than_the_rest_are_not_taken_for_idle() {
    // All report what they counted with every second sample; changed nodes, with the samples between.
    for (answered_share, expected) in [(1.0, None), (0.1, Some("node 1 answers hardly any calls"))] {
        let (mut world, mut analysis) = (World::new(8, 0, 10.0, 3), analysis());
        let mut verdict = Verdict::Pending;
        for sample in 0..120 {
            world.changed = if sample < 8 { 0 } else { 4 };
            let mut now = world.moment();
            for node in &mut now.nodes {
                let reports = (sample + usize::from(node.is_changed)) % 2 == 0;
                let share = if node.is_changed && node.node == 1 { answered_share } else { 1.0 };
                let count = |n: u32| if reports { (f64::from(n) * 2.0 * share) as u32 } else { 0 };
                for of in &mut node.methods {
                    *of = CallCounts {
                        calls: count(of.calls),
                        missed: count(of.missed),
                        failed: count(of.failed),
                    };
                }
            }
            verdict = analysis.add_sample(&now);
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

/// What a rollout with this harm and trouble comes to: after how many samples, and with which verdict, stage by stage.
fn conclusions(seed: u64, harm: f64, trouble: f64) -> Vec<(u32, String)> {
    let mut analysis = analysis();
    let mut world = World { harm, ..World::new(24, 2, 2.0 + (seed % 7) as f64, seed) };
    let mut conclusions = Vec::new();
    for changed in [2, 8, 24] {
        world.changed = changed;
        analysis.begin_stage();
        world.trouble = trouble;
        for _ in 0..5 {
            analysis.add_sample(&world.moment());
        }
        world.trouble = 0.0;
        let (samples, verdict) = world.judged(&mut analysis, 900);
        conclusions.push((samples, verdict.to_string()));
        if matches!(verdict, Verdict::Harm(_)) {
            break;
        }
    }
    conclusions
}

#[test]
fn seeded_rollouts_come_to_exactly_these_conclusions() {
    let harm = |share: &str| format!("Harm(\"{share} more of sale miss the target\")");
    let pass = || "Good".to_string();
    for (seed, harmed, trouble, expected) in [
        (1, 0.0, 0.0, vec![(696, pass()), (158, pass()), (25, pass())]),
        (2, 0.0, 0.3, vec![(326, pass()), (149, pass()), (25, pass())]),
        (3, 0.04, 0.0, vec![(503, harm("0.032"))]),
        (4, 0.1, 0.3, vec![(37, harm("0.177"))]),
        (5, 0.3, 0.0, vec![(8, harm("0.332"))]),
        (6, 0.0, 0.1, vec![(192, pass()), (63, pass()), (25, pass())]),
    ] {
        assert_eq!(conclusions(seed, harmed, trouble), expected, "seed {seed}");
    }
}
