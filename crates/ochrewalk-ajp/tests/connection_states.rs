//! Checks the connection state machines of both sides with tables of every state and every event.

use ochrewalk_ajp::reply::{Message, ResponseHead};
use ochrewalk_ajp::request::BodyLength;
use ochrewalk_ajp::servlet_container::{
    self, CloseReason, ControlMessage, Limits, Refusal, State, StateMachine,
};
use ochrewalk_ajp::web_server;
use ochrewalk_ajp::ProtocolError;

/// Records the requested actions as text.
#[derive(Default)]
struct RecordedActions(Vec<String>);

impl servlet_container::Actions for RecordedActions {
    fn start_request(&mut self) {
        self.0.push("start".into());
    }
    fn request_body_chunk(&mut self, max_bytes: u64) {
        self.0.push(format!("get body {max_bytes}"));
    }
    fn send_cpong(&mut self) {
        self.0.push("cpong".into());
    }
    fn send_refusal(&mut self, refusal: Refusal, reuse: bool) {
        self.0.push(format!("{}{}", refusal.status, if reuse { "" } else { " last" }));
    }
    fn client_disconnected(&mut self) {
        self.0.push("disconnected".into());
    }
    fn close(&mut self, reason: CloseReason) {
        self.0.push(format!("{reason:?}"));
    }
}

const LIMITS: Limits = Limits {
    first_packet_timeout_us: 100,
    packet_timeout_us: 20,
    body_timeout_us: 50,
    idle_timeout_us: 1_000,
    close_timeout_us: 30,
    max_body_bytes: 10,
    max_consecutive_faults: 3,
};
const NOT_FOUND: Refusal = Refusal { status: 404, reason: "no such route" };

/// A state machine in each state at time 0; all but the first have received a complete packet.
fn states() -> Vec<(&'static str, StateMachine)> {
    let mut actions = RecordedActions::default();
    let fresh = StateMachine::new(0, LIMITS);
    let mut idle = fresh;
    idle.control_message(0, ControlMessage::CPing, &mut actions);
    let mut partial = idle;
    partial.partial_input(0);
    let mut body = idle;
    body.request_head(0, Ok(BodyLength::Stated(8)), &mut actions);
    body.body_chunk(0, 3, &mut actions);
    let mut chunks = idle;
    chunks.request_head(0, Ok(BodyLength::Unstated), &mut actions);
    chunks.body_chunk(0, 3, &mut actions);
    let mut in_flight = idle;
    in_flight.request_head(0, Ok(BodyLength::None), &mut actions);
    let mut corrupted = in_flight;
    corrupted.request_head(0, Ok(BodyLength::None), &mut actions);
    let mut responding = in_flight;
    assert_eq!(responding.response_ready(false), Some(true));
    let mut last = corrupted;
    assert_eq!(last.response_ready(false), Some(false));
    let mut closing = last;
    closing.output_written(0);
    let mut closed = idle;
    closed.disconnected(&mut actions);
    vec![
        ("fresh", fresh),
        ("idle", idle),
        ("partial", partial),
        ("body", body),
        ("chunks", chunks),
        ("in flight", in_flight),
        ("corrupted", corrupted),
        ("responding", responding),
        ("last reply", last),
        ("closing", closing),
        ("closed", closed),
    ]
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Idle { .. } => "idle",
        State::PartialPacket { .. } => "partial",
        State::Body { .. } => "body",
        State::InFlight { is_corrupted: false } => "in flight",
        State::InFlight { is_corrupted: true } => "corrupted",
        State::Responding { reuse: true } => "responding",
        State::Responding { reuse: false } => "last reply",
        State::Closing { .. } => "closing",
        State::Closed => "closed",
    }
}

