//! An upgrade to a program that crashes as soon as it has taken the listener: does the old one carry on?

use crate::executor::{Executor, Halt};
use crate::peers::{directory, store, Dispatcher};
use crate::world::{free_address, root, Folder, Node, NodeFiles, World};
use crate::{settings, Class, Verdict};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let world = World::new(folder);
    let temporary = Folder::new();
    let pieces = Arc::new(|_: &str, _: &[u8]| vec![30_000, 30_000]);
    let executor = Executor::start(world.clone(), 6.0, Halt::Pause, pieces, Duration::ZERO);
    let classes = [
        Class { name: "stock-upload", effect: "free", aim_ms: 1_000, deadline_ms: 3_000, calls: true },
        Class { name: "sale-record", effect: "guarded", aim_ms: 1_000, deadline_ms: 3_000, calls: true },
    ];
    let control = temporary.0.join("control");
    let files = NodeFiles {
        listen: free_address(),
        executor: executor.at,
        lookup: directory(),
        store: Some(store(world.clone(), Duration::from_millis(20))),
        stop_ms: 3_200,
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
    let Some(old) = node.children().first().copied() else {
        return Verdict::Unplayed("no program serves under the one that was started".into());
    };
    let program = root().join("target/release/ochrewalk");
    let new_version = temporary.0.join("new-version");
    // The new version ends by a fault of its own as soon as the old one has left it the listener.
    let fault = if has_trouble {
        format!("ulimit -c 0\n(while kill -0 {old} 2>/dev/null; do sleep 0.001; done; kill -SEGV $$) &\n")
    } else {
        String::new()
    };
    std::fs::write(&new_version, format!("#!/bin/sh\n{fault}exec {} \"$@\"\n", program.display()))
        .expect("a file");
    std::fs::set_permissions(&new_version, std::fs::Permissions::from_mode(0o755)).expect("a mode");
    let begun = Instant::now();
    let (mut sent, mut upgrade) = (0u64, None);
    while begun.elapsed() < Duration::from_secs(8) {
        let dispatcher = &dispatchers[(sent % 3) as usize];
        let body = format!("body {sent}").into_bytes();
        let request = if sent % 8 == 0 {
            dispatcher.send("sale-record", &body, Some(&format!("{sent:032x}")))
        } else {
            dispatcher.send("stock-upload", &body, None)
        };
        sent += u64::from(request.is_some());
        if upgrade.is_none() && begun.elapsed() > Duration::from_secs(2) {
            let mut command = Command::new(&program);
            command.args(["upgrade", "--control"]).arg(&control).arg("--program").arg(&new_version);
            upgrade = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().ok();
            world.note("operator: asks for the upgrade");
        }
        std::thread::sleep(Duration::from_millis(15));
    }
    std::thread::sleep(Duration::from_millis(3_500));
    let said = upgrade.and_then(|child| child.wait_with_output().ok()).map(|out| {
        format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
            .trim()
            .to_string()
    });
    let unanswered = world.with(|r| r.values().filter(|r| r.answer.is_none()).count());
    let listens = TcpStream::connect_timeout(&files.listen, Duration::from_secs(1)).is_ok();
    world.say(&format!(
        "{sent} requests; the upgrade ended: {:?}; {unanswered} requests without an answer; the node {} and {}",
        said.unwrap_or_default(),
        if node.is_running() { "runs" } else { "has ended" },
        if listens { "listens" } else { "refuses connections" }
    ));
    world.note(&format!("the node's log:\n{}", node.log()));
    if unanswered > 0 || !listens {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
