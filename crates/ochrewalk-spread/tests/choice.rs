//! Where calls go, by table: each case is a way in which a place, or our sight of it, goes wrong.

use ochrewalk_spread::{Cause, Kind, Leaving, Listed, News, Plan, Reach, Spread, Width, KINDS};

const MS: u64 = 1_000;

fn plan(kind: Kind) -> Plan {
    let leaving = Leaving { after: 3, first_us: 200 * MS, most_us: 3_000 * MS, warm_us: 2_000 * MS };
    Plan { kind, reach: Reach::All, by_worth: true, leaving }
}

fn spread(places: u64) -> Spread {
    let mut spread = Spread::new(plan(Kind::Rounds), 7);
    spread.list(0, &(0..places).map(Listed::plain).collect::<Vec<_>>());
    spread
}

/// Calls one after the other, each answered as said; gives how many each place got.
fn calls(
    spread: &mut Spread,
    from_us: &mut u64,
    count: u64,
    mut answer: impl FnMut(usize) -> (u64, News),
) -> Vec<usize> {
    let mut got = vec![0; spread.view().of.len()];
    for _ in 0..count {
        *from_us += 100 * MS;
        let Some(slot) = spread.pick(*from_us, true, None) else { continue };
        got[slot] += 1;
        let call = *from_us;
        spread.given(*from_us, slot, call);
        let (took_us, news) = answer(slot);
        *from_us += took_us;
        spread.ended(*from_us, slot, call, news);
    }
    got
}

fn well(_: usize) -> (u64, News) {
    (20 * MS, News::Served)
}

#[test]
fn rounds_are_even_to_a_call_and_begin_elsewhere_with_each_seed() {
    let mut firsts = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let mut spread = Spread::new(plan(Kind::Rounds), seed);
        spread.list(0, &(0..10).map(Listed::plain).collect::<Vec<_>>());
        firsts.insert(spread.pick(1, true, None).unwrap());
        let mut now = 0;
        let got = calls(&mut spread, &mut now, 499, well);
        assert!(got.iter().all(|count| (49..=51).contains(count)), "{got:?}");
    }
    assert!(firsts.len() >= 8, "a herd on {firsts:?}");
}

#[test]
fn a_place_that_fails_at_once_is_no_fast_place_and_one_that_fails_like_all_is_no_worse() {
    let mut spread = spread(6);
    let mut now = 0;
    calls(&mut spread, &mut now, 60, well);
    let got =
        calls(&mut spread, &mut now, 300, |slot| if slot == 2 { (300, News::Failed) } else { well(slot) });
    assert!((1..25).contains(&got[2]), "{got:?}");
    assert_eq!(spread.view().at(2).member.cause(), Some(Cause::Failing));
    // All fail: all are asked as before.
    let mut spread = self::spread(6);
    let mut now = 0;
    calls(&mut spread, &mut now, 60, |_| (300, News::Failed));
    let got = calls(&mut spread, &mut now, 300, |_| (300, News::Failed));
    assert!(got.iter().all(|count| (35..=65).contains(count)), "{got:?}");
}

#[test]
fn three_slow_answers_do_not_outweigh_chance_but_ten_times_slower_is_found_and_forgotten() {
    let mut spread = spread(6);
    let mut now = 0;
    calls(&mut spread, &mut now, 60, well);
    let mut left = 3;
    let got = calls(&mut spread, &mut now, 60, |slot| {
        let slow = slot == 1 && left > 0;
        left -= i32::from(slow);
        (if slow { 40 * MS } else { 20 * MS }, News::Served)
    });
    assert!(got[1] >= 8, "{got:?}");
    let slow = |slot| (if slot == 1 { 200 * MS } else { 20 * MS }, News::Served);
    let got = calls(&mut spread, &mut now, 300, slow);
    assert!((2..30).contains(&got[1]), "a fifth of the others at most, and asked again: {got:?}");
    calls(&mut spread, &mut now, 120, well);
    let got = calls(&mut spread, &mut now, 120, well);
    assert!(got[1] >= 16, "{got:?}");
}

