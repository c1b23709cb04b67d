//! A new configuration with SIGHUP that comes in the middle of an upgrade: does the node go on at the new addresses?

use crate::executor::{Executor, Halt};
use crate::peers::{directory, store, Dispatcher};
use crate::proxy::Address;
use crate::world::{free_address, root, signal, Answer, Folder, Node, NodeFiles, World, HUP};
use crate::{settings, Class, Verdict};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// No move begins later; a move and its judgement take 14 s at most.
const LAST_MOVE: Duration = Duration::from_secs(90);
/// The signal comes this long after the request for the upgrade, in microseconds.
const OFFSET_US: (u64, u64) = (2_000, 32_000);
/// Connections to the addresses before are closed then.
const OLD_CLOSES: Duration = Duration::from_millis(1_500);
/// From then on the node is long at the new addresses; requests sent within the window are judged.
const JUDGED_AFTER: Duration = Duration::from_millis(2_500);
const WINDOW: Duration = Duration::from_millis(1_500);
const LONG_WINDOW: Duration = Duration::from_secs(8);

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let world = World::new(folder);
    let temporary = Folder::new();
    let pieces = Arc::new(|_: &str, _: &[u8]| vec![8_000, 8_000]);
    let executor = Executor::start(world.clone(), 6.0, Halt::Pause, pieces, Duration::ZERO);
    let store = store(world.clone(), Duration::from_millis(5));
    let classes = [
        Class { name: "stock-upload", effect: "free", aim_ms: 300, deadline_ms: 900, calls: true },
        Class { name: "sale-record", effect: "guarded", aim_ms: 300, deadline_ms: 900, calls: true },
    ];
    let (mut executor_at, mut store_at) = (Address::of(executor.at), Address::of(store));
    let control = temporary.0.join("control");
    let mut files = NodeFiles {
        listen: free_address(),
        executor: executor_at.at,
        lookup: directory(),
        store: Some(store_at.at),
        stop_ms: 2_000,
        settings: settings(&classes, Halt::Pause, 6, 8, true),
        operators: Some(format!("upgrade control {}\n", control.display())),
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
    let is_over = Arc::new(AtomicBool::new(false));
    let (until, of) = (is_over.clone(), world.clone());
    let load = std::thread::spawn(move || {
        let mut sent = 0u64;
        while !until.load(Ordering::Relaxed) {
            let dispatcher = &dispatchers[(sent % 3) as usize];
            let body = format!("body {sent}").into_bytes();
            if sent % 8 == 0 {
                dispatcher.send("sale-record", &body, Some(&format!("{sent:032x}")));
            } else {
                dispatcher.send("stock-upload", &body, None);
            }
            sent += 1;
            std::thread::sleep(Duration::from_micros(of.between(12_000, 18_000)));
        }
    });
    std::thread::sleep(Duration::from_secs(2));
    let begun = Instant::now();
    let (mut moves, mut outcome) = (0, None);
    while begun.elapsed() < LAST_MOVE && outcome.is_none() {
        moves += 1;
        let (next_executor, next_store) = (Address::of(executor.at), Address::of(store));
        (files.executor, files.store) = (next_executor.at, Some(next_store.at));
        let upgrade = request_upgrade(&control);
        if !has_trouble {
            // The same without the coincidence: the upgrade is long over when the signal comes.
            std::thread::sleep(Duration::from_secs(1));
        }
        let offset_us = world.between(OFFSET_US.0, OFFSET_US.1);
        std::thread::sleep(Duration::from_micros(offset_us));
        let new = temporary.0.join("config.new");
        std::fs::write(&new, files.text()).expect("a temporary file");
        std::fs::rename(&new, temporary.0.join("config.json")).expect("a temporary file");
        signal(node.pid(), HUP);
        let signalled = Instant::now();
        (executor_at.close(), store_at.close());
        std::thread::sleep(OLD_CLOSES);
        (executor_at.end_connections(), store_at.end_connections());
        let said = upgrade.and_then(|child| child.wait_with_output()).map(|out| {
            format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
                .trim()
                .to_string()
        });
        world.note(&format!(
            "operator: move {moves}: SIGHUP {offset_us} us after the request for an upgrade, which ended: {}",
            said.unwrap_or_else(|error| error.to_string())
        ));
        std::thread::sleep(JUDGED_AFTER - OLD_CLOSES);
        let (sent, served) = judge(&world, WINDOW);
        let text = format!(
            "move {moves}, {} ms after SIGHUP: {served} of {sent} served; connections to the new addresses: executor {}, store {}",
            signalled.elapsed().as_millis(),
            next_executor.accepted(),
            next_store.accepted()
        );
        world.note(&text);
        if served * 2 < sent {
            world.say(&text);
            // Does it get over it by itself?
            let (sent, served) = judge(&world, LONG_WINDOW);
            world.say(&format!("in the {} s after that: {served} of {sent} served", LONG_WINDOW.as_secs()));
            outcome = Some(served * 2 < sent);
        }
        (executor_at, store_at) = (next_executor, next_store);
        if !node.is_running() {
            return Verdict::Unplayed(format!("the node has ended: {}", node.log()));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = load.join();
    let (sent, served) = count(&world, begun - Duration::from_secs(2), Instant::now());
    world.say(&format!("{moves} moves; in all {served} of {sent} served"));
    for violation in world.violations() {
        world.say(&violation);
    }
    if outcome == Some(true) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn request_upgrade(control: &Path) -> std::io::Result<std::process::Child> {
    let program = root().join("target/release/ochrewalk");
    let mut command = Command::new(&program);
    command.args(["upgrade", "--control"]).arg(control).arg("--program").arg(&program);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()
}

/// Returns how many requests are sent within the window from now on, and how many of them are served by their deadline.
fn judge(world: &World, window: Duration) -> (usize, usize) {
    let from = Instant::now();
    std::thread::sleep(window);
    let to = Instant::now();
    std::thread::sleep(Duration::from_secs(1));
    count(world, from, to)
}

fn count(world: &World, from: Instant, to: Instant) -> (usize, usize) {
    world.with(|requests| {
        let sent: Vec<_> = requests.values().filter(|r| r.sent >= from && r.sent < to).collect();
        let served = sent.iter().filter(|r| matches!(r.answer, Some((Answer::Served(_), _)))).count();
        (sent.len(), served)
    })
}
