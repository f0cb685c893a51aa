//! Canonical text form of a snapshot's rules, for comparisons.

use celeryshore_model::Kind;
use celeryshore_model::Route;
use celeryshore_model::Service;
use celeryshore_model::Snapshot;
use celeryshore_model::Upstream;
use celeryshore_model::Workspace;

/// Rule split into its identity and its values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CanonicalRule {
    /// Keyword and name, which identify the rule.
    pub(crate) name: String,
    /// Keys with their values, including defaults.
    pub(crate) values: String,
}

fn rule(name: String, values: String) -> CanonicalRule {
    CanonicalRule { name, values }
}

/// Returns every rule of a snapshot in canonical form.
pub(crate) fn canonical_rules(snapshot: &Snapshot) -> Vec<CanonicalRule> {
    let epoch = snapshot.version.epoch.to_string();
    let mut rules = vec![rule("epoch".to_owned(), epoch)];
    for zone in snapshot.zones.values() {
        rules.push(rule(
            format!("zone {}", zone.name),
            format!("region={}", zone.region),
        ));
    }
    for service in snapshot.services.values() {
        rules.push(service_rule(service));
        rules.push(retry_rule(service));
        rules.extend(service.kinds.values().map(|kind| kind_rule(service, kind)));
    }
    rules.extend(snapshot.upstreams.values().map(upstream_rule));
    for route in &snapshot.routes {
        rules.push(route_rule(route));
        rules.extend(split_rule(route));
    }
    rules.extend(snapshot.workspaces.values().map(workspace_rule));
    let zones = snapshot.outages.zones.iter();
    rules.extend(zones.map(|zone| rule(format!("out zone={zone}"), String::new())));
    let vms = snapshot.outages.vms.iter();
    rules.extend(vms.map(|vm| rule(format!("out vm={vm}"), String::new())));
    rules
}

fn service_rule(service: &Service) -> CanonicalRule {
    let limits = &service.limits;
    let values = format!(
        "slots={} cold-slots={} queue={} connections={} body={}",
        limits.slots, limits.cold_slots, limits.queue, limits.connections, limits.body
    );
    rule(format!("service {}", service.name), values)
}

fn retry_rule(service: &Service) -> CanonicalRule {
    let retry = &service.retry;
    let values = format!("attempts={} budget={}", retry.attempts, retry.budget);
    rule(format!("retry {}", service.name), values)
}

fn kind_rule(service: &Service, kind: &Kind) -> CanonicalRule {
    let deadline = humantime::format_duration(kind.deadline);
    let values = format!("semantics={} deadline={deadline}", kind.semantics);
    rule(format!("kind {}/{}", service.name, kind.name), values)
}

fn upstream_rule(upstream: &Upstream) -> CanonicalRule {
    let Upstream {
        name,
        service,
        vm,
        zone,
        peer,
        control,
        ..
    } = upstream;
    let values = format!("service={service} zone={zone} vm={vm} peer={peer} control={control}");
    rule(format!("upstream {name}"), values)
}

fn route_rule(route: &Route) -> CanonicalRule {
    let matches = &route.matches;
    let mut values = format!(
        "path={} service={} kind={}",
        matches.path, route.service, route.kind
    );
    if let Some(host) = &matches.host {
        values.push_str(" host=");
        values.push_str(host);
    }
    if let Some(method) = &matches.method {
        values.push_str(" method=");
        values.push_str(method);
    }
    if route.is_public {
        values.push_str(" public");
    }
    rule(format!("route {}", route.name), values)
}

/// Returns a workspace with the fingerprints of its keys.
fn workspace_rule(workspace: &Workspace) -> CanonicalRule {
    let keys: Vec<_> = workspace.keys.iter().map(ToString::to_string).collect();
    let quota = workspace.quota;
    let quota = quota.map(|quota| format!(" rate={} burst={}", quota.rate, quota.burst));
    let values = format!(
        "keys={} priority={}{}",
        keys.join(","),
        workspace.priority,
        quota.unwrap_or_default()
    );
    rule(format!("workspace {}", workspace.name), values)
}

fn split_rule(route: &Route) -> Option<CanonicalRule> {
    let splits = route.splits.iter();
    let weights: Vec<_> = splits
        .map(|s| format!("{}={}", s.service, s.weight))
        .collect();
    let name = format!("split {}", route.name);
    (!weights.is_empty()).then(|| rule(name, weights.join(" ")))
}
