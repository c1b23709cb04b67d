//! Look-ups of names and positions give the same results as a linear search of the list.

use ochrewalk::names::Names;

#[test]
fn each_name_is_found_at_its_first_position() {
    let list: Vec<String> = (0..50_000).map(|n| format!("method-{}", n % 49_000)).collect();
    let names: Names = list.iter().map(String::as_str).collect();
    assert_eq!(names.len(), list.len());
    assert!(names.iter().eq(list.iter().map(String::as_str)));
    for (position, name) in list.iter().enumerate() {
        assert_eq!(names.get(position), Some(name.as_str()));
        assert_eq!(names.position(name), Some(position % 49_000));
    }
    assert_eq!((names.get(50_000), names.position("method-49000"), names.position("")), (None, None, None));
}

#[test]
fn indexes_are_equal_if_and_only_if_all_names_are() {
    let of = |list: &[&str]| list.iter().copied().collect::<Names>();
    assert_eq!(of(&["ab", "c", ""]), of(&["ab", "c", ""]));
    for other in [&["a", "bc", ""] as &[&str], &["c", "ab", ""], &["ab", "c"], &["ab", "c", "", ""]] {
        assert_ne!(of(&["ab", "c", ""]), of(other));
    }
    assert!(of(&[]).is_empty());
    assert_eq!(of(&["", "x"]).position(""), Some(0));
}
