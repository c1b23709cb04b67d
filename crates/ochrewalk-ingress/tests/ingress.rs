//! Who may connect, what requests stand for, and who makes room, as tables.

use ochrewalk_ajp::request::{Attribute, BodyLength, Request, Which};
use ochrewalk_ingress::allowed_peers::AllowedPeers;
use ochrewalk_ingress::connection_budget::{look, Standing, Verdict, Worth};
use ochrewalk_ingress::judge::{Asks, Rules};
use ochrewalk_ingress::routes::{Found, NoPath, Routes};

#[test]
fn the_narrowest_network_has_the_say() {
    let networks = [("10.0.0.0/8", true), ("10.9.0.0/16", false), ("10.9.9.9/32", true), ("fd00::/8", true)];
    // In any order.
    for turn in 0..networks.len() {
        let mut allowed_peers = AllowedPeers::default();
        assert!(allowed_peers.is_empty());
        for (network, let_in) in networks.iter().cycle().skip(turn).take(networks.len()) {
            assert_eq!(allowed_peers.state(network.parse().unwrap(), *let_in), None);
        }
        assert!(!allowed_peers.is_empty());
        for (address, may) in [
            ("10.1.1.1", true),
            ("10.9.1.1", false),
            ("10.9.9.9", true),
            ("9.9.9.9", false),
            ("fd00::1", true),
            ("fe80::1", false),
            ("::ffff:10.1.1.1", true),
            ("::ffff:9.1.1.1", false),
        ] {
            assert_eq!(allowed_peers.may_connect(address.parse().unwrap()), may, "{address}");
        }
        assert_eq!(
            allowed_peers.state("10.1.2.3/8".parse().unwrap(), false),
            Some(true),
            "the same network again"
        );
    }
}

fn routes() -> Routes {
    let mut routes = Routes::default();
    for (at, (http, pattern)) in [
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
        routes.add(http, pattern, at).unwrap();
    }
    routes
}

#[test]
fn routes_are_found_whatever_their_order_and_disguise() {
    let only = |names: &[&str]| Ok(Found::OtherMethods(names.iter().map(|n| n.to_string()).collect()));
    for (http, path, found) in [
        ("GET", "/items/7", Ok(Found::Method(0))),
        ("GET", "/items/all", Ok(Found::Method(1))),
        ("GET", "/items/all/price", Ok(Found::Method(2))),
        ("GET", "/items/7/price?of=today", Ok(Found::Method(2))),
        ("GET", "//items//7/", Ok(Found::Method(0))),
        ("GET", "/items;v=1/7;w", Ok(Found::Method(0))),
        ("GET", "/it%65ms/7", Ok(Found::Method(0))),
        ("POST", "/sales", Ok(Found::Method(3))),
        ("PUT", "/stock", Ok(Found::Method(4))),
        ("PUT", "/stock/a/b/c", Ok(Found::Method(4))),
        ("GET", "/stock/a/count", Ok(Found::Method(5))),
        ("GET", "/elsewhere/a", Ok(Found::Method(6))),
        ("GET", "/", Ok(Found::Method(6))),
        ("POST", "/items/7", only(&["GET"])),
        ("DELETE", "/stock/a/count", only(&["GET", "PUT"])),
        ("GET", "items", Err(NoPath::NotAbsolute)),
        ("GET", "", Err(NoPath::NotAbsolute)),
        ("GET", "/a/../sales", Err(NoPath::Dots)),
        ("GET", "/a/%2e%2E/sales", Err(NoPath::Dots)),
        ("GET", "/a%2Fb", Err(NoPath::Escape)),
        ("GET", "/a%5cb", Err(NoPath::Escape)),
        ("GET", "/a%00", Err(NoPath::Escape)),
        ("GET", "/a%4", Err(NoPath::Escape)),
        ("GET", "/a%zz", Err(NoPath::Escape)),
        ("GET", &"/a".repeat(33), Err(NoPath::TooLong)),
    ] {
        assert_eq!(routes().find(http.as_bytes(), path.as_bytes()), found, "{http} {path}");
    }
    let mut none = Routes::default();
    assert!(none.is_empty());
    none.add("GET", "/a", 0).unwrap();
    assert_eq!(none.find(b"GET", b"/b"), Ok(Found::NoRoute));
    assert!(!none.is_empty());
    for (pattern, why) in [
        ("a", "begins with '/'"),
        ("/a/*/b", "may only be the last"),
        ("/a*", "may only be the last"),
        ("/a/{x}", "as a whole"),
        ("/a", "routed already"),
    ] {
        assert!(none.add("GET", pattern, 1).unwrap_err().contains(why), "{pattern}");
    }
}

