//! Checks the connection state machines of both sides with tables of every state and every event.

use ochrewalk_ajp::answerer::{self, Bounds, End, Life, Plain, Refusal, State};
use ochrewalk_ajp::asker;
use ochrewalk_ajp::reply::{Message, ResponseHead};
use ochrewalk_ajp::request::BodyLength;
use ochrewalk_ajp::ProtocolError;

/// Records the requested actions as text.
#[derive(Default)]
struct RecordedActions(Vec<String>);

impl answerer::Acts for RecordedActions {
    fn start(&mut self) {
        self.0.push("start".into());
    }
    fn ask_body(&mut self, most: u64) {
        self.0.push(format!("ask {most}"));
    }
    fn pong(&mut self) {
        self.0.push("pong".into());
    }
    fn refuse(&mut self, refusal: Refusal, reuse: bool) {
        self.0.push(format!("{}{}", refusal.status, if reuse { "" } else { " last" }));
    }
    fn gone(&mut self) {
        self.0.push("gone".into());
    }
    fn end(&mut self, why: End) {
        self.0.push(format!("{why:?}"));
    }
}

const BOUNDS: Bounds = Bounds {
    first_us: 100,
    packet_us: 20,
    body_us: 50,
    idle_us: 1_000,
    close_us: 30,
    most_body: 10,
    most_faults: 3,
};
const WRONG: Refusal = Refusal { status: 404, why: "no such route" };

/// A state machine in each state at time 0; all but the first have received a complete packet.
fn states() -> Vec<(&'static str, Life)> {
    let mut acts = RecordedActions::default();
    let fresh = Life::new(0, BOUNDS);
    let mut idle = fresh;
    idle.plain(0, Plain::CPing, &mut acts);
    let mut head = idle;
    head.partial(0);
    let mut body = idle;
    body.request(0, Ok(BodyLength::Stated(8)), &mut acts);
    body.piece(0, 3, &mut acts);
    let mut chunks = idle;
    chunks.request(0, Ok(BodyLength::Unstated), &mut acts);
    chunks.piece(0, 3, &mut acts);
    let mut in_hand = idle;
    in_hand.request(0, Ok(BodyLength::None), &mut acts);
    let mut spoilt = in_hand;
    spoilt.request(0, Ok(BodyLength::None), &mut acts);
    let mut answering = in_hand;
    assert_eq!(answering.answered(false), Some(true));
    let mut last = spoilt;
    assert_eq!(last.answered(false), Some(false));
    let mut closing = last;
    closing.written(0);
    let mut over = idle;
    over.closed(&mut acts);
    vec![
        ("fresh", fresh),
        ("idle", idle),
        ("head", head),
        ("body", body),
        ("chunks", chunks),
        ("in hand", in_hand),
        ("spoilt", spoilt),
        ("answering", answering),
        ("last answer", last),
        ("closing", closing),
        ("over", over),
    ]
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Idle { .. } => "idle",
        State::Head { .. } => "head",
        State::Body { .. } => "body",
        State::InHand { spoilt: false } => "in hand",
        State::InHand { spoilt: true } => "spoilt",
        State::Answering { reuse: true } => "answering",
        State::Answering { reuse: false } => "last answer",
        State::Closing { .. } => "closing",
        State::Over => "over",
    }
}

