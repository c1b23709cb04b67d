//! Measures how long idempotency keys extend the pause of an upgrade: all keys exported and imported during the pause,
//! compared with only those that changed since the others were sent ahead; and the longest time for which the export of a
//! batch ahead of the pause delays all RPCs.
//! `cargo bench -p ochrewalk-node`

use ochrewalk_node::handover::records::{IdempotencyKeyRecord, IdempotencyKeyRecords};
use ochrewalk_node::idempotency_keys::{IdempotencyKeyStore, KeyState};
use prost::Message;
use std::time::Instant;

/// The number of keys that change between the first batch and the pause.
const CHANGED: u64 = 1_000;
const BATCH_KEYS: usize = 1_000;
const RESULT: &str =
    "\"0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890\"";

fn store_with(count: u64) -> IdempotencyKeyStore {
    let mut keys = IdempotencyKeyStore::new(usize::MAX);
    for number in 0..count {
        settle(&mut keys, number);
    }
    keys
}

fn settle(keys: &mut IdempotencyKeyStore, number: u64) {
    let key: std::sync::Arc<str> = format!("{number:032x}").into();
    let holder = format!("{number:016x}");
    keys.remember(key.clone(), number, holder.as_str().into(), 1_764_576_000_000 + number);
    keys.record_outcome(&key, &holder, KeyState::Served(RESULT.into()));
}

/// Encodes and decodes records, and imports them into the store of the successor.
fn transfer(keys: Vec<IdempotencyKeyRecord>, removed: &[String], to: &mut IdempotencyKeyStore) {
    let bytes = IdempotencyKeyRecords { keys }.encode_to_vec();
    to.import(
        IdempotencyKeyRecords::decode(bytes.as_slice()).expect("the bytes were just encoded").keys,
        removed,
    );
}

fn ms(from: Instant) -> f64 {
    from.elapsed().as_secs_f64() * 1e3
}

fn main() {
    println!("keys       all at once ms   ahead ms   longest batch ms   in the pause ms   sweep us");
    for count in [1_000, 10_000, 100_000, 1_000_000] {
        let mut keys = store_with(count);
        let from = Instant::now();
        let mut next = IdempotencyKeyStore::new(usize::MAX);
        transfer(keys.export_all(), &[], &mut next);
        let at_once = ms(from);
        let (mut next, mut after, mut longest, from) =
            (IdempotencyKeyStore::new(usize::MAX), None, 0.0f64, Instant::now());
        loop {
            let started = Instant::now();
            let batch = keys.export_batch(after.as_ref(), BATCH_KEYS);
            longest = longest.max(ms(started));
            let Some((records, last)) = batch else { break };
            transfer(records, &[], &mut next);
            after = Some(last);
        }
        let ahead = ms(from);
        (count..count + CHANGED).for_each(|number| settle(&mut keys, number));
        let from = Instant::now();
        let (changed, removed) = keys.export_changed();
        transfer(changed, &removed, &mut next);
        let in_pause = ms(from);
        let from = Instant::now();
        (0..100).for_each(|_| keys.remove_expired(1_764_576_000_000));
        let sweep_us = ms(from) * 10.0;
        println!(
            "{count:<10} {at_once:>14.1} {ahead:>10.1} {longest:>18.2} {in_pause:>22.1} {sweep_us:>10.2}"
        );
        assert_eq!(next.export_all().len(), keys.export_all().len());
    }
}
