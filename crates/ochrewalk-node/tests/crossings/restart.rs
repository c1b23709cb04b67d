//! Processes that start anew while what they talk to is late.

use crate::helper::*;
use crate::WARM;
use std::net::{SocketAddr, TcpListener};

const PROCESSES: usize = 10;

/// A process that was killed and started anew, with nobody yet at the addresses of its executor, its directory and what it
/// calls upstream.
struct Restarted {
    stand: Stand,
    executor_at: SocketAddr,
    directory_at: SocketAddr,
    upstream_at: SocketAddr,
}

impl Restarted {
    fn start() -> Restarted {
        let free = |port: u16| own_address(port).parse::<SocketAddr>().unwrap();
        let (executor_at, directory_at, upstream_at) = (free(7301), free(7302), free(7303));
        let stand = Stand::with(|config| {
            config["executor"] = executor_at.to_string().into();
            config["lookup"] = directory_at.to_string().into();
            config["store"] = upstream_at.to_string().into();
        });
        assert!(stand.caller().ask(HEARTBEAT).contains("\"pass\":false"));
        Restarted { stand: stand.again(), executor_at, directory_at, upstream_at }
    }

    /// Its executor comes up, and a caller sees it healthy.
    fn executor_comes_up(&self) -> (Peer, Peer) {
        let listener = TcpListener::bind(self.executor_at).unwrap();
        let mut executor = Peer::accept(&listener);
        assert_eq!(executor.hear(), r#"{"action":"JOIN","pos":0}"#);
        executor.say(WARM);
        let mut caller = self.stand.caller();
        caller.wait_healthy();
        (executor, caller)
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
        let (mut executor, mut caller) = process.executor_comes_up();
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

/// What ten restarted processes call upstream comes up last: each process is ready before that, an RPC whose call found
/// nobody there is neither lost nor given up, and its call is placed once there is somebody.
#[test]
fn ten_restarted_processes_place_their_calls_once_their_late_upstream_is_there() {
    let restarted: Vec<Restarted> = (0..PROCESSES).map(|_| Restarted::start()).collect();
    for (at, process) in restarted.iter().enumerate() {
        let (mut executor, mut caller) = process.executor_comes_up();
        let number = at as u64 + 2;
        // One that may go on without its call does; so the upstream is known to have been asked for in vain.
        caller.say(&rpc(1, "sync"));
        executor.hear_of(&exec(1, "sync"));
        executor.say(&callout(1, 1));
        executor.hear_of("BYPASS");
        caller.say(&rpc(number, "once"));
        executor.hear_of(&exec(number, "once"));
        executor.say(&callout(2, number));
        executor.say(&exit(3, 1, "complete"));
        assert_eq!(caller.hear(), served(1));
        let listener = TcpListener::bind(process.upstream_at).unwrap();
        let mut upstream = Peer::accept(&listener);
        assert!(upstream.hear().starts_with(&format!("CALL {} ", req(number))));
        upstream.hear_bytes(5);
        upstream.put(format!("{} OK 0\r\n\r\n", req(number)).as_bytes());
        executor.hear_of("RETURN");
        executor.say(&exit(4, number, "complete"));
        assert_eq!(caller.hear(), served(number));
    }
}
