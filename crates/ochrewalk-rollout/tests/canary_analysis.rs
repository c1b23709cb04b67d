//! The judge by table, and by many changes in virtual time: how often it stops what does no harm, and lets harm pass.

use ochrewalk_lab::judged::{changes, Case, Way, World};
use ochrewalk_rollout::{AnalysisSettings, CallCounts, CanaryAnalysis, Sample, Verdict};

fn analysis() -> CanaryAnalysis {
    CanaryAnalysis::new(AnalysisSettings::default(), vec!["look".into(), "sale".into()])
}

#[test]
fn no_more_than_one_in_a_hundred_changes_without_harm_is_stopped_and_harm_of_five_points_is_found() {
    let (mut stopped, mut passed, mut missed, mut seconds) = (0, 0, 0, Vec::new());
    for seed in 0..200 {
        // Stages of 3, 15 and 30 nodes of 60.
        let mut analysis = analysis();
        let mut world = World::new(60, 3, 4.0 + (seed % 20) as f64, seed);
        for changed in [3, 15, 30] {
            world.changed = changed;
            analysis.begin_stage();
            let (took, said) = world.judged(&mut analysis, 900);
            seconds.push(took);
            stopped += usize::from(matches!(said, Verdict::Harm(_)));
            passed += usize::from(said == Verdict::Pass);
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
fn plainer_ways_stop_what_does_no_harm_and_this_one_does_not() {
    for (case, way, wanted) in [
        (Case::Trouble, Way::Sequential, 0..=0),
        (Case::Trouble, Way::BeforeAfter, 20..=20),
        (Case::Harm, Way::Sequential, 20..=20),
    ] {
        let stopped = changes(way, case, 60, 20, 5).iter().filter(|ended| ended.stopped).count();
        assert!(wanted.contains(&stopped), "{way:?} {case:?}: {stopped} of 20");
    }
}

#[test]
fn trouble_that_strikes_all_makes_it_wait() {
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
    let mut said = Verdict::Pending;
    while world.second < 1_199 {
        said = analysis.add_sample(&world.moment());
        assert!(!matches!(said, Verdict::Harm(_)), "{} {said:?}", world.second);
        if said == Verdict::Pass {
            analysis.begin_stage();
        }
    }
    let mut late = 0;
    while !matches!(said, Verdict::Harm(_)) {
        late += 1;
        said = analysis.add_sample(&world.moment());
        assert!(late < 60, "found after {late} s at the earliest");
    }
    assert!(matches!(said, Verdict::Harm(why) if why.contains("sale")));
}

#[test]
fn too_little_traffic_gives_no_verdict_and_then_asks() {
    let mut analysis = analysis();
    let mut world = World { rates: vec![0.5, 0.002], ..World::new(4, 1, 1.0, 3) };
    let (seconds, said) = world.judged(&mut analysis, 2_000);
    assert_eq!(seconds, AnalysisSettings::default().max_samples);
    assert!(matches!(&said, Verdict::Inconclusive(why) if why.contains("too few calls")), "{said:?}");
    // None at all on one side.
    let mut analysis = self::analysis();
    let mut world = World { rates: vec![0.0, 0.0], ..World::new(4, 1, 1.0, 3) };
    assert_eq!(world.judged(&mut analysis, 2_000).1, Verdict::Inconclusive("no calls on both sides".into()));
}

#[test]
fn silence_restarts_and_memory_are_harm_where_the_others_have_none() {
    let moments = |change: &dyn Fn(&mut Sample, u32)| {
        let (mut analysis, mut world) = (analysis(), World::new(12, 4, 10.0, 4));
        for second in 0..200 {
            let mut moment = world.moment();
            change(&mut moment, second);
            if let said @ (Verdict::Harm(_) | Verdict::Pass) = analysis.add_sample(&moment) {
                return format!("{said:?}");
            }
        }
        "nothing".to_string()
    };
    let silent = moments(&|moment, second| moment.nodes.retain(|n| n.node != 2 || second < 5));
    assert!(silent.contains("node 2 has said nothing"), "{silent}");
    // As many of the others are silent: it is our own sight.
    let both = moments(&|moment, second| {
        moment.nodes.retain(|n| !(n.node == 2 || n.node > 4 && n.node % 4 == 3) || second < 5)
    });
    assert!(!both.contains("said nothing"), "{both}");
    let restarts = moments(&|moment, second| moment.nodes[1].restarts = second / 10);
    assert!(restarts.contains("starts of changed nodes"), "{restarts}");
    // One that says it is well and serves nobody; one that never had many calls is none of those.
    let deaf = moments(&|moment, second| {
        moment.nodes[1].is_changed = second >= 20;
        let calls = if second < 30 { 10 } else { 0 };
        moment.nodes[1]
            .methods
            .iter_mut()
            .for_each(|counts| *counts = CallCounts { calls, ..CallCounts::default() });
    });
    assert!(deaf.contains("node 1 answers hardly any calls"), "{deaf}");
    let quiet = moments(&|moment, second| {
        moment.nodes[1].is_changed = second >= 20;
        moment.nodes[1]
            .methods
            .iter_mut()
            .for_each(|counts| *counts = CallCounts { calls: 1, ..CallCounts::default() });
    });
    assert!(!quiet.contains("hardly"), "{quiet}");
    // One that falls and comes back with the former program, again and again.
    let falls = moments(&|moment, second| {
        (moment.nodes[1].restarts, moment.nodes[1].is_changed) = (second / 20, second % 20 >= 5);
    });
    assert!(falls.contains("starts of changed nodes"), "{falls}");
    let all = moments(&|moment, second| moment.nodes.iter_mut().for_each(|n| n.restarts = second / 40));
    assert!(!all.contains("starts"), "{all}");
    let heavy = moments(&|moment, second| {
        moment.nodes[..4].iter_mut().for_each(|n| n.memory_kb += u64::from(second) * 10_000)
    });
    assert!(heavy.contains("memory"), "{heavy}");
}

#[test]
fn a_node_just_changed_is_judged_apart_and_all_changed_have_nobody_beside_them() {
    let (mut analysis, mut world) = (analysis(), World { harm: 0.3, ..World::new(30, 6, 10.0, 5) });
    // Cold nodes miss more for a while; that alone is no harm.
    for _ in 0..20 {
        let mut moment = world.moment();
        for node in moment.nodes.iter_mut().filter(|node| node.is_changed) {
            node.is_warming_up = true;
            node.methods.iter_mut().for_each(|counts| counts.failed = 0);
        }
        assert_eq!(analysis.add_sample(&moment), Verdict::Pending);
    }
    // Once they should be warm it is.
    assert!(matches!(world.judged(&mut analysis, 60).1, Verdict::Harm(_)));
    let (mut analysis, mut world) = (self::analysis(), World::new(6, 6, 10.0, 6));
    assert_eq!(world.judged(&mut analysis, 60), (AnalysisSettings::default().min_samples, Verdict::Pass));
}

#[test]
fn nodes_that_tell_their_counts_at_other_moments_than_the_rest_are_not_deaf() {
    // All tell what they counted every second moment; those that were changed in the moments between.
    for (answers, wanted) in [(1.0, None), (0.1, Some("node 1 answers hardly any calls"))] {
        let (mut world, mut analysis) = (World::new(8, 0, 10.0, 3), analysis());
        let mut said = Verdict::Pending;
        for moment in 0..120 {
            world.changed = if moment < 8 { 0 } else { 4 };
            let mut now = world.moment();
            for node in &mut now.nodes {
                let tells = (moment + usize::from(node.is_changed)) % 2 == 0;
                let share = if node.is_changed && node.node == 1 { answers } else { 1.0 };
                let count = |n: u32| if tells { (f64::from(n) * 2.0 * share) as u32 } else { 0 };
                for of in &mut node.methods {
                    *of = CallCounts {
                        calls: count(of.calls),
                        missed: count(of.missed),
                        failed: count(of.failed),
                    };
                }
            }
            said = analysis.add_sample(&now);
            if matches!(said, Verdict::Harm(_)) {
                break;
            }
        }
        match wanted {
            None => assert!(!matches!(said, Verdict::Harm(_)), "{said:?}"),
            Some(why) => assert_eq!(said, Verdict::Harm(why.into())),
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