#[test]
fn a_place_that_says_nothing_gets_no_more_until_it_speaks() {
    let mut spread = spread(6);
    let mut now = 0;
    calls(&mut spread, &mut now, 60, well);
    // One is stopped: its call is given and never answered.
    let stopped = loop {
        let slot = spread.pick(now, true, None).unwrap();
        spread.given(now, slot, 1);
        if slot == 4 {
            break slot;
        }
        spread.ended(now + 20 * MS, slot, 1, News::Served);
    };
    now += 200 * MS;
    assert_eq!(spread.word(stopped, now), "suspect");
    let got = calls(&mut spread, &mut now, 60, well);
    assert_eq!(got[4], 0, "{got:?}");
    spread.ended(now, stopped, 1, News::Served);
    assert!(calls(&mut spread, &mut now, 60, well)[4] >= 4);
}

#[test]
fn where_all_seem_silent_it_is_our_own_clock_and_calls_go_on() {
    for kind in KINDS.map(|(_, kind)| kind) {
        let mut spread = Spread::new(plan(kind), 7);
        spread.list(0, &(0..6).map(Listed::plain).collect::<Vec<_>>());
        let mut now = 0;
        calls(&mut spread, &mut now, 60, well);
        for call in 0..12 {
            let slot = spread.pick(now, true, None).unwrap();
            spread.given(now, slot, call);
        }
        // We slept for five seconds.
        now += 5_000 * MS;
        for _ in 0..6 {
            assert!(spread.pick(now, false, None).is_some(), "{kind:?}");
        }
    }
}

/// Puts a place out by that cause.
fn put_out(spread: &mut Spread, now_us: u64, slot: usize, cause: Cause) {
    (0..3).for_each(|_| spread.failed(now_us, slot, cause));
    assert_eq!(spread.word(slot, now_us), "out");
}

#[test]
fn where_most_are_out_by_silence_the_view_is_doubted_but_not_what_is_proven() {
    for (cause, doubted) in [(Cause::Failing, true), (Cause::Unreached, false)] {
        let mut spread = spread(8);
        let mut now = 0;
        calls(&mut spread, &mut now, 80, well);
        (0..6).for_each(|slot| put_out(&mut spread, now, slot, cause));
        assert!(spread.view().is_doubted);
        let mut got = [0; 8];
        (0..80).for_each(|_| got[spread.pick(now, false, None).unwrap()] += 1);
        let most = *got.iter().max().unwrap();
        assert_eq!(most < 30, doubted, "{cause:?}: {got:?}");
    }
}

#[test]
fn with_all_out_the_answer_is_none_and_when_to_come_back() {
    let mut spread = spread(3);
    (0..3).for_each(|slot| put_out(&mut spread, 0, slot, Cause::Unreached));
    assert_eq!(spread.pick(1, true, None), None);
    let at = spread.come_back_us().unwrap();
    assert!((150 * MS..=250 * MS).contains(&at), "{at}");
    let slot = spread.pick(at, true, None).expect("one is due");
    spread.given(at, slot, 1);
    assert_eq!((spread.word(slot, at), spread.pick(at, true, None)), ("trying", None), "one trial at a time");
    spread.ended(at + MS, slot, 1, News::Served);
    assert_eq!(spread.pick(at + MS, false, None), Some(slot));
    // None at all.
    let mut nothing = Spread::new(plan(Kind::Rounds), 1);
    assert_eq!((nothing.pick(0, true, None), nothing.come_back_us()), (None, None));
    nothing.list(5, &[]);
    assert_eq!(nothing.pick(6, true, None), None);
}

