//! Explanations, diffs and warnings for operators.

use celeryshore_model::HttpRequest;
use celeryshore_model::Index;
use celeryshore_model::Snapshot;
use insta::assert_snapshot;

const RULES: &str = "\
epoch 1  # ops
zone glasgow region=scotland  # ops
zone perth region=scotland  # ops
service ordering slots=6 connections=110  # A. Baird
service next slots=6 connections=110  # A. Baird
kind ordering/place semantics=at-most-once deadline=2s  # A. Baird
kind ordering/look semantics=idempotent deadline=500ms  # A. Baird
kind next/place semantics=at-most-once deadline=2s  # A. Baird
upstream ord-1 service=ordering zone=glasgow vm=vm-1 peer=10.0.0.1:71 control=10.0.0.1:72  # ops
upstream ord-2 service=ordering zone=perth vm=vm-2 peer=10.0.0.2:71 control=10.0.0.2:72  # ops
upstream nxt-1 service=next zone=perth vm=vm-3 peer=10.0.0.3:71 control=10.0.0.3:72  # ops
route place path=/orders service=ordering kind=place host=o.example method=POST  # A. Baird
route look path=/orders service=ordering kind=look host=o.example  # A. Baird
split place ordering=90 next=10  # A. Baird
out zone=perth  # ops
";

fn parse(text: &str) -> Snapshot {
    celeryshore_rules::from_str(text, Index(1)).unwrap()
}

fn explain(method: &str, host: &str, path: &str) -> String {
    let req = HttpRequest {
        method: method.to_owned().into(),
        host: host.to_owned().into(),
        path: path.to_owned().into(),
        ..HttpRequest::default()
    };
    celeryshore_rules::explain(&parse(RULES), &req).to_string()
}

#[test]
fn split_route() {
    assert_snapshot!(explain("POST", "o.example", "/orders"), @r#"
    route place
      service ordering weight 90, kind place (at-most-once, 2s)
        in  upstream ord-1 on vm-1 in glasgow
        out upstream ord-2 on vm-2 in perth
      service next weight 10, kind place (at-most-once, 2s)
        out upstream nxt-1 on vm-3 in perth
    "#);
}

#[test]
fn later_route() {
    assert_snapshot!(explain("GET", "O.Example", "/orders/7?x"), @r#"
    not route place: another method
    route look
      service ordering, kind look (idempotent, 500ms)
        in  upstream ord-1 on vm-1 in glasgow
        out upstream ord-2 on vm-2 in perth
    "#);
}

#[test]
fn no_route() {
    assert_snapshot!(explain("GET", "o.example", "/ordersx"), @r#"
    not route place: another path
    not route look: another path
    no route takes the request
    "#);
    assert_snapshot!(explain("GET", "p.example", "/orders"), @r#"
    not route place: another host
    not route look: another host
    no route takes the request
    "#);
}

#[test]
fn same_as_router() {
    let router = celeryshore_rules::Router::new(parse(RULES).into());
    for method in ["GET", "POST"] {
        for host in ["o.example", "O.EXAMPLE", "p.example", ""] {
            for path in [
                "",
                "/",
                "/orders",
                "/orders/",
                "/orders?a=/b",
                "/ordersx",
                "/a/orders",
            ] {
                let req = HttpRequest {
                    method: method.into(),
                    host: host.into(),
                    path: path.into(),
                    ..HttpRequest::default()
                };
                let found = router.find(&req).map(|route| route.name.clone());
                let explanation = celeryshore_rules::explain(router.snapshot(), &req);
                assert_eq!(found, explanation.route, "{method} {host} {path}");
            }
        }
    }
}

#[test]
fn changed_rules() {
    let new = RULES
        .replace("place ordering=90 next=10", "place ordering=50 next=50")
        .replace("out zone=perth  # ops\n", "out vm=vm-1  # ops\n")
        .replace(
            "service next slots=6",
            "retry next attempts=1  # ops\nservice next slots=8",
        );
    assert_snapshot!(celeryshore_rules::diff(&parse(RULES), &parse(&new)), @r#"
    + out vm=vm-1
    - out zone=perth
    - retry next attempts=2 budget=10%
    + retry next attempts=1 budget=10%
    - service next slots=6 cold-slots=1 queue=12 connections=110 body=1MiB
    + service next slots=8 cold-slots=1 queue=16 connections=110 body=1MiB
    - split place ordering=90 next=10
    + split place ordering=50 next=50
    "#);
}

#[test]
fn moved_route() {
    let mut lines: Vec<_> = RULES.lines().collect();
    lines.swap(11, 12);
    let new = lines.join("\n");
    assert_snapshot!(celeryshore_rules::diff(&parse(RULES), &parse(&new)), @r#"
    ~ route look stands elsewhere
    ~ route place stands elsewhere
    "#);
}

#[test]
fn same_rules() {
    let new = RULES
        .replace("# ops", "# B. Reid")
        .replace("slots=6 conn", "slots=6 queue=12 conn");
    assert!(celeryshore_rules::diff(&parse(RULES), &parse(&new)).is_empty());
}

#[test]
fn stopped_service() {
    let warnings = celeryshore_rules::warnings(&parse(RULES));
    assert_eq!(warnings.len(), 1);
    assert_snapshot!(warnings[0], @r#"service next: every upstream is out of service, so its requests are refused"#);
}
