//! Runs that call twice, and a link to the executor that breaks now and then: is any run given another call's reply?

use crate::executor::{Executor, Halt};
use crate::peers::{directory, store, Dispatcher};
use crate::world::{free_address, Answer, Folder, Node, NodeFiles, World};
use crate::{settings, Class, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SECONDS: u64 = 100;
const RATE_PER_S: u64 = 100;
const BETWEEN_BREAKS_MS: (u64, u64) = (4_000, 6_000);
/// What the executor writes comes in pieces, and the rest of a piece this much later.
const PIECES: Duration = Duration::from_millis(5);

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let world = World::new(folder);
    let temporary = Folder::new();
    let of = world.clone();
    // 5 ms, a call, about 45 ms, a second call, 5 ms.
    let pieces = Arc::new(move |_: &str, _: &[u8]| vec![5_000, of.between(38_000, 48_000), 5_000]);
    let executor = Executor::start(world.clone(), 6.0, Halt::Pause, pieces, PIECES);
    let classes =
        [Class { name: "stock-upload", effect: "free", aim_ms: 1_000, deadline_ms: 3_000, calls: true }];
    let files = NodeFiles {
        listen: free_address(),
        executor: executor.at,
        lookup: directory(),
        store: Some(store(world.clone(), Duration::from_millis(3))),
        stop_ms: 3_200,
        settings: settings(&classes, Halt::Pause, 6, 8, true),
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
    let mut break_at = begun + Duration::from_millis(world.between(BETWEEN_BREAKS_MS.0, BETWEEN_BREAKS_MS.1));
    let (mut sent, mut breaks) = (0u64, 0);
    while begun.elapsed() < Duration::from_secs(SECONDS) && world.violations().is_empty() {
        let due = begun + Duration::from_micros(sent * 1_000_000 / RATE_PER_S);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let body = format!("stock {sent}").into_bytes();
        dispatchers[(sent % 3) as usize].send("stock-upload", &body, None);
        sent += 1;
        if has_trouble && Instant::now() >= break_at {
            world.note("executor: the link breaks; no command is lost");
            executor.break_link(Duration::ZERO);
            breaks += 1;
            break_at = Instant::now()
                + Duration::from_millis(world.between(BETWEEN_BREAKS_MS.0, BETWEEN_BREAKS_MS.1));
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    let served =
        world.with(|r| r.values().filter(|r| matches!(r.answer, Some((Answer::Served(_), _)))).count());
    world.say(&format!(
        "{sent} requests, {served} served, {breaks} breaks of the link in {:.0} s",
        begun.elapsed().as_secs_f64()
    ));
    if served * 2 < sent as usize {
        return Verdict::Unplayed("fewer than half were served".into());
    }
    for violation in world.violations() {
        world.say(&violation);
    }
    if world.violations().is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
