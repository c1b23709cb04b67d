//! Tests restarts of processes whose peers start late.

use crate::helper::*;
use crate::WARM_WELCOME;
use std::net::{SocketAddr, TcpListener};

const PROCESSES: usize = 10;

/// A process that was killed and restarted, while nothing listens yet at the addresses of its executor, its directory and its
/// upstream.
struct Restarted {
    node: TestNode,
    executor_address: SocketAddr,
    directory_address: SocketAddr,
    upstream_address: SocketAddr,
}

impl Restarted {
    fn start() -> Restarted {
        let unused = |port: u16| own_address(port).parse::<SocketAddr>().unwrap();
        let (executor_address, directory_address, upstream_address) =
            (unused(7301), unused(7302), unused(7303));
        let node = TestNode::start_with(|config| {
            config["executor"] = executor_address.to_string().into();
            config["lookup"] = directory_address.to_string().into();
            config["store"] = upstream_address.to_string().into();
        });
        assert!(node.caller().request(HEARTBEAT).contains("\"pass\":false"));
        Restarted { node: node.restart(), executor_address, directory_address, upstream_address }
    }

    /// Starts the process's executor and waits until a caller sees the process healthy.
    fn start_executor(&self) -> (Peer, Peer) {
        let listener = TcpListener::bind(self.executor_address).unwrap();
        let mut executor = Peer::accept(&listener);
        assert_eq!(executor.read_line(), r#"{"action":"JOIN","pos":0}"#);
        executor.send_line(WARM_WELCOME);
        let mut caller = self.node.caller();
        caller.wait_healthy();
        (executor, caller)
    }
}

/// Ten processes restart, their executors start late and their directories after that. Each process accepts RPCs once its
/// executor is up, before its directory is, and reports to the directory once that is up.
#[test]
fn ten_restarted_processes_are_ready_once_their_late_executors_are() {
    let restarted: Vec<Restarted> = (0..PROCESSES).map(|_| Restarted::start()).collect();
    for process in &restarted {
        assert!(process.node.caller().request(HEARTBEAT).contains("\"pass\":false"), "no executor yet");
    }
    for (index, process) in restarted.iter().enumerate() {
        let (mut executor, mut caller) = process.start_executor();
        let number = index as u64 + 2;
        caller.send_line(&rpc(number, "look"));
        executor.read_until(&exec(number, "look"));
        executor.send_line(&exit(1, number, "complete"));
        assert_eq!(caller.read_line(), served(number));
        let directory = TcpListener::bind(process.directory_address).unwrap();
        let mut report = Peer::accept(&directory);
        assert_eq!(report.read_line(), "PUT /dir/nodes/n3 HTTP/1.1");
        while !report.read_line().is_empty() {}
        assert_eq!(report.read_bytes(15), br#"{"mode":"open"}"#);
    }
}

/// The upstream of ten restarted processes starts last. Each process is ready before that; an RPC whose call was refused is
/// neither lost nor aborted, and its call is made once the upstream is up.
#[test]
fn ten_restarted_processes_make_their_calls_once_their_late_upstream_is_up() {
    let restarted: Vec<Restarted> = (0..PROCESSES).map(|_| Restarted::start()).collect();
    for (index, process) in restarted.iter().enumerate() {
        let (mut executor, mut caller) = process.start_executor();
        let number = index as u64 + 2;
        // An RPC that may continue without its call does so, which shows that the node has tried the upstream and failed.
        caller.send_line(&rpc(1, "sync"));
        executor.read_until(&exec(1, "sync"));
        executor.send_line(&callout(1, 1));
        executor.read_until("BYPASS");
        caller.send_line(&rpc(number, "once"));
        executor.read_until(&exec(number, "once"));
        executor.send_line(&callout(2, number));
        executor.send_line(&exit(3, 1, "complete"));
        assert_eq!(caller.read_line(), served(1));
        let listener = TcpListener::bind(process.upstream_address).unwrap();
        let mut upstream = Peer::accept(&listener);
        assert!(upstream.read_line().starts_with(&format!("CALL {} ", req(number))));
        upstream.read_bytes(5);
        upstream.write_bytes(format!("{} OK 0\r\n\r\n", req(number)).as_bytes());
        executor.read_until("RETURN");
        executor.send_line(&exit(4, number, "complete"));
        assert_eq!(caller.read_line(), served(number));
    }
}
