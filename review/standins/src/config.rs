//! Configurations that an operator publishes.

/// A route. Rules of one host have to stand together.
#[derive(Clone, Debug)]
pub struct Rule {
    pub host: &'static str,
    pub name: String,
    pub kind: &'static str,
    pub prefix: String,
    pub service: String,
    pub latency_ms: u32,
    pub timeout_ms: u32,
    pub attempts: u32,
}

impl Rule {
    pub fn new(name: &str, kind: &'static str, prefix: &str, service: &str) -> Self {
        Self {
            host: "mesh.example",
            name: name.to_owned(),
            kind,
            prefix: prefix.to_owned(),
            service: service.to_owned(),
            latency_ms: 300,
            timeout_ms: 5_000,
            attempts: 2,
        }
    }
}

/// Returns a configuration in the form of the platform.
pub fn config(version: u32, rules: &[Rule], services: &[&str]) -> String {
    let listeners: Vec<String> = rules
        .chunk_by(|a, b| a.host == b.host)
        .map(|rules| {
            let texts: Vec<String> = rules.iter().map(rule_text).collect();
            format!(
                r#"{{"host":"{}","rules":[{}]}}"#,
                rules[0].host,
                texts.join(",")
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":16.0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":"r{version}","limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"listeners":[{}],"clusters":[{}]}}"#,
        listeners.join(","),
        services.join(",")
    )
}

fn rule_text(rule: &Rule) -> String {
    let Rule {
        name,
        kind,
        prefix,
        service,
        latency_ms,
        timeout_ms,
        attempts,
        ..
    } = rule;
    format!(
        r#"{{"name":"{name}","kind":"{kind}","targetLatency":"{latency_ms}ms","priority":1,"match":{{"prefix":"{prefix}"}},"action":{{"service":"{service}","timeout":"{timeout_ms}ms","maxAttempts":{attempts}}}}}"#
    )
}
