//! Tests how long an unconfirmed change stays, and how it is reverted.

use ochrewalk_rollout::{CommitConfirm, ControllerNumber, RevertAction};

const LEASE: u64 = 5_000_000;

fn unconfirmed() -> CommitConfirm {
    let mut change = CommitConfirm::default();
    change.start(0, LEASE);
    change
}

#[test]
fn only_the_current_controller_renews_a_change_and_none_does_while_it_reverts() {
    for (controller, highest, deadline_us) in
        [(7, 7, 4_000_000 + LEASE), (9, 7, 4_000_000 + LEASE), (6, 7, LEASE), (0, 7, LEASE)]
    {
        let mut change = unconfirmed();
        change.renew(4_000_000, ControllerNumber(controller), ControllerNumber(highest));
        assert_eq!(change.next_us(), Some(deadline_us), "controller {controller}, highest known {highest}");
    }
    let mut change = unconfirmed();
    assert_eq!(change.next_action(LEASE), RevertAction::HandOver);
    change.renew(LEASE + 1, ControllerNumber(7), ControllerNumber(7));
    assert!(change.is_pending() && change.next_us().is_none());
    // A process that was suspended for an hour reverts immediately when it is resumed.
    assert_eq!(unconfirmed().next_action(3_600_000_000), RevertAction::HandOver);
}

#[test]
fn three_hand_overs_are_attempted_and_then_restarts_until_one_succeeds() {
    let mut change = unconfirmed();
    let mut now_us = LEASE;
    for expected in [
        RevertAction::HandOver,
        RevertAction::HandOver,
        RevertAction::HandOver,
        RevertAction::Restart,
        RevertAction::Restart,
    ] {
        assert_eq!(change.next_action(now_us), expected);
        assert_eq!(change.next_action(now_us + 60_000_000), RevertAction::None, "one attempt at a time");
        change.revert_failed(now_us);
        assert_eq!(change.next_action(now_us), RevertAction::None, "not immediately");
        now_us = change.next_us().unwrap();
    }
    assert_eq!(change.next_action(now_us), RevertAction::Restart);
    change.revert_succeeded();
    assert!(!change.is_pending());
}

#[test]
fn a_confirmed_change_stays_and_a_late_outcome_of_its_revert_is_ignored() {
    let mut change = unconfirmed();
    change.confirm();
    assert_eq!((change.next_action(u64::MAX), change.next_us()), (RevertAction::None, None));
    change.revert_failed(1);
    assert!(!change.is_pending());
    // A command for another unconfirmed change arrives while the node reverts: the later command takes
    // precedence.
    let mut change = unconfirmed();
    change.next_action(LEASE);
    change.start(LEASE + 1, LEASE);
    change.revert_succeeded();
    assert_eq!(change.next_us(), Some(2 * LEASE + 1));
}
