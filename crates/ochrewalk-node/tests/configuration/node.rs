//! Starts a node that follows a control plane, and sends requests to it.

use crate::helper::{req, Peer, TestNode};
use ochrewalk_lab::ajp::{Call, Peer as Ajp};
use std::time::Duration;

/// The time limit of every wait, far longer than any successful operation takes.
pub const TIMEOUT: Duration = Duration::from_secs(10);

pub const LISTENER_DIRECTIVES: &str = "
ajp listen AJP
ajp allow 127.0.0.0/8
ajp memory 20.5
ajp header tenant X-Tenant
ajp route POST /sync sync
";

pub fn start_node(directives: &str) -> (TestNode, Peer) {
    let (stand, executor, _) =
        TestNode::start_healthy_with(|_| (), &format!("{LISTENER_DIRECTIVES}{directives}"));
    (stand, executor)
}

pub fn connect(stand: &TestNode) -> Ajp {
    Ajp::connect(stand.ajp.parse().unwrap(), TIMEOUT).unwrap()
}

pub fn request<'a>(method: &'a str, uri: &'a str, number: u64) -> Call<'a> {
    Call { method, uri, headers: vec![("x-request-id", req(number))], secret: None, body: b"" }
}

/// Whether a path is routed for GET. The node then rejects another HTTP method, which reaches no executor.
pub fn is_routed(stand: &TestNode, uri: &str) -> bool {
    let answer = connect(stand).call(&request("PATCH", uri, 1)).unwrap();
    assert!(matches!(answer.status, 404 | 405), "{answer:?}");
    answer.status == 405
}
