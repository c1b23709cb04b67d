//! Tests the effects of updates of the distributed configuration on a node, and the updates that are rejected as a whole.

use ochrewalk_distribution::messages::{Position, Resource, ResourceName};
use ochrewalk_distribution::CompleteUpdate;
use ochrewalk_ingress::request_evaluation::Rules;
use ochrewalk_ingress::routes::{RouteMatch, Routes};
use ochrewalk_node::configuration::cached_quotas::CachedQuotaName;
use ochrewalk_node::configuration::file_configuration::FileConfiguration;
use ochrewalk_node::configuration::node_configuration::{
    ConfigurationInForce, NodeConfiguration, ReplacedFile,
};
use ochrewalk_node::configuration::update_error::UpdateError;
use ochrewalk_operator_config::resources::{
    endpoint_name, quota_name, read_changes, route_name, RouteTarget,
};
use ochrewalk_operator_config::UpstreamEndpoint;
use std::sync::Arc;

const FIRST_TENANT: u32 = 100;

fn target(position: usize, is_idempotent: bool) -> RouteTarget {
    RouteTarget { position, is_idempotent }
}

fn file(routes: &[(&str, &str, usize)]) -> FileConfiguration {
    let mut table = Routes::default();
    routes.iter().for_each(|(http, path, method)| table.add(http, path, *method).unwrap());
    FileConfiguration {
        rules: Rules { routes: table, ..Rules::default() },
        endpoints: Some(Vec::new()),
        zone: Some("east".into()),
        has_listener: true,
        ..FileConfiguration::default()
    }
}

fn node() -> NodeConfiguration {
    let methods = [("look".to_string(), target(0, true)), ("sale".to_string(), target(1, false))].into();
    NodeConfiguration::new(methods, file(&[("GET", "/file", 0)]), FIRST_TENANT)
}

fn update(revision: u64, changes: &str) -> CompleteUpdate {
    let changes = read_changes(changes, "changes").unwrap().into_iter();
    CompleteUpdate {
        position: Position { epoch: 1, revision },
        is_snapshot: false,
        resources: changes.map(|change| Arc::new(Resource { revision, ..change })).collect(),
        absent: Vec::new(),
        horizon: 0,
    }
}

fn snapshot(revision: u64, changes: &str) -> CompleteUpdate {
    CompleteUpdate { is_snapshot: true, ..update(revision, changes) }
}

fn finds(in_force: &ConfigurationInForce, http: &str, path: &str) -> RouteMatch {
    in_force.rules.routes.find(http.as_bytes(), path.as_bytes()).unwrap()
}

#[test]
fn distributed_routes_are_added_replaced_and_deleted_beside_those_of_the_file() {
    let mut node = node();
    let in_force = node.apply(&snapshot(1, "route shop GET /a look\nroute shop POST /b sale")).unwrap();
    assert_eq!(finds(&in_force, "GET", "/a"), RouteMatch::Method(0));
    assert_eq!(finds(&in_force, "POST", "/b"), RouteMatch::Method(1));
    assert_eq!(finds(&in_force, "GET", "/file"), RouteMatch::Method(0));
    // A route is deleted, and another one with the same path is added in the same update.
    let in_force = node.apply(&update(2, "delete route shop GET /a\nroute till GET /a/ look")).unwrap();
    assert_eq!(finds(&in_force, "GET", "/a"), RouteMatch::Method(0));
    let in_force = node.apply(&update(3, "delete route till GET /a/\nroute shop POST /b look")).unwrap();
    assert_eq!(finds(&in_force, "GET", "/a"), RouteMatch::NoRoute);
    assert_eq!(finds(&in_force, "POST", "/b"), RouteMatch::Method(0));
    // A snapshot replaces all that was distributed, and nothing of the file.
    let in_force = node.apply(&snapshot(4, "route shop GET /c look")).unwrap();
    assert_eq!(finds(&in_force, "POST", "/b"), RouteMatch::NoRoute);
    assert_eq!(finds(&in_force, "GET", "/file"), RouteMatch::Method(0));
    assert_eq!(node.position(), Position { epoch: 1, revision: 4 });
}

#[test]
fn an_update_with_one_invalid_change_changes_nothing() {
    let good = "route shop GET /a look\nquota acme 5\n";
    for (wrong, text) in [
        (
            "route shop GET /x lok",
            "route shop GET /x: lok is no method here; route it to a method of the node's file",
        ),
        (
            "route shop GET /x sale",
            "route shop GET /x: sale may not happen twice, and GET may be sent again by anybody between; \
             route it for POST",
        ),
        ("route shop GET /file look", "route shop GET /file: GET /file is routed already"),
        ("route till GET /a/ look", "route till GET /a/: GET /a/ is routed already"),
    ] {
        let mut node = node();
        node.apply(&snapshot(1, good)).unwrap();
        let fault =
            node.apply(&update(2, &format!("delete quota acme\nquota other 1\n{wrong}"))).unwrap_err();
        assert_eq!(fault.to_string(), text);
        assert_eq!(node.position(), Position { epoch: 1, revision: 1 });
        let in_force = node.in_force();
        assert_eq!(finds(&in_force, "GET", "/x"), RouteMatch::NoRoute, "{wrong}");
        assert!(in_force.quotas.contains_key("acme") && !in_force.quotas.contains_key("other"), "{wrong}");
        assert_eq!(node.resources().count(), 2, "{wrong}");
    }
}

