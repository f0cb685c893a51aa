//! Command `explain --node NODE METHOD HOST PATH`: asks a node where a request would go now.

use std::fmt;
use std::io::Write;
use std::str::FromStr;

use http_types::Url;
use http_types::headers::HeaderName;
use http_types::headers::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tabled::Tabled;

use crate::Category;
use crate::Error;
use crate::Exit;
use crate::Result;
use crate::client;
use crate::client::Fields;
use crate::command;
use crate::command::Args;
use crate::command::usage_error;
use crate::print;

const UNKNOWN: &str = "-";
const NO_UPSTREAM: &str = "no-upstream";
/// Fields that belong to the connection to the node and not to the explained request.
const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Where a request would go, as returned by the operators' port of a node.
#[derive(Debug, Serialize, Deserialize)]
struct Explanation {
    vm: String,
    version: Option<String>,
    route: Option<String>,
    kind: Option<String>,
    workspace: Option<String>,
    upstreams: Vec<Upstream>,
    chosen: Option<String>,
    next: Option<String>,
    refusal: Option<Refusal>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Upstream {
    #[serde(rename = "upstream")]
    name: String,
    vm: String,
    zone: String,
    distance: String,
    free: f64,
    wait_ms: u64,
    age_ms: Option<u64>,
    chance: f64,
    left_out: Option<String>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Refusal {
    reason: String,
    retry_after_ms: u64,
}

#[derive(Tabled)]
#[tabled(rename_all = "UPPERCASE")]
struct Row<'a> {
    upstream: &'a str,
    vm: &'a str,
    zone: &'a str,
    distance: &'a str,
    free: String,
    wait: String,
    age: String,
    chance: String,
    #[tabled(rename = "LEFT OUT")]
    left_out: &'a str,
}

/// Asks the node and writes its explanation.
pub(crate) fn run(args: &Args, node: &str, out: &mut dyn Write) -> Result<Exit> {
    let [method, host, path] = args.exactly("METHOD HOST PATH")?;
    let method = method.to_ascii_uppercase();
    let node = command::parse_node(node)?;
    let fields = parse_fields(&args.options("header"))?;
    let mut url = page(node)?;
    url.query_pairs_mut()
        .extend_pairs([("method", &*method), ("host", host), ("path", path)]);
    let answer: Value = client::fetch_with(node, url, &fields, args.timeout()?)?;
    let explanation = Explanation::deserialize(&answer)
        .map_err(|err| Error::new(Category::Node, node.to_string()).with_source(err))?;
    if args.json() {
        print::json(out, &answer)?;
    } else {
        write(out, &explanation)?;
    }
    match explanation.refusal {
        None => Ok(Exit::Success),
        Some(_) => Ok(Exit::Failure),
    }
}

fn page(node: impl fmt::Display) -> Result<Url> {
    let url = Url::parse(&format!("http://{node}/explain"));
    url.map_err(|err| Error::new(Category::Usage, node.to_string()).with_source(err))
}

/// Parses header fields. No error repeats what was given, because it may be a key.
fn parse_fields(texts: &[String]) -> Result<Fields> {
    let parse = |text: &String| {
        let (name, value) = text.split_once(':')?;
        let value = value.trim();
        if !is_name(name) || value.bytes().any(|b| b.is_ascii_control()) {
            return None;
        }
        let name = HeaderName::from_str(name).ok()?;
        Some((name, HeaderValue::from_str(value).ok()?))
    };
    let fields: Option<Fields> = texts.iter().map(parse).collect();
    let fields = fields.ok_or_else(|| usage_error("a header is not 'NAME: VALUE'"))?;
    let mut names = fields.iter().map(|(name, _)| name.as_str());
    match names.find(|name| CONNECTION_FIELDS.contains(name)) {
        Some(name) => Err(usage_error(format_args!("header {name} can't be given"))),
        None => Ok(fields),
    }
}

/// Returns `true` if a text is a valid name of a header field.
fn is_name(text: &str) -> bool {
    let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !text.is_empty() && text.bytes().all(is_name_byte)
}

fn write(out: &mut dyn Write, explanation: &Explanation) -> Result<()> {
    let or_unknown = |text: &Option<String>| text.clone().unwrap_or_else(|| UNKNOWN.to_owned());
    writeln!(out, "node {}", explanation.vm)?;
    writeln!(out, "version {}", or_unknown(&explanation.version))?;
    writeln!(out, "route {}", or_unknown(&explanation.route))?;
    writeln!(out, "kind {}", or_unknown(&explanation.kind))?;
    writeln!(out, "workspace {}", or_unknown(&explanation.workspace))?;
    if !explanation.upstreams.is_empty() {
        let rows: Vec<_> = explanation.upstreams.iter().map(Upstream::row).collect();
        print::table(out, &rows)?;
    }
    if let Some(refusal) = &explanation.refusal {
        writeln!(out, "{refusal}")?;
    }
    if let Some(chosen) = &explanation.chosen {
        writeln!(out, "sent to {chosen}")?;
        match &explanation.next {
            Some(next) => writeln!(out, "if refused for its load: sent to {next}")?,
            None => writeln!(out, "if refused for its load: the caller gets the refusal")?,
        }
    }
    Ok(())
}

impl Upstream {
    fn row(&self) -> Row<'_> {
        Row {
            upstream: &self.name,
            vm: &self.vm,
            zone: &self.zone,
            distance: &self.distance,
            free: format!("{:.1}", self.free),
            wait: format!("{}ms", self.wait_ms),
            age: self
                .age_ms
                .map_or_else(|| UNKNOWN.to_owned(), |age| format!("{age}ms")),
            chance: format!("{:.0}%", self.chance * 100.0),
            left_out: self.left_out.as_deref().unwrap_or_default(),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            reason,
            retry_after_ms,
        } = self;
        if reason == NO_UPSTREAM {
            write!(f, "no upstream left")?;
        } else {
            write!(f, "refused here: {reason}")?;
        }
        if let Some(meaning) = meaning(reason) {
            write!(f, " ({meaning})")?;
        }
        write!(f, ", retry after {retry_after_ms}ms")
    }
}

/// Returns what a reason means, for those that a caller or an operator can resolve.
fn meaning(reason: &str) -> Option<&'static str> {
    let meaning = match reason {
        "learning" => "the node has no configuration yet",
        "no-route" => "no route takes the request",
        "behind" => "a newer configuration may admit the request",
        "unknown-key" => "the key is missing, unknown or given more than once",
        "leaving" => "the node is shutting down",
        "quota" => "the workspace has no credit at this node",
        NO_UPSTREAM => "all upstreams are left out",
        _ => return None,
    };
    Some(meaning)
}