type Event = (&'static str, fn(&mut Life, &mut RecordedActions));

const EVENTS: [Event; 16] = [
    ("partial", |l, _| l.partial(5)),
    ("request", |l, a| l.request(5, Ok(BodyLength::None), a)),
    ("with body", |l, a| l.request(5, Ok(BodyLength::Stated(8)), a)),
    ("too large", |l, a| l.request(5, Ok(BodyLength::Stated(11)), a)),
    ("wrong", |l, a| l.request(5, Err(WRONG), a)),
    ("wrong with body", |l, a| l.request_with_body(5, WRONG, a)),
    ("piece", |l, a| l.piece(5, 5, a)),
    ("long piece", |l, a| l.piece(5, 9, a)),
    ("empty piece", |l, a| l.piece(5, 0, a)),
    ("ping", |l, a| l.plain(5, Plain::CPing, a)),
    ("shutdown", |l, a| l.plain(5, Plain::Shutdown, a)),
    ("broken", |l, a| l.broken(ProtocolError::InvalidMagic, a)),
    ("written", |l, _| l.written(5)),
    ("closed", |l, a| l.closed(a)),
    ("silence", |l, a| l.empty(150, a)),
    ("room", |l, a| l.make_room(a)),
];

/// The expected result of each event in each state: the state, the event, the requested actions, and the state after the event.
const TABLE: &str = include_str!("connection_states.table");

#[test]
fn every_event_in_every_state_has_the_expected_result() {
    let mut table = String::new();
    for (name, life) in states() {
        for (event, apply) in EVENTS {
            let (mut life, mut acts) = (life, RecordedActions::default());
            apply(&mut life, &mut acts);
            let actions = if acts.0.is_empty() { "-".to_string() } else { acts.0.join(", ") };
            table += &format!("{name:<12} | {event:<16} | {actions:<22} | {}\n", state_name(life.state()));
        }
    }
    for (actual, expected) in table.lines().zip(TABLE.lines()) {
        assert_eq!(actual.trim_end(), expected.trim_end());
    }
    assert_eq!(table.lines().count(), TABLE.lines().count(), "{table}");
}

#[test]
fn one_response_is_due_for_a_complete_request_and_none_for_any_other() {
    for (name, life) in states() {
        let mut life = life;
        let is_due = matches!(name, "in hand" | "spoilt");
        assert_eq!((life.owes(), life.answered(false).is_some()), (is_due, is_due), "{name}");
        assert_eq!(life.answered(false), None, "{name}: twice");
        // A draining servlet container still responds, and marks the response as the last one.
        let mut life = states().into_iter().find(|(n, _)| *n == name).unwrap().1;
        life.leave();
        assert_eq!(life.answered(false), is_due.then_some(false), "{name}");
    }
}

#[test]
fn consecutive_faults_close_a_connection_and_a_run_resets_them() {
    let (mut life, mut acts) = (Life::new(0, BOUNDS), RecordedActions::default());
    for _ in 0..2 {
        life.request(0, Err(WRONG), &mut acts);
        life.written(0);
    }
    life.request(0, Ok(BodyLength::None), &mut acts);
    life.proven();
    assert_eq!(life.answered(false), Some(true));
    life.written(0);
    for _ in 0..3 {
        life.request(0, Err(WRONG), &mut acts);
        life.written(0);
    }
    assert_eq!(acts.0.join(", "), "404, 404, start, 404, 404, 404 last");
    assert!(life.drops() && life.reads());
    // A fault that is found only after the request has started counts too.
    let mut life = Life::new(0, BOUNDS);
    for reuse in [true, true, false] {
        life.request(0, Ok(BodyLength::None), &mut acts);
        assert_eq!(life.answered(true), Some(reuse));
        life.written(0);
    }
}

#[test]
fn a_body_without_a_length_is_requested_chunk_by_chunk() {
    let (mut life, mut acts) = (Life::new(0, BOUNDS), RecordedActions::default());
    life.request(0, Ok(BodyLength::Unstated), &mut acts);
    life.piece(1, 4, &mut acts);
    life.piece(2, 6, &mut acts);
    assert!(life.awaits_piece());
    life.piece(3, 0, &mut acts);
    assert_eq!(acts.0.join(", "), "ask 11, ask 7, ask 1, start");
    let (mut life, mut acts) = (Life::new(0, BOUNDS), RecordedActions::default());
    life.request(0, Ok(BodyLength::Unstated), &mut acts);
    life.piece(1, 11, &mut acts);
    assert_eq!(acts.0.join(", "), "ask 11, 413 last");
    // The timeout of the body counts from the head, regardless of the chunks received.
    let (mut life, mut acts) = (Life::new(0, BOUNDS), RecordedActions::default());
    life.request(0, Ok(BodyLength::Stated(9)), &mut acts);
    life.piece(49, 1, &mut acts);
    life.empty(49, &mut acts);
    life.empty(50, &mut acts);
    assert_eq!(acts.0.join(", "), "ask 8, 408 last");
}

impl asker::Acts for RecordedActions {
    fn ping(&mut self) {
        self.0.push("ping".into());
    }
    fn write_call(&mut self) {
        self.0.push("call".into());
    }
    fn write_piece(&mut self, most: u16) {
        self.0.push(format!("piece {most}"));
    }
    fn ready(&mut self) {
        self.0.push("ready".into());
    }
    fn replied(&mut self, reply: asker::Reply) {
        let suffix = if reply.never_ran { "never ran" } else { "" };
        self.0.push(format!("{} {suffix}[{}]", reply.status, String::from_utf8(reply.body).unwrap()));
    }
    fn end(&mut self, why: asker::End, wrote: bool) {
        self.0.push(format!("{why:?}{}", if wrote { " wrote" } else { "" }));
    }
}

fn new_connection() -> asker::Life {
    asker::Life::new(0, asker::Bounds { pong_us: 10, reply_us: 20, most_reply: 6 }, "x-never-ran")
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
            "call, 200 [ab], Spent",
        ),
        (true, vec![Message::CPong, head(204, &[]), end(true)], "ping, call, 204 []"),
        (
            false,
            vec![Message::GetBodyChunk(9), head(503, &[(b"X-Never-Ran", b"1")]), end(true)],
            "call, piece 9, 503 never ran[]",
        ),
        (false, vec![head(503, &[(b"X-Never-Ran", b"0")]), end(true)], "call, 503 []"),
        // Responses shorter and longer than stated, or longer than allowed.
        (
            false,
            vec![head(200, &[(LENGTH, b"3")]), Message::SendBodyChunk(b"ab"), end(true)],
            "call, TooShort wrote",
        ),
        (
            false,
            vec![head(200, &[(LENGTH, b"1")]), Message::SendBodyChunk(b"ab"), end(true)],
            "call, TooLong wrote",
        ),
        (false, vec![head(200, &[(LENGTH, b"7")])], "call, TooLong wrote"),
        (false, vec![head(200, &[(LENGTH, b"-1")])], "call, TooLong wrote"),
        (false, vec![head(200, &[]), Message::SendBodyChunk(b"abcdefg")], "call, TooLong wrote"),
        // Repeated and unexpected messages, and responses without a call.
        (false, vec![head(200, &[]), end(true), head(200, &[])], "call, 200 [], Broken(UnexpectedMessage)"),
        (false, vec![head(200, &[]), head(200, &[])], "call, Broken(UnexpectedMessage) wrote"),
        (false, vec![head(20, &[])], "call, Broken(UnknownCode) wrote"),
        (false, vec![Message::SendBodyChunk(b"a")], "call, Broken(UnexpectedMessage) wrote"),
        (false, vec![end(true)], "call, Broken(UnexpectedMessage) wrote"),
        (false, vec![head(200, &[]), Message::GetBodyChunk(1)], "call, Broken(UnexpectedMessage) wrote"),
        (false, vec![Message::CPong], "call, Broken(UnexpectedMessage) wrote"),
        (true, vec![head(200, &[])], "ping, Broken(UnexpectedMessage)"),
    ] {
        let (mut life, mut acts) = (new_connection(), RecordedActions::default());
        life.call(0, checks_connection, &mut acts);
        messages.iter().for_each(|message| life.message(1, message, &mut acts));
        assert_eq!(acts.0.join(", "), expected, "{messages:?}");
    }
}

