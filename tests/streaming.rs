//! Reading JSON texts in parts gives the same results and errors as reading them completely.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use ochrewalk::deployment::Placement;
use ochrewalk::json;
use proptest::prelude::*;
use serde_json::value::RawValue;
use serde_json::{json, Map, Value};

/// Returns the restart-only settings of a node's file, from a tree of the complete file.
fn restart_only_of_tree(text: &str) -> String {
    let mut value: Value = serde_json::from_str(text).unwrap();
    if let Some(fields) = value.as_object_mut() {
        for key in ["executor", "lookup", "stop_ms", "seed"] {
            fields.remove(key);
        }
        if let Some(store) = fields.get_mut("store") {
            *store = Value::Bool(true);
        }
    }
    value.to_string()
}

fn any_json() -> impl Strategy<Value = Value> {
    let name = prop_oneof!["[a-c]{1,2}", Just("store".to_string()), Just("seed".to_string()), "\\PC{0,3}"];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        (-1e30..1e30).prop_map(Value::from),
        "\\PC{0,4}".prop_map(Value::from),
        "[\\x00-\\x7f]{0,4}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 5, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5).prop_map(Value::from),
            prop::collection::vec((name.clone(), inner), 0..5)
                .prop_map(|fields| fields.into_iter().collect::<Map<_, _>>().into()),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn restart_only_settings_are_written_as_from_a_tree_of_the_complete_file(value in any_json()) {
        for text in [value.to_string(), serde_json::to_string_pretty(&value).unwrap()] {
            let settings = Placement::restart_only_settings(text.as_bytes());
            prop_assert_eq!(settings.unwrap(), restart_only_of_tree(&text));
        }
    }

    #[test]
    fn invalid_json_is_rejected_with_the_error_of_reading_it_completely(
        value in any_json(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut text = serde_json::to_string_pretty(&json!({"settings": {"tenants": [value]}})).unwrap().into_bytes();
        let at = at.index(text.len());
        text[at] = byte;
        if let Err(err) = serde_json::from_slice::<Value>(&text) {
            prop_assert_eq!(Placement::read(&text).unwrap_err().to_string(), format!("config: not JSON: {err}"));
        } else {
            prop_assert!(json::check(&text).is_ok());
        }
    }
}

#[test]
fn restart_only_settings_depend_neither_on_order_nor_on_duplicate_fields() {
    for (one, other) in [
        (
            r#"{"a":1,"b":{"c":[{"x":1,"y":2}],"d":null}}"#,
            r#"{ "b": {"d":null, "c":[{"y":2,"x":1}]}, "a":1 }"#,
        ),
        (r#"{"a":1}"#, r#"{"a":[2],"a":1}"#),
        (r#"{"A":"é"}"#, r#"{"\u0041":"\u00e9"}"#),
        (r#"{"a":[]}"#, r#"{"a":[ ]}"#),
    ] {
        let [one, other] = [one, other].map(|text| {
            (Placement::restart_only_settings(text.as_bytes()).unwrap(), restart_only_of_tree(text))
        });
        assert_eq!(one, other);
        assert_eq!(one.0, one.1);
    }
}

#[test]
fn errors_give_the_position_of_numbers_and_strings_out_of_range() {
    for bad in [r#""\ud800""#, "1e999", "[1,]", "tru", "\"\u{1}\""] {
        let text = format!("{{\"name\":\"n\",\n\"settings\":{{\"tenants\":[{{\"name\":{bad}}}]}}}}");
        let err = serde_json::from_str::<Value>(&text).unwrap_err();
        assert_eq!(
            Placement::read(text.as_bytes()).unwrap_err().to_string(),
            format!("config: not JSON: {err}")
        );
        assert_eq!(
            Placement::restart_only_settings(text.as_bytes()).unwrap_err().to_string(),
            format!("config: not JSON: {err}")
        );
    }
}

#[test]
fn the_first_error_of_an_element_ends_the_reading_of_its_list() {
    let list: &RawValue = serde_json::from_str("[1, 2, 3]").unwrap();
    let mut seen = Vec::new();
    let result = json::for_each(list, |element: u64| {
        seen.push(element);
        if element == 2 {
            Err("two")
        } else {
            Ok(())
        }
    });
    assert_eq!((result.unwrap(), seen), (Err("two"), vec![1, 2]));
}

fn file(change: impl Fn(&mut Value)) -> Vec<u8> {
    let mut file = json!({
        "name": "n3", "listen": "127.0.0.1:7001", "executor": "127.0.0.1:6100", "lookup": "127.0.0.1:8761",
        "seed": "1", "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "categories": (0..3).map(|n| json!({
                "name": format!("m{n}"), "idempotency": "free", "worth": 1.0, "on-time-ns": 1_000, "deadline-ns": 2_000
            })).collect::<Value>(),
            "tenants": [{"name": "a", "allowance-per-s": 3.0, "unheard-of": [1]}, {"name": "b", "allowance-per-s": 0}],
            "extra": {"below": "tier", "cores": 2, "memory-kb": 9000.0, "run-mem-factor": 8.0, "unheard-of": {},
                      "calls-by-class": [true, false], "class-skip-worth": [0.5, null, 0.25]},
            "policy-limits": {}, "unheard-of": 1,
            "rules": {"cold-from": 0.2, "drain-grace-ns": 1, "fall-multiple": 8.0, "warm-within-ns": 1}
        }
    });
    change(&mut file);
    file.to_string().into_bytes()
}

