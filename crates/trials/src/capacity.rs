//! Resource use of the design at its intended size, extrapolated from measured
//! slopes.
//!
//! `docs/slopes.json` holds the slopes, each with the run that printed it. The
//! table of `docs/CAPACITY.md` is computed from them, and a test compares the two
//! so that they don't diverge.

use serde::Deserialize;
use tabled::Table;
use tabled::Tabled;
use tabled::settings::Style;

/// Number of upstreams in the fleet, and thus of nodes.
const NODES: f64 = 14_000.0;
/// Number of availability zones.
const ZONES: f64 = 16.0;
/// Nodes per zone that read the platform.
const READERS_PER_ZONE: f64 = 2.0;
/// Configuration changes per second: 7,700 a day.
const CHANGES_PER_SECOND: f64 = 7_700.0 / 86_400.0;
/// Calls per second in the whole mesh.
const CALLS_PER_SECOND: f64 = 1_000_000.0;
/// Node restarts per second: 1,700 a day.
const RESTARTS_PER_SECOND: f64 = 1_700.0 / 86_400.0;
/// Time for which a node keeps an idempotency key.
const KEY_MAX_AGE_SECONDS: f64 = 664.0;
/// Calls per second that all readers together may make to the platform.
const PLATFORM_CALLS_PER_SECOND_BUDGET: f64 = 2_000.0;
/// Share of a core that a node may use for its control traffic.
const CORE_SHARE_BUDGET: f64 = 0.027;
/// Memory that a node may use for its control data, in MiB.
const MEMORY_MIB_BUDGET: f64 = 64.0;
/// Control bytes per second that a node may send.
const BYTES_PER_SECOND_BUDGET: f64 = 15_000.0;
const BYTES_PER_MIB: f64 = 1_048_576.0;
const SECONDS_PER_MICRO: f64 = 1e-6;

/// Measured base costs and slopes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// Control bytes per second that an idle node sends, apart from
    /// `idle_bytes_per_node`.
    pub idle_bytes: f64,
    /// Additional control bytes per second for each node of the fleet.
    pub idle_bytes_per_node: f64,
    /// Control bytes that a node sends for one change, apart from
    /// `change_bytes_per_node`.
    pub change_bytes: f64,
    /// Additional control bytes for one change for each node of the fleet.
    pub change_bytes_per_node: f64,
    /// CPU time of an idle node's control traffic, in microseconds per second.
    pub idle_micros: f64,
    /// Additional CPU time of an idle node for each node of the fleet.
    pub idle_micros_per_node: f64,
    /// CPU time of a node for one change, in microseconds.
    pub change_micros: f64,
    /// Additional CPU time for one change for each node of the fleet.
    pub change_micros_per_node: f64,
    /// Memory of a node process with a small fleet, in MiB.
    pub base_mib: f64,
    /// Additional memory for each node of the fleet, in bytes.
    pub bytes_per_node: f64,
    /// Size of the largest rules text, in bytes.
    pub text_bytes: f64,
    /// Compressed size of that text, in bytes.
    pub packed_bytes: f64,
    /// Calls per second to the platform from one zone.
    pub source_calls_per_zone: f64,
    /// CPU time of the forwarding and the admitting node for one call, in
    /// microseconds.
    pub call_micros: f64,
    /// Memory for one idempotency key, in bytes.
    pub bytes_per_key: f64,
}

/// Row of the capacity table.
#[derive(Clone, Debug, Tabled)]
pub struct Row {
    role: &'static str,
    figure: &'static str,
    value: String,
    budget: String,
    fits: &'static str,
    #[tabled(rename = "carried by")]
    mechanism: &'static str,
}

impl Slopes {
    /// Parses the text of the slopes file.
    ///
    /// # Errors
    ///
    /// Fails if a slope is missing or unknown.
    pub fn from_json(text: &str) -> serde_json::Result<Self> {
        #[derive(Deserialize)]
        struct File {
            slopes: Slopes,
        }
        let file: File = serde_json::from_str(text)?;
        Ok(file.slopes)
    }

