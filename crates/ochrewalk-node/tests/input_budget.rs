//! Tests the budget for incomplete messages.

use ochrewalk_node::net::input_budget::{InputBudget, ReservedInput};

/// Beyond the budget a connection may reserve its quota, and nothing larger; what ends or completes makes room again.
#[test]
fn beyond_the_budget_only_messages_within_the_quota_are_reserved() {
    let budget = InputBudget::new(1_000, 10);
    let [mut first, mut second, mut third] = [(); 3].map(|()| ReservedInput::default());
    assert!(budget.reserve(&mut first, 600));
    assert!(!budget.reserve(&mut second, 500));
    budget.release(&mut second);
    assert!(budget.reserve(&mut second, 400));
    assert!(budget.reserve(&mut third, 100), "a quota can always be reserved");
    assert!(!budget.reserve(&mut third, 101));
    // The message of the first connection is complete.
    assert!(budget.reserve(&mut first, 0));
    assert!(budget.reserve(&mut third, 600));
    for reserved in [&mut first, &mut second, &mut third] {
        budget.release(reserved);
        budget.release(reserved);
    }
    assert!(budget.reserve(&mut first, 1_000));
}
