//! Processes that start anew while what they talk to is late.

use crate::helper::*;
use crate::WARM;
use std::net::{SocketAddr, TcpListener};

const PROCESSES: usize = 10;

/// A process that was killed and started anew, with nobody yet at the addresses of its executor, its directory and what it
/// calls upstream.
struct Restarted {
    stand: TestNode,
    executor_at: SocketAddr,
    directory_at: SocketAddr,
    upstream_at: SocketAddr,
}

impl Restarted {
    fn start() -> Restarted {
        let free = |port: u16| own_address(port).parse::<SocketAddr>().unwrap();
        let (executor_at, directory_at, upstream_at) = (free(7301), free(7302), free(7303));
        let stand = TestNode::start_with(|config| {
            config["executor"] = executor_at.to_string().into();
            config["lookup"] = directory_at.to_string().into();
            config["store"] = upstream_at.to_string().into();
        });
        assert!(stand.caller().request(HEARTBEAT).contains("\"pass\":false"));
        Restarted { stand: stand.restart(), executor_at, directory_at, upstream_at }
    }

    /// Its executor comes up, and a caller sees it healthy.
    fn executor_comes_up(&self) -> (Peer, Peer) {
        let listener = TcpListener::bind(self.executor_at).unwrap();
        let mut executor = Peer::accept(&listener);
        assert_eq!(executor.read_line(), r#"{"action":"JOIN","pos":0}"#);
        executor.send_line(WARM);
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
        assert!(process.stand.caller().request(HEARTBEAT).contains("\"pass\":false"), "no executor yet");
    }
    for (at, process) in restarted.iter().enumerate() {
        let (mut executor, mut caller) = process.executor_comes_up();
        let number = at as u64 + 2;
        caller.send_line(&rpc(number, "look"));
        executor.read_until(&exec(number, "look"));
        executor.send_line(&exit(1, number, "complete"));
        assert_eq!(caller.read_line(), served(number));
        let directory = TcpListener::bind(process.directory_at).unwrap();
        let mut report = Peer::accept(&directory);
        assert_eq!(report.read_line(), "PUT /dir/nodes/n3 HTTP/1.1");
        while !report.read_line().is_empty() {}
        assert_eq!(report.read_bytes(15), br#"{"mode":"open"}"#);
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
        caller.send_line(&rpc(1, "sync"));
        executor.read_until(&exec(1, "sync"));
        executor.send_line(&callout(1, 1));
        executor.read_until("BYPASS");
        caller.send_line(&rpc(number, "once"));
        executor.read_until(&exec(number, "once"));
        executor.send_line(&callout(2, number));
        executor.send_line(&exit(3, 1, "complete"));
        assert_eq!(caller.read_line(), served(1));
        let listener = TcpListener::bind(process.upstream_at).unwrap();
        let mut upstream = Peer::accept(&listener);
        assert!(upstream.read_line().starts_with(&format!("CALL {} ", req(number))));
        upstream.read_bytes(5);
        upstream.write_bytes(format!("{} OK 0\r\n\r\n", req(number)).as_bytes());
        executor.read_until("RETURN");
        executor.send_line(&exit(4, number, "complete"));
        assert_eq!(caller.read_line(), served(number));
    }
}
