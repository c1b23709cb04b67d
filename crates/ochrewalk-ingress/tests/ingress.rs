//! Checks allowed peers, the mapping of requests to methods, and the limit on connections with tables of cases.

use ochrewalk_ajp::request::{Attribute, BodyLength, Request, StringAttribute};
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::connection_budget::{decide, BudgetDecision, ConnectionUsage, RetentionPriority};
use ochrewalk_ingress::request_evaluation::{RequestTarget, Rules};
use ochrewalk_ingress::routes::{PathError, RouteMatch, Routes};

#[test]
fn the_rule_of_the_most_specific_network_applies() {
    let networks = [("10.0.0.0/8", true), ("10.9.0.0/16", false), ("10.9.9.9/32", true), ("fd00::/8", true)];
    // The order of the rules has no effect.
    for first in 0..networks.len() {
        let mut allowed_peers = AllowedPeers::default();
        assert!(allowed_peers.is_empty());
        for (network, is_allowed) in networks.iter().cycle().skip(first).take(networks.len()) {
            assert_eq!(allowed_peers.insert(network.parse().unwrap(), *is_allowed), None);
        }
        assert!(!allowed_peers.is_empty());
        for (address, may_connect) in [
            ("10.1.1.1", true),
            ("10.9.1.1", false),
            ("10.9.9.9", true),
            ("9.9.9.9", false),
            ("fd00::1", true),
            ("fe80::1", false),
            ("::ffff:10.1.1.1", true),
            ("::ffff:9.1.1.1", false),
        ] {
            assert_eq!(allowed_peers.may_connect(address.parse().unwrap()), may_connect, "{address}");
        }
        assert_eq!(
            allowed_peers.insert("10.1.2.3/8".parse().unwrap(), false),
            Some(true),
            "the same network has a rule"
        );
    }
}

fn routes() -> Routes {
    let mut routes = Routes::default();
    for (position, (http_method, pattern)) in [
        ("GET", "/items/{}"),
        ("GET", "/items/all"),
        ("GET", "/items/{}/price"),
        ("POST", "/sales"),
        ("PUT", "/stock/*"),
        ("GET", "/stock/{}/count"),
        ("GET", "/*"),
    ]
    .into_iter()
    .enumerate()
    {
        routes.add(http_method, pattern, position).unwrap();
    }
    routes
}

#[test]
fn routes_match_normalized_paths_regardless_of_their_order() {
    let only = |names: &[&str]| Ok(RouteMatch::OtherMethods(names.iter().map(|n| n.to_string()).collect()));
    for (http_method, path, expected) in [
        ("GET", "/items/7", Ok(RouteMatch::Method(0))),
        ("GET", "/items/all", Ok(RouteMatch::Method(1))),
        ("GET", "/items/all/price", Ok(RouteMatch::Method(2))),
        ("GET", "/items/7/price?of=today", Ok(RouteMatch::Method(2))),
        ("GET", "//items//7/", Ok(RouteMatch::Method(0))),
        ("GET", "/items;v=1/7;w", Ok(RouteMatch::Method(0))),
        ("GET", "/it%65ms/7", Ok(RouteMatch::Method(0))),
        ("POST", "/sales", Ok(RouteMatch::Method(3))),
        ("PUT", "/stock", Ok(RouteMatch::Method(4))),
        ("PUT", "/stock/a/b/c", Ok(RouteMatch::Method(4))),
        ("GET", "/stock/a/count", Ok(RouteMatch::Method(5))),
        ("GET", "/elsewhere/a", Ok(RouteMatch::Method(6))),
        ("GET", "/", Ok(RouteMatch::Method(6))),
        ("POST", "/items/7", only(&["GET"])),
        ("DELETE", "/stock/a/count", only(&["GET", "PUT"])),
        ("GET", "items", Err(PathError::NotAbsolute)),
        ("GET", "", Err(PathError::NotAbsolute)),
        ("GET", "/a/../sales", Err(PathError::DotSegment)),
        ("GET", "/a/%2e%2E/sales", Err(PathError::DotSegment)),
        ("GET", "/a%2Fb", Err(PathError::InvalidEscape)),
        ("GET", "/a%5cb", Err(PathError::InvalidEscape)),
        ("GET", "/a%00", Err(PathError::InvalidEscape)),
        ("GET", "/a%4", Err(PathError::InvalidEscape)),
        ("GET", "/a%zz", Err(PathError::InvalidEscape)),
        ("GET", &"/a".repeat(33), Err(PathError::TooManySegments)),
    ] {
        assert_eq!(routes().find(http_method.as_bytes(), path.as_bytes()), expected, "{http_method} {path}");
    }
    let mut table = Routes::default();
    assert!(table.is_empty());
    table.add("GET", "/a", 0).unwrap();
    assert_eq!(table.find(b"GET", b"/b"), Ok(RouteMatch::NoRoute));
    assert!(!table.is_empty());
    for (pattern, error) in [
        ("a", "begins with '/'"),
        ("/a/*/b", "may only be the last"),
        ("/a*", "may only be the last"),
        ("/a/{x}", "as a whole"),
        ("/a", "routed already"),
    ] {
        assert!(table.add("GET", pattern, 1).unwrap_err().contains(error), "{pattern}");
    }
}

fn rules() -> Rules {
    Rules {
        routes: routes(),
        health: Some("/health".into()),
        secret: Some(b"peach".to_vec()),
        default_memory_kb: Some(20.5),
        memory_limit_kb: 2_000.0,
        ..Rules::default()
    }
}

