//! Checks the settings of a complete operators' file, and the message with a suggestion for each error.

use ochrewalk_ingress::request_evaluation::{HeaderNames, RequestTarget};
use ochrewalk_ingress::routes::RouteMatch;
use ochrewalk_load_balancer::{BalancingPolicy, OutlierEjection, Subsetting};
use ochrewalk_operator_config::{parse, MethodContext, NodeContext, OperatorConfig, UpstreamEndpoint};

fn methods() -> Vec<MethodContext> {
    [("part-lookup", true), ("batch-upload", true), ("order-record", false)]
        .map(|(name, is_idempotent)| MethodContext { name: name.to_string(), is_idempotent })
        .to_vec()
}

fn get(text: &str) -> Result<OperatorConfig, Vec<String>> {
    let node = NodeContext { methods: &methods(), descriptors: 512, has_upstream: true };
    parse(text, "my.conf", &node).map_err(|found| found.iter().map(|d| d.to_string()).collect())
}

const COMPLETE: &str = r#"
# A complete file.
host ledger.example.org 127.0.0.21     # replaces a name service
ajp listen ledger.example.org:8009
ajp allow 127.0.0.0/8
ajp deny 127.9.0.0/16
ajp secret "two words"
ajp packet 16k
ajp connections 64
ajp idle 30s
ajp memory 20.5
ajp health /health
ajp header token X-Sale
ajp route POST /sale order-record
ajp route GET /items/{} part-lookup
below ajp ledger.example.org:8010
below ajp 127.0.0.22:8010
below name ledger.example.org
below uri /ledger
below secret peach
below packet 64k
below connections 40
below connect 300ms
below pong 100ms
below reply 1.5s
below trust 20ms
below keep 5s
below leave-out 5
below pause 100ms 1m
below repeats 0.25
below weight 127.0.0.22:8010 2.5
below zone ledger.example.org:8010 east
below zone 127.0.0.22:8010 west
below here east
below way two
below reach 12
below number 7 200
below warm 7s
below status /run/ochrewalk/status
upgrade control /run/ochrewalk/control
"#;

#[test]
fn a_complete_file_sets_all_settings() {
    let OperatorConfig { ajp_listener, ajp_upstream, upgrade_control, config_agent } = get(COMPLETE).unwrap();
    assert_eq!(config_agent, None);
    assert_eq!(upgrade_control, Some("/run/ochrewalk/control".into()));
    let (listener, upstream) = (ajp_listener.unwrap(), ajp_upstream.unwrap());
    assert_eq!(listener.listen, "127.0.0.21:8009".parse().unwrap());
    let may = |text: &str| listener.allowed_peers.may_connect(text.parse().unwrap());
    assert_eq!([may("127.0.0.1"), may("127.9.0.1"), may("10.0.0.1")], [true, false, false]);
    assert_eq!(
        (listener.max_packet_bytes, listener.max_connections, listener.idle_timeout_us),
        (16_384, 64, 30_000_000)
    );
    let rules = listener.rules;
    assert_eq!(
        (rules.secret, rules.default_memory_kb, rules.health),
        (Some(b"two words".to_vec()), Some(20.5), Some("/health".into()))
    );
    assert_eq!(rules.headers, HeaderNames { token: "x-sale".into(), ..HeaderNames::default() });
    assert_eq!(rules.routes.find(b"POST", b"/sale"), Ok(RouteMatch::Method(2)));
    let endpoint = |address: &str, weight, is_in_local_zone| UpstreamEndpoint {
        address: address.parse().unwrap(),
        weight,
        is_in_local_zone,
    };
    assert_eq!(
        upstream.endpoints,
        [endpoint("127.0.0.21:8010", 1.0, true), endpoint("127.0.0.22:8010", 2.5, false)]
    );
    assert_eq!(
        (upstream.balancing.policy, upstream.status_socket),
        (BalancingPolicy::PowerOfTwoChoices, Some("/run/ochrewalk/status".into()))
    );
    assert_eq!(
        upstream.balancing.subsetting,
        Subsetting::Deterministic { size: 12, node: 7, node_count: 200 }
    );
    assert_eq!((upstream.server_name.as_str(), upstream.uri.as_str()), ("ledger.example.org", "/ledger"));
    assert_eq!(
        (upstream.max_packet_bytes, upstream.max_connections, upstream.secret),
        (65_536, 40, Some(b"peach".to_vec()))
    );
    assert_eq!(
        [upstream.connect_timeout_us, upstream.ping_timeout_us, upstream.reply_timeout_us],
        [300_000, 100_000, 1_500_000]
    );
    assert_eq!([upstream.ping_after_idle_us, upstream.max_idle_us], [20_000, 5_000_000]);
    assert_eq!(
        (upstream.balancing.ejection, upstream.retry_budget),
        (
            OutlierEjection {
                consecutive_failures: 5,
                base_ejection_us: 100_000,
                max_ejection_us: 60_000_000,
                slow_start_us: 7_000_000
            },
            0.25
        )
    );
}