#[test]
fn probes_are_harmless_calls_and_one_call_in_five_at_most() {
    let mut spread = spread(10);
    let mut now = 0;
    calls(&mut spread, &mut now, 100, well);
    (0..4).for_each(|slot| put_out(&mut spread, now, slot, Cause::Unreached));
    now += 400 * MS;
    // Each of four earns a tenth of a sixth of each call: after 60 calls all have earned a whole probe.
    assert!(
        (0..60).all(|_| spread.pick(now, false, None).unwrap() >= 4),
        "not one that may not happen twice"
    );
    let mut probes = Vec::new();
    for call in 1_000..1_020 {
        let slot = spread.pick(now, true, None).unwrap();
        spread.given(now, slot, call);
        let is_probe = slot < 4;
        if is_probe {
            probes.push((call, slot));
            assert_eq!(spread.word(slot, now), "trying");
        }
        spread.ended(now, slot, call, if is_probe { News::Unreached } else { News::Served });
    }
    let probed_at: Vec<u64> = probes.iter().map(|(call, _)| *call).collect();
    assert_eq!(probed_at, [1_000, 1_005, 1_010, 1_015], "one in five calls");
    let mut probed: Vec<usize> = probes.iter().map(|(_, slot)| *slot).collect();
    probed.sort_unstable();
    assert_eq!(probed, [0, 1, 2, 3], "each once");
    let pause_us = spread.come_back_us().unwrap() - now;
    assert!((300 * MS..=500 * MS).contains(&pause_us), "twice the first: {pause_us}");
}

#[test]
fn an_endpoint_is_probed_by_a_tenth_of_its_share_of_the_calls_from_a_drawn_point_on() {
    // One of ten is out, so that each of nine takes a ninth of the calls, and a tenth of that is one call in 90.
    const CALLS_TO_PROBE: u64 = 90;
    let mut firsts = Vec::new();
    for seed in 0..40 {
        let mut spread = Spread::new(plan(Kind::Rounds), seed);
        spread.list(0, &(0..10).map(Listed::plain).collect::<Vec<_>>());
        let mut now = 0;
        calls(&mut spread, &mut now, 100, well);
        put_out(&mut spread, now, 3, Cause::Unreached);
        now += 400 * MS;
        // Time between two calls counts as well; it does not pass from here on.
        spread.pick(now, false, None).unwrap();
        let mut probes = Vec::new();
        for call in 1..=3 * CALLS_TO_PROBE {
            let slot = spread.pick(now, true, None).unwrap();
            spread.given(now, slot, call);
            if slot == 3 {
                probes.push(call);
                assert!(
                    (0..200).all(|_| spread.pick(now, true, None) != Some(3)),
                    "not while one is under way, and nothing is earned meanwhile"
                );
            }
            spread.ended(now, slot, call, if slot == 3 { News::Nothing } else { News::Served });
        }
        let apart: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(
            apart.iter().all(|calls| (CALLS_TO_PROBE..=CALLS_TO_PROBE + 1).contains(calls)),
            "seed {seed}: {probes:?}"
        );
        assert!(probes[0] <= CALLS_TO_PROBE && probes.len() >= 2, "seed {seed}: {probes:?}");
        firsts.push(probes[0]);
    }
    let mean = firsts.iter().sum::<u64>() as f64 / firsts.len() as f64;
    assert!(
        (33.0..=58.0).contains(&mean),
        "45 and three standard errors of 40 drawn points: {mean} of {firsts:?}"
    );
}