#[test]
fn resources_that_do_not_fit_the_node_are_rejected_with_the_reason() {
    let methods = || [("look".to_string(), target(0, true))].into();
    let bare = FileConfiguration::default();
    let mut node = NodeConfiguration::new(methods(), bare, 0);
    let fault = node.apply(&snapshot(1, "route shop GET /a look")).unwrap_err();
    assert_eq!(fault, UpdateError::NoListener { route: route_name("shop", "GET", "/a") });
    let fault = node.apply(&snapshot(1, "endpoint shop 10.0.0.1:80 1 east")).unwrap_err();
    assert_eq!(
        fault,
        UpdateError::NoEndpoints { endpoint: endpoint_name("shop", "10.0.0.1:80".parse().unwrap()) }
    );
    assert!(node.apply(&snapshot(1, "quota acme 1")).is_ok());
    // An older update is rejected.
    assert!(matches!(node.apply(&update(0, "quota acme 2")), Err(UpdateError::Apply(_))));
}

#[test]
fn a_tenant_keeps_its_number_over_changes_of_its_quota() {
    let mut node = node();
    let quota = |in_force: &ConfigurationInForce, tenant: &str| in_force.quotas[tenant].quota();
    let mut first = snapshot(1, "quota acme 5\nquota other 1");
    first.absent = vec![quota_name("nobody")];
    let in_force = node.apply(&first).unwrap();
    let acme = quota(&in_force, "acme").unwrap();
    assert_eq!(acme.per_second, 5.0);
    assert!(acme.id >= FIRST_TENANT);
    assert_eq!(quota(&in_force, "nobody"), None);
    assert_eq!(node.absent_quotas(), [quota_name("nobody")]);
    let in_force = node.apply(&update(2, "quota acme 7\nquota nobody 3")).unwrap();
    assert_eq!(quota(&in_force, "acme").unwrap().id, acme.id);
    assert_eq!(quota(&in_force, "acme").unwrap().per_second, 7.0);
    let ids: std::collections::BTreeSet<u32> =
        ["acme", "other", "nobody"].iter().map(|tenant| quota(&in_force, tenant).unwrap().id).collect();
    assert_eq!(ids.len(), 3);
    // A quota that is deleted and added again keeps its number, so that the charges to it remain.
    let in_force = node.apply(&update(3, "delete quota acme")).unwrap();
    assert_eq!(quota(&in_force, "acme"), None);
    let in_force = node.apply(&update(4, "quota acme 2")).unwrap();
    assert_eq!(quota(&in_force, "acme").unwrap().id, acme.id);
    // A removed quota is no longer cached, and its number is not assigned to another tenant.
    let in_force = node.forget_quotas(["acme"]);
    assert!(!in_force.quotas.contains_key("acme"));
    let in_force = node.apply(&update(5, "quota late 1")).unwrap();
    assert!(!ids.contains(&quota(&in_force, "late").unwrap().id));
}

#[test]
fn distributed_endpoints_and_limits_override_those_of_the_file() {
    let mut node = node();
    let at = |text: &str| text.parse::<std::net::SocketAddr>().unwrap();
    let of_file = UpstreamEndpoint { address: at("10.0.0.1:80"), weight: 1.0, is_in_local_zone: true };
    let ReplacedFile { overridden, .. } = node.replace_file(FileConfiguration {
        endpoints: Some(vec![of_file]),
        rules: Rules { default_memory_kb: Some(9.0), ..Rules::default() },
        ..file(&[])
    });
    assert_eq!(overridden, []);
    let changes = "endpoint shop 10.0.0.1:80 3 west\nendpoint shop 10.0.0.2:80 1 east\n\
                   limit shop usual-memory-kb 20\nlimit till usual-memory-kb 12";
    let in_force = node.apply(&snapshot(1, changes)).unwrap();
    let wanted = [
        UpstreamEndpoint { address: at("10.0.0.1:80"), weight: 3.0, is_in_local_zone: false },
        UpstreamEndpoint { address: at("10.0.0.2:80"), weight: 1.0, is_in_local_zone: true },
    ];
    assert_eq!(in_force.endpoints.as_deref(), Some(&wanted[..]));
    assert_eq!(in_force.rules.default_memory_kb, Some(12.0));
    let in_force = node.apply(&snapshot(2, "quota acme 1")).unwrap();
    assert_eq!((in_force.endpoints, in_force.rules.default_memory_kb), (Some(vec![of_file]), Some(9.0)));
}