#[test]
fn timeouts_closing_and_abandoning_report_whether_a_call_was_written() {
    type Step = fn(&mut asker::Life, &mut RecordedActions);
    let cases: [(&str, Step, [&str; 4]); 5] = [
        ("idle", |_, _| (), ["Closed", "", "", "idle"]),
        ("proving", |l, a| l.call(0, true, a), ["Closed", "Silent", "", "proving"]),
        ("waiting", |l, a| l.call(0, false, a), ["Closed wrote", "", "GivenUp wrote", "over"]),
        (
            "reading",
            |l, a| {
                l.call(0, false, a);
                l.partial(0);
            },
            ["Closed wrote", "Silent wrote", "GivenUp wrote", "over"],
        ),
        ("over", |l, a| l.closed(asker::End::Idle, a), ["", "", "", "over"]),
    ];
    for (name, step, [closed, timed_out, abandoned, state_after]) in cases {
        let begin = || {
            let (mut life, mut acts) = (new_connection(), RecordedActions::default());
            step(&mut life, &mut acts);
            (life, RecordedActions::default())
        };
        let (mut life, mut acts) = begin();
        life.closed(asker::End::Closed, &mut acts);
        assert_eq!(acts.0.join(", "), closed, "{name} closed");
        let (mut life, mut acts) = begin();
        life.empty(9, &mut acts);
        assert!(acts.0.is_empty(), "{name} too soon");
        life.empty(25, &mut acts);
        assert_eq!(acts.0.join(", "), timed_out, "{name} timed out");
        let (mut life, mut acts) = begin();
        life.give_up(&mut acts);
        assert_eq!(acts.0.join(", "), abandoned, "{name} abandoned");
        let state = match life.state() {
            asker::State::Idle { .. } => "idle",
            asker::State::Proving { call, .. } => {
                assert!(!call, "the call is abandoned");
                life.message(3, &Message::CPong, &mut acts);
                assert_eq!(acts.0.join(", "), "ready");
                "proving"
            }
            asker::State::Over => "over",
            _ => "other",
        };
        assert_eq!(state, state_after, "{name}");
    }
    let (mut life, mut acts) = (new_connection(), RecordedActions::default());
    life.probe(0, &mut acts);
    life.message(1, &Message::CPong, &mut acts);
    assert_eq!(acts.0.join(", "), "ping, ready");
}
