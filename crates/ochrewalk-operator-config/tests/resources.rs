//! Checks files of changes, and the validation that the publisher and the nodes share.

use ochrewalk_distribution::messages::{Limit, Quota, Resource, Route, Value};
use ochrewalk_operator_config::resources::{
    check, check_route_target, describe, limit_name, quota_name, read_changes, route_name, RouteTarget,
};
use ochrewalk_operator_config::{parse, MethodContext, NodeContext};

#[test]
fn each_kind_of_change_is_read() {
    let text =
        "route shop GET /items/{} look\nquota acme 12.5 # a tenant\n\nendpoint shop 10.0.0.1:8009 2 east\n\
                limit shop usual-memory-kb 20\ndelete route shop GET /old\ndelete quota gone\n\
                delete endpoint shop 10.0.0.2:8009\ndelete limit shop usual-memory-kb\n";
    let changes = read_changes(text, "changes").unwrap();
    let described: Vec<(String, bool)> =
        changes.iter().map(|change| (describe(&change.name), change.value.is_some())).collect();
    let expected = [
        ("route shop GET /items/{}", true),
        ("quota acme", true),
        ("endpoint shop 10.0.0.1:8009", true),
        ("limit shop usual-memory-kb", true),
        ("route shop GET /old", false),
        ("quota gone", false),
        ("endpoint shop 10.0.0.2:8009", false),
        ("limit shop usual-memory-kb", false),
    ];
    assert_eq!(described, expected.map(|(name, is_set)| (name.to_string(), is_set)));
}

#[test]
fn each_error_names_its_line_and_a_correction() {
    for (text, message) in [
        ("quota acme", "changes:1: quota with 2 words; write quota TENANT PER-SECOND"),
        ("quota acme many", "changes:1: many is no number; write one such as 12.5"),
        ("quota acme -1", "changes:1: -1 is no quota; write RPCs a second over the whole fleet, 0 or more"),
        ("quota acme NaN", "changes:1: NaN is no quota; write RPCs a second over the whole fleet, 0 or more"),
        (
            "route shop GET items look",
            "changes:1: a path begins with '/'; write a path such as /items/{}/price or /stock/*",
        ),
        (
            "endpoint shop ledger:1 1 east",
            "changes:1: ledger:1 is no address; write ADDRESS:PORT, with an IP address",
        ),
        ("endpoint shop 10.0.0.1:1 0 east", "changes:1: 0 is no weight; write a number from 0.01 to 1000"),
        ("limit shop speed 1", "changes:1: speed is no limit; write one of usual-memory-kb"),
        (
            "limit shop usual-memory-kb 0",
            "changes:1: 0 is out of range; write a number above 0 and under 2000",
        ),
        (
            "delete",
            "changes:1: delete is no change; a line begins with route, quota, endpoint, limit or delete",
        ),
        ("delete quota", "changes:1: delete quota with 2 words; write delete quota TENANT"),
        ("quota \"a", "changes:1: a quotation mark is not closed; write \"a b\" for a word with a blank"),
    ] {
        let errors = read_changes(text, "changes").map(|_| ()).unwrap_err();
        assert_eq!(errors.iter().map(|error| error.to_string()).collect::<Vec<_>>(), [message], "{text}");
    }
    let all = read_changes("x\nquota a 1\ny\n", "changes").unwrap_err();
    assert_eq!(all.iter().map(|error| error.line).collect::<Vec<_>>(), [1, 3]);
}

#[test]
fn resources_that_contradict_their_name_are_rejected() {
    let route = Route { http_method: "GET".into(), path: "/a".into(), method: "look".into() };
    let resource = |name, value| Resource { name, revision: 0, value: Some(value) };
    assert!(check(&resource(route_name("shop", "GET", "/a"), Value::Route(route.clone()))).is_ok());
    assert!(check(&resource(route_name("shop", "GET", "/b"), Value::Route(route))).is_err());
    assert!(check(&resource(quota_name("a b"), Value::Quota(Quota { per_second: 1.0 }))).is_err());
    assert!(check(&resource(limit_name("shop", "x"), Value::Limit(Limit { amount: 1.0 }))).is_err());
}

#[test]
fn a_route_needs_a_method_of_the_node_and_no_retryable_http_method_for_a_non_idempotent_one() {
    let target = |method: &str| match method {
        "look" => Some(RouteTarget { position: 0, is_idempotent: true }),
        "sell" => Some(RouteTarget { position: 1, is_idempotent: false }),
        _ => None,
    };
    for (http, method, expected) in [
        ("GET", "look", Ok(0)),
        ("POST", "sell", Ok(1)),
        ("GET", "lok", Err("route shop GET /a: lok is no method here; route it to a method of the node's file")),
        (
            "PUT",
            "sell",
            Err("route shop PUT /a: sell may not happen twice, and PUT may be sent again by anybody between; \
                 route it for POST"),
        ),
    ] {
        let route = Route { http_method: http.into(), path: "/a".into(), method: method.into() };
        let checked = check_route_target(&route_name("shop", http, "/a"), &route, target(method));
        assert_eq!(checked.map_err(|error| error.to_string()), expected.map_err(String::from), "{http} {method}");
    }
}

#[test]
fn the_control_plane_needs_two_relays_and_a_region() {
    let methods = [MethodContext { name: "look".into(), is_idempotent: true }];
    let node = NodeContext { methods: &methods, descriptors: 512, has_upstream: false };
    let message = |text: &str| parse(text, "my.conf", &node).map(|_| ()).unwrap_err()[0].to_string();
    assert_eq!(
        message("config relay 127.0.0.1:7000\nconfig region east"),
        "my.conf:1: one relay that fails would leave the node without any; name two relays or more: \
         config relay ADDRESS:PORT"
    );
    let relays = "config relay 127.0.0.1:7000\nconfig relay 127.0.0.1:7001\n";
    assert_eq!(message(relays), "my.conf:1: no region is named; add a line: config region NAME");
    assert_eq!(
        message(&format!("{relays}config budget 26\n")),
        "my.conf:3: 26 is not a budget; write bytes a second from 1k on, such as 26k"
    );
    let all = format!(
        "{relays}config region east\nconfig scope shop\nconfig snapshot /var/lib/node\nconfig budget 13k\n\
         config tenants 10\n"
    );
    let config = parse(&all, "my.conf", &node).unwrap().config_agent.unwrap();
    assert_eq!((config.relays.len(), config.bytes_per_second, config.max_tenants), (2, 13 * 1024, 10));
    assert_eq!((config.region.as_str(), config.scopes.as_slice()), ("east", ["shop".to_string()].as_slice()));
    assert!(parse("", "my.conf", &node).unwrap().config_agent.is_none());
}