#[test]
fn lists_are_read_into_the_methods_and_tenants() {
    let deployment = Placement::read(&file(|_| ())).unwrap().deployment;
    let methods = deployment.methods.iter().map(|method| (method.makes_calls, method.value_without_call));
    assert_eq!(methods.collect::<Vec<_>>(), [(true, 0.5), (false, 0.0), (true, 0.25)]);
    assert_eq!(deployment.method("m2"), Some(2));
    let tenants =
        ["a", "b", "c"].map(|name| deployment.tenant(name).map(|tenant| (tenant.id, tenant.per_second)));
    assert_eq!(tenants, [Some((0, 3.0)), Some((1, 0.0)), None]);
}

#[test]
fn errors_in_lists_name_the_list_and_the_field() {
    let settings = |pointer: &'static str, value: Value| {
        file(|file| *file["settings"].pointer_mut(pointer).unwrap() = value.clone())
    };
    for (text, want) in [
        (settings("/tenants", json!({})), "config settings: field tenants is missing or not an array"),
        (
            settings("/categories", Value::Null),
            "config settings: field categories is missing or not an array",
        ),
        (settings("/extra", json!([])), "config settings: field extra is missing or not an object"),
        (
            settings("/extra/calls-by-class", json!(1)),
            "config settings extra: field calls-by-class is missing or not an array",
        ),
        (
            settings("/extra/class-skip-worth", json!("")),
            "config settings extra: field class-skip-worth is missing or not an array",
        ),
        (
            settings("/tenants/1/name", json!(5)),
            "config settings tenants: field name is missing or not a string",
        ),
        (
            settings("/tenants/1/allowance-per-s", json!(-1)),
            "config settings tenants: field allowance-per-s is missing or not a number of 0 or more",
        ),
        (settings("/tenants/0", json!(7)), "config settings tenants: field name is missing or not a string"),
        (
            settings("/categories/2/worth", Value::Null),
            "config settings categories: field worth is missing or not a number of 0 or more",
        ),
        (file(|file| file["settings"] = json!([1])), "config: field settings is missing or not an object"),
    ] {
        assert_eq!(Placement::read(&text).unwrap_err().to_string(), want);
    }
    let none = Placement::read(&settings("/tenants", Value::Null)).unwrap();
    assert_eq!(none.deployment.tenant("a"), None);
}