    /// Computes the rows of the capacity table.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let mut rows = self.node_rows();
        rows.extend(self.shared_rows());
        rows
    }

    fn node_rows(&self) -> Vec<Row> {
        let idle = self.idle_bytes + self.idle_bytes_per_node * NODES;
        let join_bytes = RESTARTS_PER_SECOND / NODES * self.packed_bytes;
        let change_bytes = self.change_bytes + self.change_bytes_per_node * NODES;
        let bytes = idle + CHANGES_PER_SECOND * change_bytes + join_bytes;
        let idle_micros = self.idle_micros + self.idle_micros_per_node * NODES;
        let change_micros = self.change_micros + self.change_micros_per_node * NODES;
        let core_share = (idle_micros + CHANGES_PER_SECOND * change_micros) * SECONDS_PER_MICRO;
        let rules_text_bytes = 3.0 * self.text_bytes;
        let memory =
            self.base_mib + (self.bytes_per_node * NODES + rules_text_bytes) / BYTES_PER_MIB;
        let role = "node";
        vec![
            row_with_budget(
                role,
                "control bytes a second",
                bytes,
                BYTES_PER_SECOND_BUDGET,
                "rumour with anti-entropy; limit at the sender",
            ),
            row_with_budget(
                role,
                "share of a core for control",
                core_share,
                CORE_SHARE_BUDGET,
                "constant heartbeats; text judged off the decisions' lock",
            ),
            row_with_budget(
                role,
                "MiB for control",
                memory,
                MEMORY_MIB_BUDGET,
                "members overlay the configuration; ring of deltas",
            ),
        ]
    }

    fn shared_rows(&self) -> Vec<Row> {
        let calls = CALLS_PER_SECOND / NODES;
        let keys = calls * KEY_MAX_AGE_SECONDS;
        vec![
            row_with_budget(
                "readers of the platform",
                "calls a second, whole fleet",
                self.source_calls_per_zone * ZONES,
                PLATFORM_CALLS_PER_SECOND_BUDGET,
                "two readers in each zone by rendezvous order",
            ),
            row_without_budget(
                "readers of the platform",
                "waiting watches, whole fleet",
                ZONES * READERS_PER_ZONE,
                "the same",
            ),
            row_without_budget(
                "handing and admitting node",
                "calls a second at each",
                calls,
                "every node is both",
            ),
            row_without_budget(
                "handing and admitting node",
                "share of a core for calls, both roles",
                calls * self.call_micros * SECONDS_PER_MICRO,
                "one hop, pooled connections",
            ),
            row_without_budget(
                "admitting node",
                "keys remembered, if every call is keyed",
                keys,
                "journal, bounded at 60,000 keys",
            ),
            row_without_budget(
                "admitting node",
                "MiB of marks, without answers",
                keys * self.bytes_per_key / BYTES_PER_MIB,
                "journal; answers bounded at 16 MiB",
            ),
            row_without_budget(
                "helper of joiners",
                "seconds for a third of the fleet to fetch snapshots",
                self.packed_bytes / 2.0 / BYTES_PER_SECOND_BUDGET,
                "packed snapshots, limit at the sender",
            ),
        ]
    }
}

/// Renders the rows as a Markdown table.
#[must_use]
pub fn render(rows: &[Row]) -> String {
    Table::new(rows).with(Style::markdown()).to_string()
}

fn row_with_budget(
    role: &'static str,
    figure: &'static str,
    value: f64,
    budget: f64,
    mechanism: &'static str,
) -> Row {
    Row {
        role,
        figure,
        value: format_value(value),
        budget: format_value(budget),
        fits: if value <= budget { "yes" } else { "NO" },
        mechanism,
    }
}

fn row_without_budget(
    role: &'static str,
    figure: &'static str,
    value: f64,
    mechanism: &'static str,
) -> Row {
    Row {
        role,
        figure,
        value: format_value(value),
        budget: "none".to_owned(),
        fits: "-",
        mechanism,
    }
}

fn format_value(value: f64) -> String {
    if value >= 100.0 {
        format!("{value:.0}")
    } else if value >= 1.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.4}")
    }
}
