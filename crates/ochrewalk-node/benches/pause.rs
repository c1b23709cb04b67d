//! What tokens add to an upgrade's pause: all of them written down and taken in it, against those that changed since the
//! others went ahead; and the longest moment that a piece sent ahead holds everybody up.
//! `cargo bench -p ochrewalk-node`

use ochrewalk_node::handover::records::{IdempotencyKeyRecord, IdempotencyKeyRecords};
use ochrewalk_node::idempotency_keys::{IdempotencyKeyStore, KeyState};
use prost::Message;
use std::time::Instant;

/// Settled between the first piece and the pause.
const CHANGED: u64 = 1_000;
const PIECE: usize = 1_000;
const RESULT: &str =
    "\"0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890\"";

fn filled(count: u64) -> IdempotencyKeyStore {
    let mut keys = IdempotencyKeyStore::new(usize::MAX);
    for number in 0..count {
        settle(&mut keys, number);
    }
    keys
}

fn settle(keys: &mut IdempotencyKeyStore, number: u64) {
    let token: std::sync::Arc<str> = format!("{number:032x}").into();
    let holder = format!("{number:016x}");
    keys.remember(token.clone(), number, holder.as_str().into(), 1_764_576_000_000 + number);
    keys.record_outcome(&token, &holder, KeyState::Served(RESULT.into()));
}

/// Through bytes and into the next program's table.
fn pass(tokens: Vec<IdempotencyKeyRecord>, gone: &[String], to: &mut IdempotencyKeyStore) {
    let bytes = IdempotencyKeyRecords { keys: tokens }.encode_to_vec();
    to.import(IdempotencyKeyRecords::decode(bytes.as_slice()).expect("just written").keys, gone);
}

fn ms(from: Instant) -> f64 {
    from.elapsed().as_secs_f64() * 1e3
}

fn main() {
    println!("tokens     all at once ms   ahead ms   longest piece ms   at the pause ms   sweep us");
    for count in [1_000, 10_000, 100_000, 1_000_000] {
        let mut keys = filled(count);
        let from = Instant::now();
        let mut next = IdempotencyKeyStore::new(usize::MAX);
        pass(keys.export_all(), &[], &mut next);
        let at_once = ms(from);
        let (mut next, mut after, mut longest, from) =
            (IdempotencyKeyStore::new(usize::MAX), None, 0.0f64, Instant::now());
        loop {
            let held = Instant::now();
            let piece = keys.export_batch(after.as_ref(), PIECE);
            longest = longest.max(ms(held));
            let Some((tokens, last)) = piece else { break };
            pass(tokens, &[], &mut next);
            after = Some(last);
        }
        let ahead = ms(from);
        (count..count + CHANGED).for_each(|number| settle(&mut keys, number));
        let from = Instant::now();
        let (changed, gone) = keys.export_changed();
        pass(changed, &gone, &mut next);
        let still = ms(from);
        let from = Instant::now();
        (0..100).for_each(|_| keys.remove_expired(1_764_576_000_000));
        let sweep_us = ms(from) * 10.0;
        println!("{count:<10} {at_once:>14.1} {ahead:>10.1} {longest:>18.2} {still:>22.1} {sweep_us:>10.2}");
        assert_eq!(next.export_all().len(), keys.export_all().len());
    }
}
