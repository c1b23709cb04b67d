//! Processes that start anew while what they talk to is late.

use crate::helper::*;
use crate::WARM;
use std::net::{SocketAddr, TcpListener};

const PROCESSES: usize = 10;

/// A process that was killed and started anew, with nobody yet at the addresses of its executor and its directory.
struct Restarted {
    stand: Stand,
    executor_at: SocketAddr,
    directory_at: SocketAddr,
}

impl Restarted {
    fn start() -> Restarted {
        let free = |port: u16| own_address(port).parse::<SocketAddr>().unwrap();
        let (executor_at, directory_at) = (free(7301), free(7302));
        let stand = Stand::with(|config| {
            config["executor"] = executor_at.to_string().into();
            config["lookup"] = directory_at.to_string().into();
        });
        assert!(stand.caller().ask(HEARTBEAT).contains("\"pass\":false"));
        Restarted { stand: stand.again(), executor_at, directory_at }
    }
}

/// Ten processes start anew, their executors come up late and their directories after that: each process takes calls once
/// its executor is up, before its directory is, and the directory hears of it once it is there.
#[test]
fn ten_restarted_processes_are_ready_once_their_late_executors_are() {
    let restarted: Vec<Restarted> = (0..PROCESSES).map(|_| Restarted::start()).collect();
    for process in &restarted {
        assert!(process.stand.caller().ask(HEARTBEAT).contains("\"pass\":false"), "no executor yet");
    }
    for (at, process) in restarted.iter().enumerate() {
        let listener = TcpListener::bind(process.executor_at).unwrap();
        let mut executor = Peer::accept(&listener);
        assert_eq!(executor.hear(), r#"{"action":"JOIN","pos":0}"#);
        executor.say(WARM);
        let mut caller = process.stand.caller();
        caller.wait_healthy();
        let number = at as u64 + 2;
        caller.say(&rpc(number, "look"));
        executor.hear_of(&exec(number, "look"));
        executor.say(&exit(1, number, "complete"));
        assert_eq!(caller.hear(), served(number));
        let directory = TcpListener::bind(process.directory_at).unwrap();
        let mut report = Peer::accept(&directory);
        assert_eq!(report.hear(), "PUT /dir/nodes/n3 HTTP/1.1");
        while !report.hear().is_empty() {}
        assert_eq!(report.hear_bytes(15), br#"{"mode":"open"}"#);
    }
}
