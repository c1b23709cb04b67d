//! Tests that the records of a hand-over keep the format of earlier versions: each record is decoded from a committed file,
//! compared field by field, and encoded to the same bytes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk_node::handover::records::{
    self, AjpConnectionRecord, AjpConnectionRecords, AjpRequestRecord, CallRecord, ClientAddress,
    ExecutorRecord, IdempotencyKeyRecord, IdempotencyKeyRecords, JsonRpcConnectionRecord,
    JsonRpcConnectionRecords, NodeRecord, OpenRpcRecord, RpcRecord, RpcRecords, StreamRecord,
    UpstreamConnectionRecord, UpstreamRecord,
};
use prost::Message;
use std::fmt::Debug;
use std::path::Path;

/// Decodes a record from its file, and asserts that it is encoded to the same bytes.
fn record<M: Message + Default>(name: &str) -> M {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/handover").join(name);
    let bytes = std::fs::read(&path).unwrap_or_else(|err| panic!("{}: {err}", path.display()));
    let record = M::decode(bytes.as_slice()).unwrap();
    assert_eq!(record.encode_to_vec(), bytes, "{name}");
    record
}

fn assert_record<M: Message + Default + PartialEq + Debug>(name: &str, expected: &M) {
    assert_eq!(&record::<M>(name), expected, "{name}");
}

/// Returns a stream record with a value in every field.
fn stream() -> StreamRecord {
    StreamRecord {
        input: b"half a li".to_vec(),
        unsent: vec![b"first\n".to_vec(), b"second\n".to_vec()],
        sent_bytes: 3,
        is_half_closed: true,
        close_reason: 2,
        unconfirmed: vec![b"unconfirmed\n".to_vec()],
    }
}

fn key_record(key: &str, state: u32) -> IdempotencyKeyRecord {
    IdempotencyKeyRecord {
        key: key.into(),
        holder: "00000000000000a1".into(),
        fingerprint: 0xfedc_ba98_7654_3210,
        until_ms: 1_796_000_000_000,
        state,
        result: "UkVT".into(),
        waiting: vec!["00000000000000a2".into(), "00000000000000a3".into()],
    }
}

/// Guards against a change of the sections and their versions, by which a successor of another version refuses to take over.
#[test]
fn the_sections_are_those_of_earlier_programs() {
    let (in_the_pause, ahead) = records::sections();
    let named: Vec<(&str, u32)> = in_the_pause.iter().map(|s| (s.name.as_str(), s.version)).collect();
    let expected =
        [("node", 1), ("listeners", 1), ("rpcs", 1), ("json", 1), ("ajp", 1), ("executor", 1), ("below", 1)];
    assert_eq!(named, expected);
    let named: Vec<(&str, u32)> = ahead.iter().map(|s| (s.name.as_str(), s.version)).collect();
    assert_eq!(named, [("tokens", 1)]);
}

/// Tests the node's record. A separate test covers the snapshot of the admission controller in it, whose bytes are only
/// copied here.
#[test]
fn the_record_of_the_node_keeps_its_format() {
    let node: NodeRecord = record("node.bin");
    assert_eq!(node.decisions.as_ref().unwrap().encoded_len(), 2_171);
    let expected = NodeRecord {
        clock_base_ns: -1_234_567_890_123,
        fingerprint_key: 0x0123_4567_89ab_cdef,
        fingerprint_key_second_half: 0xfedc_ba98_7654_3210,
        decisions: node.decisions.clone(),
        is_healthy: Some(true),
        load_signal: Some(0.75),
        max_idle_us: 1_000_001,
        timer_us: 2_000_002,
        timer_token: 42,
        keys: vec![key_record("t0", 0), key_record("t1", 1), key_record("t2", 2)],
        removed_keys: vec!["lapsed".into()],
        // The record is of a program that did not have this field.
        recent_runs: Vec::new(),
    };
    assert_eq!(node, expected);
}

#[test]
fn idempotency_keys_that_are_sent_ahead_keep_their_format() {
    assert_record(
        "tokens.bin",
        &IdempotencyKeyRecords { keys: vec![key_record("a", 0), key_record("b", 1)] },
    );
}

