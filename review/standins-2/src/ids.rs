//! AJP requests without ids of their own, and one upgrade: are they run afterwards as before?

use crate::ajp::WebServer;
use crate::executor::{result_of, Executor, Halt, Knows};
use crate::peers::{directory, Dispatcher};
use crate::world::{free_address, root, Folder, Node, NodeFiles, World};
use crate::{settings, Class, Verdict};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WEB_SERVERS: usize = 4;
/// Of each of them.
const RATE_PER_S: u64 = 10;
const BEFORE: Duration = Duration::from_secs(30);
const AFTER: Duration = Duration::from_secs(25);
/// Requests from this long after the upgrade on are judged.
const JUDGED_AFTER: Duration = Duration::from_secs(2);

/// When a request was sent, and the status of its answer; 0 where it got none.
type Outcomes = Arc<Mutex<Vec<(Instant, u16)>>>;

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let world = World::new(folder);
    let temporary = Folder::new();
    let pieces = Arc::new(|_: &str, _: &[u8]| vec![8_000]);
    let executor =
        Executor::start_for(Knows::Everything, world.clone(), 2.0, Halt::Drop, pieces, Duration::ZERO);
    let classes =
        [Class { name: "stock-upload", effect: "free", aim_ms: 700, deadline_ms: 2_000, calls: false }];
    let control = temporary.0.join("control");
    let ajp = free_address();
    let operators = format!(
        "upgrade control {}\najp listen {ajp}\najp allow 127.0.0.0/8\najp memory 20.5\najp route POST /stock stock-upload\n",
        control.display()
    );
    let files = NodeFiles {
        listen: free_address(),
        executor: executor.at,
        lookup: directory(),
        store: None,
        stop_ms: 3_200,
        settings: settings(&classes, Halt::Drop, 2, 8, false),
        operators: Some(operators),
    };
    let mut node = Node::start(&temporary.0, &files);
    if !node.wait() {
        return Verdict::Unplayed(format!("the node does not listen: {}", node.log()));
    }
    let Ok(checker) = Dispatcher::connect(&world, files.listen) else {
        return Verdict::Unplayed("no connection".into());
    };
    if !checker.wait_healthy() {
        return Verdict::Unplayed("the node is not healthy".into());
    }
    let outcomes = Outcomes::default();
    let begun = Instant::now();
    let ends = begun + BEFORE + AFTER;
    let servers: Vec<_> = (0..WEB_SERVERS)
        .map(|number| {
            let (world, outcomes) = (world.clone(), outcomes.clone());
            std::thread::spawn(move || serve(&world, WebServer::new(ajp), number, ends, &outcomes))
        })
        .collect();
    std::thread::sleep(BEFORE);
    let upgraded = Instant::now();
    let mut said = "none asked for".to_string();
    if has_trouble {
        let program = root().join("target/release/ochrewalk");
        let mut command = Command::new(&program);
        command.args(["upgrade", "--control"]).arg(&control).arg("--program").arg(&program);
        said = match command.stdin(Stdio::null()).output() {
            Ok(out) => {
                format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
            }
            Err(error) => error.to_string(),
        };
    }
    world.note(&format!("operator: upgrade: {}", said.trim()));
    for server in servers {
        let _ = server.join();
    }
    let outcomes = outcomes.lock().expect("no panic under it");
    let share = |from: Instant, to: Instant| {
        let sent: Vec<u16> = outcomes.iter().filter(|o| o.0 >= from && o.0 < to).map(|o| o.1).collect();
        let of = |status: u16| sent.iter().filter(|s| **s == status).count();
        (sent.len(), of(200), of(503), of(409), of(500), of(0))
    };
    let (sent, served, ..) = share(begun, upgraded);
    world.say(&format!("before the upgrade: {served} of {sent} served; upgrade: {}", said.trim()));
    if served * 10 < sent * 9 || has_trouble && said.trim() != "handed over" {
        return Verdict::Unplayed("the node did not serve, or the upgrade failed".into());
    }
    let (sent, served, refused, conflicts, aborted, none) = share(upgraded + JUDGED_AFTER, ends);
    world.say(&format!(
        "from {} s after it: {served} of {sent} served, {refused} refused (503), {conflicts} in conflict (409), \
         {aborted} aborted (500), {none} without an answer",
        JUDGED_AFTER.as_secs()
    ));
    for violation in world.violations() {
        world.say(&violation);
    }
    if served * 2 < sent || !world.violations().is_empty() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn serve(world: &World, mut server: WebServer, number: usize, ends: Instant, outcomes: &Outcomes) {
    let mut sent = 0;
    while Instant::now() < ends {
        let begun = Instant::now();
        let body = format!("body {sent} of web server {number}").into_bytes();
        let reply = server.post("/stock", &body);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        world.note(&format!("web server {number}: request {sent} is answered {status}"));
        if reply.is_some_and(|reply| reply.status == 200 && reply.body != result_of(&body)) {
            world.violation(format!("request {sent} of web server {number} got the result of another"));
        }
        outcomes.lock().expect("no panic under it").push((begun, status));
        sent += 1;
        let next = begun + Duration::from_micros(1_000_000 / RATE_PER_S);
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
