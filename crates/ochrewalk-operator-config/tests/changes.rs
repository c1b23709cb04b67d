//! Checks which changes are found between two files, and the class of each.

use ochrewalk_operator_config::{changes, ChangeClass};

#[test]
fn each_change_has_the_class_of_its_directive() {
    let base =
        "ajp listen 127.0.0.1:1\najp allow 127.0.0.0/8\najp route GET /a look\najp route GET /b look\n\
                below ajp 127.0.0.1:2\nupgrade control /run/a\n";
    for (replaced, replacement, expected) in [
        ("", "", None),
        ("ajp allow 127.0.0.0/8", "ajp allow 127.0.0.0/16", Some(("ajp allow", ChangeClass::Reload))),
        ("127.0.0.1:1\n", "127.0.0.1:3\n", Some(("ajp listen", ChangeClass::Restart))),
        ("upgrade control /run/a", "upgrade control /run/b", Some(("upgrade control", ChangeClass::Restart))),
        ("below ajp 127.0.0.1:2", "below ajp 127.0.0.1:4", Some(("below ajp", ChangeClass::Reload))),
        ("below ajp 127.0.0.1:2", "", Some(("below ajp", ChangeClass::Restart))),
        ("upgrade", "below reply 2s\nupgrade", Some(("below reply", ChangeClass::HandOver))),
        ("upgrade", "ajp idle 2s\nupgrade", Some(("ajp idle", ChangeClass::HandOver))),
        (
            "ajp route GET /a look\najp route GET /b look",
            "ajp route GET /b look\najp route GET /a look",
            Some(("ajp route", ChangeClass::Reload)),
        ),
        ("ajp allow 127.0.0.0/8\n", "ajp allow   127.0.0.0/8 # all\n\n", None),
    ] {
        let after = base.replacen(replaced, replacement, 1);
        let found = changes(base, &after);
        let found: Vec<(&str, ChangeClass)> = found.iter().map(|c| (&*c.directive, c.class)).collect();
        assert_eq!(found, expected.into_iter().collect::<Vec<_>>(), "{replaced} becomes {replacement}");
    }
}

#[test]
fn an_added_list_is_reported_completely_and_the_order_of_endpoints_is_not_significant() {
    let (old, new) = ("below ajp 1.1.1.1:1\nbelow ajp 1.1.1.1:2", "below ajp 1.1.1.1:2\nbelow ajp 1.1.1.1:1");
    assert_eq!(changes(old, new), []);
    let found = changes(old, &format!("{new}\nbelow weight 1.1.1.1:1 2\nbelow weight 1.1.1.1:2 3"));
    assert_eq!(found[0].to_string(), "below weight: nothing becomes 1.1.1.1:1 2, 1.1.1.1:2 3 (by SIGHUP)");
}