#[test]
fn open_rpcs_of_both_protocols_keep_their_format() {
    let call = CallRecord {
        pos: 17,
        body: vec![0, 1, 2, 255],
        is_placed: true,
        placed_at_us: 5_000_001,
        until_us: 6_000_002,
    };
    let by_json = RpcRecord {
        id: "00000000000000a1".into(),
        method: 2,
        memory_kb: 20.5,
        arrived_unix_ms: 1_796_000_000_123,
        time_left_us: Some(3_999_999),
        idempotency_key: Some("t0".into()),
        fingerprint: 0x8877_6655_4433_2211,
        body: "QUJD".into(),
        awaits_answer: true,
        is_running: true,
        call: Some(call),
        client: Some(ClientAddress { is_ajp: false, connection: 9, message_id: "\"a-7\"".into(), serial: 0 }),
    };
    let by_ajp = RpcRecord {
        id: "00000000000000a2".into(),
        method: 1,
        memory_kb: 0.5,
        arrived_unix_ms: 1_796_000_000_456,
        time_left_us: None,
        idempotency_key: None,
        fingerprint: 0,
        body: String::new(),
        awaits_answer: true,
        is_running: false,
        call: None,
        client: Some(ClientAddress { is_ajp: true, connection: 4, message_id: String::new(), serial: 12 }),
    };
    // The client has disconnected, so that no answer is awaited, and the run has not ended.
    let without_client =
        RpcRecord { id: "00000000000000a3".into(), is_running: true, ..RpcRecord::default() };
    assert_record("rpcs.bin", &RpcRecords { rpcs: vec![by_json, by_ajp, without_client] });
}

#[test]
fn connections_by_json_rpc_keep_their_format() {
    let full = JsonRpcConnectionRecord {
        number: 9,
        stream: stream(),
        open_rpcs: vec![OpenRpcRecord { message_id: "\"a-7\"".into(), rpc: "00000000000000a1".into() }],
        used_us: 7_000_007,
        has_line: true,
        has_valid_message: true,
        faults: 3,
        messages_after_faults: 31,
        partial_since_us: Some(6_999_999),
        has_carried_rpc: true,
        close_deadline_us: Some(8_000_008),
    };
    let fresh = JsonRpcConnectionRecord { number: 10, ..JsonRpcConnectionRecord::default() };
    assert_record("json.bin", &JsonRpcConnectionRecords { connections: vec![full, fresh], next_number: 11 });
}

#[test]
fn connections_by_ajp_keep_their_format() {
    let request = AjpRequestRecord {
        health: false,
        method: 1,
        id: Some("00000000000000a2".into()),
        token: Some("sale-1".into()),
        left_us: Some(250_000),
        kb: 20.5,
        ts_ms: 1_796_000_000_456,
        tenant: Some("tenant-a".into()),
    };
    let in_body = AjpConnectionRecord {
        number: 4,
        stream: stream(),
        state: 2,
        since_us: 7_000_001,
        got: 2,
        stated: Some(3),
        flag: true,
        spoke: true,
        faults: 1,
        request: Some(request),
        body: b"AB".to_vec(),
        rpc: Some("00000000000000a2".into()),
        serial: 12,
        used_us: 7_000_002,
        is_proven: true,
    };
    let health = AjpRequestRecord { health: true, ts_ms: 1_796_000_000_789, ..AjpRequestRecord::default() };
    let with_health_check =
        AjpConnectionRecord { number: 5, state: 4, request: Some(health), ..AjpConnectionRecord::default() };
    assert_record(
        "ajp.bin",
        &AjpConnectionRecords { connections: vec![in_body, with_health_check], next_number: 6 },
    );
}

#[test]
fn the_link_to_the_executor_keeps_its_format() {
    let linked = ExecutorRecord {
        stream: Some(stream()),
        queued: vec![b"{\"action\":\"KILL\"}\n".to_vec()],
        last_read: 1_234,
        is_welcomed: true,
        last_gauge_tag: 77,
        unconfirmed: vec![b"{\"action\":\"EXEC\"}\n".to_vec()],
        unconfirmed_until: 9_000_009,
        paused: vec!["look".into(), "sale".into()],
    };
    assert_record("executor.bin", &linked);
    // Without a link the record has only commands that are queued for one.
    let unlinked = ExecutorRecord { queued: vec![b"{}\n".to_vec()], ..ExecutorRecord::default() };
    assert_record("executor-unlinked.bin", &unlinked);
}

#[test]
fn calls_upstream_keep_their_format() {
    let link = UpstreamConnectionRecord {
        endpoint: "127.0.0.1:7400".into(),
        stream: stream(),
        calls: vec!["00000000000000a1".into()],
        used_us: 7_000_003,
        partial_since_us: Some(6_500_000),
        // The record is of a program that did not have this field.
        carried_runs: Vec::new(),
    };
    assert_record(
        "below.bin",
        &UpstreamRecord { connections: vec![link], lost_calls: vec!["00000000000000a2".into()] },
    );
}
