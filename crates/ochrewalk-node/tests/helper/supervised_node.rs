//! Starts a node under a supervisor, which can replace the running program.

use super::{file, program, req, Peer, TestNode};
use ochrewalk_lab::ajp::{Call, Peer as AjpPeer};
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;

/// The time limit of every wait, far longer than any successful operation takes.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns an AJP request for the method `look`, with the id of the RPC of this number.
pub fn ajp_look(number: u64) -> Call<'static> {
    Call {
        method: "GET",
        uri: "/look",
        headers: vec![("x-request-id", req(number))],
        secret: None,
        body: b"ABC",
    }
}

/// A node under a supervisor, with its control socket.
pub struct SupervisedNode {
    pub stand: TestNode,
    pub control: PathBuf,
}

impl SupervisedNode {
    /// Starts a node under a supervisor, with its executor up. `failure` is the injected failure of a successor.
    pub fn up(failure: &str) -> (SupervisedNode, Peer) {
        SupervisedNode::up_with(|_| (), failure)
    }

    /// Starts such a node with changes to its file.
    pub fn up_with(change: impl FnOnce(&mut serde_json::Value), failure: &str) -> (SupervisedNode, Peer) {
        let control = file("").with_extension("sock");
        let operators = format!(
            "ajp listen AJP\najp allow 127.0.0.0/8\najp memory 20.5\najp header token X-Sale\najp route GET /look look\n\
             ajp route POST /sale sale\nupgrade control {}\n",
            control.display()
        );
        let stand =
            TestNode::start_with_environment(change, &operators, &[("OCHREWALK_TAKE_FAILS", failure)]);
        let mut executor = stand.executor();
        executor.send_line(r#"{"action":"WELCOME","code":"hot","wall_ms":5000}"#);
        stand.caller().wait_healthy();
        (SupervisedNode { stand, control }, executor)
    }

    /// Requests an upgrade to the same program, and returns the outcome.
    pub fn upgrade(&self) -> String {
        self.begin_upgrade().join().unwrap()
    }

    /// Requests an upgrade to the same program. The thread returns the outcome.
    pub fn begin_upgrade(&self) -> JoinHandle<String> {
        let (control, own) = (self.control.clone(), env!("CARGO_BIN_EXE_ochrewalk"));
        std::thread::spawn(move || {
            let arguments = ["upgrade", "--control", control.to_str().unwrap(), "--program", own];
            let output = program(&arguments).output().unwrap();
            String::from_utf8([output.stdout, output.stderr].concat()).unwrap().trim_end().to_string()
        })
    }

    pub fn ajp(&self) -> AjpPeer {
        AjpPeer::connect(self.stand.ajp.parse().unwrap(), TIMEOUT).unwrap()
    }

    /// Returns the texts of the node's own file and of the operators' file.
    pub fn file_texts(&self) -> (String, String) {
        (self.stand.config().to_string(), std::fs::read_to_string(&self.stand.operators).unwrap())
    }

    /// Returns the process ids of the supervisor's children, which are the programs that serve.
    pub fn children(&self) -> Vec<u32> {
        let path = format!("/proc/{0}/task/{0}/children", self.stand.pid());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        text.split_whitespace().map(|pid| pid.parse().unwrap()).collect()
    }
}
