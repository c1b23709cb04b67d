//! Tests the budget for incomplete messages.

use ochrewalk_node::net::input_budget::{HeldInput, InputBudget};

/// Beyond the budget a connection may hold its share, and nothing larger; what ends or completes makes room again.
#[test]
fn beyond_the_budget_only_messages_within_the_share_are_held() {
    let budget = InputBudget::new(1_000, 10);
    let [mut first, mut second, mut third] = [(); 3].map(|()| HeldInput::default());
    assert!(budget.hold(&mut first, 600));
    assert!(!budget.hold(&mut second, 500));
    budget.release(&mut second);
    assert!(budget.hold(&mut second, 400));
    assert!(budget.hold(&mut third, 100), "a share is always held");
    assert!(!budget.hold(&mut third, 101));
    // The message of the first connection is complete.
    assert!(budget.hold(&mut first, 0));
    assert!(budget.hold(&mut third, 600));
    for held in [&mut first, &mut second, &mut third] {
        budget.release(held);
        budget.release(held);
    }
    assert!(budget.hold(&mut first, 1_000));
}
