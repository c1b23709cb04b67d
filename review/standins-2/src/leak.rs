//! Requests that must not run twice, an executor whose stopped runs are lost, and a link to it that breaks now and then and takes the
//! commands of its last 45 ms with it: does the node still take work afterwards?

use crate::executor::{Executor, Halt};
use crate::peers::{directory, Dispatcher};
use crate::world::{free_address, Answer, Folder, Node, NodeFiles, World};
use crate::{settings, Class, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RATE_PER_S: u64 = 190;
/// So many of a hundred requests must not run twice.
const SINGLE_PERCENT: u64 = 41;
const BREAKS: u64 = 30;
const BETWEEN_BREAKS: Duration = Duration::from_millis(2_400);
/// Under the 50 ms of the page.
const LOST: Duration = Duration::from_millis(45);
const QUIET: Duration = Duration::from_secs(6);
const PROBES: u64 = 80;
const PROBES_PER_S: u64 = 5;

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let world = World::new(folder);
    let temporary = Folder::new();
    let pieces = Arc::new(|_: &str, _: &[u8]| vec![6_000]);
    let executor = Executor::start(world.clone(), 2.0, Halt::Drop, pieces, Duration::ZERO);
    let classes = [
        Class { name: "slot-search", effect: "free", aim_ms: 700, deadline_ms: 2_000, calls: false },
        Class { name: "slot-book", effect: "single_shot", aim_ms: 700, deadline_ms: 2_000, calls: false },
    ];
    let files = NodeFiles {
        listen: free_address(),
        executor: executor.at,
        lookup: directory(),
        store: None,
        stop_ms: 3_200,
        settings: settings(&classes, Halt::Drop, 2, 8, false),
        operators: None,
    };
    let mut node = Node::start(&temporary.0, &files);
    if !node.wait() {
        return Verdict::Unplayed(format!("the node does not listen: {}", node.log()));
    }
    let Ok(dispatchers) =
        (0..3).map(|_| Dispatcher::connect(&world, files.listen)).collect::<Result<Vec<_>, _>>()
    else {
        return Verdict::Unplayed("no connection".into());
    };
    if !dispatchers[0].wait_healthy() {
        return Verdict::Unplayed("the node is not healthy".into());
    }
    let begun = Instant::now();
    let mut sent = 0u64;
    let mut breaks = 0u64;
    let ends = begun + BETWEEN_BREAKS * (BREAKS as u32 + 1);
    let at = |sent: u64| begun + Duration::from_micros(sent * 1_000_000 / RATE_PER_S);
    while Instant::now() < ends {
        std::thread::sleep(at(sent).saturating_duration_since(Instant::now()));
        send(&dispatchers[(sent % 3) as usize], sent);
        sent += 1;
        if breaks < BREAKS && Instant::now() >= begun + BETWEEN_BREAKS * (breaks as u32 + 1) {
            breaks += 1;
            if has_trouble {
                world.note("executor: the link breaks, the commands of the last 45 ms are lost");
                let executor = &executor;
                std::thread::scope(|scope| {
                    let breaking = scope.spawn(move || executor.break_link(LOST));
                    while !breaking.is_finished() {
                        std::thread::sleep(at(sent).saturating_duration_since(Instant::now()));
                        send(&dispatchers[(sent % 3) as usize], sent);
                        sent += 1;
                    }
                });
            }
        }
    }
    let count = |is: &dyn Fn(&Answer) -> bool| {
        world.with(|r| r.values().filter(|r| r.answer.as_ref().is_some_and(|(a, _)| is(a))).count())
    };
    std::thread::sleep(QUIET);
    let served = count(&|a| matches!(a, Answer::Served(_)));
    let counts = executor.counts();
    world.say(&format!(
        "{sent} requests with {} breaks: {served} served, {} refused, {} failed; {} starts lost; links {}; now {} run",
        if has_trouble { breaks } else { 0 },
        count(&|a| *a == Answer::Refused),
        count(&|a| matches!(a, Answer::Failed(_))),
        counts.lost_commands.iter().filter(|c| c.starts_with("EXEC")).count(),
        counts.links,
        counts.running
    ));
    if counts.running > 0 || served * 2 < sent as usize && !has_trouble {
        return Verdict::Unplayed(
            "the executor is not idle, or little was served without any trouble".into(),
        );
    }
    // Long after the last trouble, with nothing running: a few harmless requests, a fiftieth of what the cores can do.
    let mut probes = Vec::new();
    for _ in 0..PROBES {
        std::thread::sleep(Duration::from_micros(1_000_000 / PROBES_PER_S));
        probes.extend(dispatchers[0].send("slot-search", b"probe", None));
    }
    std::thread::sleep(Duration::from_secs(3));
    let served = world
        .with(|r| probes.iter().filter(|id| matches!(r[*id].answer, Some((Answer::Served(_), _)))).count());
    world.say(&format!("after the trouble, on idle cores: {served} of {} served", probes.len()));
    if probes.len() < PROBES as usize {
        return Verdict::Unplayed("the connection ended".into());
    }
    for violation in world.violations() {
        world.say(&violation);
    }
    if served * 2 < probes.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn send(dispatcher: &Dispatcher, number: u64) {
    let body = format!("slot {number}").into_bytes();
    let method = if number * 41 % 100 < SINGLE_PERCENT { "slot-book" } else { "slot-search" };
    dispatcher.send(method, &body, None);
}