type Event = (&'static str, fn(&mut StateMachine, &mut RecordedActions));

const EVENTS: [Event; 16] = [
    ("partial", |machine, _| machine.partial_input(5)),
    ("request", |machine, actions| machine.request_head(5, Ok(BodyLength::None), actions)),
    ("with body", |machine, actions| machine.request_head(5, Ok(BodyLength::Stated(8)), actions)),
    ("too large", |machine, actions| machine.request_head(5, Ok(BodyLength::Stated(11)), actions)),
    ("not found", |machine, actions| machine.request_head(5, Err(NOT_FOUND), actions)),
    ("not found, body", |machine, actions| machine.refused_request_with_body(5, NOT_FOUND, actions)),
    ("chunk", |machine, actions| machine.body_chunk(5, 5, actions)),
    ("long chunk", |machine, actions| machine.body_chunk(5, 9, actions)),
    ("empty chunk", |machine, actions| machine.body_chunk(5, 0, actions)),
    ("cping", |machine, actions| machine.control_message(5, ControlMessage::CPing, actions)),
    ("shutdown", |machine, actions| machine.control_message(5, ControlMessage::Shutdown, actions)),
    ("malformed", |machine, actions| machine.malformed_input(ProtocolError::InvalidMagic, actions)),
    ("written", |machine, _| machine.output_written(5)),
    ("disconnected", |machine, actions| machine.disconnected(actions)),
    ("timeout", |machine, actions| machine.check_timeouts(150, actions)),
    ("evict", |machine, actions| machine.evict(actions)),
];

/// The expected result of each event in each state: the state, the event, the requested actions, and the state after
/// the event.
const TABLE: &str = include_str!("connection_states.table");

#[test]
fn every_event_in_every_state_has_the_expected_result() {
    let mut table = String::new();
    for (name, machine) in states() {
        for (event, apply) in EVENTS {
            let (mut machine, mut actions) = (machine, RecordedActions::default());
            apply(&mut machine, &mut actions);
            let actions_text = if actions.0.is_empty() { "-".to_string() } else { actions.0.join(", ") };
            table +=
                &format!("{name:<12} | {event:<16} | {actions_text:<22} | {}\n", state_name(machine.state()));
        }
    }
    for (actual, expected) in table.lines().zip(TABLE.lines()) {
        assert_eq!(actual.trim_end(), expected.trim_end());
    }
    assert_eq!(table.lines().count(), TABLE.lines().count(), "{table}");
}

#[test]
fn one_response_is_due_for_a_complete_request_and_none_for_any_other() {
    for (name, machine) in states() {
        let mut machine = machine;
        let is_due = matches!(name, "in flight" | "corrupted");
        assert_eq!(
            (machine.has_request_in_flight(), machine.response_ready(false).is_some()),
            (is_due, is_due),
            "{name}"
        );
        assert_eq!(machine.response_ready(false), None, "{name}: twice");
        // A draining servlet container still responds, and marks the response as the last one.
        let mut machine = states().into_iter().find(|(other, _)| *other == name).unwrap().1;
        machine.drain();
        assert_eq!(machine.response_ready(false), is_due.then_some(false), "{name}");
    }
}

#[test]
fn consecutive_faults_close_a_connection_and_a_run_resets_them() {
    let (mut machine, mut actions) = (StateMachine::new(0, LIMITS), RecordedActions::default());
    for _ in 0..2 {
        machine.request_head(0, Err(NOT_FOUND), &mut actions);
        machine.output_written(0);
    }
    machine.request_head(0, Ok(BodyLength::None), &mut actions);
    machine.reset_faults();
    assert_eq!(machine.response_ready(false), Some(true));
    machine.output_written(0);
    for _ in 0..3 {
        machine.request_head(0, Err(NOT_FOUND), &mut actions);
        machine.output_written(0);
    }
    assert_eq!(actions.0.join(", "), "404, 404, start, 404, 404, 404 last");
    assert!(machine.discards_input() && machine.reads_input());
    // A fault that is found only after the request has started counts too.
    let mut machine = StateMachine::new(0, LIMITS);
    for reuse in [true, true, false] {
        machine.request_head(0, Ok(BodyLength::None), &mut actions);
        assert_eq!(machine.response_ready(true), Some(reuse));
        machine.output_written(0);
    }
}

#[test]
fn a_body_without_a_length_is_requested_chunk_by_chunk() {
    let (mut machine, mut actions) = (StateMachine::new(0, LIMITS), RecordedActions::default());
    machine.request_head(0, Ok(BodyLength::Unstated), &mut actions);
    machine.body_chunk(1, 4, &mut actions);
    machine.body_chunk(2, 6, &mut actions);
    assert!(machine.awaits_body_chunk());
    machine.body_chunk(3, 0, &mut actions);
    assert_eq!(actions.0.join(", "), "get body 11, get body 7, get body 1, start");
    let (mut machine, mut actions) = (StateMachine::new(0, LIMITS), RecordedActions::default());
    machine.request_head(0, Ok(BodyLength::Unstated), &mut actions);
    machine.body_chunk(1, 11, &mut actions);
    assert_eq!(actions.0.join(", "), "get body 11, 413 last");
    // The timeout of the body counts from the head of the request, regardless of the chunks received.
    let (mut machine, mut actions) = (StateMachine::new(0, LIMITS), RecordedActions::default());
    machine.request_head(0, Ok(BodyLength::Stated(9)), &mut actions);
    machine.body_chunk(49, 1, &mut actions);
    machine.check_timeouts(49, &mut actions);
    machine.check_timeouts(50, &mut actions);
    assert_eq!(actions.0.join(", "), "get body 8, 408 last");
}

impl web_server::Actions for RecordedActions {
    fn send_cping(&mut self) {
        self.0.push("cping".into());
    }
    fn send_request(&mut self) {
        self.0.push("call".into());
    }
    fn send_body_chunk(&mut self, max_bytes: u16) {
        self.0.push(format!("chunk {max_bytes}"));
    }
    fn ready(&mut self) {
        self.0.push("ready".into());
    }
    fn response_received(&mut self, response: web_server::Response) {
        let suffix = if response.never_ran { "never ran" } else { "" };
        self.0.push(format!("{} {suffix}[{}]", response.status, String::from_utf8(response.body).unwrap()));
    }
    fn close(&mut self, reason: web_server::CloseReason, may_have_sent_call: bool) {
        self.0.push(format!("{reason:?}{}", if may_have_sent_call { " sent" } else { "" }));
    }
}

fn new_connection() -> web_server::StateMachine {
    web_server::StateMachine::new(
        0,
        web_server::Limits { cpong_timeout_us: 10, response_timeout_us: 20, max_response_bytes: 6 },
        "x-never-ran",
    )
}

fn head(status: u16, headers: &[(&'static [u8], &'static [u8])]) -> Message<'static> {
    Message::SendHeaders(ResponseHead { status, reason: b"", headers: headers.to_vec() })
}