#[test]
fn a_changed_file_leaves_distributed_resources_in_force_and_reports_those_that_it_overrides() {
    let mut node = node();
    node.apply(&snapshot(1, "route shop GET /a look\nroute shop GET /b look")).unwrap();
    let ReplacedFile { in_force, overridden } =
        node.replace_file(file(&[("GET", "/a", 0), ("GET", "/new", 0)]));
    let texts: Vec<String> = overridden.iter().map(|fault| fault.to_string()).collect();
    assert_eq!(texts, ["route shop GET /a: GET /a is routed already"]);
    for path in ["/a", "/b", "/new"] {
        assert_eq!(finds(&in_force, "GET", path), RouteMatch::Method(0), "{path}");
    }
    assert_eq!(finds(&in_force, "GET", "/file"), RouteMatch::NoRoute);
    // The deletion of an overridden route does not remove the file's route.
    let in_force = node.apply(&update(2, "delete route shop GET /a\ndelete route shop GET /b")).unwrap();
    assert_eq!(finds(&in_force, "GET", "/a"), RouteMatch::Method(0));
    assert_eq!(finds(&in_force, "GET", "/b"), RouteMatch::NoRoute);
}

#[test]
fn each_reason_for_a_rejection_names_the_resource() {
    let methods = [("look".to_string(), target(0, true))].into();
    let mut bare = NodeConfiguration::new(methods, FileConfiguration::default(), 0);
    let mut reason = |update: &CompleteUpdate| bare.apply(update).unwrap_err().to_string();
    assert_eq!(
        reason(&snapshot(1, "route shop GET /a look")),
        "route shop GET /a: this node has no listener that is routed"
    );
    assert_eq!(
        reason(&snapshot(1, "endpoint shop 10.0.0.1:80 1 east")),
        "endpoint shop 10.0.0.1:80: this node calls nothing by AJP"
    );
    let mut unknown = snapshot(1, "delete quota acme");
    let name = ResourceName { kind: 99, scope: "shop".into(), name: "thing".into() };
    unknown.resources = vec![Arc::new(Resource { name, revision: 1, value: None })];
    assert_eq!(reason(&unknown), "unknown shop thing: a kind that this version does not know");
    bare.apply(&snapshot(3, "quota acme 1")).unwrap();
    assert_eq!(
        bare.apply(&update(2, "quota acme 2")).unwrap_err().to_string(),
        "the update leads to Position { epoch: 1, revision: 2 }, older than Position { epoch: 1, revision: 3 }"
    );
}

#[test]
fn cached_quotas_are_listed_up_to_a_limit_and_state_whether_there_is_a_quota() {
    let mut node = node();
    let mut first = snapshot(1, "quota acme 5\nquota other 1");
    first.absent = vec![quota_name("nobody")];
    node.apply(&first).unwrap();
    let cached = |tenant, is_present| CachedQuotaName { name: quota_name(tenant), is_present };
    let all = [cached("acme", true), cached("nobody", false), cached("other", true)];
    assert_eq!(node.cached_quotas(3), all);
    assert_eq!(node.cached_quotas(100), all);
    assert_eq!(node.cached_quotas(2), all[..2]);
    assert_eq!(node.cached_quotas(0), []);
    assert_eq!(node.resources().count(), 2);
    node.forget_quotas(["acme", "nobody", "unheard"]);
    assert_eq!(node.cached_quotas(3), all[2..]);
    assert_eq!((node.resources().count(), node.absent_quotas().len()), (1, 0));
}

#[test]
fn a_snapshot_resets_which_routes_the_file_overrides() {
    let mut node = node();
    node.apply(&snapshot(1, "route shop GET /a look")).unwrap();
    let ReplacedFile { overridden, .. } = node.replace_file(file(&[("GET", "/a", 0)]));
    assert_eq!(overridden.len(), 1);
    node.replace_file(file(&[]));
    let in_force = node.apply(&snapshot(2, "route shop GET /a look")).unwrap();
    assert_eq!(finds(&in_force, "GET", "/a"), RouteMatch::Method(0));
    let in_force = node.apply(&update(3, "delete route shop GET /a")).unwrap();
    assert_eq!(finds(&in_force, "GET", "/a"), RouteMatch::NoRoute);
}

#[test]
fn a_rejected_snapshot_changes_nothing() {
    let mut node = node();
    node.apply(&snapshot(1, "route shop GET /a look\nquota acme 5\nlimit shop usual-memory-kb 20")).unwrap();
    let wrong = snapshot(2, "route shop GET /b look\nquota acme 7\nroute shop GET /file look");
    let fault = node.apply(&wrong).unwrap_err();
    let route = route_name("shop", "GET", "/file");
    assert_eq!(fault, UpdateError::RouteConflict { route, reason: "GET /file is routed already".into() });
    let in_force = node.in_force();
    assert_eq!(finds(&in_force, "GET", "/a"), RouteMatch::Method(0));
    assert_eq!(finds(&in_force, "GET", "/b"), RouteMatch::NoRoute);
    assert_eq!(in_force.quotas["acme"].quota().unwrap().per_second, 5.0);
    assert_eq!(in_force.rules.default_memory_kb, Some(20.0));
    assert_eq!(node.position(), Position { epoch: 1, revision: 1 });
}