fn rules() -> Rules {
    Rules {
        routes: routes(),
        health: Some("/health".into()),
        secret: Some(b"peach".to_vec()),
        usual_kb: Some(20.5),
        most_kb: 2_000.0,
        ..Rules::default()
    }
}

fn asked<'a>(http: &'a str, uri: &'a str, headers: &[(&'a str, &'a str)], secret: &'a str) -> Request<'a> {
    Request {
        method: http.as_bytes(),
        uri: uri.as_bytes(),
        headers: headers.iter().map(|(n, v)| (n.as_bytes(), v.as_bytes())).collect(),
        attributes: vec![Attribute::Text(Which::Secret, secret.as_bytes())],
        ..Request::default()
    }
}

#[test]
fn requests_are_judged_by_their_heads() {
    let all = [
        ("X-Request-Id", "0123456789abcdef"),
        ("X-Token", "aa7"),
        ("X-Time-Left-Ms", "250"),
        ("X-Memory-Kb", "3.5"),
        ("Content-Length", "9"),
    ];
    let Ok((Asks::Method(method), body)) = rules().judge(&asked("POST", "/sales", &all, "peach")) else {
        panic!()
    };
    assert_eq!(
        (method.method, method.kb, method.left_us, body),
        (3, 3.5, Some(250_000), BodyLength::Stated(9))
    );
    assert_eq!((method.id.as_deref(), method.token.as_deref()), (Some("0123456789abcdef"), Some("aa7")));
    let Ok((Asks::Method(method), _)) = rules().judge(&asked("GET", "/items/1", &[], "peach")) else {
        panic!()
    };
    assert_eq!((method.id, method.token, method.left_us, method.kb), (None, None, None, 20.5));
    assert_eq!(
        rules().judge(&asked("HEAD", "/health?x", &[], "peach")),
        Ok((Asks::Health, BodyLength::None))
    );
    for (http, uri, headers, secret, status, allow, last) in [
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
        let no = rules().judge(&asked(http, uri, headers, secret)).unwrap_err();
        let allow: Vec<String> = allow.iter().map(|a| a.to_string()).collect();
        assert_eq!((no.refusal.status, no.allow, no.last), (status, allow, last), "{http} {uri} {headers:?}");
    }
    let mut strict = rules();
    (strict.secret, strict.usual_kb) = (None, None);
    assert_eq!(strict.judge(&asked("GET", "/items/1", &[], "")).unwrap_err().refusal.status, 400);
}

#[test]
fn the_least_worthy_makes_room_and_the_owed_never() {
    let at = |number, going, worth: Option<(bool, u64)>| {
        let worth = worth.map(|(good, used_us)| Worth { good, used_us });
        Standing { number, going, worth }
    };
    let owed = |number| at(number, false, None);
    for (all, verdict) in [
        (vec![owed(1)], Verdict::Room),
        (vec![owed(1), owed(2)], Verdict::Full),
        (vec![owed(1), at(2, false, Some((true, 5)))], Verdict::RoomFor(2)),
        // What never said anything useful goes first, then what was not used for longest.
        (vec![at(1, false, Some((true, 1))), at(2, false, Some((false, 9)))], Verdict::RoomFor(2)),
        (vec![at(1, false, Some((true, 7))), at(2, false, Some((true, 6)))], Verdict::RoomFor(2)),
        (vec![owed(1), at(2, true, Some((true, 5)))], Verdict::Room),
        (vec![owed(1), owed(2), at(3, true, Some((true, 5)))], Verdict::Full),
        // One that was asked to go has stayed: another goes before any comes in.
        (vec![owed(1), owed(2), at(3, false, Some((true, 5)))], Verdict::Ask(3)),
        (vec![owed(1), at(2, true, None), at(3, true, None), at(4, false, Some((true, 1)))], Verdict::Full),
    ] {
        assert_eq!(look(2, 2, &all), verdict, "{all:?}");
    }
}