fn request<'a>(
    http_method: &'a str,
    uri: &'a str,
    headers: &[(&'a str, &'a str)],
    secret: &'a str,
) -> Request<'a> {
    Request {
        method: http_method.as_bytes(),
        uri: uri.as_bytes(),
        headers: headers.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes())).collect(),
        attributes: vec![Attribute::String(StringAttribute::Secret, secret.as_bytes())],
        ..Request::default()
    }
}

#[test]
fn requests_are_evaluated_by_their_heads() {
    let all = [
        ("X-Request-Id", "0123456789abcdef"),
        ("X-Token", "aa7"),
        ("X-Time-Left-Ms", "250"),
        ("X-Memory-Kb", "3.5"),
        ("Content-Length", "9"),
    ];
    let Ok((RequestTarget::Method(method), body)) =
        rules().evaluate(&request("POST", "/sales", &all, "peach"))
    else {
        panic!()
    };
    assert_eq!(
        (method.method, method.memory_kb, method.time_left_us, body),
        (3, 3.5, Some(250_000), BodyLength::Stated(9))
    );
    assert_eq!((method.id.as_deref(), method.token.as_deref()), (Some("0123456789abcdef"), Some("aa7")));
    let Ok((RequestTarget::Method(method), _)) = rules().evaluate(&request("GET", "/items/1", &[], "peach"))
    else {
        panic!()
    };
    assert_eq!((method.id, method.token, method.time_left_us, method.memory_kb), (None, None, None, 20.5));
    assert_eq!(
        rules().evaluate(&request("HEAD", "/health?x", &[], "peach")),
        Ok((RequestTarget::Health, BodyLength::None))
    );
    for (http_method, uri, headers, secret, status, allowed_methods, closes_connection) in [
        ("GET", "/items/1", &[][..], "pears", 403, &[][..], true),
        ("GET", "/items/1", &[], "peac", 403, &[], true),
        ("GET", "/items/1", &[], "", 403, &[], true),
        ("GET", "/items/1", &[("content-length", "x")], "peach", 400, &[], true),
        ("GET", "/a/../b", &[], "peach", 400, &[], false),
        ("PUT", "/items/1", &[], "peach", 405, &["GET"], false),
        ("PUT", "/health", &[], "peach", 405, &["GET", "HEAD"], false),
        ("GET", "/items/1", &[("x-request-id", "12")], "peach", 400, &[], false),
        ("GET", "/items/1", &[("x-request-id", "0123456789abcdeg")], "peach", 400, &[], false),
        ("POST", "/sales", &[("x-token", "")], "peach", 400, &[], false),
        ("POST", "/sales", &[("x-token", "a b")], "peach", 400, &[], false),
        ("POST", "/sales", &[("x-time-left-ms", "-1")], "peach", 400, &[], false),
        ("POST", "/sales", &[("x-time-left-ms", "99999999999")], "peach", 400, &[], false),
        ("POST", "/sales", &[("x-memory-kb", "0")], "peach", 400, &[], false),
        ("POST", "/sales", &[("x-memory-kb", "NaN")], "peach", 400, &[], false),
        ("POST", "/sales", &[("x-memory-kb", "2000")], "peach", 400, &[], false),
    ] {
        let rejection = rules().evaluate(&request(http_method, uri, headers, secret)).unwrap_err();
        let allowed_methods: Vec<String> = allowed_methods.iter().map(|method| method.to_string()).collect();
        assert_eq!(
            (rejection.refusal.status, rejection.allowed_methods, rejection.closes_connection),
            (status, allowed_methods, closes_connection),
            "{http_method} {uri} {headers:?}"
        );
    }
    let mut strict = rules();
    (strict.secret, strict.default_memory_kb) = (None, None);
    assert_eq!(strict.evaluate(&request("GET", "/items/1", &[], "")).unwrap_err().refusal.status, 400);
}

#[test]
fn the_connection_of_lowest_priority_is_closed_and_none_with_a_due_response() {
    let connection = |number, is_closing, priority: Option<(bool, u64)>| {
        let priority =
            priority.map(|(is_proven, last_used_us)| RetentionPriority { is_proven, last_used_us });
        ConnectionUsage { number, is_closing, priority }
    };
    let busy = |number| connection(number, false, None);
    for (connections, expected) in [
        (vec![busy(1)], BudgetDecision::Accept),
        (vec![busy(1), busy(2)], BudgetDecision::Reject),
        (vec![busy(1), connection(2, false, Some((true, 5)))], BudgetDecision::AcceptAndClose(2)),
        // A connection that is not proven is closed first, then the least recently used one.
        (
            vec![connection(1, false, Some((true, 1))), connection(2, false, Some((false, 9)))],
            BudgetDecision::AcceptAndClose(2),
        ),
        (
            vec![connection(1, false, Some((true, 7))), connection(2, false, Some((true, 6)))],
            BudgetDecision::AcceptAndClose(2),
        ),
        (vec![busy(1), connection(2, true, Some((true, 5)))], BudgetDecision::Accept),
        (vec![busy(1), busy(2), connection(3, true, Some((true, 5)))], BudgetDecision::Reject),
        // A connection that was asked to close has stayed open, so one has to close before another is accepted.
        (vec![busy(1), busy(2), connection(3, false, Some((true, 5)))], BudgetDecision::CloseFirst(3)),
        (
            vec![
                busy(1),
                connection(2, true, None),
                connection(3, true, None),
                connection(4, false, Some((true, 1))),
            ],
            BudgetDecision::Reject,
        ),
    ] {
        assert_eq!(decide(2, 2, &connections), expected, "{connections:?}");
    }
}