#[test]
fn a_node_that_waited_long_for_its_probe_begins_its_ramp_in_the_middle_of_the_wait() {
    // The ramp takes 2 s. Calls come in steps of that many milliseconds after the pause. The first probe fails, so that a
    // whole one is earned until the second, which is answered.
    for (step_ms, wanted) in [(10, "back"), (200, "in")] {
        let mut spread = spread(10);
        let mut now = 0;
        calls(&mut spread, &mut now, 100, well);
        put_out(&mut spread, now, 3, Cause::Unreached);
        let mut waited_us = 0;
        for news in [News::Unreached, News::Served] {
            let from_us = spread.come_back_us().unwrap();
            now = from_us;
            while spread.word(3, now) == "out" {
                now += step_ms * MS;
                let slot = spread.pick(now, true, None).unwrap();
                spread.given(now, slot, now);
                if slot == 3 {
                    break;
                }
                spread.ended(now, slot, now, News::Served);
            }
            waited_us = now - from_us;
            spread.ended(now, 3, now, news);
        }
        let warmth = 0.1 + 0.9 * (waited_us as f64 / 2.0 / 2e6).min(1.0);
        let got = spread.view().at(3).member.warmth(now);
        assert!((got - warmth).abs() < 1e-6, "{got} where {warmth} is wanted: waited {waited_us} us");
        assert_eq!(spread.word(3, now), wanted, "waited {waited_us} us");
    }
    // A node that was idle has not waited, whatever time has passed.
    let mut spread = spread(1);
    put_out(&mut spread, 0, 0, Cause::Unreached);
    let hour_us = 3_600_000 * MS;
    assert_eq!(spread.pick(hour_us, true, None), Some(0));
    spread.given(hour_us, 0, 1);
    spread.ended(hour_us, 0, 1, News::Served);
    assert!(
        spread.view().at(0).member.warmth(hour_us) <= 0.1 + 0.9 * 0.25 + 1e-9,
        "a second at most, halved"
    );
}

#[test]
fn a_place_that_is_new_gets_its_share_gradually_and_only_one_place_gets_all() {
    let mut spread = spread(9);
    let mut now = 0;
    calls(&mut spread, &mut now, 90, well);
    spread.list(now, &(0..10).map(Listed::plain).collect::<Vec<_>>());
    assert_eq!(spread.word(9, now), "joining");
    let first = calls(&mut spread, &mut now, 8, |_| (0, News::Served))[9];
    let cold = calls(&mut spread, &mut now, 20, |_| (0, News::Served));
    let warm = calls(&mut spread, &mut now, 100, |_| (0, News::Served));
    assert!(first <= 1 && cold[9] <= 2 && (9..=11).contains(&warm[9]), "{first} {cold:?} {warm:?}");
    let mut one = self::spread(1);
    assert_eq!(calls(&mut one, &mut 0, 10, well), [10]);
    assert_eq!(one.pick(0, true, Some(0)), Some(0), "there is only the one to avoid");
}

#[test]
fn a_slot_is_its_places_until_nothing_is_under_way_there() {
    let mut spread = spread(3);
    spread.given(0, 1, 77);
    let slots = spread.list(1, &[Listed::plain(0), Listed::plain(2), Listed::plain(50)]);
    assert_eq!(slots, [0, 2, 3], "not 1: a call is under way there");
    assert_eq!((spread.word(1, 1), spread.is_listed(1)), ("leaving", false));
    assert!((0..30).all(|_| spread.pick(2, true, None) != Some(1)));
    spread.ended(3, 1, 77, News::Served);
    assert_eq!(spread.word(1, 3), "gone");
    let slots = spread.list(4, &[Listed::plain(0), Listed::plain(60), Listed::plain(50)]);
    assert_eq!(slots, [0, 1, 3]);
    // It went and came before its call ended: its call is its own.
    spread.given(5, 1, 78);
    spread.list(6, &[Listed::plain(0), Listed::plain(50)]);
    assert_eq!(spread.list(7, &[Listed::plain(60), Listed::plain(0)]), [1, 0]);
    assert_eq!((spread.view().at(1).in_hand(), spread.word(1, 7)), (1, "joining"));
}

#[test]
fn far_places_are_called_only_as_far_as_near_ones_have_no_room() {
    let near = |key| Listed::plain(key);
    let far = |key| Listed { is_near: false, ..Listed::plain(key) };
    let mut spread = Spread::new(plan(Kind::Rounds), 7);
    spread.list(0, &[near(0), near(1), near(2), far(3), far(4), far(5)]);
    let mut now = 0;
    let got = calls(&mut spread, &mut now, 90, well);
    assert_eq!(got[3..], [0, 0, 0], "{got:?}");
    let full = |slot| if slot < 3 { (MS, News::Refused) } else { well(slot) };
    calls(&mut spread, &mut now, 200, full);
    let got = calls(&mut spread, &mut now, 120, full);
    assert!(got[3..].iter().all(|count| *count >= 18), "evenly: {got:?}");
    calls(&mut spread, &mut now, 3_000, well);
    let got = calls(&mut spread, &mut now, 90, well);
    assert!(got[3..].iter().sum::<usize>() <= 9, "back home: {got:?}");
    // The near ones are gone: the far ones take all.
    (0..3).for_each(|slot| put_out(&mut spread, now, slot, Cause::Unreached));
    assert!(spread.pick(now, false, None).unwrap() >= 3);
}

