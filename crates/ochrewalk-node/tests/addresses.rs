//! Tests the helper that gives addresses to the other tests.

mod helper;

use helper::own_address;
use std::collections::HashSet;

/// Guards against two nodes of one test program on the same address: one of them would not start, and its test would talk to
/// the other. No address is given twice, however many are asked for.
#[test]
fn no_address_is_given_twice() {
    const ADDRESSES: usize = 600;
    let addresses: HashSet<String> = (0..ADDRESSES).map(|_| own_address(7001)).collect();
    assert_eq!(addresses.len(), ADDRESSES);
}