#[test]
fn responses_are_classified_and_an_unexpected_message_closes_the_connection() {
    const LENGTH: &[u8] = b"content-length";
    let end = |reuse| Message::EndResponse { reuse };
    for (checks_connection, messages, expected) in [
        (
            false,
            vec![head(200, &[]), Message::SendBodyChunk(b"ab"), Message::SendBodyChunk(b"c"), end(true)],
            "call, 200 [abc]",
        ),
        (
            false,
            vec![head(200, &[(LENGTH, b"2")]), Message::SendBodyChunk(b"ab"), end(false)],
            "call, 200 [ab], NotReusable",
        ),
        (true, vec![Message::CPong, head(204, &[]), end(true)], "cping, call, 204 []"),
        (
            false,
            vec![Message::GetBodyChunk(9), head(503, &[(b"X-Never-Ran", b"1")]), end(true)],
            "call, chunk 9, 503 never ran[]",
        ),
        (false, vec![head(503, &[(b"X-Never-Ran", b"0")]), end(true)], "call, 503 []"),
        // Responses shorter and longer than stated, or longer than allowed.
        (
            false,
            vec![head(200, &[(LENGTH, b"3")]), Message::SendBodyChunk(b"ab"), end(true)],
            "call, ResponseTooShort sent",
        ),
        (
            false,
            vec![head(200, &[(LENGTH, b"1")]), Message::SendBodyChunk(b"ab"), end(true)],
            "call, ResponseTooLong sent",
        ),
        (false, vec![head(200, &[(LENGTH, b"7")])], "call, ResponseTooLong sent"),
        (false, vec![head(200, &[(LENGTH, b"-1")])], "call, ResponseTooLong sent"),
        (false, vec![head(200, &[]), Message::SendBodyChunk(b"abcdefg")], "call, ResponseTooLong sent"),
        // Repeated and unexpected messages, and responses without a call.
        (
            false,
            vec![head(200, &[]), end(true), head(200, &[])],
            "call, 200 [], Malformed(UnexpectedMessage)",
        ),
        (false, vec![head(200, &[]), head(200, &[])], "call, Malformed(UnexpectedMessage) sent"),
        (false, vec![head(20, &[])], "call, Malformed(UnknownCode) sent"),
        (false, vec![Message::SendBodyChunk(b"a")], "call, Malformed(UnexpectedMessage) sent"),
        (false, vec![end(true)], "call, Malformed(UnexpectedMessage) sent"),
        (false, vec![head(200, &[]), Message::GetBodyChunk(1)], "call, Malformed(UnexpectedMessage) sent"),
        (false, vec![Message::CPong], "call, Malformed(UnexpectedMessage) sent"),
        (true, vec![head(200, &[])], "cping, Malformed(UnexpectedMessage)"),
    ] {
        let (mut machine, mut actions) = (new_connection(), RecordedActions::default());
        machine.start_call(0, checks_connection, &mut actions);
        messages.iter().for_each(|message| machine.message(1, message, &mut actions));
        assert_eq!(actions.0.join(", "), expected, "{messages:?}");
    }
}

