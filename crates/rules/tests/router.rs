//! Matching of requests to routes.

use std::sync::Arc;

use celeryshore_model::HttpRequest;
use celeryshore_model::Index;
use celeryshore_rules::Router;

const DEPLOYMENT: &str = "\
epoch 1  # ops
zone a region=r  # ops
service s slots=1 connections=1  # ops
service t slots=1 connections=1  # ops
kind s/k semantics=idempotent deadline=1s  # ops
kind t/k semantics=idempotent deadline=1s  # ops
upstream s-1 service=s zone=a vm=vm-1 peer=127.0.0.1:1 control=127.0.0.1:2  # ops
upstream t-1 service=t zone=a vm=vm-2 peer=127.0.0.1:3 control=127.0.0.1:4  # ops
";

fn router(rules: &str) -> Router {
    let text = format!("{DEPLOYMENT}{rules}");
    let snapshot = celeryshore_rules::from_str(&text, Index(1)).unwrap();
    Router::new(Arc::new(snapshot))
}

fn route<'a>(router: &'a Router, method: &str, host: &str, path: &str) -> Option<&'a str> {
    let req = HttpRequest {
        method: method.to_owned().into(),
        host: host.to_owned().into(),
        path: path.to_owned().into(),
        ..HttpRequest::default()
    };
    router.find(&req).map(|route| route.name.as_str())
}

#[test]
fn whole_segments() {
    let router = router("route orders path=/orders service=s kind=k  # ops\n");
    assert_eq!(route(&router, "GET", "h", "/orders"), Some("orders"));
    assert_eq!(route(&router, "GET", "h", "/orders/"), Some("orders"));
    assert_eq!(route(&router, "GET", "h", "/orders/1"), Some("orders"));
    assert_eq!(route(&router, "GET", "h", "/orders?x=1"), Some("orders"));
    assert_eq!(route(&router, "GET", "h", "/ordersx"), None);
    assert_eq!(route(&router, "GET", "h", "/"), None);
    assert_eq!(route(&router, "GET", "h", ""), None);
}

#[test]
fn first_line_wins() {
    let router = router(
        "\
route get path=/a/b service=s kind=k method=GET  # ops
route host path=/a service=s kind=k host=h.example  # ops
route any path=/a/b service=s kind=k  # ops
route root path=/ service=s kind=k  # ops
",
    );
    assert_eq!(route(&router, "GET", "h.example", "/a/b/c"), Some("get"));
    assert_eq!(route(&router, "PUT", "H.Example", "/a/b/c"), Some("host"));
    assert_eq!(route(&router, "PUT", "other", "/a/b/c"), Some("any"));
    assert_eq!(route(&router, "PUT", "other", "/a"), Some("root"));
}

#[test]
fn weighted_split() {
    let router = router(
        "\
route r path=/ service=s kind=k  # ops
split r s=90 t=10  # ops
",
    );
    let route = &router.snapshot().routes[0];
    let of_t = (0..1_000).filter(|draw| router.service(route, *draw).as_str() == "t");
    assert_eq!(of_t.count(), 100);
}