#[test]
fn an_empty_file_enables_nothing_and_few_lines_are_enough() {
    let nothing = get("# nothing\n\n   \n").unwrap();
    assert!(nothing.ajp_listener.is_none() && nothing.ajp_upstream.is_none());
    for (more, subsetting) in [("", Subsetting::All), ("below reach 9", Subsetting::Random { size: 9 })] {
        let upstream = get(&format!("below ajp 1.1.1.1:80\n{more}")).unwrap().ajp_upstream.unwrap();
        assert_eq!(
            (upstream.balancing.subsetting, upstream.balancing.policy),
            (subsetting, BalancingPolicy::LatencyAwareRoundRobin)
        );
    }
    let minimal = get("ajp route POST /a order-record\najp allow ::1\najp listen [::1]:8009").unwrap();
    let listener = minimal.ajp_listener.unwrap();
    assert!(minimal.ajp_upstream.is_none() && listener.allowed_peers.may_connect("::1".parse().unwrap()));
    let request = ochrewalk_ajp::request::Request { method: b"POST", uri: b"/a", ..Default::default() };
    assert!(
        listener.rules.evaluate(&request).is_err(),
        "the request states no memory and there is no default"
    );
    let mut rules = listener.rules;
    rules.default_memory_kb = Some(1.0);
    assert!(matches!(rules.evaluate(&request), Ok((RequestTarget::Method(_), _))));
}