#[test]
fn timeouts_closing_and_abandoning_report_whether_a_call_was_written() {
    type Step = fn(&mut web_server::StateMachine, &mut RecordedActions);
    let cases: [(&str, Step, [&str; 4]); 5] = [
        ("idle", |_, _| (), ["ClosedByPeer", "", "", "idle"]),
        (
            "awaiting cpong",
            |machine, actions| machine.start_call(0, true, actions),
            ["ClosedByPeer", "TimedOut", "", "awaiting cpong"],
        ),
        (
            "awaiting response",
            |machine, actions| machine.start_call(0, false, actions),
            ["ClosedByPeer sent", "", "Abandoned sent", "closed"],
        ),
        (
            "reading response",
            |machine, actions| {
                machine.start_call(0, false, actions);
                machine.partial_input(0);
            },
            ["ClosedByPeer sent", "TimedOut sent", "Abandoned sent", "closed"],
        ),
        (
            "closed",
            |machine, actions| machine.disconnected(web_server::CloseReason::Idle, actions),
            ["", "", "", "closed"],
        ),
    ];
    for (name, step, [closed, timed_out, abandoned, state_after]) in cases {
        let begin = || {
            let (mut machine, mut actions) = (new_connection(), RecordedActions::default());
            step(&mut machine, &mut actions);
            (machine, RecordedActions::default())
        };
        let (mut machine, mut actions) = begin();
        machine.disconnected(web_server::CloseReason::ClosedByPeer, &mut actions);
        assert_eq!(actions.0.join(", "), closed, "{name} closed");
        let (mut machine, mut actions) = begin();
        machine.check_timeouts(9, &mut actions);
        assert!(actions.0.is_empty(), "{name} too soon");
        machine.check_timeouts(25, &mut actions);
        assert_eq!(actions.0.join(", "), timed_out, "{name} timed out");
        let (mut machine, mut actions) = begin();
        machine.abandon_call(&mut actions);
        assert_eq!(actions.0.join(", "), abandoned, "{name} abandoned");
        let state = match machine.state() {
            web_server::State::Idle { .. } => "idle",
            web_server::State::AwaitingCPong { has_call, .. } => {
                assert!(!has_call, "the call is abandoned");
                machine.message(3, &Message::CPong, &mut actions);
                assert_eq!(actions.0.join(", "), "ready");
                "awaiting cpong"
            }
            web_server::State::Closed => "closed",
            _ => "other",
        };
        assert_eq!(state, state_after, "{name}");
    }
    let (mut machine, mut actions) = (new_connection(), RecordedActions::default());
    machine.probe(0, &mut actions);
    machine.message(1, &Message::CPong, &mut actions);
    assert_eq!(actions.0.join(", "), "cping, ready");
}