#[test]
fn whoever_is_out_of_a_small_reach_has_one_to_stand_in() {
    let mut plan = plan(Kind::Rounds);
    plan.reach = Reach::Drawn { places: 4 };
    let mut spread = Spread::new(plan, 7);
    spread.list(0, &(0..20).map(Listed::plain).collect::<Vec<_>>());
    let own = spread.view().reach.clone();
    assert_eq!(own.len(), 4);
    put_out(&mut spread, 0, own[0], Cause::Unreached);
    put_out(&mut spread, 0, own[1], Cause::Unreached);
    let mut now = 100 * MS;
    let got = calls(&mut spread, &mut now, 1, well);
    assert_eq!(got.iter().sum::<usize>(), 1);
    assert_eq!(spread.view().reach.iter().filter(|slot| spread.view().takes(**slot)).count(), 4);
    assert!(!spread.view().is_doubted);
}

#[test]
fn a_node_with_much_in_hand_calls_more_places_and_fewer_again_late() {
    let mut width = Width::default();
    let mut now = 0;
    let mut seconds = |width: &mut Width, count: u64, in_hand: u64| {
        for _ in 0..count {
            (0..in_hand).for_each(|_| width.given(now));
            now += 1_000_000;
            (0..in_hand).for_each(|_| width.ended(now));
            width.look(now, 6);
        }
        width.times()
    };
    assert_eq!(seconds(&mut width, 10, 2), 1);
    assert_eq!(seconds(&mut width, 1, 24), 2, "by doublings");
    assert_eq!(seconds(&mut width, 8, 24), 8);
    assert_eq!(seconds(&mut width, 9, 2), 8, "late");
    assert_eq!(seconds(&mut width, 1, 2), 4);
    assert_eq!(seconds(&mut width, 9, 12), 4, "what is wanted is near enough");
    assert_eq!(seconds(&mut width, 40, 0), 1);
}

#[test]
fn where_all_are_out_callers_are_told_when_one_is_tried_and_each_a_little_apart() {
    let mut spread = Spread::new(plan(Kind::Rounds), 7);
    spread.list(0, &(0..3).map(Listed::plain).collect::<Vec<_>>());
    assert_eq!(spread.closed_us(0), None);
    for slot in 0..2 {
        put_out(&mut spread, 0, slot, Cause::Unreached);
    }
    assert_eq!(spread.closed_us(0), None, "one takes calls");
    put_out(&mut spread, 0, 2, Cause::Unreached);
    let first_us = spread.come_back_us().unwrap().max(200 * MS);
    let told: Vec<u64> = (0..100).map(|_| spread.closed_us(0).unwrap()).collect();
    assert!(told.iter().all(|us| (first_us..=first_us * 3 / 2).contains(us)), "{first_us}: {told:?}");
    let mut apart = told.clone();
    apart.sort_unstable();
    apart.dedup();
    assert!(apart.len() > 50, "{apart:?}");
    // One that could be tried any moment is no promise yet.
    assert!(spread.closed_us(first_us + 1).unwrap() >= 200 * MS);
    // Those that only fail are asked all the same where most seem out.
    let mut spread = Spread::new(plan(Kind::Rounds), 7);
    spread.list(0, &[Listed::plain(1)]);
    put_out(&mut spread, 0, 0, Cause::Failing);
    assert_eq!(spread.closed_us(0), None);
}