#[test]
fn each_error_is_one_message_with_a_suggestion() {
    let valid_lines = "ajp listen 127.0.0.1:8009\najp allow 127.0.0.0/8\najp route POST /a order-record\n";
    for (text, message) in [
        ("apj listen 127.0.0.1:8009", "1: apj is not a directive; did you mean ajp?"),
        ("listen 127.0.0.1:8009", "1: listen is not a directive; a line begins with host, ajp, below, upgrade or config"),
        ("ajp lisen 127.0.0.1:8009", "1: ajp lisen is not a directive; did you mean ajp listen?"),
        ("ajp", "1: ajp is not a directive; after ajp comes one of listen, allow, deny, secret, secret-file, packet, connections, idle, memory, health, header, route"),
        ("ajp idle 30s 40s", "1: 1 word after ajp idle needed, 2 found; write ajp idle TIME"),
        ("ajp route POST /a", "1: 3 words after ajp route needed, 2 found; write ajp route HTTP-METHOD PATH METHOD"),
        ("host a", "1: 2 words after host needed, 1 found; write host NAME ADDRESS"),
        ("host a 1.2.3", "1: 1.2.3 is not an IP address; write one such as 127.0.0.21"),
        ("host a 1.2.3.4\nhost a 1.2.3.5", "2: host a has two addresses; keep one of the two"),
        ("ajp idle 30", "1: 30 has no unit; write 30ms or 30s, from 100ms to 60m"),
        ("ajp idle 30sec", "1: 30sec is not a time; write a number and us, ms, s, m or h, such as 500ms"),
        ("ajp idle 1ms", "1: 1ms is out of range; write a time from 100ms to 60m"),
        ("ajp idle 1s\najp idle 2s", "2: ajp idle was set on line 1 already; keep one of the two"),
        ("ajp packet 4k", "1: 4k is not a packet size; write one from 8k to 64k"),
        ("ajp packet 9000", "1: 9000 is not a packet size; write one from 8k to 64k"),
        ("ajp connections 500", "1: 500 is out of range; write a whole number from 4 to 128"),
        ("ajp memory 0", "1: 0 is not a size in KB; write a number above 0 and under 2000 without a unit"),
        ("ajp health up", "1: up is not a path; write one that begins with '/' and has no '?'"),
        ("ajp header tokn X", "1: no header for tokn; write id, token, left, memory or tenant"),
        ("ajp header id X:Y", "1: X:Y is not a header name; write letters, digits and '-'"),
        ("ajp allow 10.0.0.0/33", "1: 10.0.0.0/33 is not a network; write one such as 10.1.0.0/16 or fd00::/8"),
        ("ajp allow 10.0.0.0/8\najp deny 10.1.1.1/8", "2: 10.1.1.1/8 is both allowed and denied; keep one of the two"),
        ("ajp route post /a order-record", "1: post is no HTTP method; write one in capitals, such as POST"),
        ("ajp route POST /a order-recrd", "1: order-recrd is no method here; did you mean order-record?"),
        ("ajp route POST /a x", "1: x is no method here; write one of part-lookup, batch-upload, order-record"),
        ("ajp route GET /a order-record", "1: order-record may not happen twice, and GET may be sent again by anybody between; route it for POST"),
        ("ajp route POST a order-record", "1: a path begins with '/'; write a path such as /items/{}/price or /stock/*"),
        ("ajp listen 127.0.0.1", "1: 127.0.0.1 has no port; write ADDRESS:PORT, with an IP address or the name of a host line"),
        ("ajp listen 127.0.0.1:0x", "1: 0x is not a port; write a port from 1 to 65535"),
        ("below ajp ledger:80", "1: ledger is neither an address nor a host; add a line such as: host ledger 127.0.0.21"),
        ("below ajp 1.1.1.1:80\nbelow ajp 1.1.1.1:80", "2: 1.1.1.1:80 is already named; name each endpoint once"),
        ("below repeats 2", "1: 2 is not a share; write one from 0 to 1, such as 0.1"),
        ("below pause 2s 1s", "1: the longest pause is shorter than the first; write the shorter one first"),
        ("below ajp 1.1.1.1:80\nbelow weight 1.1.1.1:80 0", "2: 0 is no weight; write a number from 0.01 to 1000"),
        ("below ajp 1.1.1.1:80\nbelow weight 1.1.1.2:80 2", "2: no upstream endpoint has the address 1.1.1.2:80; add a line: below ajp 1.1.1.2:80"),
        ("below ajp 1.1.1.1:80\nbelow zone 1.1.1.1:80 a\nbelow zone 1.1.1.1:80 b", "3: 1.1.1.1:80 has a zone on line 2; keep one of the two"),
        ("below ajp 1.1.1.1:80\nbelow zone 1.1.1.1:80 a", "2: zones are named, but not this node's; add a line: below here ZONE"),
        ("below way fast", "1: fast is not a balancing policy; write one of rounds, shuffled, random, two, least, fastest"),
        ("below number 5 5", "1: 5 is out of range; write a whole number from 0 to 4"),
        ("below reach 1", "1: 1 is out of range; write a whole number from 2 to 10000"),
        ("below status up", "1: up is not a path for a socket; write an absolute one of 90 bytes at most"),
        ("upgrade control run/up", "1: run/up is not a path for a socket; write an absolute one of 90 bytes at most"),
        ("below uri \"/a b\"", "1: /a b is not a path; write one that begins with '/' and has no '?'"),
        ("ajp secret \"a", "1: a quotation mark is not closed; write \"a b\" for a word with a blank"),
        ("ajp secret a\"b", "1: a quotation mark is inside a word; write \"a b\" for a word with a blank"),
        ("ajp secret \"a\"b", "1: a blank has to follow a closing quotation mark; write \"a b\" for a word with a blank"),
        // Errors between lines.
        ("ajp idle 30s", "1: no AJP listener is configured; add a line such as: ajp listen 127.0.0.1:8009"),
        ("ajp listen 1.1.1.1:80", "1: no request can be accepted without a route; add a line such as: ajp route POST /sales METHOD"),
        ("ajp route POST /a order-record\najp listen 1.1.1.1:80\najp deny 1.1.1.1", "2: no peer may connect; add a line such as: ajp allow 127.0.0.0/8"),
        ("below uri /a", "1: no upstream endpoint is named; add a line such as: below ajp ledger.example.org:8009"),
        ("below ajp 1.1.1.1:80\nbelow secret a\nbelow secret-file /b", "3: the secret is set twice; keep the word or the file"),
    ] {
        assert_eq!(get(text).map(|_| ()), Err(vec![format!("my.conf:{message}")]), "{text}");
        // Valid lines before it change only the line number.
        if !message.contains("already") && text.starts_with("below p") {
            let line: usize = message.split(':').next().unwrap().parse().unwrap();
            let moved = get(&format!("{valid_lines}{text}")).map(|_| ()).unwrap_err();
            assert!(moved[0].starts_with(&format!("my.conf:{}:", line + 3)), "{moved:?}");
        }
    }
    // All errors are reported together, sorted by line.
    let all = get("ajp idle 3\nbelow pong x\nhost a b\n").map(|_| ()).unwrap_err();
    assert_eq!(
        all.iter().map(|f| f[..10].to_string()).collect::<Vec<_>>(),
        ["my.conf:1:", "my.conf:2:", "my.conf:3:"]
    );
    let node = NodeContext { methods: &methods(), descriptors: 512, has_upstream: false };
    let diagnostics = parse("below ajp 1.1.1.1:80", "my.conf", &node).unwrap_err();
    assert!(diagnostics[0].to_string().contains("enables no upstream calls"), "{}", diagnostics[0]);
}
